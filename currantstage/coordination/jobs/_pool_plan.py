"""Sizes pools by what their queues ask now; answers queues that are busy by turns."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from currantstage.coordination.jobs._vm_table import VmGoal, VmWork
from currantstage.state.jobs import NO_RESOURCES, Resources

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from currantstage.coordination.jobs._tuning import SchedulerTuning
    from currantstage.coordination.jobs._vm_table import VmState, VmTable
    from currantstage.state import PoolId

#: Time from the end of a move until the VM's worker takes starts, in seconds.
REGISTRATION_S = 0.3
#: Share of a pool's cores that arriving work should take at most.
MAX_UTILISATION = 0.8
#: How long a VM has to be surplus until another pool gets it, in seconds.
LEND_AFTER_S = 0.4


@dataclass(frozen=True, slots=True)
class PoolDemand:
    """What a pool is asked for now.

    Parameters
    ----------
    long_running : Resources
        What the tasks take that have no end.
    remaining_core_s : float
        Work of all other tasks of open jobs, in core-seconds.
    arriving_cores : float
        Work that arrives, in core-seconds a second.
    capacity_cores : float
        What the pool's workers offer now.
    min_vms : int
        Fewest VMs that its long-running steps can be spread over.
    """

    long_running: Resources = NO_RESOURCES
    remaining_core_s: float = 0.0
    arriving_cores: float = 0.0
    capacity_cores: float = 0.0
    min_vms: int = 0


@dataclass(frozen=True, slots=True)
class PoolSize:
    """How many VMs a pool has, or will have, and how many it asks for."""

    vms: int
    wanted_vms: int
    demand: PoolDemand

    @property
    def surplus(self) -> int:
        """VMs beyond what the pool asks for."""
        return self.vms - self.wanted_vms


class PoolSizing(Protocol):
    """Decides how many VMs a pool should have."""

    def wanted_vms(self, demand: PoolDemand, capacity: Resources) -> int:
        """Return the number of VMs of `capacity` that `demand` calls for."""


class DemandSizing:
    """As many VMs as keep up with what arrives, and work off what has piled up.

    A VM takes some time to arrive, so that the work is foreseen for that time: what
    arrives goes on, and the pool works with what it has.

    Parameters
    ----------
    tuning : SchedulerTuning
    """

    def __init__(self, tuning: SchedulerTuning) -> None:
        self._min_vms = tuning.min_vms_per_pool
        self._horizon_s = tuning.demand_horizon_ms / 1000
        self._lead_s = tuning.move_ms / 1000 + REGISTRATION_S

    def wanted_vms(self, demand: PoolDemand, capacity: Resources) -> int:
        """Return the number of VMs of `capacity` that `demand` calls for."""
        lasting = demand.long_running
        free_cores = demand.capacity_cores - lasting.cpu_millicores / 1000
        growth = max(0.0, demand.arriving_cores - free_cores) * self._lead_s
        in_progress = demand.arriving_cores * self._horizon_s
        piled_up = max(0.0, demand.remaining_core_s + growth - in_progress)
        cores = lasting.cpu_millicores / 1000
        cores += demand.arriving_cores / MAX_UTILISATION + piled_up / self._horizon_s
        by_cpu = cores * 1000 / max(1, capacity.cpu_millicores)
        by_memory = lasting.memory_mb / max(1, capacity.memory_mb)
        wanted = math.ceil(max(by_cpu, by_memory))
        return max(self._min_vms, demand.min_vms, wanted)


class FixedSizing:
    """Asks for the VMs that each pool has: the baseline of other policies."""

    def wanted_vms(self, demand: PoolDemand, capacity: Resources) -> int:
        """Return a number that no pool exceeds and none falls short of."""
        return 0


class PoolPlan:
    """Sets goals on VMs that another pool needs, or that no pool does.

    Parameters
    ----------
    vms : VmTable
    sizing : PoolSizing
    surplus_s : float
        How long a pool has more VMs than it asks for until it gives one up.
    """

    def __init__(self, vms: VmTable, sizing: PoolSizing, surplus_s: float) -> None:
        self._vms = vms
        self._sizing = sizing
        self._surplus_for_s = surplus_s
        self._since_s: dict[PoolId, float] = {}
        #: What the last plan went by.
        self.sizes: dict[PoolId, PoolSize] = {}

    def choose(
        self,
        demands: Mapping[PoolId, PoolDemand],
        spare_pool: PoolId | None,
        load: Callable[[VmState], float],
        now_s: float,
    ) -> None:
        """Set goals; pools that ask for more are served before VMs are given back."""
        self.sizes = {
            pool: self._size(pool, demand) for pool, demand in demands.items()
        }
        balance = {pool: size.surplus for pool, size in self.sizes.items()}
        idle = [vm for vm in self._vms.states() if vm.goal is None and vm.is_up]
        givers = [vm for vm in idle if vm.record.pool == spare_pool]
        unneeded: list[VmState] = []
        for pool, surplus in balance.items():
            own = sorted((vm for vm in idle if vm.record.pool == pool), key=load)
            surplus_s = self._surplus_s(pool, surplus, now_s)
            if surplus_s >= LEND_AFTER_S:
                givers.extend(own[:surplus])
            if surplus_s >= self._surplus_for_s:
                unneeded.extend(own[:surplus])
        for pool in sorted(balance, key=lambda each: balance[each]):
            while balance[pool] < 0 and givers:
                self._move(givers.pop(0), pool, now_s)
                balance[pool] += 1
        for vm in unneeded:
            if spare_pool is not None and vm.goal is None:
                self._move(vm, spare_pool, now_s)

    def _size(self, pool: PoolId, demand: PoolDemand) -> PoolSize:
        coming = [vm for vm in self._vms.states() if vm.target_pool() == pool]
        capacity = coming[0].record.capacity if coming else Resources(1, 1)
        wanted = self._sizing.wanted_vms(demand, capacity)
        return PoolSize(len(coming), wanted, demand)

    def _surplus_s(self, pool: PoolId, surplus: int, now_s: float) -> float:
        """Return for how long a pool has had more VMs than it asks for."""
        if surplus <= 0:
            self._since_s.pop(pool, None)
            return -1.0
        return now_s - self._since_s.setdefault(pool, now_s)

    def _move(self, vm: VmState, pool: PoolId, now_s: float) -> None:
        self._vms.set_goal(vm, VmGoal(VmWork.MOVE, pool=pool), now_s)
