"""Serve operators' calls: submit and check notes, and report their progress."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

from returns.result import Failure

from currantstage.coordination import CoordinationError
from currantstage.coordination.notes import (
    check_against_head,
    commit_note,
    explain_note,
)
from currantstage.protocol import (
    NoteDiff,
    NoteReport,
    NoteState,
    NoteSyntaxError,
    note_digest,
    parse_note,
    report_committed,
    report_progress,
    report_refusal,
)
from currantstage.state import NoteRow, note_key
from currantstage.transport import OperatorCallError

if TYPE_CHECKING:
    from collections.abc import Callable

    from currantstage.application._procedure_runner import ProcedureRunner
    from currantstage.coordination.membership import Configuration
    from currantstage.coordination.notes import Acceptance
    from currantstage.coordination.store import Procedure, StoreAccess
    from currantstage.state import Fleet, NoteId


T = TypeVar("T")


class NoteService:
    """Implements `OperatorService`.

    Parameters
    ----------
    runner : ProcedureRunner
    store : StoreAccess
    configuration : Configuration
    acceptance : Acceptance
    on_commit : callable
        Called when this daemon has committed a note, so that it is applied at once.
    """

    def __init__(
        self,
        runner: ProcedureRunner,
        store: StoreAccess,
        configuration: Configuration,
        acceptance: Acceptance,
        on_commit: Callable[[], None],
    ) -> None:
        self._runner = runner
        self._store = store
        self._configuration = configuration
        self._acceptance = acceptance
        self._on_commit = on_commit

    async def submit_note(self, text: str) -> NoteReport:
        """Commit the note in `text`, or report why nothing was changed."""
        try:
            note = parse_note(text)
        except NoteSyntaxError as error:
            return NoteReport(state=NoteState.INVALID, faults=error.faults)
        result = await self._run(commit_note(self._store, note, note_digest(note)))
        if isinstance(result, Failure):
            return report_refusal(result.failure())
        self._on_commit()
        return report_committed(result.unwrap())

    async def check_note(self, text: str) -> NoteReport:
        """Check the note in `text` against the head without changing anything."""
        try:
            note = parse_note(text)
        except NoteSyntaxError as error:
            return NoteReport(state=NoteState.INVALID, faults=error.faults)
        result = await self._run(check_against_head(self._store, note))
        if isinstance(result, Failure):
            return report_refusal(result.failure())
        return NoteReport(state=NoteState.VALID, generation=result.unwrap())

    async def note_diff(self, note_id: NoteId | None) -> NoteDiff | None:
        """Return what a note changed; if `note_id` is None, the newest note."""
        changes = await self._run(explain_note(self._store, note_id))
        return None if changes is None else NoteDiff(changes=changes)

    async def note_status(self, note_id: NoteId) -> NoteReport | None:
        """Return the progress of a note, or None if the note is unknown."""
        row = await self._run(self._store.read(note_key(note_id)))
        if row is None or not isinstance(row.record, NoteRow):
            return None
        progress = self._acceptance.progress(row.record.generation)
        return report_progress(await self._run(progress))

    async def fleet_in_force(self) -> Fleet:
        """Return the fleet in force at this entry VM."""
        return self._configuration.fleet

    async def _run(self, procedure: Procedure[T]) -> T:
        try:
            return await self._runner.run(procedure)
        except CoordinationError as error:
            raise OperatorCallError(f"{type(error).__name__}: {error}") from error
