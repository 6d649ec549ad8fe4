"""Number of VMs that the demand on a pool calls for."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from currantstage.coordination.jobs._pool_demand import PoolDemand
    from currantstage.coordination.jobs._tuning import SchedulerTuning
    from currantstage.state.jobs import Resources

#: Time from the end of a move until the VM's worker accepts tasks, in seconds.
REGISTRATION_S = 0.3
#: Maximum share of a pool's cores that arriving work should use.
MAX_UTILISATION = 0.8


@dataclass(frozen=True, slots=True)
class WantedVms:
    """Number of VMs that a pool wants, by what they are for; each includes the former.

    Parameters
    ----------
    required : int
        For its long-running tasks, and the least that a pool has.
    in_time : int
        So that jobs that can meet their objective do.
    all : int
        So that the other jobs are served as well.
    """

    required: int
    in_time: int
    all: int


class PoolSizing(Protocol):
    """Decides how many VMs a pool should have."""

    def wanted_vms(self, demand: PoolDemand, capacity: Resources) -> WantedVms:
        """Return the number of VMs of `capacity` that `demand` calls for."""


class DemandSizing:
    """Sizes a pool to keep up with arriving work and to clear its backlog.

    Moving a VM takes time, so the backlog is projected to the end of a move, assuming
    that work keeps arriving at the same rate and that the capacity stays as it is. No
    more cores are wanted than tasks could use by then: the later steps of a job can't
    run beside its first ones.

    Parameters
    ----------
    tuning : SchedulerTuning
    """

    def __init__(self, tuning: SchedulerTuning) -> None:
        self._min_vms = tuning.min_vms_per_pool
        self._horizon_s = tuning.demand_horizon_ms / 1000
        self._lead_s = tuning.move_ms / 1000 + REGISTRATION_S

    def wanted_vms(self, demand: PoolDemand, capacity: Resources) -> WantedVms:
        """Return the number of VMs of `capacity` that `demand` calls for."""
        long_running_cores = demand.long_running.cpu_millicores / 1000
        by_memory = demand.long_running.memory_mb / max(1, capacity.memory_mb)
        least = max(self._min_vms, demand.min_vms, math.ceil(by_memory))
        in_time_cores = long_running_cores + self._in_time_cores(demand)
        late_cores = demand.late.cores(self._horizon_s)
        late_cores += demand.expired.cores(self._horizon_s)
        vm_cores = max(1, capacity.cpu_millicores) / 1000
        return WantedVms(
            required=max(least, math.ceil(long_running_cores / vm_cores)),
            in_time=max(least, math.ceil(in_time_cores / vm_cores)),
            all=max(least, math.ceil((in_time_cores + late_cores) / vm_cores)),
        )

    def _in_time_cores(self, demand: PoolDemand) -> float:
        """Return the cores for jobs that can meet their objective, and for new ones."""
        free_cores = demand.capacity_cores - demand.long_running.cpu_millicores / 1000
        growth = max(0.0, demand.arriving_cores - free_cores) * self._lead_s
        in_progress = demand.arriving_cores * self._horizon_s
        backlog = max(0.0, demand.in_time.remaining_core_s + growth - in_progress)
        needed = demand.arriving_cores / MAX_UTILISATION + backlog / self._horizon_s
        arriving = demand.arriving_ready_cores * self._lead_s
        return min(needed, demand.in_time.ready_cores + arriving)


class FixedSizing:
    """Leaves the size of each pool as it is; a baseline for other policies."""

    def wanted_vms(self, demand: PoolDemand, capacity: Resources) -> WantedVms:
        """Return 0, so that no pool ever lacks VMs."""
        return WantedVms(0, 0, 0)
