"""In-memory records of jobs, steps and tasks."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from currantstage.state.jobs import (
    BornMs,
    CrashRecord,
    JobProgress,
    JobState,
    RunNumber,
    StepKey,
    TaskKey,
    TaskPhase,
    TaskProgress,
    WorkerId,
)

if TYPE_CHECKING:
    from currantstage.coordination.jobs._run import Run
    from currantstage.state.jobs import JobId, Step, Submission

#: Maximum attempts of a task whose queue is not in the configuration.
DEFAULT_MAX_ATTEMPTS = 3
#: Weight of the crashes under a task from which on it is tried alone on a worker.
TRIAL_WEIGHT = 2
#: Weight of the crashes under a task from which on it is not started any more.
GIVE_UP_WEIGHT = 4


class FailureReason(Enum):
    """Why a job has failed."""

    #: A task has failed as often as its queue allows.
    ATTEMPTS = "attempts"
    #: A task crashes the workers that start it.
    CRASHES = "crashes-workers"


@dataclass(frozen=True, slots=True)
class JobFailure:
    """Why a job has failed, and by which task."""

    reason: FailureReason
    task: TaskKey


@dataclass(slots=True, eq=False)
class TaskRecord:
    """A task of a step.

    Parameters
    ----------
    key : TaskKey
    step : StepRecord
    phase : TaskPhase
    run_number : RunNumber
        Number of the latest run; the next one is higher.
    worker : WorkerId
        Worker on which the latest run was placed.
    born_ms : BornMs
        Incarnation of that worker.
    run : Run, optional
        The run in progress.
    failed_runs : set of RunNumber
        Runs that failed. They are kept by number, since an end may be listed again to
        a later scheduler and must be counted only once.
    failed_on : set of WorkerId
        Workers on which a run of the task has failed or stalled.
    crashes : dict of RunNumber to CrashRecord
        Runs whose worker crashed.
    trial_since_s : float
        When its trial was first due and no worker was free for it.
    """

    key: TaskKey
    step: StepRecord
    phase: TaskPhase = TaskPhase.WAITING
    run_number: RunNumber = RunNumber(0)
    worker: WorkerId = WorkerId("")
    born_ms: BornMs = BornMs(0)
    run: Run | None = None
    failed_runs: set[RunNumber] = field(default_factory=set)
    checkpoint: str = ""
    failed_on: set[WorkerId] = field(default_factory=set)
    not_before_s: float = 0.0
    crashes: dict[RunNumber, CrashRecord] = field(default_factory=dict)
    trial_since_s: float = float("inf")

    @property
    def crash_weight(self) -> int:
        """Evidence that the task crashes workers; alone with it, one counts twice."""
        return sum(2 if each.was_alone else 1 for each in self.crashes.values())

    @property
    def needs_trial(self) -> bool:
        """Whether the task is to be started on a worker without other runs."""
        is_in_doubt = bool(self.crashes) and self.crash_weight >= TRIAL_WEIGHT
        return is_in_doubt and not self.step.step.is_gang

    def progress(self) -> TaskProgress:
        """Return the progress to store for the task."""
        return TaskProgress(
            occurrence=self.key.occurrence,
            step=self.key.step,
            index=self.key.number,
            phase=self.phase,
            run=self.run_number,
            worker=self.worker if self.phase is TaskPhase.PLACED else WorkerId(""),
            born_ms=self.born_ms if self.phase is TaskPhase.PLACED else BornMs(0),
            failed_runs=tuple(sorted(self.failed_runs)),
            crashes=tuple(self.crashes.values()),
            checkpoint=self.checkpoint if self.phase is not TaskPhase.DONE else "",
        )


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
    tickets : dict of WorkerId to HeldTicket
        Workers that may run the step, if its queue requires advice.
    advised_until_s : float
        When advice has to be requested again.
    """

    key: StepKey
    job: JobRecord
    step: Step
    tasks: list[TaskRecord] = field(default_factory=list)
    done_count: int = 0
    is_ready: bool = False
    tickets: dict[WorkerId, HeldTicket] = field(default_factory=dict)
    advised_until_s: float = float("-inf")

    @classmethod
    def for_step(cls, job: JobRecord, occurrence: int, index: int) -> StepRecord:
        """Return the record of a step with no task placed yet."""
        key = StepKey(job.submission.job, occurrence, index)
        record = cls(key, job, job.submission.steps[index])
        record.tasks = [
            TaskRecord(TaskKey(*key, number), record)
            for number in range(record.step.task_count)
        ]
        return record

    @property
    def is_done(self) -> bool:
        """Whether all tasks have succeeded."""
        return self.done_count >= len(self.tasks)

    def ticket(self, worker: WorkerId, now_s: float) -> str | None:
        """Return the valid ticket for `worker`, or None."""
        held = self.tickets.get(worker)
        return held.text if held is not None and held.until_s > now_s else None

    def waiting_tasks(self, now_s: float) -> list[TaskRecord]:
        """Return the tasks that may be placed now."""
        return [
            task
            for task in self.tasks
            if task.phase is TaskPhase.WAITING and task.not_before_s <= now_s
        ]

    def runs(self) -> list[Run]:
        """Return the runs in progress."""
        return [task.run for task in self.tasks if task.run is not None]


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
    failure : JobFailure, optional
        Why this scheduler has ended the job as failed.
    """

    submission: Submission
    state: JobState = JobState.QUEUED
    stored_state: JobState = JobState.QUEUED
    is_started: bool = False
    accepted_s: float = 0.0
    ended_unix_ms: int = 0
    failure: JobFailure | None = None
    occurrences: dict[int, list[StepRecord]] = field(default_factory=dict)

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

    def open_occurrence(self, occurrence: int) -> list[StepRecord]:
        """Return the steps of an occurrence, creating their records if needed."""
        if occurrence not in self.occurrences:
            self.occurrences[occurrence] = [
                StepRecord.for_step(self, occurrence, index)
                for index in range(len(self.submission.steps))
            ]
        return self.occurrences[occurrence]

    def steps(self) -> list[StepRecord]:
        """Return the steps of all occurrences that are recorded."""
        return [step for steps in self.occurrences.values() for step in steps]

    def runs(self) -> list[Run]:
        """Return the runs in progress."""
        return [run for step in self.steps() for run in step.runs()]

    def is_all_done(self) -> bool:
        """Return whether every task of every occurrence has succeeded."""
        if len(self.occurrences) < self.submission.occurrence_count:
            return False
        return all(step.is_done for step in self.steps())

    def progress(self) -> JobProgress:
        """Return the progress to store for the job."""
        tasks: tuple[TaskProgress, ...] = ()
        if not self.state.is_final:
            tasks = tuple(
                task.progress()
                for step in self.steps()
                for task in step.tasks
                if task.run_number
            )
        return JobProgress(
            job=self.job,
            state=self.state,
            is_started=self.is_started,
            tasks=tasks,
            ended_unix_ms=self.ended_unix_ms,
        )
