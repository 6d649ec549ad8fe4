"""Check how long jobs have nothing running while workers have room for them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from currantstage.standin.jobs._free_room import has_room, used_cpu_share
from currantstage.standin.jobs._periodic_check import check_at_intervals
from currantstage.state.jobs import TaskKey

if TYPE_CHECKING:
    from collections.abc import Iterator

    from currantstage.standin.jobs._oracle import Oracle
    from currantstage.standin.jobs._workers import SimulatedWorkers
    from currantstage.state.jobs import JobId, Step, Submission

#: Longest time that a job may have nothing running, in seconds.
MAX_STANDSTILL_S = 3.0
#: Share of a pool's CPU in use from which on its jobs may wait.
MAX_USED_SHARE = 0.5


class StandstillWatch:
    """Records a violation of the rule LOST for each job that stands still for too long.

    A job stands still while it has a task to start, none running, and room for it.

    Parameters
    ----------
    workers : SimulatedWorkers
    oracle : Oracle
    """

    def __init__(self, workers: SimulatedWorkers, oracle: Oracle) -> None:
        self._workers = workers
        self._oracle = oracle
        self._standing_since_s: dict[JobId, float] = {}
        self._reported: set[JobId] = set()
        #: Longest time that a job has stood still, in seconds.
        self.longest_s = 0.0

    async def run(self, duration_s: float) -> None:
        """Check at intervals, for `duration_s`."""
        await check_at_intervals(self._check, duration_s)

    def _check(self, now_s: float) -> None:
        for job in self._oracle.accepted_s:
            if not self._stands(job):
                self._standing_since_s.pop(job, None)
                continue
            standing_s = now_s - self._standing_since_s.setdefault(job, now_s)
            self.longest_s = max(self.longest_s, standing_s)
            if standing_s > MAX_STANDSTILL_S and job not in self._reported:
                self._reported.add(job)
                self._oracle.violations.append(
                    f"LOST: {job} stands still with room for it at {now_s:.2f} s"
                )

    def _stands(self, job: JobId) -> bool:
        oracle = self._oracle
        submission = oracle.submitted[job]
        if job in oracle.cancelled_s or self._has_running(job, submission):
            return False
        if any(oracle.is_out_of_attempts(task) for task, _ in _tasks(job, submission)):
            return False
        startable = list(self._startable_tasks(job, submission))
        pool = submission.pool
        if not startable or used_cpu_share(self._workers, pool) >= MAX_USED_SHARE:
            return False
        return any(has_room(self._workers, pool, *each) for each in startable)

    def _has_running(self, job: JobId, submission: Submission) -> bool:
        return any(
            self._oracle.running.get(task) for task, _ in _tasks(job, submission)
        )

    def _startable_tasks(
        self, job: JobId, submission: Submission
    ) -> Iterator[tuple[TaskKey, Step]]:
        """Yield the tasks that are not done, and whose predecessors are."""
        done = self._oracle.done
        open_steps = {
            task.step for task, _ in _tasks(job, submission) if task not in done
        }
        for task, step in _tasks(job, submission):
            if task not in done and open_steps.isdisjoint(step.after):
                yield task, step


def _tasks(job: JobId, submission: Submission) -> Iterator[tuple[TaskKey, Step]]:
    """Yield the tasks of the first occurrence of a job."""
    for number, step in enumerate(submission.steps):
        for task in range(step.task_count):
            yield TaskKey(job, 0, number, task), step
