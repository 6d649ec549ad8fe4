"""Crashes of workers under tasks, and the tasks that are tried alone for them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec.structs import replace

from currantstage.state.jobs import CrashEvidence, TaskPhase

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from currantstage.coordination.jobs._task_record import TaskRecord
    from currantstage.state.jobs import CrashRecord, RunNumber, TaskKey


class CrashTable:
    """Counts the crashes under each task; each change is to be stored with the task.

    Parameters
    ----------
    on_changed : callable
        Called with a task whose crashes have changed.
    """

    def __init__(self, on_changed: Callable[[TaskRecord], None]) -> None:
        self._on_changed = on_changed
        self._trials: dict[TaskKey, TaskRecord] = {}

    def restore(self, task: TaskRecord, crashes: Iterable[CrashRecord]) -> None:
        """Apply the stored crashes of a task."""
        task.crashes = {each.run: each for each in crashes}
        self._note_trial(task)

    def add(self, task: TaskRecord, crash: CrashRecord) -> None:
        """Count a run whose worker crashed."""
        task.crashes[crash.run] = crash
        self._note_trial(task)
        self._on_changed(task)

    def confirm(self, task: TaskRecord, run: RunNumber) -> bool:
        """Record that a silent worker had crashed; return whether that was open."""
        crash = task.crashes.get(run)
        if crash is None or crash.is_crash:
            return False
        self.add(task, replace(crash, evidence=CrashEvidence.LATE_END))
        return True

    def discard(self, task: TaskRecord, run: RunNumber) -> None:
        """Take back a crash, if it was counted: the worker has turned out to live."""
        if task.crashes.pop(run, None) is not None:
            self._on_changed(task)

    def clear(self, task: TaskRecord) -> None:
        """Take back all crashes under a task that is at work on a worker."""
        if task.crashes:
            task.crashes.clear()
            self._on_changed(task)

    def waiting_trials(self) -> list[TaskRecord]:
        """Return the waiting tasks that are to be tried alone on a worker."""
        self._trials = {
            key: task
            for key, task in self._trials.items()
            if task.needs_trial and not task.step.job.state.is_final
        }
        return [
            task
            for task in self._trials.values()
            if task.phase is TaskPhase.WAITING and task.step.is_ready
        ]

    def _note_trial(self, task: TaskRecord) -> None:
        if task.needs_trial:
            self._trials[task.key] = task
