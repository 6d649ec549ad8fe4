"""Sizing of pools by current demand, as the load shifts from queue to queue."""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Protocol

from currantstage.coordination.jobs._vm_table import VmGoal, VmWork
from currantstage.state.jobs import NO_RESOURCES, Resources

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from currantstage.coordination.jobs._tuning import SchedulerTuning
    from currantstage.coordination.jobs._vm_table import VmState, VmTable
    from currantstage.state import PoolId

#: Time from the end of a move until the VM's worker accepts tasks, in seconds.
REGISTRATION_S = 0.3
#: Maximum share of a pool's cores that arriving work should use.
MAX_UTILISATION = 0.8
#: Maximum number of VMs requested for long-running tasks that have no place, beyond
#: those that the demand calls for.
MAX_EXTRA_VMS = 4
#: Maximum share of a pool's wanted VMs that are replaced while they are dark.
MAX_REPLACED_SHARE = 0.5
#: How long a pool must have surplus VMs before another pool gets them, in seconds.
REASSIGN_AFTER_S = 0.4


@dataclass(frozen=True, slots=True)
class PoolDemand:
    """Current demand on a pool.

    Parameters
    ----------
    long_running : Resources
        Resources of the long-running tasks.
    remaining_core_s : float
        Remaining work of all other tasks of open jobs, in core-seconds.
    arriving_cores : float
        Arriving work, in core-seconds per second.
    capacity_cores : float
        Cores of the workers that accept tasks now.
    min_vms : int
        Minimum number of VMs that its long-running steps need.
    missing_vms : int
        VMs needed for long-running tasks that have no place on a VM that is present.
    """

    long_running: Resources = NO_RESOURCES
    remaining_core_s: float = 0.0
    arriving_cores: float = 0.0
    capacity_cores: float = 0.0
    min_vms: int = 0
    missing_vms: int = 0


@dataclass(frozen=True, slots=True)
class PoolSize:
    """Number of VMs in a pool or moving to it, without dark ones, and wanted."""

    vms: int
    wanted_vms: int
    demand: PoolDemand

    @property
    def surplus(self) -> int:
        """Number of VMs beyond those wanted."""
        return self.vms - self.wanted_vms


class VmPresence(Enum):
    """Whether a VM of a pool can run tasks.

    A VM that is down for maintenance counts as joining: it returns about as soon as
    another VM could join.
    """

    PRESENT = "present"
    JOINING = "joining"
    DARK = "dark"


class PoolSizing(Protocol):
    """Decides how many VMs a pool should have."""

    def wanted_vms(self, demand: PoolDemand, capacity: Resources) -> int:
        """Return the number of VMs of `capacity` that `demand` calls for."""


class DemandSizing:
    """Sizes a pool to keep up with arriving work and to clear its backlog.

    Moving a VM takes time, so the backlog is projected to the end of a move, assuming
    that work keeps arriving at the same rate and that the capacity stays as it is.

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
        long_running = demand.long_running
        free_cores = demand.capacity_cores - long_running.cpu_millicores / 1000
        backlog_growth = max(0.0, demand.arriving_cores - free_cores) * self._lead_s
        in_progress = demand.arriving_cores * self._horizon_s
        backlog = max(0.0, demand.remaining_core_s + backlog_growth - in_progress)
        cores = long_running.cpu_millicores / 1000
        cores += demand.arriving_cores / MAX_UTILISATION + backlog / self._horizon_s
        by_cpu = cores * 1000 / max(1, capacity.cpu_millicores)
        by_memory = long_running.memory_mb / max(1, capacity.memory_mb)
        wanted = math.ceil(max(by_cpu, by_memory))
        return max(self._min_vms, demand.min_vms, wanted)


class FixedSizing:
    """Leaves the size of each pool as it is; a baseline for other policies."""

    def wanted_vms(self, demand: PoolDemand, capacity: Resources) -> int:
        """Return 0, so that no pool ever lacks VMs."""
        return 0


class PoolPlan:
    """Moves VMs to pools that need them, and surplus VMs to the spare pool.

    Parameters
    ----------
    vms : VmTable
    sizing : PoolSizing
    surplus_s : float
        How long a pool must have surplus VMs before it releases them.
    """

    def __init__(self, vms: VmTable, sizing: PoolSizing, surplus_s: float) -> None:
        self._vms = vms
        self._sizing = sizing
        self._release_after_s = surplus_s
        self._surplus_since_s: dict[PoolId, float] = {}
        #: Sizes of the pools in the last plan.
        self.sizes: dict[PoolId, PoolSize] = {}

    def choose(
        self,
        demands: Mapping[PoolId, PoolDemand],
        spare_pool: PoolId | None,
        load: Callable[[VmState], float],
        may_move: Callable[[VmState], bool],
        presence: Callable[[VmState], VmPresence],
        now_s: float,
    ) -> None:
        """Set goals on VMs; pools that lack VMs come before the spare pool.

        A move to the spare pool is reconsidered until its order is sent.

        Parameters
        ----------
        load : callable
            Returns the amount of work to drain from a VM.
        may_move : callable
            Returns whether a VM can be emptied, and reserves what that takes.
        presence : callable
            Returns the presence of a VM in the pool that it is in or moves to.
        """
        self.sizes = {
            pool: self._size(pool, demand, presence) for pool, demand in demands.items()
        }
        balance = {pool: size.surplus for pool, size in self.sizes.items()}
        leaving = self._keep_needed(self._leaving(spare_pool), balance)
        idle = [vm for vm in self._vms.states() if vm.goal is None and vm.is_up]
        donors = [vm for vm in idle if vm.record.pool == spare_pool]
        donors.extend(sorted(leaving, key=load))
        unneeded: list[VmState] = []
        for pool, surplus in balance.items():
            own = sorted((vm for vm in idle if vm.record.pool == pool), key=load)
            surplus_s = self._surplus_s(pool, surplus, now_s)
            if surplus_s >= REASSIGN_AFTER_S:
                donors.extend(self._working_surplus(own, self.sizes[pool], presence))
            if surplus_s >= self._release_after_s:
                unneeded.extend(own[:surplus])
        for pool in sorted(balance, key=lambda each: balance[each]):
            while balance[pool] < 0 and donors:
                vm = donors.pop(0)
                if may_move(vm):
                    self._move(vm, pool, now_s)
                    balance[pool] += 1
        for vm in unneeded:
            if spare_pool is not None and vm.goal is None and may_move(vm):
                self._move(vm, spare_pool, now_s)

    def _size(
        self,
        pool: PoolId,
        demand: PoolDemand,
        presence: Callable[[VmState], VmPresence],
    ) -> PoolSize:
        members = [vm for vm in self._vms.states() if vm.target_pool() == pool]
        capacity = members[0].record.capacity if members else Resources(1, 1)
        wanted = self._sizing.wanted_vms(demand, capacity)
        counts = Counter(map(presence, members))
        vms = len(members) - min(_max_replaced(wanted), counts[VmPresence.DARK])
        if demand.missing_vms:
            with_missing = vms + demand.missing_vms - counts[VmPresence.JOINING]
            wanted = max(wanted, min(with_missing, wanted + MAX_EXTRA_VMS))
        return PoolSize(vms, wanted, demand)

    def _working_surplus(
        self,
        own: list[VmState],
        size: PoolSize,
        presence: Callable[[VmState], VmPresence],
    ) -> list[VmState]:
        """Return the first of a pool's own VMs that it can spare, without dark ones."""
        working = [vm for vm in own if presence(vm) is not VmPresence.DARK]
        dark = len(own) - len(working)
        counted_dark = max(0, dark - _max_replaced(size.wanted_vms))
        return working[: max(0, size.surplus - counted_dark)]

    def _surplus_s(self, pool: PoolId, surplus: int, now_s: float) -> float:
        """Return how long a pool has had surplus VMs; negative if it has none."""
        if surplus <= 0:
            self._surplus_since_s.pop(pool, None)
            return -1.0
        return now_s - self._surplus_since_s.setdefault(pool, now_s)

    def _leaving(self, spare_pool: PoolId | None) -> list[VmState]:
        """Return the VMs that are being drained to move to the spare pool."""
        return [
            vm
            for vm in self._vms.states()
            if vm.goal is not None
            and vm.goal.work is VmWork.MOVE
            and vm.goal.pool == spare_pool
            and vm.is_up
        ]

    def _keep_needed(
        self, leaving: list[VmState], balance: dict[PoolId, int]
    ) -> list[VmState]:
        """Keep the VMs that their own pools need again; return the others."""
        others = []
        for vm in leaving:
            if balance.get(vm.record.pool, 0) < 0:
                self._vms.clear_goal(vm)
                balance[vm.record.pool] += 1
            else:
                others.append(vm)
        return others

    def _move(self, vm: VmState, pool: PoolId, now_s: float) -> None:
        planned_s = vm.goal_set_s if vm.goal is not None else now_s
        self._vms.set_goal(vm, VmGoal(VmWork.MOVE, pool=pool), planned_s)


def _max_replaced(wanted_vms: int) -> int:
    """Return how many dark VMs of a pool are replaced at most."""
    return math.ceil(wanted_vms * MAX_REPLACED_SHARE)
