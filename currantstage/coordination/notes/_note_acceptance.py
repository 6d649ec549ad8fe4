"""Decide whether a committed generation is in force at every entry VM."""

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
    from currantstage.coordination.membership._head_watch import HeadWatch
    from currantstage.coordination.store._procedures import Procedure
    from currantstage.coordination.store._store_access import StoreAccess
    from currantstage.state import Fleet, VersionedRow


class UpperLimitCheck(Protocol):
    """Tells which teams still hold more than their upper limit allows."""

    def teams_over_limit(self, fleet: Fleet) -> Procedure[tuple[TeamId, ...]]:
        """Return the teams whose allotments add up to more than `fleet` allows."""


@dataclass(frozen=True, slots=True)
class NoteProgress:
    """How far a committed generation has come.

    Parameters
    ----------
    generation : Generation
    is_accepted : bool
        Whether the generation is in force everywhere.
    waiting_for : tuple of EntryVmId
        Entry VMs that have not applied it and may still hold their lease.
    waiting_for_teams : tuple of TeamId
        Teams that still hold more than a lowered upper limit.
    longest_wait_s : float or None
        Bound on the wait for those entry VMs, in seconds; None when not known yet.
    """

    generation: Generation
    is_accepted: bool
    waiting_for: tuple[EntryVmId, ...] = ()
    waiting_for_teams: tuple[TeamId, ...] = ()
    longest_wait_s: float | None = None


class Acceptance:
    """Decides on acceptance from the rows; any entry VM can do it.

    Parameters
    ----------
    store : StoreAccess
    configuration : Configuration
    watch : HeadWatch
    limits : UpperLimitCheck or None
        None where no upper limit is divided among entry VMs.
    """

    def __init__(
        self,
        store: StoreAccess,
        configuration: Configuration,
        watch: HeadWatch,
        limits: UpperLimitCheck | None = None,
    ) -> None:
        self._store = store
        self._configuration = configuration
        self._watch = watch
        self._limits = limits

    def progress(self, generation: Generation) -> Procedure[NoteProgress]:
        """Return how far `generation` has come, and record its acceptance.

        Raises `StoreAwayError` and `WriteUncertainError`; nothing is accepted then.
        """
        accepted = yield from self._store.read(ACCEPTED_KEY)
        if _accepted_generation(accepted) >= generation:
            return NoteProgress(generation, is_accepted=True)
        if self._configuration.lacks(generation):
            # Upper limits would be judged by an older fleet than the note's.
            return NoteProgress(generation, is_accepted=False)
        waiting = yield from self._find_waiting(generation)
        if waiting.waiting_for or waiting.waiting_for_teams:
            return waiting
        is_recorded = yield from self._record(accepted, generation)
        return NoteProgress(generation, is_accepted=is_recorded)

    def _find_waiting(self, generation: Generation) -> Procedure[NoteProgress]:
        rows = yield from self._store.scan(ENTRY_VM_PREFIX)
        now_s = yield from self._store.now_s()
        late = [
            row.record
            for row in rows
            if isinstance(row.record, EntryVmRow)
            and row.record.applied_generation < generation
            and not self._watch.has_lapsed(row.record, now_s)
        ]
        wait_s = max((self._watch.wait_s(row, now_s) for row in late), default=0.0)
        return NoteProgress(
            generation,
            is_accepted=False,
            waiting_for=tuple(sorted({row.entry_vm for row in late})),
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
        """Record the acceptance, so that no entry VM ever says otherwise."""
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
