"""Watches for how long jobs stand although workers have room for them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from currantstage.standin.jobs._free_room import has_room
from currantstage.state.jobs import TaskKey

if TYPE_CHECKING:
    from currantstage.standin.jobs import SimulatedSite
    from currantstage.state.jobs import JobId

#: Interval between checks, in seconds.
CHECK_INTERVAL_S = 0.02


class StandingWatch:
    """Records how long accepted jobs of one step have no task at work.

    Time in which too few workers have room for a task doesn't count.

    Parameters
    ----------
    site : SimulatedSite
    """

    def __init__(self, site: SimulatedSite) -> None:
        self._site = site
        self._since_s: dict[JobId, float] = {}
        #: Longest time that a job has stood, in seconds, and which one.
        self.longest_s = 0.0
        self.longest_job: JobId | None = None

    async def run(self, duration_s: float) -> None:
        """Check at intervals, for `duration_s`."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + duration_s
        while loop.time() < end_s:
            self._check(loop.time())
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _check(self, now_s: float) -> None:
        for job in self._site.oracle.accepted_s:
            if not self._stands(job):
                self._since_s.pop(job, None)
                continue
            standing_s = now_s - self._since_s.setdefault(job, now_s)
            if standing_s > self.longest_s:
                self.longest_s, self.longest_job = standing_s, job

    def _stands(self, job: JobId) -> bool:
        oracle = self._site.oracle
        (step,) = oracle.submitted[job].steps
        tasks = [TaskKey(job, 0, 0, number) for number in range(step.task_count)]
        if all(task in oracle.done for task in tasks):
            return False
        if any(oracle.running.get(task) for task in tasks):
            return False
        pool = oracle.submitted[job].pool
        return has_room(self._site.workers, pool, tasks[0], step)
