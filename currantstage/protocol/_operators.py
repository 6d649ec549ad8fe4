"""Messages between the operators' command line client and the daemon."""

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

#: Header with the operators' key.
OPERATOR_KEY_HEADER = "currantstage-operator-key"


class NoteState(Enum):
    """Progress of a release note."""

    #: Validation found no fault; nothing was changed.
    VALID = "valid"
    INVALID = "invalid"
    #: Another note was committed first; nothing was changed.
    CONFLICT = "overtaken"
    ID_TAKEN = "id-taken"
    COMMITTED = "committed"
    ACCEPTED = "accepted"


class NoteReport(Struct, frozen=True, kw_only=True):
    """Response to the submission, check or status query of a note.

    Parameters
    ----------
    state : NoteState
    generation : Generation or None
        The generation that the note created, or the one that was committed first.
    waiting_for : tuple of EntryVmId
        Entry VMs that have not applied the note and may still hold a lease.
    waiting_for_teams : tuple of TeamId
        Teams that still hold more than a reduced upper limit.
    longest_wait_s : float or None
        Upper bound of the wait for the entry VMs, in seconds.
    faults : tuple of str
    """

    state: NoteState
    generation: Generation | None = None
    waiting_for: tuple[EntryVmId, ...] = ()
    waiting_for_teams: tuple[TeamId, ...] = ()
    longest_wait_s: float | None = None
    faults: tuple[str, ...] = ()


class NoteDiff(Struct, frozen=True, kw_only=True):
    """Response with the changes made by a note."""

    changes: NoteChanges


class OperatorError(Struct, frozen=True, kw_only=True):
    """Response body of a failed operators' call."""

    error: str


def report_progress(progress: NoteProgress) -> NoteReport:
    """Return the report of a committed note with its progress."""
    state = NoteState.ACCEPTED if progress.is_accepted else NoteState.COMMITTED
    return NoteReport(
        state=state,
        generation=progress.generation,
        waiting_for=progress.waiting_for,
        waiting_for_teams=progress.waiting_for_teams,
        longest_wait_s=progress.longest_wait_s,
    )


def report_committed(committed: Committed) -> NoteReport:
    """Return the report of a committed note whose progress is not known yet."""
    return NoteReport(state=NoteState.COMMITTED, generation=committed.generation)


def report_refusal(refusal: NoteRefusal) -> NoteReport:
    """Return the report of a note that was rejected."""
    if isinstance(refusal, NoteInvalid):
        faults = tuple(f"{fault.location}: {fault.reason}" for fault in refusal.faults)
        return NoteReport(state=NoteState.INVALID, faults=faults)
    if isinstance(refusal, NoteConflict):
        return NoteReport(
            state=NoteState.CONFLICT,
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
    """Encode a message as JSON."""
    return msgspec.json.encode(message)
