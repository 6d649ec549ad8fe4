"""In-memory records of jobs, steps and tasks."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum
from itertools import islice
from typing import TYPE_CHECKING

from currantstage.coordination.jobs._progress_pages import JobPages
from currantstage.coordination.jobs._step_graph import StepGraph
from currantstage.coordination.jobs._task_record import TaskRecord
from currantstage.coordination.jobs._work_left import WorkLeft
from currantstage.state.jobs import (
    JobProgress,
    JobState,
    StepKey,
    TaskKey,
    TaskPhase,
    TaskProgress,
    WorkerId,
)

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from currantstage.coordination.jobs._progress_pages import ProgressPage
    from currantstage.coordination.jobs._run import Run
    from currantstage.state.jobs import JobId, Step, Submission

#: Maximum attempts of a task whose queue is not in the configuration.
DEFAULT_MAX_ATTEMPTS = 3
#: Number of waiting tasks that a step offers before it looks for more of them.
WAITING_CHUNK = 64


class FailureReason(Enum):
    """Why a job has failed."""

    #: A task has failed as often as its queue allows.
    ATTEMPTS = "attempts"
    #: A task crashes the workers that start it.
    CRASHES = "crashes-workers"
    #: The store rejects its progress.
    NOT_STORABLE = "not-storable"


@dataclass(frozen=True, slots=True)
class JobFailure:
    """Why a job has failed, and by which task."""

    reason: FailureReason
    task: TaskKey


@dataclass(frozen=True, slots=True)
class HeldTicket:
    """Permission for a worker to run a step, with its expiry."""

    text: str
    until_s: float


@dataclass(slots=True, eq=False)
class StepRecord:
    """A step of one occurrence of a job.

    Parameters
    ----------
    key : StepKey
    job : JobRecord
    step : Step
    open_predecessors : int
        Number of steps that have to be done before this one may start.
    tasks : list of TaskRecord
    done_count : int
        Number of tasks that have succeeded.
    tickets : dict of WorkerId to HeldTicket
        Workers that may run the step, if its queue requires advice.
    advised_until_s : float
        When advice has to be requested again.
    runs_by_worker : Counter of WorkerId
        Number of runs in progress on each worker.
    """

    key: StepKey
    job: JobRecord
    step: Step
    open_predecessors: int = 0
    tasks: list[TaskRecord] = field(default_factory=list)
    done_count: int = 0
    tickets: dict[WorkerId, HeldTicket] = field(default_factory=dict)
    advised_until_s: float = float("-inf")
    runs_by_worker: Counter[WorkerId] = field(default_factory=Counter)
    _waiting: dict[int, TaskRecord] = field(default_factory=dict)
    _running: dict[int, Run] = field(default_factory=dict)

    @classmethod
    def for_step(cls, job: JobRecord, occurrence: int, index: int) -> StepRecord:
        """Return the record of a step with no task placed yet."""
        key = StepKey(job.submission.job, occurrence, index)
        step = job.submission.steps[index]
        record = cls(key, job, step, job.graph.predecessor_counts[index])
        record.tasks = [
            TaskRecord(TaskKey(*key, number), record)
            for number in range(step.task_count)
        ]
        record._waiting = dict(enumerate(record.tasks))
        return record

    @property
    def is_done(self) -> bool:
        """Whether all tasks have succeeded."""
        return self.done_count >= len(self.tasks)

    @property
    def is_ready(self) -> bool:
        """Whether all steps are done that this one comes after."""
        return not self.open_predecessors

    @property
    def waiting_count(self) -> int:
        """Number of tasks that wait to be placed, now or after a pause."""
        return len(self._waiting)

    def ticket(self, worker: WorkerId, now_s: float) -> str | None:
        """Return the valid ticket for `worker`, or None."""
        held = self.tickets.get(worker)
        return held.text if held is not None and held.until_s > now_s else None

    def iter_waiting(self, now_s: float) -> Iterator[TaskRecord]:
        """Yield the tasks that may be placed now; they may be placed meanwhile."""
        passed = 0
        while chunk := list(
            islice(self._waiting.values(), passed, passed + WAITING_CHUNK)
        ):
            for task in chunk:
                if task.not_before_s <= now_s:
                    yield task
            passed += sum(task.phase is TaskPhase.WAITING for task in chunk)

    def waiting_tasks(self, now_s: float) -> list[TaskRecord]:
        """Return the tasks that may be placed now."""
        return list(self.iter_waiting(now_s))

    def first_waiting(self, limit: int) -> list[TaskRecord]:
        """Return up to `limit` tasks that wait to be placed, now or after a pause."""
        return list(islice(self._waiting.values(), limit))

    def has_waiting(self, now_s: float) -> bool:
        """Return whether any task may be placed now."""
        return any(task.not_before_s <= now_s for task in self._waiting.values())

    def paused_until_s(self) -> float:
        """Return when the first waiting task may be placed; infinity without one."""
        return min(
            (task.not_before_s for task in self._waiting.values()),
            default=float("inf"),
        )

    def runs(self) -> list[Run]:
        """Return the runs in progress."""
        return list(self._running.values())

    def on_phase_changed(self, task: TaskRecord) -> None:
        """Count a task under its new phase."""
        if task.phase is TaskPhase.WAITING:
            self._waiting[task.key.number] = task
        else:
            self._waiting.pop(task.key.number, None)
        self.job.changed_steps[self.key] = self
        if task.phase is TaskPhase.DONE:
            self.done_count += 1
            self.job.on_task_done(self)

    def on_run_changed(self, task: TaskRecord, earlier: Run | None) -> None:
        """Keep the run that a task has now, in place of an `earlier` one."""
        if earlier is not None:
            del self._running[task.key.number]
            self.runs_by_worker[earlier.worker] -= 1
        if task.run is not None:
            self._running[task.key.number] = task.run
            self.runs_by_worker[task.run.worker] += 1


@dataclass(slots=True, eq=False)
class JobRecord:
    """A job.

    Parameters
    ----------
    submission : Submission
    state : JobState
        State in memory.
    stored_state : JobState
        State in the store. Except for cancellation, callers see a final state only
        once it is stored.
    is_started : bool
        Whether any task has started.
    accepted_s : float
        When the job was accepted, on the scheduler's clock.
    is_beyond_share : bool
        Whether its team had submitted more jobs than its share guarantees.
    failure : JobFailure, optional
        Why this scheduler has ended the job as failed.
    occurrences : dict of int to list of StepRecord
        Steps of the occurrences that have been due.
    ready : dict of StepKey to StepRecord
        Steps that are not done and may have tasks to place.
    long_running_steps : list of StepRecord
    next_occurrence : int
        All occurrences before this one are open.
    changed_steps : dict of StepKey to StepRecord
        Steps whose waiting tasks have changed since they were last taken.
    graph : StepGraph
    pages : JobPages
        Division of the progress into rows.
    """

    submission: Submission
    state: JobState = JobState.QUEUED
    stored_state: JobState = JobState.QUEUED
    is_started: bool = False
    accepted_s: float = 0.0
    is_beyond_share: bool = False
    ended_unix_ms: int = 0
    failure: JobFailure | None = None
    occurrences: dict[int, list[StepRecord]] = field(default_factory=dict)
    ready: dict[StepKey, StepRecord] = field(default_factory=dict)
    long_running_steps: list[StepRecord] = field(default_factory=list)
    next_occurrence: int = 0
    changed_steps: dict[StepKey, StepRecord] = field(default_factory=dict)
    graph: StepGraph = field(init=False)
    pages: JobPages = field(init=False)
    _open_steps: int = 0
    _work: WorkLeft = field(default_factory=WorkLeft)

    def __post_init__(self) -> None:
        self.graph = StepGraph.for_steps(self.submission.steps)
        self.pages = JobPages(self.submission.job)

    @property
    def job(self) -> JobId:
        """The job's id."""
        return self.submission.job

    @property
    def shown_state(self) -> JobState:
        """The state reported to callers."""
        if self.state.is_final and not self.stored_state.is_final:
            if self.state is JobState.CANCELLED:
                return JobState.CANCELLED
            return JobState.RUNNING
        return self.state

    @property
    def is_long_running(self) -> bool:
        """Whether the job runs until it is cancelled."""
        return any(step.is_long_running for step in self.submission.steps)

    @property
    def remaining_core_s(self) -> float:
        """Remaining core-seconds of the occurrences that have been due."""
        return self._work.all_core_s

    @property
    def remaining_short_core_s(self) -> float:
        """The part of `remaining_core_s` that is not of long-running steps."""
        return self._work.short_core_s

    @property
    def ready_short_cores(self) -> float:
        """Cores that its tasks that are ready and not long-running use at once."""
        return self._work.ready_cores

    def open_occurrence(self, occurrence: int) -> list[StepRecord]:
        """Return the steps of an occurrence, creating their records if needed."""
        if occurrence not in self.occurrences:
            steps = [
                StepRecord.for_step(self, occurrence, index)
                for index in range(len(self.submission.steps))
            ]
            self.occurrences[occurrence] = steps
            self._open_steps += len(steps)
            for step in steps:
                self._work.add(step.step, len(step.tasks))
                if step.is_ready:
                    self._mark_ready(step)
                if step.step.is_long_running:
                    self.long_running_steps.append(step)
        return self.occurrences[occurrence]

    def steps(self) -> list[StepRecord]:
        """Return the steps of all occurrences that are recorded."""
        return [step for steps in self.occurrences.values() for step in steps]

    def runs(self) -> list[Run]:
        """Return the runs in progress."""
        return [run for step in self.steps() for run in step.runs()]

    def is_all_done(self) -> bool:
        """Return whether every task of every occurrence has succeeded."""
        is_complete = len(self.occurrences) >= self.submission.occurrence_count
        return is_complete and not self._open_steps

    def take_changed_steps(self) -> list[StepRecord]:
        """Return the steps whose waiting tasks have changed since the last call."""
        changed, self.changed_steps = self.changed_steps, {}
        return list(changed.values())

    def on_task_done(self, step: StepRecord) -> None:
        """Count a task that has succeeded, and what its step's end makes ready."""
        self._work.add(step.step, -1)
        if step.key in self.ready:
            self._work.add_ready(step.step, -1)
        if step.is_done:
            self._open_steps -= 1
            self.ready.pop(step.key, None)
            self._release_successors(step)

    def number_of(self, task: TaskKey) -> int:
        """Return the number of a task among those of all occurrences."""
        offsets = self.graph.task_offsets
        return task.occurrence * offsets[-1] + offsets[task.step] + task.number

    def pages_of_step(self, step: StepRecord) -> Sequence[ProgressPage]:
        """Return the pages that have tasks of a step."""
        first = self.number_of(step.tasks[0].key)
        return self.pages.pages_of(first, len(step.tasks))

    def head(self, tasks: tuple[TaskProgress, ...]) -> JobProgress:
        """Return the head of the job's stored progress, with the head's `tasks`."""
        return JobProgress(
            job=self.submission.job,
            state=self.state,
            is_started=self.is_started,
            tasks=() if self.state.is_final else tasks,
            ended_unix_ms=self.ended_unix_ms,
            is_divided=self.pages.is_divided and not self.state.is_final,
        )

    def _release_successors(self, step: StepRecord) -> None:
        steps = self.occurrences[step.key.occurrence]
        for index in self.graph.successors[step.key.step]:
            successor = steps[index]
            successor.open_predecessors -= 1
            if successor.is_ready and not successor.is_done:
                self._mark_ready(successor)

    def _mark_ready(self, step: StepRecord) -> None:
        self.ready[step.key] = step
        self._work.add_ready(step.step, len(step.tasks) - step.done_count)
        self.changed_steps[step.key] = step
