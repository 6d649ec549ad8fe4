"""Check how long long-running tasks are away while workers have room for them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from currantstage.standin.jobs._free_room import has_room
from currantstage.standin.jobs._periodic_check import check_at_intervals
from currantstage.state.jobs import TaskKey

if TYPE_CHECKING:
    from collections.abc import Iterator

    from currantstage.standin.jobs._oracle import Oracle
    from currantstage.standin.jobs._workers import SimulatedWorkers
    from currantstage.state.jobs import Step

#: Longest time that a long-running task may be away, in seconds.
MAX_AWAY_S = 6.0


class AbsenceWatch:
    """Records a violation of the rule LOST for each task that is away for too long.

    A task is away from the end of its last run until the next one starts. Time in which
    too few workers have room for it doesn't count.

    Parameters
    ----------
    workers : SimulatedWorkers
    oracle : Oracle
    """

    def __init__(self, workers: SimulatedWorkers, oracle: Oracle) -> None:
        self._workers = workers
        self._oracle = oracle
        self._away_since_s: dict[TaskKey, float] = {}
        self._reported: set[TaskKey] = set()
        #: Longest time that a task has been away, in seconds.
        self.longest_away_s = 0.0

    async def run(self, duration_s: float) -> None:
        """Check at intervals, for `duration_s`."""
        await check_at_intervals(self._check, duration_s)

    def _check(self, now_s: float) -> None:
        for task, step in self._long_running_tasks():
            if self._oracle.running.get(task) or not self._has_room(task, step):
                self._away_since_s.pop(task, None)
                self._reported.discard(task)
                continue
            away_s = now_s - self._away_since_s.setdefault(task, now_s)
            self.longest_away_s = max(self.longest_away_s, away_s)
            if away_s > MAX_AWAY_S and task not in self._reported:
                self._reported.add(task)
                self._oracle.violations.append(
                    f"LOST: {task} is away with room for it at {now_s:.2f} s"
                )

    def _long_running_tasks(self) -> Iterator[tuple[TaskKey, Step]]:
        oracle = self._oracle
        for job in oracle.accepted_s:
            if job in oracle.cancelled_s:
                continue
            for number, step in enumerate(oracle.submitted[job].steps):
                if step.is_long_running:
                    for task in range(step.task_count):
                        yield TaskKey(job, 0, number, task), step

    def _has_room(self, task: TaskKey, step: Step) -> bool:
        pool = self._oracle.submitted[task.job].pool
        return has_room(self._workers, pool, task, step)
