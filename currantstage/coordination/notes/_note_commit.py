"""Commit of release notes by a compare-and-set of the head row."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

from returns.result import Failure, Result, Success

from currantstage.coordination._errors import StoreContentError, StoreUnreachableError
from currantstage.coordination.notes._note_check import NoteFault, check_note
from currantstage.coordination.notes._note_items import NoteItem, list_items
from currantstage.state import (
    ABSENT,
    HEAD_KEY,
    Fleet,
    Generation,
    HeadRow,
    NoteId,
    NoteRow,
    ObjectName,
    ReleaseNote,
    RowVersion,
    RowWrite,
    StoredGeneration,
    note_key,
)

if TYPE_CHECKING:
    from currantstage.coordination.store._procedures import Procedure
    from currantstage.coordination.store._store_access import StoreAccess
    from currantstage.state import VersionedRow


#: Prefix of the names of objects that hold generations.
GENERATION_PREFIX = "generation/"


@dataclass(frozen=True, slots=True)
class Committed:
    """The note created this generation, now or when it was first submitted."""

    generation: Generation


@dataclass(frozen=True, slots=True)
class NoteInvalid:
    """The note failed validation; nothing was changed."""

    faults: tuple[NoteFault, ...]


@dataclass(frozen=True, slots=True)
class NoteConflict:
    """Another note was committed first; nothing was changed.

    Parameters
    ----------
    generation : Generation
        The generation that was committed first.
    note_id : NoteId
        The note that was committed first.
    changed_items : tuple of NoteItem
        Items that this other note adds, changes or withdraws; empty if its object
        can't be read.
    """

    generation: Generation
    note_id: NoteId
    changed_items: tuple[NoteItem, ...]


@dataclass(frozen=True, slots=True)
class NoteIdTaken:
    """A different note with the same identifier created this generation earlier."""

    generation: Generation


NoteRefusal: TypeAlias = NoteInvalid | NoteConflict | NoteIdTaken


@dataclass(frozen=True, slots=True)
class Head:
    """The newest committed generation.

    Parameters
    ----------
    version : RowVersion
        Version of the head row; ``ABSENT`` before the first note.
    fleet : Fleet
    object_name : ObjectName or None
    """

    version: RowVersion
    fleet: Fleet
    object_name: ObjectName | None


def load_generation(
    store: StoreAccess, head: VersionedRow | None
) -> Procedure[StoredGeneration]:
    """Load the object that a head row names.

    Raises
    ------
    StoreUnreachableError
        The platform's service does not reply.
    StoreContentError
        The head row names an object that does not exist.
    """
    if head is None or not isinstance(head.record, HeadRow):
        raise StoreContentError(f"row {HEAD_KEY} is absent or not a head row")
    stored = yield from store.get_object(head.record.object_name)
    if stored is None:
        raise StoreContentError(
            f"object {head.record.object_name}, named by the head row, does not exist"
        )
    return stored


def generation_of_object(name: ObjectName) -> Generation:
    """Return the generation in an object's name.

    >>> generation_of_object(ObjectName("generation/000000000012/5f"))
    12
    """
    return Generation(int(name.removeprefix(GENERATION_PREFIX).partition("/")[0]))


def load_head(store: StoreAccess) -> Procedure[Head]:
    """Load the head row and its fleet; raises the same errors as `load_generation`."""
    row = yield from store.read(HEAD_KEY)
    if row is None:
        return Head(ABSENT, Fleet(), None)
    stored = yield from load_generation(store, row)
    assert isinstance(row.record, HeadRow)
    return Head(row.version, stored.fleet, row.record.object_name)


def commit_note(
    store: StoreAccess, note: ReleaseNote, digest: str
) -> Procedure[Result[Committed, NoteRefusal]]:
    """Validate `note` against the head and commit it, or change nothing.

    Parameters
    ----------
    store : StoreAccess
    note : ReleaseNote
    digest : str
        Hash of the note's canonical encoding, which distinguishes a resubmission
        from a different note with the same identifier.
    """
    earlier = yield from _find_earlier_commit(store, note.note_id, digest)
    if earlier is not None:
        return earlier
    head = yield from load_head(store)
    checked = check_note(head.fleet, note)
    if isinstance(checked, Failure):
        return Failure(NoteInvalid(checked.failure()))
    fleet = checked.unwrap()
    # Concurrent commits create the same generation, so the name includes the attempt.
    name = ObjectName(
        f"{GENERATION_PREFIX}{fleet.generation:012d}/{store.new_attempt()}"
    )
    content = StoredGeneration(note=note, fleet=fleet, previous_object=head.object_name)
    yield from store.put_object(name, content)
    outcome = yield from store.transact(
        _commit_writes(head.version, fleet.generation, note.note_id, name, digest)
    )
    if outcome.is_applied:
        return Success(Committed(fleet.generation))
    return (yield from _describe_conflict(store, note.note_id, digest))


def check_against_head(
    store: StoreAccess, note: ReleaseNote
) -> Procedure[Result[Generation, NoteInvalid]]:
    """Validate `note` against the head and return the generation it would create."""
    head = yield from load_head(store)
    checked = check_note(head.fleet, note)
    if isinstance(checked, Failure):
        return Failure(NoteInvalid(checked.failure()))
    return Success(checked.unwrap().generation)


def _commit_writes(
    head_version: RowVersion,
    generation: Generation,
    note_id: NoteId,
    object_name: ObjectName,
    digest: str,
) -> tuple[RowWrite, ...]:
    # The note's own row comes first: it is never overwritten, so reading it back after
    # a lost reply shows reliably whether the commit took effect.
    return (
        RowWrite(
            key=note_key(note_id),
            expected_version=ABSENT,
            record=NoteRow(
                note_id=note_id,
                generation=generation,
                object_name=object_name,
                digest=digest,
            ),
        ),
        RowWrite(
            key=HEAD_KEY,
            expected_version=head_version,
            record=HeadRow(
                generation=generation, note_id=note_id, object_name=object_name
            ),
        ),
    )


def _find_earlier_commit(
    store: StoreAccess, note_id: NoteId, digest: str
) -> Procedure[Result[Committed, NoteRefusal] | None]:
    row = yield from store.read(note_key(note_id))
    if row is None or not isinstance(row.record, NoteRow):
        return None
    if row.record.digest != digest:
        return Failure(NoteIdTaken(row.record.generation))
    return Success(Committed(row.record.generation))


def _describe_conflict(
    store: StoreAccess, note_id: NoteId, digest: str
) -> Procedure[Result[Committed, NoteRefusal]]:
    earlier = yield from _find_earlier_commit(store, note_id, digest)
    if earlier is not None:
        return earlier
    row = yield from store.read(HEAD_KEY)
    if row is None or not isinstance(row.record, HeadRow):
        raise StoreContentError(f"row {HEAD_KEY} is absent after a conflict")
    try:
        stored = yield from load_generation(store, row)
        changed_items = tuple(list_items(stored.note))
    except StoreUnreachableError:
        changed_items = ()
    return Failure(
        NoteConflict(row.record.generation, row.record.note_id, changed_items)
    )
