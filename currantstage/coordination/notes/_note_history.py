"""History of committed notes, from the stored generations."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from currantstage.coordination.notes._note_commit import load_generation
from currantstage.coordination.notes._note_items import FieldChange, diff_fleets
from currantstage.state import HEAD_KEY, Fleet, Generation, NoteId, NoteRow, note_key

if TYPE_CHECKING:
    from currantstage.coordination.store._procedures import Procedure
    from currantstage.coordination.store._store_access import StoreAccess
    from currantstage.state import StoredGeneration


@dataclass(frozen=True, slots=True)
class NoteChanges:
    """The changes that one note made.

    Parameters
    ----------
    note_id : NoteId
    generation : Generation
    changes : tuple of FieldChange
    config_lease_s : tuple of float
        Length of the configuration lease before and after the note, in seconds.
    """

    note_id: NoteId
    generation: Generation
    changes: tuple[FieldChange, ...]
    config_lease_s: tuple[float, float]


def explain_note(
    store: StoreAccess, note_id: NoteId | None
) -> Procedure[NoteChanges | None]:
    """Return the changes of a note, or of the newest note if `note_id` is None.

    Returns None if there is no such note or its generation has been deleted. Raises
    `StoreUnreachableError`.
    """
    stored = yield from _load_note(store, note_id)
    if stored is None:
        return None
    before = Fleet()
    if stored.previous_object is not None:
        previous = yield from store.get_object(stored.previous_object)
        if previous is None:
            return None
        before = previous.fleet
    return NoteChanges(
        stored.note.note_id,
        stored.fleet.generation,
        tuple(diff_fleets(before, stored.fleet)),
        (before.config_lease_s, stored.fleet.config_lease_s),
    )


def _load_note(
    store: StoreAccess, note_id: NoteId | None
) -> Procedure[StoredGeneration | None]:
    if note_id is None:
        head = yield from store.read(HEAD_KEY)
        return None if head is None else (yield from load_generation(store, head))
    row = yield from store.read(note_key(note_id))
    if row is None or not isinstance(row.record, NoteRow):
        return None
    return (yield from store.get_object(row.record.object_name))
