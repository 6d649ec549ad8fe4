"""Maintenance and moves of VMs, which first have to be drained."""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING

from currantstage.coordination.jobs._evacuation_plan import EvacuationPlan
from currantstage.coordination.jobs._maintenance_plan import MaintenancePlan
from currantstage.coordination.jobs._pool_demand import DemandMeter
from currantstage.coordination.jobs._pool_plan import PoolPlan, VmPresence
from currantstage.coordination.jobs._pool_sizing import DemandSizing
from currantstage.coordination.jobs._vm_division import MaxMinDivision
from currantstage.coordination.jobs._vm_order_breaker import VmOrderBreaker
from currantstage.coordination.jobs._vm_table import VmOrder, VmState, VmTable, VmWork
from currantstage.coordination.jobs._vm_workers import PLANNED_CONDITIONS, VmWorkers
from currantstage.state.jobs import (
    NO_RESOURCES,
    Resources,
    VmCondition,
    VmOrderOutcome,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from currantstage.coordination.jobs._maintenance_plan import WaveState
    from currantstage.coordination.jobs._pool_plan import PoolSize
    from currantstage.coordination.jobs._pool_sizing import PoolSizing
    from currantstage.coordination.jobs._scheduler import Scheduler
    from currantstage.coordination.jobs._tuning import SchedulerTuning
    from currantstage.coordination.jobs._vm_order_cooldown import VmOrderCooldown
    from currantstage.coordination.jobs._worker_state import WorkerState
    from currantstage.state import PoolId, VmId
    from currantstage.state.jobs import VmRecord, WorkerId

#: Weight of a long-running task in the choice of the VM that is easiest to drain, in
#: cores.
LONG_RUNNING_WEIGHT = 100.0
#: How long a VM that is to move waits for its tasks to end, in seconds.
MOVE_DRAIN_TIMEOUT_S = 6.0
#: Time within which the worker of a VM that is up registers, in seconds.
REGISTRATION_TIMEOUT_S = 1.0


@dataclass(frozen=True, slots=True)
class EndedWorker:
    """A worker that its VM has no more, by planned work or otherwise."""

    worker: WorkerId
    vm: VmId
    is_planned: bool


@dataclass(frozen=True, slots=True)
class ObservedWorkers:
    """What a list of VMs has shown of workers.

    Parameters
    ----------
    ended : list of EndedWorker
    reinstated : list of WorkerId
        Workers that were taken for ended and run on.
    """

    ended: list[EndedWorker]
    reinstated: list[WorkerId]


class FleetManager:
    """Decides which VM is maintained or moved next.

    Parameters
    ----------
    scheduler : Scheduler
    tuning : SchedulerTuning
    cooldown : VmOrderCooldown
    sizing : PoolSizing, optional
    """

    def __init__(
        self,
        scheduler: Scheduler,
        tuning: SchedulerTuning,
        cooldown: VmOrderCooldown,
        sizing: PoolSizing | None = None,
    ) -> None:
        self._scheduler = scheduler
        self.vms = VmTable(tuning)
        self._cooldown = cooldown
        self._vm_workers = VmWorkers(cooldown.inherited)
        self.breaker = VmOrderBreaker(self.vms, tuning)
        self.maintenance = MaintenancePlan(self.vms, cooldown, tuning)
        self._pools = PoolPlan(
            self.vms,
            sizing or DemandSizing(tuning),
            MaxMinDivision(),
            tuning.surplus_ms / 1000,
        )
        self._evacuation = EvacuationPlan(scheduler, self.vms)
        self._demand = DemandMeter(scheduler, self._missing_vms)
        self._is_fenced = False

    def observe(
        self, records: Iterable[VmRecord], requested_s: float
    ) -> ObservedWorkers:
        """Apply the platform's list of VMs, which was requested at `requested_s`."""
        self.breaker.record_list(requested_s, is_answered=True)
        listed = tuple(records)
        ended = [
            each
            for record in listed
            for each in self._end_former_workers(record, requested_s)
        ]
        reinstated = [
            worker
            for worker in self.vms.observe(listed, requested_s)
            if self._scheduler.reinstate_worker(worker)
        ]
        return ObservedWorkers(ended, reinstated)

    def plan(self, now_s: float) -> list[VmOrder]:
        """Set goals, drain VMs and return the orders that are due."""
        if self._is_fenced:
            self._give_up_unsent()
            self._scheduler.hold_room_for((), now_s)
            return []
        self.breaker.release_vms(now_s)
        self._cordon()
        self._evacuation.update(now_s)
        self.maintenance.choose(
            self._load, self._admitted(self._evacuation.may_maintain, now_s), now_s
        )
        self._pools.choose(
            self._demand.measure(now_s),
            self._spare_pool(),
            self._load,
            self._admitted(self._evacuation.may_move, now_s),
            partial(self._presence, now_s=now_s),
            now_s,
        )
        self._cordon()
        return [
            order
            for vm in self.vms.states()
            if vm.goal is not None
            for order in self._advance(vm, now_s)
        ]

    def on_list_failed(self, now_s: float) -> None:
        """Give up planned work, and room held for it, if the service doesn't answer."""
        self.breaker.record_list(now_s, is_answered=False)
        self.breaker.release_vms(now_s)
        self._cordon()
        self._evacuation.update(now_s)
        self._cordon()

    def on_order_outcome(
        self, order: VmOrder, outcome: VmOrderOutcome, now_s: float
    ) -> None:
        """Apply the outcome of an order."""
        self.breaker.record_order(order, outcome, now_s)
        if outcome is VmOrderOutcome.FENCED:
            # A later scheduler has sent orders for VMs, so this one must stop.
            self._is_fenced = True
        self._cooldown.record_outcome(order, outcome, now_s)
        done = self.vms.on_order_outcome(order, outcome, now_s)
        if done is not None:
            self._scheduler.retire_worker(done.ended_worker)
        wave = self.maintenance.waves.get(order.goal.wave)
        if not order.is_upkeep or wave is None:
            return
        skipped = outcome in (VmOrderOutcome.NOT_IN_WAVE, VmOrderOutcome.MALFORMED)
        if done is not None or skipped:
            wave.done.add(order.vm)
            self._cooldown.settle_upkeep(order.vm, wave.wave.number)

    def is_wave_done(self, wave: WaveState) -> bool:
        """Return whether every existing VM of the wave has been maintained."""
        return not self.maintenance.remaining(wave)

    @property
    def pool_sizes(self) -> Mapping[PoolId, PoolSize]:
        """Sizes of the pools in the last plan of moves."""
        return self._pools.sizes

    @property
    def is_busy(self) -> bool:
        """Whether any work on VMs is planned or in progress."""
        return bool(self.maintenance.open_waves()) or any(
            vm.goal is not None for vm in self.vms.states()
        )

    @property
    def cordoned_vms(self) -> int:
        """Number of VMs that are kept from running tasks for planned work."""
        return sum(vm.goal is not None for vm in self.vms.states())

    def _admitted(
        self, may_work: Callable[[VmState], bool], now_s: float
    ) -> Callable[[VmState], bool]:
        """Return `may_work`, restricted to the work that the breaker allows."""

        def may_begin(vm: VmState) -> bool:
            if not self.breaker.allows_work(now_s) or not may_work(vm):
                return False
            self.breaker.begin_work(vm, now_s)
            return True

        return may_begin

    def _give_up_unsent(self) -> None:
        """Give up the work on VMs for which no order has been sent."""
        for vm in self.vms.states():
            if vm.goal is not None and vm.sent_s is None:
                self.vms.clear_goal(vm)
        self._cordon()

    def _end_former_workers(
        self, record: VmRecord, requested_s: float
    ) -> list[EndedWorker]:
        """Release the runs of workers that a VM has no more; return these workers."""
        vm = record.vm
        is_planned = record.condition in PLANNED_CONDITIONS or self._cooldown.is_listed(
            vm, requested_s
        )
        return [
            EndedWorker(worker, vm, is_planned)
            for worker in sorted(self._vm_workers.observe(record))
            if self._scheduler.end_worker(worker, is_planned=is_planned)
        ]

    def _cordon(self) -> None:
        cordoned = {vm.record.worker for vm in self.vms.states() if vm.goal is not None}
        for worker_state in self._scheduler.workers.states():
            worker_state.is_cordoned = worker_state.entry.worker in cordoned

    def _advance(self, vm: VmState, now_s: float) -> list[VmOrder]:
        assert vm.goal is not None
        if vm.done_s is not None or vm.is_awaiting_answer or now_s < vm.retry_s:
            return []
        if not self.breaker.allows_order(vm, now_s):
            return []
        if not self._cooldown.may_order(vm.record.vm, now_s):
            return []
        wave = self.maintenance.waves.get(vm.goal.wave)
        if vm.sent_s is None:
            if not self._drain(vm, self._drain_timeout_s(vm, wave, now_s), now_s):
                return []
            if not self._may_send(vm, now_s):
                return []
        self.vms.record_sent(vm, now_s)
        return [VmOrder(vm.record.vm, vm.goal, vm.ended_worker)]

    def _may_send(self, vm: VmState, now_s: float) -> bool:
        """Return whether the order for a drained VM may be sent now."""
        assert vm.goal is not None
        if vm.goal.work is VmWork.MOVE:
            return True
        return self.maintenance.may_order(vm, now_s)

    def _drain_timeout_s(
        self, vm: VmState, wave: WaveState | None, now_s: float
    ) -> float:
        if wave is None:
            return MOVE_DRAIN_TIMEOUT_S
        return self.maintenance.drain_timeout_s(wave, now_s)

    def _drain(self, vm: VmState, drain_timeout_s: float, now_s: float) -> bool:
        """Stop the tasks on a VM that may be stopped; return whether it is drained."""
        worker_state = self._worker_state(vm)
        if worker_state is None:
            return True
        if (
            not worker_state.is_synced
            or worker_state.has_orphans
            or not worker_state.is_cordoned
        ):
            return False
        is_overdue = now_s - vm.goal_set_s > drain_timeout_s
        if is_overdue and self._evacuation.gives_up(vm):
            return False
        runs = list(worker_state.runs.values())
        has_short_runs = any(not run.step.is_long_running for run in runs)
        may_order = (is_overdue or not has_short_runs) and self._may_send(vm, now_s)
        for run in runs:
            if run.step.is_long_running:
                if self._evacuation.may_interrupt(
                    run, vm, is_overdue=is_overdue, may_order=may_order
                ):
                    self._scheduler.interrupt(run, now_s)
            elif is_overdue:
                self._scheduler.interrupt(run, now_s)
        return not worker_state.runs

    def _worker_state(self, vm: VmState) -> WorkerState | None:
        return self._scheduler.workers.get(vm.record.worker)

    def _presence(self, vm: VmState, now_s: float) -> VmPresence:
        """Return whether the VM can run tasks in the pool that it is in or moves to."""
        if vm.record.condition is VmCondition.DOWN:
            return VmPresence.DARK
        is_moving = vm.goal is not None and vm.goal.work is VmWork.MOVE
        if is_moving or vm.sent_s is not None:
            return VmPresence.JOINING
        if vm.record.condition is not VmCondition.UP:
            return VmPresence.JOINING
        worker_state = self._worker_state(vm)
        if worker_state is None:
            is_overdue = now_s - vm.listed_s > REGISTRATION_TIMEOUT_S
            return VmPresence.DARK if is_overdue else VmPresence.JOINING
        if worker_state.is_dark:
            return VmPresence.DARK
        if not worker_state.is_synced:
            return VmPresence.JOINING
        return VmPresence.PRESENT

    def _load(self, vm: VmState) -> float:
        """Return the amount of work to drain from the VM, in cores."""
        worker_state = self._worker_state(vm)
        if worker_state is None:
            return 0.0
        long_running = sum(
            run.step.is_long_running for run in worker_state.runs.values()
        )
        return (
            worker_state.used.cpu_millicores / 1000 + long_running * LONG_RUNNING_WEIGHT
        )

    def _missing_vms(self, pool: PoolId) -> int:
        """Return how many VMs the long-running tasks of a pool lack."""
        return self._evacuation.missing_vms(pool, self._vm_capacity(pool))

    def _vm_capacity(self, pool: PoolId) -> Resources:
        """Return the capacity of a VM of the pool."""
        capacities = (
            vm.record.capacity for vm in self.vms.states() if vm.record.pool == pool
        )
        return next(capacities, NO_RESOURCES)

    def _spare_pool(self) -> PoolId | None:
        pools = self._scheduler.configuration.pools
        return next((each.pool for each in pools if each.is_spare), None)
