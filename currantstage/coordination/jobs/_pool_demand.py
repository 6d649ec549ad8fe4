"""Demand on each pool, by what its jobs can still be worth to their callers."""

from __future__ import annotations

import math
from collections import defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from currantstage.coordination.jobs._ordering import Timeliness, job_timeliness
from currantstage.state.jobs import NO_RESOURCES, Resources

if TYPE_CHECKING:
    from collections.abc import Callable

    from currantstage.coordination.jobs._records import StepRecord
    from currantstage.coordination.jobs._scheduler import Scheduler
    from currantstage.state import PoolId


@dataclass(slots=True)
class WorkDemand:
    """Work of the tasks that are not long-running of some open jobs.

    Parameters
    ----------
    remaining_core_s : float
        All work that is left, in core-seconds.
    ready_cores : float
        Cores that its tasks use at once that run or could run now.
    """

    remaining_core_s: float = 0.0
    ready_cores: float = math.inf

    def cores(self, within_s: float) -> float:
        """Return how many cores the work can use so as to be done `within_s`."""
        return min(self.remaining_core_s / within_s, self.ready_cores)


@dataclass(frozen=True, slots=True)
class PoolDemand:
    """Current demand on a pool.

    Parameters
    ----------
    long_running : Resources
        Resources of the long-running tasks.
    in_time, late, expired : WorkDemand
        Work of jobs that can meet their objective, of those that can only be served
        late, and of those that can't be served any more.
    arriving_cores : float
        Arriving work, in core-seconds per second.
    arriving_ready_cores : float
        Cores for which the first tasks of new jobs ask each second.
    capacity_cores : float
        Cores of the workers that accept tasks now.
    min_vms : int
        Minimum number of VMs that its long-running steps need.
    missing_vms : int
        VMs needed for long-running tasks that have no place on a VM that is present.
    """

    long_running: Resources = NO_RESOURCES
    in_time: WorkDemand = field(default_factory=WorkDemand)
    late: WorkDemand = field(default_factory=WorkDemand)
    expired: WorkDemand = field(default_factory=WorkDemand)
    arriving_cores: float = 0.0
    arriving_ready_cores: float = 0.0
    capacity_cores: float = 0.0
    min_vms: int = 0
    missing_vms: int = 0


class DemandMeter:
    """Measures the demand on each pool.

    Parameters
    ----------
    scheduler : Scheduler
    missing_vms : callable
        Returns how many VMs the long-running tasks of a pool lack.
    """

    def __init__(
        self, scheduler: Scheduler, missing_vms: Callable[[PoolId], int]
    ) -> None:
        self._scheduler = scheduler
        self._missing_vms = missing_vms

    def measure(self, now_s: float) -> dict[PoolId, PoolDemand]:
        """Return the demand on each pool but the spare one."""
        capacity_cores = self._capacity_cores(now_s)
        work = self._work(now_s)
        long_running, min_vms = self._long_running()
        arrivals = self._scheduler.arrivals
        return {
            each.pool: PoolDemand(
                long_running=long_running[each.pool],
                in_time=work[each.pool, Timeliness.IN_TIME],
                late=work[each.pool, Timeliness.LATE],
                expired=work[each.pool, Timeliness.EXPIRED],
                arriving_cores=arrivals.rate_cores(each.pool, now_s),
                arriving_ready_cores=arrivals.ready_cores_per_s(each.pool, now_s),
                capacity_cores=capacity_cores[each.pool],
                min_vms=min_vms[each.pool],
                missing_vms=self._missing_vms(each.pool),
            )
            for each in self._scheduler.configuration.pools
            if not each.is_spare
        }

    def _capacity_cores(self, now_s: float) -> dict[PoolId, float]:
        capacity_cores: dict[PoolId, float] = defaultdict(float)
        for worker_state in self._scheduler.workers.states():
            if worker_state.accepts_starts(now_s):
                entry = worker_state.entry
                capacity_cores[entry.pool] += entry.capacity.cpu_millicores / 1000
        return capacity_cores

    def _work(self, now_s: float) -> dict[tuple[PoolId, Timeliness], WorkDemand]:
        work: dict[tuple[PoolId, Timeliness], WorkDemand] = defaultdict(
            lambda: WorkDemand(ready_cores=0.0)
        )
        configuration = self._scheduler.configuration
        for record in self._scheduler.jobs.open_jobs():
            if not record.remaining_short_core_s:
                continue
            queue = configuration.queue(record.submission.queue)
            timeliness = job_timeliness(record, queue, now_s)
            demand = work[self._scheduler.pool_of(record), timeliness]
            demand.remaining_core_s += record.remaining_short_core_s
            demand.ready_cores += record.ready_short_cores
        return work

    def _long_running(self) -> tuple[dict[PoolId, Resources], dict[PoolId, int]]:
        """Return the resources of long-running tasks, and the VMs that they need."""
        resources: dict[PoolId, Resources] = defaultdict(lambda: NO_RESOURCES)
        min_vms: dict[PoolId, int] = defaultdict(int)
        for record in self._scheduler.jobs.open_jobs():
            if not record.long_running_steps:
                continue
            pool = self._scheduler.pool_of(record)
            for step in record.long_running_steps:
                amount = step.step.reserved_resources.times(len(step.tasks))
                resources[pool] = resources[pool].plus(amount)
                min_vms[pool] = max(min_vms[pool], _min_workers(step))
        return resources, min_vms


def _min_workers(step: StepRecord) -> int:
    """Return the minimum number of workers that a long-running step needs."""
    if not step.step.is_long_running or not step.step.max_per_worker:
        return 0
    return -(-len(step.tasks) // step.step.max_per_worker)
