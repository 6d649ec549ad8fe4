"""Messages between the operators' command line and the daemon."""

from __future__ import annotations

from enum import Enum

import msgspec
from msgspec import Struct

from currantstage.coordination.notes import (
    Committed,
    NoteChanges,
    NoteConflict,
    NoteIdTaken,
    NoteInvalid,
    NoteProgress,
    NoteRefusal,
)
from currantstage.state import EntryVmId, Generation, TeamId

#: Header that carries the operators' key.
OPERATOR_KEY_HEADER = "currantstage-operator-key"


class NoteState(Enum):
    """How far a release note has come."""

    #: A check found no fault; nothing was changed.
    VALID = "valid"
    INVALID = "invalid"
    OVERTAKEN = "overtaken"
    ID_TAKEN = "id-taken"
    COMMITTED = "committed"
    ACCEPTED = "accepted"


class NoteReport(Struct, frozen=True, kw_only=True):
    """Answer to a submission or to a question about a note.

    Parameters
    ----------
    state : NoteState
    generation : Generation or None
        The generation that the note made, or the one that overtook it.
    waiting_for : tuple of EntryVmId
        Entry VMs in which the note is not in force yet.
    waiting_for_teams : tuple of TeamId
        Teams that still hold more than a lowered upper limit.
    longest_wait_s : float or None
        Bound on the wait for the entry VMs, in seconds.
    faults : tuple of str
    """

    state: NoteState
    generation: Generation | None = None
    waiting_for: tuple[EntryVmId, ...] = ()
    waiting_for_teams: tuple[TeamId, ...] = ()
    longest_wait_s: float | None = None
    faults: tuple[str, ...] = ()


class NoteDiff(Struct, frozen=True, kw_only=True):
    """Answer to a question about what a note changed."""

    changes: NoteChanges


class OperatorError(Struct, frozen=True, kw_only=True):
    """Body of an operators' call that failed."""

    error: str


def report_progress(progress: NoteProgress) -> NoteReport:
    """Return the report of a committed note."""
    state = NoteState.ACCEPTED if progress.is_accepted else NoteState.COMMITTED
    return NoteReport(
        state=state,
        generation=progress.generation,
        waiting_for=progress.waiting_for,
        waiting_for_teams=progress.waiting_for_teams,
        longest_wait_s=progress.longest_wait_s,
    )


def report_committed(committed: Committed) -> NoteReport:
    """Return the report of a note whose progress is not known yet."""
    return NoteReport(state=NoteState.COMMITTED, generation=committed.generation)


def report_refusal(refusal: NoteRefusal) -> NoteReport:
    """Return the report of a note that changed nothing."""
    if isinstance(refusal, NoteInvalid):
        faults = tuple(f"{fault.location}: {fault.reason}" for fault in refusal.faults)
        return NoteReport(state=NoteState.INVALID, faults=faults)
    if isinstance(refusal, NoteConflict):
        return NoteReport(
            state=NoteState.OVERTAKEN,
            generation=refusal.generation,
            faults=(
                f"note {refusal.note_id} was committed first",
                *(f"it has: {item}" for item in refusal.changed_items),
            ),
        )
    assert isinstance(refusal, NoteIdTaken)
    return NoteReport(
        state=NoteState.ID_TAKEN,
        generation=refusal.generation,
        faults=("another note has this id",),
    )


def encode_message(message: Struct) -> bytes:
    """Return the JSON form of a message."""
    return msgspec.json.encode(message)
