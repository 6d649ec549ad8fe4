"""Membership of an entry VM: its row, which is also its configuration lease."""

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
    from currantstage.coordination.membership._head_watch import HeadWatch
    from currantstage.coordination.store._procedures import Procedure
    from currantstage.coordination.store._store_access import StoreAccess
    from currantstage.state import RowVersion, VersionedRow

#: Tries to renew while notes are being committed at the same time.
MAX_RENEWAL_TRIES = 3


@dataclass(frozen=True, slots=True)
class RenewalRequest:
    """Asks a peer to renew a lease whose holder can't reach the table.

    Parameters
    ----------
    number : RenewalNumber
        The holder's number of this renewal.
    row : EntryVmRow
        The row to write.
    """

    number: RenewalNumber
    row: EntryVmRow


@dataclass(frozen=True, slots=True)
class RenewalOutcome:
    """What became of a renewal on a peer's behalf.

    Parameters
    ----------
    incarnation : IncarnationId
        Start of the holder's process that asked; numbers are its own.
    number : RenewalNumber
    is_applied : bool
    head_generation : Generation
        The head that the table showed.
    """

    incarnation: IncarnationId
    number: RenewalNumber
    is_applied: bool
    head_generation: Generation


class Membership:
    """Follows the head and keeps this entry VM's row and lease.

    Parameters
    ----------
    store : StoreAccess
    configuration : Configuration
    watch : HeadWatch
    row : EntryVmRow
        The row's first content, with this start's new incarnation.
    """

    def __init__(
        self,
        store: StoreAccess,
        configuration: Configuration,
        watch: HeadWatch,
        row: EntryVmRow,
    ) -> None:
        self._store = store
        self._configuration = configuration
        self._watch = watch
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
        """Apply a newer generation when there is one, and renew the lease when due.

        Returns
        -------
        Generation
            The generation in force. Raises `StoreAwayError` and
            `WriteUncertainError`; the next call resumes.
        """
        for _ in range(MAX_RENEWAL_TRIES):
            head_version = yield from self._apply_head()
            now_s = yield from self._store.now_s()
            if self._configuration.lease.is_ended or not self._is_renewal_due(now_s):
                break
            if (yield from self._renew(head_version)):
                break
        return self._configuration.fleet.generation

    def request_renewal(self, now_s: float) -> RenewalRequest:
        """Return the request by which a peer renews the lease from now."""
        row = self.row
        renewal = self._configuration.lease.send(now_s, row.config_lease_s)
        return RenewalRequest(renewal.number, row)

    def take_outcome(self, outcome: RenewalOutcome) -> None:
        """Extend the lease when a peer has renewed it."""
        is_own = outcome.incarnation == self._row.incarnation
        if is_own and outcome.is_applied:
            self._configuration.lease.confirm(outcome.number)

    def renew_for(self, request: RenewalRequest) -> Procedure[RenewalOutcome]:
        """Renew the lease of a peer that can't reach the table.

        Raises `StoreAwayError` and `WriteUncertainError`; the peer then gets no
        answer, and its lease is not extended.
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
        """Give up the lease for good, then delete this start's row.

        In this order: nobody waits for an entry VM without a row.
        """
        self._configuration.lease.end()
        key = entry_vm_key(self._row.entry_vm, self._row.incarnation)
        current = yield from self._store.read(key)
        if current is not None:
            yield from self._store.transact(
                [RowWrite(key=key, expected_version=current.version, record=None)]
            )

    def _apply_head(self) -> Procedure[RowVersion]:
        head = yield from self._read_head()
        if self._configuration.lacks(_generation_of(head)):
            stored = yield from load_generation(self._store, head)
            self._configuration.apply(stored.fleet)
        return _version_of(head)

    def _read_head(self) -> Procedure[VersionedRow | None]:
        head = yield from self._store.read(HEAD_KEY)
        # Read after the row: a sighting must not begin before the commit.
        now_s = yield from self._store.now_s()
        self._watch.see(_generation_of(head), now_s)
        return head

    def _is_renewal_due(self, now_s: float) -> bool:
        is_stated = self._row.applied_generation == self.row.applied_generation
        return not is_stated or self._configuration.lease.is_due(now_s)

    def _renew(self, head_version: RowVersion) -> Procedure[bool]:
        """Write the row; return False when it or the head changed meanwhile."""
        row = self.row
        now_s = yield from self._store.now_s()
        renewal = self._configuration.lease.send(now_s, row.config_lease_s)
        if not (yield from self._write_row(row, head_version)):
            return False
        self._configuration.lease.confirm(renewal.number)
        self._row = row
        return True

    def _write_row(self, row: EntryVmRow, head_version: RowVersion) -> Procedure[bool]:
        """Write a membership row while the head still has `head_version`.

        A renewal that is delayed past the commit of a newer generation then fails,
        so nobody extends a lease on a generation that is being replaced.
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
