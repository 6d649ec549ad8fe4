"""Placement order of the steps that wait for the capacity of a pool."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

if TYPE_CHECKING:
    from currantstage.coordination.jobs._records import JobRecord, StepRecord
    from currantstage.state.jobs import JobQueue, Step

#: Run time assumed if the caller gives no estimate, in milliseconds.
DEFAULT_RUN_MS = 1000


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

        It depends on the job, the queue and the time only.
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
        work = sum(map(remaining_core_s, step.job.steps()))
        return Rank(priority, is_late(step, queue, now_s), work, step.job.accepted_s)

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
    steps = job.submission.steps
    longest_s = max(_longest_path_s(steps, index) for index in range(len(steps)))
    return job.accepted_s + longest_s * queue.stretch + queue.slack_ms / 1000


def critical_path_s(step: StepRecord) -> float:
    """Return the estimated least time from the start of `step` to its job's end."""
    steps = step.job.submission.steps
    tail_s = 0.0
    for index in range(step.key.step + 1, len(steps)):
        if step.key.step in steps[index].after:
            tail_s = max(tail_s, _estimated_run_s(steps[index]))
    return _estimated_run_s(step.step) + tail_s


def remaining_core_s(step: StepRecord) -> float:
    """Return the remaining core-seconds of `step`, by the caller's estimate."""
    remaining = len(step.tasks) - step.done_count
    return (
        remaining
        * step.step.resources.cpu_millicores
        / 1000
        * _estimated_run_s(step.step)
    )


def _longest_path_s(steps: tuple[Step, ...], index: int) -> float:
    own_s = _estimated_run_s(steps[index])
    before = [each for each in steps[index].after if each < index]
    return own_s + max((_longest_path_s(steps, each) for each in before), default=0.0)


def _estimated_run_s(step: Step) -> float:
    return (step.estimated_run_ms or DEFAULT_RUN_MS) / 1000
