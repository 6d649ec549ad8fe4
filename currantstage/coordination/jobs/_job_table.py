"""Jobs known to the scheduler: ready steps, ended jobs and unsaved progress."""

from __future__ import annotations

from typing import TYPE_CHECKING

from currantstage.coordination.jobs._crash_table import CrashTable
from currantstage.coordination.jobs._progress_pages import JobPages
from currantstage.coordination.jobs._records import JobRecord
from currantstage.coordination.jobs._unsaved_pages import UnsavedPages
from currantstage.state.jobs import JobState, TaskPhase

if TYPE_CHECKING:
    from currantstage.coordination.jobs._records import JobFailure, StepRecord
    from currantstage.coordination.jobs._task_record import TaskRecord
    from currantstage.state import QueueId
    from currantstage.state.jobs import (
        JobId,
        PageKey,
        RunNumber,
        StoredProgress,
        Submission,
        TaskKey,
        TaskProgress,
    )

#: Number of tasks of a job opened at once from which on its further occurrences are
#: left to the next pass.
MAX_OPENED_TASKS = 1000


class JobTable:
    """Jobs by id, and which of them have changed since they were last stored."""

    def __init__(self) -> None:
        self._jobs: dict[JobId, JobRecord] = {}
        #: Pages of progress to store.
        self.unsaved = UnsavedPages()
        self._open: dict[JobId, JobRecord] = {}
        self._scheduled: dict[JobId, JobRecord] = {}
        self._changed: dict[JobId, JobRecord] = {}
        #: Crashes of workers under tasks.
        self.crashes = CrashTable(self.mark_task_unsaved)
        self._unix_ms = 0

    def __len__(self) -> int:
        return len(self._jobs)

    def get(self, job: JobId) -> JobRecord | None:
        """Return the job of that id."""
        return self._jobs.get(job)

    def add(self, submission: Submission, accepted_s: float) -> JobRecord:
        """Return the record of a job, creating it if the job is new."""
        known = self._jobs.get(submission.job)
        if known is not None:
            return known
        record = JobRecord(submission, accepted_s=accepted_s)
        self._jobs[record.job] = record
        self._open[record.job] = record
        self._changed[record.job] = record
        if submission.schedule is None:
            self._open_occurrence(record, 0)
        else:
            self._scheduled[record.job] = record
        return record

    def restore(self, record: JobRecord, stored: StoredProgress) -> list[TaskRecord]:
        """Apply the stored progress of a job; return the tasks that were placed."""
        self._changed[record.job] = record
        head = stored.head
        if head is not None:
            record.state = record.stored_state = head.state
            record.is_started = head.is_started
            record.ended_unix_ms = head.ended_unix_ms
        if record.state.is_final:
            self._close(record)
            return []
        record.is_started = record.is_started or bool(stored.pages)
        record.pages = JobPages(record.job, stored.pages)
        placed = []
        for row in stored.rows():
            for entry in row.tasks:
                task = self._restore_task(record, row.key, entry)
                if task is not None and task.phase is TaskPhase.PLACED:
                    placed.append(task)
        self._finish_if_done(record)
        return placed

    def _restore_task(
        self, record: JobRecord, key: PageKey, entry: TaskProgress
    ) -> TaskRecord | None:
        """Apply the entry of a task; None if another page has a newer one."""
        steps = record.open_occurrence(entry.occurrence)
        task = steps[entry.step].tasks[entry.index]
        number = record.number_of(task.key)
        page = record.pages.page_of(number)
        if page.key != key:
            return None
        page.tasks[number] = task
        task.move_to(entry.phase)
        task.run_number = entry.run
        task.failed_runs = frozenset(entry.failed_runs)
        if entry.crashes:
            self.crashes.restore(task, entry.crashes)
        task.checkpoint = entry.checkpoint
        if entry.phase is TaskPhase.PLACED:
            task.worker = entry.worker
            task.born_ms = entry.born_ms
            task.is_listed = entry.is_listed
        return task

    def open_due(self, unix_ms: float) -> None:
        """Open the occurrences that are due; jobs that end later get this end time."""
        self._unix_ms = int(unix_ms)
        for record in list(self._scheduled.values()):
            schedule = record.submission.schedule
            if schedule is None or record.state.is_final:
                del self._scheduled[record.job]
                continue
            period_ms = max(schedule.period_ms, 1)
            due = int((unix_ms - schedule.start_unix_ms) // period_ms) + 1
            self._open_upto(record, min(due, schedule.count))

    def task(self, key: TaskKey) -> TaskRecord | None:
        """Return the task of that key, if its occurrence is open."""
        record = self._jobs.get(key.job)
        steps = record.occurrences.get(key.occurrence) if record else None
        if steps is None or key.step >= len(steps):
            return None
        tasks = steps[key.step].tasks
        return tasks[key.number] if key.number < len(tasks) else None

    def ready_steps(self) -> list[StepRecord]:
        """Return the steps of open jobs that may have tasks to place."""
        return [
            record.ready[key]
            for record in self._open.values()
            for key in sorted(record.ready)
        ]

    def ready_long_running_steps(self) -> list[StepRecord]:
        """Return the long-running ones among the steps that may have tasks to place."""
        return [
            step
            for record in self._open.values()
            for step in record.long_running_steps
            if step.is_ready
        ]

    def mark_unsaved(self, record: JobRecord) -> None:
        """Mark the job's own state for the next write."""
        self.unsaved.add(record, record.pages.head)
        self._changed[record.submission.job] = record

    def mark_task_unsaved(self, task: TaskRecord) -> None:
        """Mark a task's progress for the next write, unless its job has ended."""
        record = task.step.job
        if record.state.is_final:
            return
        number = record.number_of(task.key)
        page = record.pages.page_of(number)
        page.tasks[number] = task
        self.unsaved.add(record, page)
        self._changed[record.submission.job] = record

    def open_jobs(self) -> list[JobRecord]:
        """Return the jobs that have not ended."""
        return list(self._open.values())

    def largest_open(self) -> JobRecord | None:
        """Return the job with the most tasks of those that have not ended."""
        return max(
            self._open.values(),
            key=lambda each: each.submission.task_count,
            default=None,
        )

    def take_changed(self) -> list[JobRecord]:
        """Return the jobs that are new or have changed since the last call."""
        changed = list(self._changed.values())
        self._changed.clear()
        return changed

    @property
    def has_unsaved(self) -> bool:
        """Whether anything has changed since it was last stored."""
        return bool(self.unsaved.pages)

    def is_end_unsaved(self, key: TaskKey) -> bool:
        """Return whether an effect of the end of a task's run is still to be stored."""
        record = self._jobs.get(key.job)
        if record is None:
            return False
        if record.pages.head in self.unsaved.pages:
            return True
        task = self.task(key) if record.pages.is_divided else None
        if task is None:
            return False
        if task.step.step.is_gang:
            return self._is_step_unsaved(task.step)
        return record.pages.page_of(record.number_of(key)) in self.unsaved.pages

    def is_start_unsaved(self, task: TaskRecord) -> bool:
        """Return whether a start must wait for a write.

        It waits for its own placement, and for the ends of the tasks that it follows.
        """
        record = task.step.job
        if not record.pages.is_divided:
            return record.pages.head in self.unsaved.pages
        if self.unsaved.pages.keys().isdisjoint(record.pages.all):
            return False
        if record.pages.page_of(record.number_of(task.key)) in self.unsaved.pages:
            return True
        steps = record.occurrences[task.key.occurrence]
        return any(self._is_step_unsaved(steps[each]) for each in task.step.step.after)

    def complete_task(self, task: TaskRecord) -> None:
        """Record that a task, or its whole gang with it, has succeeded."""
        step = task.step
        if step.step.is_long_running:
            self.requeue(task)
            return
        members = step.tasks if step.step.is_gang else [task]
        for member in members:
            member.move_to(TaskPhase.DONE)
            self.mark_task_unsaved(member)
        self._finish_if_done(step.job)

    def count_failure(self, task: TaskRecord, run: RunNumber) -> None:
        """Count a failed run; failures in a gang are counted together.

        Those of long-running tasks are not counted, as they have no limit.
        """
        counted = task.step.tasks[0] if task.step.step.is_gang else task
        if task.step.step.is_long_running or run in counted.failed_runs:
            return
        counted.failed_runs |= {run}
        self.mark_task_unsaved(counted)

    def fail(self, record: JobRecord, failure: JobFailure) -> None:
        """End a job as failed."""
        if not record.state.is_final:
            record.failure = failure
            self.end(record, JobState.FAILED)

    def is_out_of_attempts(self, task: TaskRecord, max_attempts: int) -> bool:
        """Return whether a task has no attempt left."""
        step = task.step
        counted = step.tasks[0] if step.step.is_gang else task
        return not step.step.is_long_running and (
            len(counted.failed_runs) >= max_attempts
        )

    def requeue(self, task: TaskRecord) -> None:
        """Return a placed task to the waiting state."""
        if task.phase is TaskPhase.PLACED:
            task.move_to(TaskPhase.WAITING)
            self.mark_task_unsaved(task)

    def place(self, task: TaskRecord, run_number: RunNumber) -> None:
        """Record that a task is being placed."""
        task.move_to(TaskPhase.PLACED)
        task.run_number = run_number
        task.is_listed = False
        self.mark_task_unsaved(task)

    def end(self, record: JobRecord, state: JobState) -> None:
        """Set a job's final state."""
        if record.state.is_final:
            return
        record.state = state
        record.ended_unix_ms = self._unix_ms
        self._close(record)
        self.unsaved.discard(record.pages.others)
        self.mark_unsaved(record)

    def waiting_count(self, queue: QueueId) -> int:
        """Return how many jobs of `queue` have not started any task."""
        return sum(
            record.submission.queue == queue and not record.is_started
            for record in self._open.values()
        )

    def discard(self, record: JobRecord) -> None:
        """Remove a job that has ended."""
        self._jobs.pop(record.job, None)
        self.unsaved.discard(record.pages.all)

    def ended_before(self, unix_ms: int) -> list[JobRecord]:
        """Return the jobs that ended before `unix_ms` and whose end is stored."""
        return [
            record
            for record in self._jobs.values()
            if record.stored_state.is_final and 0 < record.ended_unix_ms < unix_ms
        ]

    def _is_step_unsaved(self, step: StepRecord) -> bool:
        pages = step.job.pages_of_step(step)
        return any(page in self.unsaved.pages for page in pages)

    def _open_upto(self, record: JobRecord, due: int) -> None:
        """Open a job's first `due` occurrences, or a part of them if they are many."""
        opened_tasks = 0
        while record.next_occurrence < due and opened_tasks < MAX_OPENED_TASKS:
            if record.next_occurrence not in record.occurrences:
                self._open_occurrence(record, record.next_occurrence)
                opened_tasks += record.graph.task_offsets[-1]
            record.next_occurrence += 1

    def _open_occurrence(self, record: JobRecord, occurrence: int) -> None:
        record.open_occurrence(occurrence)
        self._changed[record.job] = record

    def _finish_if_done(self, record: JobRecord) -> None:
        if record.is_all_done():
            self.end(record, JobState.COMPLETED)

    def _close(self, record: JobRecord) -> None:
        self._open.pop(record.job, None)
        self._scheduled.pop(record.job, None)
