"""The duty that deletes old generations and the rows of stopped entry VMs."""

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

#: Interval between two runs, in seconds.
CLEANUP_INTERVAL_S = 30.0
#: Time for which an expired row stays visible to operators, in seconds.
REMOVAL_DELAY_S = 60.0
#: Generations that are kept; resubmitted notes are recognised for as long.
MAX_KEPT_GENERATIONS = 2_000
#: Maximum number of objects that one run deletes.
MAX_DELETIONS_PER_RUN = 50


class Cleanup:
    """Deletes expired rows and old generations; implements `Duty`.

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
        """Delete the rows and generations that are no longer needed."""
        yield from self._delete_expired_rows(grant)
        yield from self._delete_old_generations(grant)

    def _delete_expired_rows(self, grant: DutyGrant) -> Procedure[None]:
        """Delete rows whose lease has certainly expired.

        The deletion is conditional on the version that was observed, so it fails if
        the entry VM has renewed its lease meanwhile. A renewal that arrives after the
        deletion fails.
        """
        rows = yield from self._store.scan(ENTRY_VM_PREFIX)
        now_s = yield from self._store.now_s()
        self._observer.retain_only(row.key for row in rows)
        expired = [row for row in rows if self._is_expired(row, now_s)]
        for row in expired:
            yield from self._delete_row(grant, row)

    def _is_expired(self, row: VersionedRow, now_s: float) -> bool:
        if not isinstance(row.record, EntryVmRow):
            return False
        wait_s = observer_wait_s(row.record.config_lease_s)
        return self._observer.unchanged_s(row, now_s) >= wait_s + REMOVAL_DELAY_S

    def _delete_row(self, grant: DutyGrant, row: VersionedRow) -> Procedure[None]:
        deletion = RowWrite(key=row.key, expected_version=row.version, record=None)
        yield from self._store.transact(grant.guard([deletion]))

    def _delete_old_generations(self, grant: DutyGrant) -> Procedure[None]:
        accepted = yield from self._store.read(ACCEPTED_KEY)
        if accepted is None or not isinstance(accepted.record, AcceptedRow):
            return
        oldest_kept = accepted.record.generation - MAX_KEPT_GENERATIONS
        names = yield from self._store.list_objects(GENERATION_PREFIX)
        old = [name for name in names if generation_of_object(name) < oldest_kept]
        for name in old[:MAX_DELETIONS_PER_RUN]:
            yield from self._delete_generation(grant, name)

    def _delete_generation(self, grant: DutyGrant, name: ObjectName) -> Procedure[None]:
        """Delete a generation's object and the row of its note.

        The row is deleted first, so that a run that is interrupted in between is
        repeated.
        """
        stored = yield from self._store.get_object(name)
        if stored is not None:
            row = yield from self._store.read(note_key(stored.note.note_id))
            # A commit that lost a race has no row: the row of its note, if any, names
            # the object of another commit.
            if (
                row is not None
                and isinstance(row.record, NoteRow)
                and row.record.object_name == name
            ):
                yield from self._delete_row(grant, row)
        yield from self._store.delete_object(name)
