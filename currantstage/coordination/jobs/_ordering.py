"""Placement order of the steps that wait for the capacity of a pool."""

from __future__ import annotations

from enum import IntEnum
from typing import TYPE_CHECKING, NamedTuple, Protocol

from currantstage.coordination.jobs._step_graph import estimated_run_s

if TYPE_CHECKING:
    from currantstage.coordination.jobs._records import JobRecord, StepRecord
    from currantstage.state.jobs import JobQueue


#: Multiple of its objective up to which a job that ends late still counts as served.
MAX_LATENESS = 3.0


class Timeliness(IntEnum):
    """Whether a job can still be of use to its caller; the first come first."""

    #: It can meet its objective.
    IN_TIME = 0
    #: It can only be served late.
    LATE = 1
    #: It can't be served any more, but has to end.
    EXPIRED = 2


class Rank(NamedTuple):
    """Sort key of a step; the lowest is placed first."""

    priority: int
    timeliness: Timeliness
    remaining_core_s: float
    accepted_s: float


class StepOrder(Protocol):
    """Decides which step is placed first."""

    def rank(self, step: StepRecord, queue: JobQueue | None, now_s: float) -> Rank:
        """Return the sort key of `step` among the waiting steps of its pool.

        It depends on the job, the queue, the time, whether the step is long-running and
        its timeliness only.
        """

    def stable_until_s(
        self, step: StepRecord, queue: JobQueue | None, now_s: float
    ) -> float:
        """Return until when the rank can't change unless the job or queue does."""


class LeastWorkFirst:
    """Long-running steps first, then jobs with the least remaining work.

    Jobs that can no longer meet their deadline come after all that can, so that an
    overloaded pool completes as many jobs in time as possible. Those that can't be
    served any more come last. A job beyond its team's share counts as one of those that
    can only be late: when all is full, it takes no room from other teams.
    """

    def rank(self, step: StepRecord, queue: JobQueue | None, now_s: float) -> Rank:
        """Return the sort key of `step` among the waiting steps of its pool."""
        priority = queue.priority if queue else 0
        if step.step.is_long_running:
            return Rank(priority, Timeliness.IN_TIME, 0.0, step.job.accepted_s)
        work_core_s = step.job.remaining_core_s
        timeliness = timeliness_of(step, queue, now_s)
        return Rank(priority, timeliness, work_core_s, step.job.accepted_s)

    def stable_until_s(
        self, step: StepRecord, queue: JobQueue | None, now_s: float
    ) -> float:
        """Return when the timeliness of `step` will change; infinity if it won't."""
        if queue is None or step.step.is_long_running or not has_deadline(step.job):
            return float("inf")
        timeliness = timeliness_of(step, queue, now_s)
        if timeliness is Timeliness.EXPIRED:
            return float("inf")
        bound_s = deadline_s(step.job, queue)
        if timeliness is Timeliness.LATE:
            bound_s = expiry_s(step.job, queue)
        return bound_s - critical_path_s(step)


def timeliness_of(step: StepRecord, queue: JobQueue | None, now_s: float) -> Timeliness:
    """Return whether the job of `step`, which has yet to run, can meet its deadline.

    One beyond its team's share counts as late, so that those of other teams come first.
    """
    timeliness = timeliness_at_end(step.job, queue, now_s + critical_path_s(step))
    if step.job.is_beyond_share and has_deadline(step.job):
        return max(timeliness, Timeliness.LATE)
    return timeliness


def timeliness_at_end(
    job: JobRecord, queue: JobQueue | None, end_s: float
) -> Timeliness:
    """Return of what use `job` is to its caller if it ends at `end_s`."""
    if queue is None or not has_deadline(job) or end_s <= deadline_s(job, queue):
        return Timeliness.IN_TIME
    return Timeliness.LATE if end_s <= expiry_s(job, queue) else Timeliness.EXPIRED


def job_timeliness(job: JobRecord, queue: JobQueue | None, now_s: float) -> Timeliness:
    """Return whether `job` can meet its deadline, by its first step that is ready.

    A step whose tasks all run counts as about to end.
    """
    step = next(iter(job.ready.values()), None)
    if step is None:
        return Timeliness.IN_TIME
    done_s = 0.0 if step.waiting_count else estimated_run_s(step.step)
    return timeliness_of(step, queue, now_s - done_s)


def has_deadline(job: JobRecord) -> bool:
    """Return whether `job` has to end within a time from its acceptance."""
    return job.submission.schedule is None


def deadline_s(job: JobRecord, queue: JobQueue) -> float:
    """Return the deadline of `job`, on the scheduler's clock."""
    return job.accepted_s + _objective_s(job, queue)


def expiry_s(job: JobRecord, queue: JobQueue) -> float:
    """Return when `job` can't be served any more, on the scheduler's clock."""
    return job.accepted_s + _objective_s(job, queue) * MAX_LATENESS


def _objective_s(job: JobRecord, queue: JobQueue) -> float:
    return job.graph.longest_path_s * queue.stretch + queue.slack_ms / 1000


def critical_path_s(step: StepRecord) -> float:
    """Return the estimated least time for `step` and the steps directly after it."""
    return step.job.graph.critical_paths_s[step.key.step]
