"""Watch for jobs of which nothing runs although a pool has room for them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from currantstage.state.jobs import NO_RESOURCES

if TYPE_CHECKING:
    from currantstage.coordination.jobs import JobRecord
    from currantstage.state import PoolId
    from currantstage.state.jobs import JobId
    from tests.jobs.loaded_fleet import LoadedFleet

#: Time for which an accepted job may stand still beside room for it, in seconds.
MAX_STANDING_S = 3.0


class StandingJobs:
    """Measures for how long jobs stand still, turn by turn.

    A job counts if it has a waiting task and no run, while under half of the capacity
    of its pool's workers is in use. Cordoned and paused workers have room as well.

    Parameters
    ----------
    fleet : LoadedFleet
    """

    def __init__(self, fleet: LoadedFleet) -> None:
        self._fleet = fleet
        self._since_s: dict[JobId, float] = {}
        #: Longest time that each job has stood still, in seconds.
        self.longest_s: dict[JobId, float] = {}

    @property
    def stood_too_long(self) -> int:
        """Number of jobs that stood still for longer than `MAX_STANDING_S`."""
        return sum(each > MAX_STANDING_S for each in self.longest_s.values())

    def observe(self) -> None:
        """Note which jobs stand still now."""
        now_s = self._fleet.now_s
        standing = {job.job for job in self._standing()}
        self._since_s = {job: self._since_s.get(job, now_s) for job in standing}
        for job, since_s in self._since_s.items():
            longest_s = self.longest_s.get(job, 0.0)
            self.longest_s[job] = max(longest_s, now_s - since_s)

    def _standing(self) -> list[JobRecord]:
        scheduler = self._fleet.scheduler
        return [
            step.job
            for step in scheduler.jobs.ready_steps()
            if step.waiting_tasks(self._fleet.now_s)
            and not step.job.runs()
            and self._is_half_free(scheduler.pool_of(step.job))
        ]

    def _is_half_free(self, pool: PoolId) -> bool:
        used = capacity = NO_RESOURCES
        for worker in self._fleet.scheduler.workers.in_pool(pool):
            if worker.is_listed and not worker.is_retired:
                used = used.plus(worker.used)
                capacity = capacity.plus(worker.entry.capacity)
        return 2 * used.cpu_millicores < capacity.cpu_millicores
