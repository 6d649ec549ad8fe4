"""Membership of an entry VM: its row, which also represents its lease."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from msgspec.structs import replace

from currantstage.coordination.membership._config_lease import RenewalNumber
from currantstage.coordination.notes._note_commit import load_generation
from currantstage.state import (
    ABSENT,
    FIRST_GENERATION,
    HEAD_KEY,
    EntryVmRow,
    Generation,
    HeadRow,
    IncarnationId,
    RowCheck,
    RowWrite,
    entry_vm_key,
)

if TYPE_CHECKING:
    from currantstage.coordination.membership._configuration import Configuration
    from currantstage.coordination.membership._head_observer import HeadObserver
    from currantstage.coordination.store._procedures import Procedure
    from currantstage.coordination.store._store_access import StoreAccess
    from currantstage.state import RowVersion, VersionedRow

#: Attempts to renew a lease while notes are committed concurrently.
MAX_RENEWAL_ATTEMPTS = 3


@dataclass(frozen=True, slots=True)
class RenewalRequest:
    """Request to a peer to renew a lease whose holder can't reach the table.

    Parameters
    ----------
    number : RenewalNumber
        Number of the renewal at its holder.
    row : EntryVmRow
        The row to write.
    """

    number: RenewalNumber
    row: EntryVmRow


@dataclass(frozen=True, slots=True)
class RenewalOutcome:
    """Outcome of a renewal on behalf of a peer.

    Parameters
    ----------
    incarnation : IncarnationId
        Incarnation of the holder that sent the request; renewal numbers are unique
        only within it.
    number : RenewalNumber
    is_applied : bool
    head_generation : Generation
        Generation of the head row that was read.
    """

    incarnation: IncarnationId
    number: RenewalNumber
    is_applied: bool
    head_generation: Generation


class Membership:
    """Follows the head and maintains this entry VM's row and lease.

    Parameters
    ----------
    store : StoreAccess
    configuration : Configuration
    head_observer : HeadObserver
    row : EntryVmRow
        Initial content of the row, with the incarnation of this process.
    """

    def __init__(
        self,
        store: StoreAccess,
        configuration: Configuration,
        head_observer: HeadObserver,
        row: EntryVmRow,
    ) -> None:
        self._store = store
        self._configuration = configuration
        self._head_observer = head_observer
        self._row = row

    @property
    def row(self) -> EntryVmRow:
        """The row as the next renewal writes it."""
        fleet = self._configuration.fleet
        return replace(
            self._row,
            applied_generation=fleet.generation,
            config_lease_s=fleet.config_lease_s,
        )

    def follow_head(self) -> Procedure[Generation]:
        """Apply a newer generation if there is one, and renew the lease if due.

        Returns
        -------
        Generation
            The generation in force. Raises `StoreUnreachableError` and
            `WriteUncertainError`; the next call resumes.
        """
        for _ in range(MAX_RENEWAL_ATTEMPTS):
            head_version = yield from self._apply_head()
            now_s = yield from self._store.now_s()
            if self._configuration.lease.is_released or not self._is_renewal_due(now_s):
                break
            if (yield from self._renew(head_version)):
                break
        return self._configuration.fleet.generation

    def request_renewal(self, now_s: float) -> RenewalRequest:
        """Return a request to a peer to renew the lease as of `now_s`."""
        row = self.row
        renewal = self._configuration.lease.start_renewal(now_s, row.config_lease_s)
        return RenewalRequest(renewal.number, row)

    def handle_renewal_outcome(self, outcome: RenewalOutcome) -> None:
        """Extend the lease if a peer has renewed it."""
        is_own = outcome.incarnation == self._row.incarnation
        if is_own and outcome.is_applied:
            self._configuration.lease.confirm(outcome.number)

    def renew_for_peer(self, request: RenewalRequest) -> Procedure[RenewalOutcome]:
        """Renew the lease of a peer that can't reach the table.

        Raises `StoreUnreachableError` and `WriteUncertainError`; the peer then gets no
        reply, and its lease is not extended.
        """
        head = yield from self._read_head()
        generation = _generation_of(head)
        is_applied = False
        if generation == request.row.applied_generation:
            is_applied = yield from self._write_row(request.row, _version_of(head))
        return RenewalOutcome(
            request.row.incarnation, request.number, is_applied, generation
        )

    def leave(self) -> Procedure[None]:
        """Release the lease, then delete the row of this incarnation.

        The order matters: acceptance doesn't wait for an entry VM without a row.
        """
        self._configuration.lease.release()
        key = entry_vm_key(self._row.entry_vm, self._row.incarnation)
        current = yield from self._store.read(key)
        if current is not None:
            yield from self._store.transact(
                [RowWrite(key=key, expected_version=current.version, record=None)]
            )

    def _apply_head(self) -> Procedure[RowVersion]:
        head = yield from self._read_head()
        if self._configuration.is_behind(_generation_of(head)):
            stored = yield from load_generation(self._store, head)
            self._configuration.apply(stored.fleet)
        return _version_of(head)

    def _read_head(self) -> Procedure[VersionedRow | None]:
        head = yield from self._store.read(HEAD_KEY)
        # Read after the row: an observation must not start before the commit.
        now_s = yield from self._store.now_s()
        self._head_observer.record_head(_generation_of(head), now_s)
        return head

    def _is_renewal_due(self, now_s: float) -> bool:
        is_row_current = self._row.applied_generation == self.row.applied_generation
        return not is_row_current or self._configuration.lease.is_due(now_s)

    def _renew(self, head_version: RowVersion) -> Procedure[bool]:
        """Write the row; return False if it or the head changed meanwhile."""
        row = self.row
        now_s = yield from self._store.now_s()
        renewal = self._configuration.lease.start_renewal(now_s, row.config_lease_s)
        if not (yield from self._write_row(row, head_version)):
            return False
        self._configuration.lease.confirm(renewal.number)
        self._row = row
        return True

    def _write_row(self, row: EntryVmRow, head_version: RowVersion) -> Procedure[bool]:
        """Write a membership row on condition that the head is at `head_version`.

        A renewal that is delayed beyond the commit of a newer generation fails, so
        no lease is extended under a generation that has been superseded.
        """
        key = entry_vm_key(row.entry_vm, row.incarnation)
        current = yield from self._store.read(key)
        outcome = yield from self._store.transact(
            [
                RowWrite(key=key, expected_version=_version_of(current), record=row),
                RowCheck(key=HEAD_KEY, expected_version=head_version),
            ]
        )
        return outcome.is_applied


def _version_of(row: VersionedRow | None) -> RowVersion:
    return ABSENT if row is None else row.version


def _generation_of(head: VersionedRow | None) -> Generation:
    if head is None or not isinstance(head.record, HeadRow):
        return FIRST_GENERATION
    return head.record.generation
