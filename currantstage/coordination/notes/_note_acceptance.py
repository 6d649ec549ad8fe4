"""Acceptance: whether a committed generation is in force at every entry VM."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from currantstage.state import (
    ABSENT,
    ACCEPTED_KEY,
    ENTRY_VM_PREFIX,
    AcceptedRow,
    EntryVmId,
    EntryVmRow,
    Generation,
    RowWrite,
    TeamId,
)

if TYPE_CHECKING:
    from currantstage.coordination.membership._configuration import Configuration
    from currantstage.coordination.membership._head_observer import HeadObserver
    from currantstage.coordination.store._procedures import Procedure
    from currantstage.coordination.store._store_access import StoreAccess
    from currantstage.state import Fleet, VersionedRow


class UpperLimitCheck(Protocol):
    """Finds teams that still hold more than their upper limit."""

    def teams_over_limit(self, fleet: Fleet) -> Procedure[tuple[TeamId, ...]]:
        """Return the teams whose allotments exceed their upper limit in `fleet`."""


@dataclass(frozen=True, slots=True)
class NoteProgress:
    """Progress of a committed generation towards acceptance.

    Parameters
    ----------
    generation : Generation
    is_accepted : bool
        Whether the generation is in force everywhere.
    waiting_for : tuple of EntryVmId
        Entry VMs that have not applied it and may still hold a lease.
    waiting_for_teams : tuple of TeamId
        Teams that still hold more than a reduced upper limit.
    longest_wait_s : float or None
        Upper bound of the wait for those entry VMs, in seconds; None if not known
        yet.
    """

    generation: Generation
    is_accepted: bool
    waiting_for: tuple[EntryVmId, ...] = ()
    waiting_for_teams: tuple[TeamId, ...] = ()
    longest_wait_s: float | None = None


class Acceptance:
    """Decides on acceptance from the stored rows, at any entry VM.

    Parameters
    ----------
    store : StoreAccess
    configuration : Configuration
    head_observer : HeadObserver
    limits : UpperLimitCheck or None
        None if no upper limits are divided among entry VMs.
    """

    def __init__(
        self,
        store: StoreAccess,
        configuration: Configuration,
        head_observer: HeadObserver,
        limits: UpperLimitCheck | None = None,
    ) -> None:
        self._store = store
        self._configuration = configuration
        self._head_observer = head_observer
        self._limits = limits

    def progress(self, generation: Generation) -> Procedure[NoteProgress]:
        """Return the progress of `generation`, and record its acceptance if complete.

        Raises `StoreUnreachableError` and `WriteUncertainError`; the generation is
        not reported as accepted then.
        """
        accepted = yield from self._store.read(ACCEPTED_KEY)
        if _accepted_generation(accepted) >= generation:
            return NoteProgress(generation, is_accepted=True)
        if self._configuration.is_behind(generation):
            # Upper limits would be checked against a fleet older than the note's.
            return NoteProgress(generation, is_accepted=False)
        waiting = yield from self._find_waiting(generation)
        if waiting.waiting_for or waiting.waiting_for_teams:
            return waiting
        is_recorded = yield from self._record(accepted, generation)
        return NoteProgress(generation, is_accepted=is_recorded)

    def _find_waiting(self, generation: Generation) -> Procedure[NoteProgress]:
        rows = yield from self._store.scan(ENTRY_VM_PREFIX)
        now_s = yield from self._store.now_s()
        pending = [
            row.record
            for row in rows
            if isinstance(row.record, EntryVmRow)
            and row.record.applied_generation < generation
            and not self._head_observer.has_expired(row.record, now_s)
        ]
        wait_s = max(
            (self._head_observer.wait_s(row, now_s) for row in pending), default=0.0
        )
        return NoteProgress(
            generation,
            is_accepted=False,
            waiting_for=tuple(sorted({row.entry_vm for row in pending})),
            waiting_for_teams=(yield from self._teams_over_limit()),
            longest_wait_s=None if wait_s == float("inf") else wait_s,
        )

    def _teams_over_limit(self) -> Procedure[tuple[TeamId, ...]]:
        if self._limits is None:
            return ()
        return (yield from self._limits.teams_over_limit(self._configuration.fleet))

    def _record(
        self, accepted: VersionedRow | None, generation: Generation
    ) -> Procedure[bool]:
        """Record the acceptance, so that every entry VM reports it from now on."""
        outcome = yield from self._store.transact(
            [
                RowWrite(
                    key=ACCEPTED_KEY,
                    expected_version=ABSENT if accepted is None else accepted.version,
                    record=AcceptedRow(generation=generation),
                )
            ]
        )
        return outcome.is_applied


def _accepted_generation(row: VersionedRow | None) -> Generation:
    if row is None or not isinstance(row.record, AcceptedRow):
        return Generation(0)
    return row.record.generation
