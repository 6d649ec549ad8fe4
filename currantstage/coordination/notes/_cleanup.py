"""The duty that deletes old generations and the rows of entry VMs that are gone."""

from __future__ import annotations

from typing import TYPE_CHECKING

from currantstage.coordination.notes._note_commit import (
    GENERATION_PREFIX,
    generation_of_object,
)
from currantstage.coordination.store._lease_time import observer_wait_s
from currantstage.coordination.store._row_observer import RowObserver
from currantstage.state import (
    ACCEPTED_KEY,
    ENTRY_VM_PREFIX,
    AcceptedRow,
    DutyKind,
    EntryVmRow,
    NoteRow,
    RowWrite,
    note_key,
)

if TYPE_CHECKING:
    from currantstage.coordination.store._duty_lease import DutyGrant
    from currantstage.coordination.store._procedures import Procedure
    from currantstage.coordination.store._store_access import StoreAccess
    from currantstage.state import ObjectName, VersionedRow

#: Pause between two runs, in seconds.
CLEANUP_INTERVAL_S = 30.0
#: Time for which the row of a dead entry VM stays visible to operators, in seconds.
REMOVAL_DELAY_S = 60.0
#: Generations that are kept; a note's identifier is remembered as long.
KEPT_GENERATIONS = 2_000
#: Objects that one run deletes at most.
MAX_DELETIONS_PER_RUN = 50


class Cleanup:
    """Implements `Duty`.

    Parameters
    ----------
    store : StoreAccess
    """

    kind = DutyKind.CLEANUP
    interval_s = CLEANUP_INTERVAL_S

    def __init__(self, store: StoreAccess) -> None:
        self._store = store
        self._observer = RowObserver()

    def step(self, grant: DutyGrant) -> Procedure[None]:
        """Delete what nobody needs any more."""
        yield from self._delete_dead_rows(grant)
        yield from self._delete_old_generations(grant)

    def _delete_dead_rows(self, grant: DutyGrant) -> Procedure[None]:
        """Delete rows whose lease has certainly lapsed.

        The deletion names the version that was watched, so it fails when the entry
        VM has renewed meanwhile; a renewal that is still on its way fails after it.
        """
        rows = yield from self._store.scan(ENTRY_VM_PREFIX)
        now_s = yield from self._store.now_s()
        self._observer.forget_all_but(row.key for row in rows)
        dead = [row for row in rows if self._is_dead(row, now_s)]
        for row in dead:
            yield from self._delete_row(grant, row)

    def _is_dead(self, row: VersionedRow, now_s: float) -> bool:
        if not isinstance(row.record, EntryVmRow):
            return False
        lapse_s = observer_wait_s(row.record.config_lease_s)
        return self._observer.unchanged_s(row, now_s) >= lapse_s + REMOVAL_DELAY_S

    def _delete_row(self, grant: DutyGrant, row: VersionedRow) -> Procedure[None]:
        deletion = RowWrite(key=row.key, expected_version=row.version, record=None)
        yield from self._store.transact(grant.guard([deletion]))

    def _delete_old_generations(self, grant: DutyGrant) -> Procedure[None]:
        accepted = yield from self._store.read(ACCEPTED_KEY)
        if accepted is None or not isinstance(accepted.record, AcceptedRow):
            return
        oldest_kept = accepted.record.generation - KEPT_GENERATIONS
        names = yield from self._store.list_objects(GENERATION_PREFIX)
        old = [name for name in names if generation_of_object(name) < oldest_kept]
        for name in old[:MAX_DELETIONS_PER_RUN]:
            yield from self._delete_generation(grant, name)

    def _delete_generation(self, grant: DutyGrant, name: ObjectName) -> Procedure[None]:
        """Delete the note's row first: a run that ends in between is repeated."""
        stored = yield from self._store.get_object(name)
        if stored is not None:
            row = yield from self._store.read(note_key(stored.note.note_id))
            # The object of an overtaken commit shares no row with the one that won.
            if (
                row is not None
                and isinstance(row.record, NoteRow)
                and row.record.object_name == name
            ):
                yield from self._delete_row(grant, row)
        yield from self._store.delete_object(name)
