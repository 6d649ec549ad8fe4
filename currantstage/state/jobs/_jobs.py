"""Job submissions, and the stored progress of jobs and tasks."""

from __future__ import annotations

from enum import Enum

from msgspec import Struct

from currantstage.state._ids import PoolId, QueueId, TeamId
from currantstage.state.jobs._ids import JobId


class JobState(Enum):
    """Lifecycle state of a job."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self) -> bool:
        """Whether the state is terminal."""
        return self in _FINAL_STATES


_FINAL_STATES = (JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED)


class Resources(Struct, frozen=True):
    """Amounts of the resources that VMs offer and tasks use.

    Parameters
    ----------
    cpu_millicores : int
    memory_mb : int
    accelerators : int
    """

    cpu_millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def plus(self, other: Resources) -> Resources:
        """Return the sum of both amounts."""
        return Resources(
            self.cpu_millicores + other.cpu_millicores,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: Resources) -> Resources:
        """Return the remainder after subtracting `other`."""
        return Resources(
            self.cpu_millicores - other.cpu_millicores,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def times(self, count: int) -> Resources:
        """Return the sum of `count` equal amounts.

        >>> Resources(500, 256).times(3)
        Resources(cpu_millicores=1500, memory_mb=768, accelerators=0)
        """
        return Resources(
            self.cpu_millicores * count,
            self.memory_mb * count,
            self.accelerators * count,
        )

    def fits(self, available: Resources) -> bool:
        """Return whether this amount fits into the amount `available`.

        >>> Resources(2, 5).fits(Resources(2, 4)), Resources(2).fits(Resources(2))
        (False, True)
        """
        return (
            self.cpu_millicores <= available.cpu_millicores
            and self.memory_mb <= available.memory_mb
            and self.accelerators <= available.accelerators
        )


NO_RESOURCES = Resources()


class Step(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A group of tasks of a job that may run in parallel.

    Parameters
    ----------
    task_count : int
    resources : Resources
        Resources used by each task.
    estimated_run_ms : int
        The caller's rough estimate of a task's run time, in milliseconds.
    after : tuple of int
        Earlier steps whose tasks must all be completed first.
    is_checkpointing, is_gang, is_speculative, is_long_running : bool
    same_rack : bool
        Whether the tasks slow each other down when spread over several racks.
    needed_label : str
        Label that a worker must have; empty if none is required.
    preferred_rack : str
        Rack that holds the data; empty for no preference.
    max_per_worker : int
        Maximum number of tasks of the step on one worker; zero for no limit.
    image : str
    target_latency_ms : int
        Upper limit of a serving task's tail latency, in milliseconds; zero for none.
    is_filler : bool
        Whether the tasks use only processor time that other tasks leave idle.
    max_unavailable : int
        Maximum number of tasks that planned work may make unavailable at once.
    """

    task_count: int
    resources: Resources = NO_RESOURCES
    estimated_run_ms: int = 0
    after: tuple[int, ...] = ()
    is_checkpointing: bool = False
    is_gang: bool = False
    is_speculative: bool = False
    is_long_running: bool = False
    same_rack: bool = False
    needed_label: str = ""
    preferred_rack: str = ""
    max_per_worker: int = 0
    image: str = ""
    target_latency_ms: int = 0
    is_filler: bool = False
    max_unavailable: int = 0

    @property
    def reserved_resources(self) -> Resources:
        """Resources that a task reserves of a worker's capacity."""
        if not self.is_filler:
            return self.resources
        return Resources(0, self.resources.memory_mb, self.resources.accelerators)


class Schedule(Struct, frozen=True, kw_only=True):
    """Start times of the occurrences of a job."""

    count: int
    start_unix_ms: int
    period_ms: int


class Submission(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """An accepted job; immutable.

    Parameters
    ----------
    job : JobId
    queue : QueueId
    pool : PoolId
        Pool of the queue at acceptance; used if the queue is withdrawn later.
    team : TeamId
        Empty on a public queue.
    spec : str
        Payload that the tasks execute; opaque to the system.
    steps : tuple of Step
    schedule : Schedule, optional
    accepted_unix_ms : int
    max_attempts : int
        Limit of the queue at acceptance; used if the queue is withdrawn later, unless
        the scheduler knows a later one. Zero if it isn't recorded.
    """

    job: JobId
    queue: QueueId
    pool: PoolId
    team: TeamId
    spec: str
    steps: tuple[Step, ...]
    schedule: Schedule | None = None
    accepted_unix_ms: int = 0
    max_attempts: int = 0

    @property
    def occurrence_count(self) -> int:
        """Number of times that the steps run."""
        return self.schedule.count if self.schedule else 1

    @property
    def task_count(self) -> int:
        """Number of tasks over all occurrences."""
        return self.occurrence_count * sum(step.task_count for step in self.steps)
