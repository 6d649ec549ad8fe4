"""Moves of VMs between pools, as the load shifts from queue to queue."""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from currantstage.coordination.jobs._pool_sizing import WantedVms
from currantstage.coordination.jobs._vm_table import VmGoal, VmWork
from currantstage.state.jobs import NO_RESOURCES

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from currantstage.coordination.jobs._pool_demand import PoolDemand
    from currantstage.coordination.jobs._pool_sizing import PoolSizing
    from currantstage.coordination.jobs._vm_division import VmDivision
    from currantstage.coordination.jobs._vm_table import VmState, VmTable
    from currantstage.state import PoolId

#: Maximum number of VMs requested for long-running tasks that have no place, beyond
#: those that the demand calls for.
MAX_EXTRA_VMS = 4
#: Maximum share of a pool's wanted VMs that are replaced while they are dark.
MAX_REPLACED_SHARE = 0.5
#: Ratio by which the VMs of pools may differ from their shares when there aren't
#: enough: each move takes the time of a VM from all pools.
SHARE_TOLERANCE = 1.5
#: How long a pool must have surplus VMs before another pool gets them, in seconds.
REASSIGN_AFTER_S = 0.4


@dataclass(frozen=True, slots=True)
class PoolSize:
    """Number of VMs of a pool.

    Parameters
    ----------
    vms : int
        VMs in the pool or moving to it, without dark ones.
    wanted : WantedVms
        VMs that the demand calls for.
    share_vms : int
        VMs that the pool is to have: fewer than wanted if there aren't enough.
    demand : PoolDemand
    """

    vms: int
    wanted: WantedVms
    share_vms: int
    demand: PoolDemand

    @property
    def wanted_vms(self) -> int:
        """Number of VMs that the demand calls for."""
        return self.wanted.all

    @property
    def is_starved(self) -> bool:
        """Whether the pool has much less than its share."""
        return self.vms * SHARE_TOLERANCE < self.share_vms

    def surplus(self, *, gives_all: bool) -> int:
        """Return the number of VMs beyond those that the pool keeps.

        It keeps some over its share for jobs that can meet their objective, unless it
        `gives_all`. The result is negative if the pool lacks VMs of its share.
        """
        kept = self.share_vms
        if not gives_all:
            tolerated = math.ceil(self.share_vms * SHARE_TOLERANCE)
            kept = max(kept, min(self.wanted.in_time, tolerated))
        if self.vms > kept:
            return self.vms - kept
        return min(0, self.vms - self.share_vms)


class VmPresence(Enum):
    """Whether a VM of a pool can run tasks.

    A VM that is down for maintenance counts as joining: it returns about as soon as
    another VM could join.
    """

    PRESENT = "present"
    JOINING = "joining"
    DARK = "dark"


class PoolPlan:
    """Moves VMs to pools that need them, and surplus VMs to the spare pool.

    Parameters
    ----------
    vms : VmTable
    sizing : PoolSizing
    division : VmDivision
    surplus_s : float
        How long a pool must have surplus VMs before it releases them.
    """

    def __init__(
        self, vms: VmTable, sizing: PoolSizing, division: VmDivision, surplus_s: float
    ) -> None:
        self._vms = vms
        self._sizing = sizing
        self._division = division
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

        A move is reconsidered until its order is sent: a VM stays if its own pool can
        use it better, and one that is to be spare may join another pool.

        Parameters
        ----------
        load : callable
            Returns the amount of work to drain from a VM.
        may_move : callable
            Returns whether a VM can be emptied, and reserves what that takes.
        presence : callable
            Returns the presence of a VM in the pool that it is in or moves to.
        """
        self.sizes = self._sizes(demands, spare_pool, presence)
        gives_all = any(each.is_starved for each in self.sizes.values())
        balance = {
            pool: size.surplus(gives_all=gives_all) for pool, size in self.sizes.items()
        }
        self._keep_needed(balance)
        idle = [vm for vm in self._vms.states() if vm.goal is None and vm.is_up]
        donors = [vm for vm in idle if vm.record.pool == spare_pool]
        donors.extend(sorted(self._leaving_to(spare_pool), key=load))
        unneeded: list[VmState] = []
        for pool, surplus in balance.items():
            own = sorted((vm for vm in idle if vm.record.pool == pool), key=load)
            surplus_s = self._surplus_s(pool, surplus, now_s)
            if surplus_s >= REASSIGN_AFTER_S:
                share = self.sizes[pool].share_vms
                donors.extend(_working_surplus(own, surplus, share, presence))
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

    def _sizes(
        self,
        demands: Mapping[PoolId, PoolDemand],
        spare_pool: PoolId | None,
        presence: Callable[[VmState], VmPresence],
    ) -> dict[PoolId, PoolSize]:
        wanted: dict[PoolId, WantedVms] = {}
        present: dict[PoolId, int] = {}
        for pool, demand in demands.items():
            members = [vm for vm in self._vms.states() if vm.target_pool() == pool]
            # A pool without VMs is sized by those that it could get.
            model = next(iter(members or self._vms.states()), None)
            capacity = model.record.capacity if model is not None else NO_RESOURCES
            counts = Counter(map(presence, members))
            wants = self._sizing.wanted_vms(demand, capacity)
            replaced = min(_max_replaced(wants.all), counts[VmPresence.DARK])
            present[pool] = len(members) - replaced
            wanted[pool] = _with_missing(wants, demand, present[pool], counts)
        spare = sum(vm.target_pool() == spare_pool for vm in self._vms.states())
        shares = self._division.divide(wanted, sum(present.values()) + spare)
        return {
            pool: PoolSize(present[pool], wanted[pool], shares[pool], demand)
            for pool, demand in demands.items()
        }

    def _surplus_s(self, pool: PoolId, surplus: int, now_s: float) -> float:
        """Return how long a pool has had surplus VMs; negative if it has none."""
        if surplus <= 0:
            self._surplus_since_s.pop(pool, None)
            return -1.0
        return now_s - self._surplus_since_s.setdefault(pool, now_s)

    def _unsent_moves(self) -> list[VmState]:
        """Return the VMs that are being drained to move."""
        return [
            vm
            for vm in self._vms.states()
            if vm.goal is not None and vm.goal.work is VmWork.MOVE and vm.is_up
        ]

    def _leaving_to(self, pool: PoolId | None) -> list[VmState]:
        """Return the VMs that are being drained to move to `pool`."""
        return [vm for vm in self._unsent_moves() if vm.target_pool() == pool]

    def _keep_needed(self, balance: dict[PoolId, int]) -> None:
        """Give up the moves of VMs that their own pools can use better."""
        for vm in self._unsent_moves():
            own, other = vm.record.pool, vm.target_pool()
            if not _is_needless(balance.get(own, 0), balance.get(other)):
                continue
            self._vms.clear_goal(vm)
            for pool, change in ((own, 1), (other, -1)):
                if pool in balance:
                    balance[pool] += change

    def _move(self, vm: VmState, pool: PoolId, now_s: float) -> None:
        planned_s = vm.goal_set_s if vm.goal is not None else now_s
        self._vms.set_goal(vm, VmGoal(VmWork.MOVE, pool=pool), planned_s)


def _is_needless(own_surplus: int, other_surplus: int | None) -> bool:
    """Return whether a move would take a VM to where it is needed less.

    The spare pool has no surplus.
    """
    if other_surplus is None:
        return own_surplus < 0
    return other_surplus > max(0, own_surplus)


def _max_replaced(wanted_vms: int) -> int:
    """Return how many dark VMs of a pool are replaced at most."""
    return math.ceil(wanted_vms * MAX_REPLACED_SHARE)


def _with_missing(
    wants: WantedVms, demand: PoolDemand, vms: int, counts: Counter[VmPresence]
) -> WantedVms:
    """Return what a pool wants with VMs for long-running tasks without a place."""
    if not demand.missing_vms:
        return wants
    with_missing = vms + demand.missing_vms - counts[VmPresence.JOINING]

    def extended(count: int) -> int:
        return max(count, min(with_missing, count + MAX_EXTRA_VMS))

    return WantedVms(
        extended(wants.required), extended(wants.in_time), extended(wants.all)
    )


def _working_surplus(
    own: list[VmState],
    surplus: int,
    share_vms: int,
    presence: Callable[[VmState], VmPresence],
) -> list[VmState]:
    """Return the first of a pool's own VMs that it can spare, without dark ones."""
    working = [vm for vm in own if presence(vm) is not VmPresence.DARK]
    dark = len(own) - len(working)
    counted_dark = max(0, dark - _max_replaced(share_vms))
    return working[: max(0, surplus - counted_dark)]
