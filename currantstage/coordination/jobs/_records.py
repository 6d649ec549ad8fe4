"""In-memory records of jobs, steps, tasks and runs."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from currantstage.state.jobs import (
    BornMs,
    CrashRecord,
    Fence,
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
    from currantstage.coordination.jobs._run_loss import RunLoss
    from currantstage.state import TeamId
    from currantstage.state.jobs import JobId, Resources, Step, Submission

#: Maximum attempts of a task whose queue is not in the configuration.
DEFAULT_MAX_ATTEMPTS = 3
#: Progress of a long-running task that is fully at work.
FULL_WORK_PERCENT = 100
#: Weight of the crashes under a task from which on it is tried alone on a worker.
TRIAL_WEIGHT = 2
#: Weight of the crashes under a task from which on it is not started any more.
GIVE_UP_WEIGHT = 4
#: How long a run counts as running after its worker has listed it, in seconds.
LISTING_VALID_S = 1.6


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


class RunPhase(Enum):
    """State of the order that starts a run."""

    UNSENT = "unsent"
    SENT = "sent"
    IN_DOUBT = "in-doubt"
    RUNNING = "running"


@dataclass(slots=True, eq=False)
class Run:
    """One attempt at a task, from its placement to its end.

    Parameters
    ----------
    task : TaskRecord
    number : RunNumber
    worker : WorkerId
    phase : RunPhase
    fence : Fence
        Fence of the order; invalid once the worker has acknowledged a higher one.
    accepted_s : float
        When the worker's acceptance was received.
    is_listed : bool
        Whether the incarnation of the worker that runs it has listed it.
    listed_s : float
        When its worker last listed it, at the earliest.
    is_adopted : bool
        An earlier scheduler placed it, and may have ordered its stop.
    settled_clock_ms : int
        Time on the worker's clock at which stops that earlier schedulers have ordered
        have certainly ended the run.
    listed_clock_ms : int
        Time on the worker's clock of the list that it was last in.
    progressed_clock_ms : int
        Time on the worker's clock of the list in which its progress last changed.
    is_stopping : bool
        The scheduler has decided to stop it.
    stop_sent_s : float
        When the stop order was last issued.
    pace_percent : int
    loss : RunLoss, optional
        How it was lost, or will have been if its worker's next list lacks it.
    is_suspect : bool
        Its task may have crashed a worker before.
    is_trial : bool
        No other run is started on its worker, so that a crash tells who caused it.
    """

    task: TaskRecord
    number: RunNumber
    worker: WorkerId
    phase: RunPhase
    placed_s: float
    fence: Fence = Fence(0)
    accepted_s: float = float("inf")
    is_listed: bool = False
    listed_s: float = float("-inf")
    is_adopted: bool = False
    settled_clock_ms: int = 0
    listed_clock_ms: int = 0
    percent: int = 0
    progressed_clock_ms: int = 0
    gauge: float = 0.0
    is_stopping: bool = False
    stop_sent_s: float = float("-inf")
    pace_percent: int = 100
    loss: RunLoss | None = None
    is_suspect: bool = False
    is_trial: bool = False

    @property
    def step(self) -> Step:
        """The step that the run's task belongs to."""
        return self.task.step.step

    @property
    def team(self) -> TeamId:
        """The team whose upper limit the run counts against."""
        return self.task.step.job.submission.team

    @property
    def reserved_resources(self) -> Resources:
        """The share of the worker's capacity that the run reserves."""
        return self.step.reserved_resources

    @property
    def idle_s(self) -> float:
        """How long its worker has listed it without progress, on the worker's clock."""
        return (self.listed_clock_ms - self.progressed_clock_ms) / 1000

    @property
    def is_settled_in(self) -> bool:
        """Whether it is long-running and at work, so that it crashes no worker."""
        return self.step.is_long_running and self.percent >= FULL_WORK_PERCENT

    def is_recently_listed(self, now_s: float) -> bool:
        """Return whether its worker has listed it recently."""
        return (
            self.phase is RunPhase.RUNNING and now_s - self.listed_s < LISTING_VALID_S
        )

    def is_available(self, now_s: float) -> bool:
        """Return whether a long-running task is known to be fully available."""
        is_settled = self.listed_clock_ms >= self.settled_clock_ms
        return (
            self.is_recently_listed(now_s)
            and is_settled
            and self.percent >= FULL_WORK_PERCENT
        )


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
