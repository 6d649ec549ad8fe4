"""Placement order of the steps that wait for the capacity of a pool."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

if TYPE_CHECKING:
    from currantstage.coordination.jobs._records import JobRecord, StepRecord
    from currantstage.state.jobs import JobQueue


class Rank(NamedTuple):
    """Sort key of a step; the lowest is placed first."""

    priority: int
    is_late: bool
    remaining_core_s: float
    accepted_s: float


class StepOrder(Protocol):
    """Decides which step is placed first."""

    def rank(self, step: StepRecord, queue: JobQueue | None, now_s: float) -> Rank:
        """Return the sort key of `step` among the waiting steps of its pool.

        It depends on the job, the queue, the time, and whether the step is long-running
        and late only.
        """

    def stable_until_s(
        self, step: StepRecord, queue: JobQueue | None, now_s: float
    ) -> float:
        """Return until when the rank can't change unless the job or queue does."""


class LeastWorkFirst:
    """Long-running steps first, then jobs with the least remaining work.

    Jobs that can no longer meet their deadline come last, so that an overloaded pool
    completes as many jobs in time as possible.
    """

    def rank(self, step: StepRecord, queue: JobQueue | None, now_s: float) -> Rank:
        """Return the sort key of `step` among the waiting steps of its pool."""
        priority = queue.priority if queue else 0
        if step.step.is_long_running:
            return Rank(priority, False, 0.0, step.job.accepted_s)
        work_core_s = step.job.remaining_core_s
        is_job_late = is_late(step, queue, now_s)
        return Rank(priority, is_job_late, work_core_s, step.job.accepted_s)

    def stable_until_s(
        self, step: StepRecord, queue: JobQueue | None, now_s: float
    ) -> float:
        """Return when the job of `step` will be late; infinity if that is settled."""
        if (
            queue is None
            or step.step.is_long_running
            or step.job.submission.schedule is not None
            or is_late(step, queue, now_s)
        ):
            return float("inf")
        return deadline_s(step.job, queue) - critical_path_s(step)


def is_late(step: StepRecord, queue: JobQueue | None, now_s: float) -> bool:
    """Return whether the job of `step` can no longer meet its deadline."""
    if queue is None or step.job.submission.schedule is not None:
        return False
    return now_s + critical_path_s(step) > deadline_s(step.job, queue)


def deadline_s(job: JobRecord, queue: JobQueue) -> float:
    """Return the deadline of `job`, on the scheduler's clock."""
    longest_s = job.graph.longest_path_s
    return job.accepted_s + longest_s * queue.stretch + queue.slack_ms / 1000


def critical_path_s(step: StepRecord) -> float:
    """Return the estimated least time for `step` and the steps directly after it."""
    return step.job.graph.critical_paths_s[step.key.step]
