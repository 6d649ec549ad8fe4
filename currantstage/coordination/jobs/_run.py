"""In-memory record of a run."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from currantstage.state.jobs import Fence

if TYPE_CHECKING:
    from currantstage.coordination.jobs._run_loss import RunLoss
    from currantstage.coordination.jobs._task_record import TaskRecord
    from currantstage.state import TeamId
    from currantstage.state.jobs import Resources, RunNumber, Step, WorkerId

#: Progress of a long-running task that is fully at work.
FULL_WORK_PERCENT = 100
#: How long a run counts as running after its worker has listed it, in seconds.
LISTING_VALID_S = 1.6


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
    was_listed : bool
        An earlier scheduler has stored that the incarnation in the task's record has
        listed it, so that no other one can run it.
    in_doubt_since_s : float
        When its phase was last set to `RunPhase.IN_DOUBT`.
    unrenewed_before_s : float, optional
        For how long at least its worker's lease had not been renewed when this
        scheduler adopted it; None if it may have been renewed until then.
    settled_clock_ms : int
        Time on the worker's clock at which stops that earlier schedulers have ordered
        have certainly ended the run.
    listed_clock_ms : int
        Time on the worker's clock of the list that it was last in.
    progressed_clock_ms : int
        Time on the worker's clock of the list in which its progress last changed.
    is_stopping : bool
        The scheduler has decided to stop it.
    stop_ordered_s, stop_sent_s : float
        When the stop order was first and last issued.
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
    was_listed: bool = False
    in_doubt_since_s: float = float("-inf")
    unrenewed_before_s: float | None = None
    settled_clock_ms: int = 0
    listed_clock_ms: int = 0
    percent: int = 0
    progressed_clock_ms: int = 0
    gauge: float = 0.0
    is_stopping: bool = False
    stop_ordered_s: float = float("inf")
    stop_sent_s: float = float("-inf")
    pace_percent: int = 100
    loss: RunLoss | None = None
    is_suspect: bool = False
    is_trial: bool = False

    @classmethod
    def adopted(cls, task: TaskRecord, now_s: float) -> Run:
        """Return the run of a task that an earlier scheduler has placed."""
        return cls(
            task,
            task.run_number,
            task.worker,
            RunPhase.IN_DOUBT,
            placed_s=now_s,
            is_adopted=True,
            was_listed=task.is_listed,
            in_doubt_since_s=now_s,
        )

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
    def has_started(self) -> bool:
        """Whether its worker has accepted its start or listed it."""
        was_listed = self.is_listed or self.was_listed
        return was_listed or self.accepted_s < float("inf")

    @property
    def is_bound_to_incarnation(self) -> bool:
        """Whether no other incarnation of its worker than the known one can run it."""
        return self.is_listed or self.was_listed

    @property
    def is_settled_in(self) -> bool:
        """Whether it is long-running and at work, so that it crashes no worker."""
        return self.step.is_long_running and self.percent >= FULL_WORK_PERCENT

    @property
    def has_open_order(self) -> bool:
        """Whether its start is to be sent or answered, or its worker is to stop it."""
        if self.phase is RunPhase.RUNNING:
            return self.is_stopping
        return self.phase is not RunPhase.IN_DOUBT

    def put_in_doubt(self, now_s: float) -> None:
        """Record that it is unknown from now on whether its worker runs it."""
        self.phase = RunPhase.IN_DOUBT
        self.in_doubt_since_s = now_s

    def in_doubt_s(self, now_s: float) -> float | None:
        """Return how long it has been in doubt; None if it isn't."""
        if self.phase is not RunPhase.IN_DOUBT:
            return None
        return now_s - self.in_doubt_since_s

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
