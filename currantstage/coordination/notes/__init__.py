"""Release notes: validation, commit, acceptance and history."""

from __future__ import annotations

from currantstage.coordination.notes._cleanup import REMOVAL_DELAY_S, Cleanup
from currantstage.coordination.notes._fleet_check import is_identifier
from currantstage.coordination.notes._note_acceptance import Acceptance, NoteProgress
from currantstage.coordination.notes._note_check import check_note
from currantstage.coordination.notes._note_commit import (
    Committed,
    NoteConflict,
    NoteIdTaken,
    NoteInvalid,
    NoteRefusal,
    check_against_head,
    commit_note,
    load_head,
)
from currantstage.coordination.notes._note_history import NoteChanges, explain_note
from currantstage.coordination.notes._note_items import NoteItem, NoteVerb, diff_fleets

__all__ = [
    "Acceptance",
    "Cleanup",
    "Committed",
    "NoteChanges",
    "NoteIdTaken",
    "NoteInvalid",
    "NoteItem",
    "NoteConflict",
    "NoteProgress",
    "NoteRefusal",
    "NoteVerb",
    "REMOVAL_DELAY_S",
    "check_against_head",
    "check_note",
    "commit_note",
    "diff_fleets",
    "explain_note",
    "is_identifier",
    "load_head",
]
