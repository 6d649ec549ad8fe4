"""Maintenance and moves of VMs while this daemon is the scheduler."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

from eliot import log_message

from currantstage.coordination.jobs import FleetManager
from currantstage.state.jobs import StoreUnavailable, VmOrderOutcome
from currantstage.util import TaskSet, log_task_failure

if TYPE_CHECKING:
    from collections.abc import Callable

    from currantstage.application.jobs._configuration import ConfigurationFollower
    from currantstage.application.jobs._ports import SchedulerPorts
    from currantstage.application.jobs._repository import JobRepository
    from currantstage.coordination.jobs import (
        Scheduler,
        SchedulerTuning,
        VmOrder,
        VmOrderCooldown,
        WaveState,
    )
    from currantstage.state import PoolId
    from currantstage.state.jobs import Term

#: Interval between planning rounds, in seconds.
PLAN_INTERVAL_S = 0.2
#: Intervals between reads of the list of VMs while maintenance or moves are in
#: progress, and while none are, in seconds.
BUSY_LIST_INTERVAL_S = 0.4
IDLE_LIST_INTERVAL_S = 1.0
#: Pause after a failed attempt to store what has been maintained, in seconds.
RECORD_RETRY_S = 0.5


class OrderLister(Protocol):
    """Has the lease list a VM for which an order is about to be sent."""

    async def __call__(self, order: VmOrder) -> None:
        """Wait until the lease lists the order."""


class FleetDriver:
    """Plans maintenance and moves of VMs, and sends the orders.

    Parameters
    ----------
    scheduler : Scheduler
    term : Term
        Fencing token of the orders.
    vm_order_cooldown : VmOrderCooldown
    list_in_lease : OrderLister
    may_order : callable
        Whether orders may be sent: no other daemon can have taken the scheduler's
        lease, and it is not to be released.
    send_orders : callable
        Sends the stop orders for runs on VMs that are to be emptied.
    start_renewals : callable
        Starts renewing the leases of workers that are called again.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        term: Term,
        vm_order_cooldown: VmOrderCooldown,
        list_in_lease: OrderLister,
        may_order: Callable[[], bool],
        send_orders: Callable[[], None],
        start_renewals: Callable[[], None],
        repository: JobRepository,
        follower: ConfigurationFollower,
        ports: SchedulerPorts,
        tuning: SchedulerTuning,
    ) -> None:
        self._manager = FleetManager(scheduler, tuning, vm_order_cooldown)
        self._term = term
        self._list_in_lease = list_in_lease
        self._may_order = may_order
        self._send_orders = send_orders
        self._start_renewals = start_renewals
        self._repository = repository
        self._follower = follower
        self._ports = ports
        self._listed_s = float("-inf")
        self._is_service_failing = False
        self._is_reporting = False
        self._logged_sizes: dict[PoolId, tuple[int, int]] = {}
        self._tasks = TaskSet()

    async def run(self) -> None:
        """Plan and send orders until cancelled."""
        try:
            while True:
                await self._run_once()
                await asyncio.sleep(PLAN_INTERVAL_S)
        finally:
            await self._tasks.close()

    async def _run_once(self) -> None:
        if not self._may_order():
            return
        await self._load_waves()
        is_listed = await self._list_vms()
        if not self._may_order():
            return
        now_s = self._ports.clock.now_s()
        if is_listed:
            for order in self._manager.plan(now_s):
                self._tasks.spawn(self._execute_order(order))
        else:
            self._manager.on_list_failed(now_s)
        self._log_breaker(now_s)
        if not is_listed:
            return
        self._log_sizes()
        self._send_orders()
        self._record_waves()
        if not self._is_reporting:
            self._is_reporting = True
            self._tasks.spawn(self._report_waves())

    def _log_breaker(self, now_s: float) -> None:
        """Log when the service for VMs begins to fail, and when it works again."""
        is_failing = self._manager.breaker.is_open(now_s)
        if is_failing == self._is_service_failing:
            return
        self._is_service_failing = is_failing
        log_message(
            "currantstage:vm-service",
            is_failing=is_failing,
            cordoned_vms=self._manager.cordoned_vms,
        )

    def _log_sizes(self) -> None:
        """Log each pool whose size or share has changed."""
        for pool, size in self._manager.pool_sizes.items():
            if self._logged_sizes.get(pool) == (size.vms, size.share_vms):
                continue
            self._logged_sizes[pool] = (size.vms, size.share_vms)
            demand = size.demand
            log_message(
                "currantstage:pool-size",
                pool=pool,
                vms=size.vms,
                wanted=size.wanted_vms,
                share=size.share_vms,
                arriving_cores=round(demand.arriving_cores, 1),
                in_time_core_s=round(demand.in_time.remaining_core_s, 1),
                late_core_s=round(demand.late.remaining_core_s, 1),
                expired_core_s=round(demand.expired.remaining_core_s, 1),
                ready_cores=round(demand.in_time.ready_cores, 1),
                capacity_cores=round(demand.capacity_cores, 1),
                missing_vms=demand.missing_vms,
                listed_ago_s=round(self._ports.clock.now_s() - self._listed_s, 3),
            )

    async def _load_waves(self) -> None:
        known = self._manager.maintenance.waves
        for wave in self._follower.waves:
            if wave.number in known:
                continue
            try:
                done = await self._repository.read_wave(wave.number)
            except StoreUnavailable as error:
                log_message(
                    "currantstage:wave-read-failed",
                    wave=wave.number,
                    reason=str(error),
                )
                return
            self._manager.maintenance.announce(wave, done, self._ports.clock.now_s())

    async def _list_vms(self) -> bool:
        """Read the list of VMs if that is due; return whether the known one counts."""
        requested_s = self._ports.clock.now_s()
        interval_s = (
            BUSY_LIST_INTERVAL_S if self._manager.is_busy else IDLE_LIST_INTERVAL_S
        )
        if requested_s - self._listed_s < interval_s:
            return True
        try:
            records = await self._ports.vms.list()
        except StoreUnavailable as error:
            log_message("currantstage:vm-list-failed", reason=str(error))
            return False
        self._listed_s = requested_s
        observed = self._manager.observe(records, requested_s)
        for each in observed.ended:
            log_message(
                "currantstage:worker-ended",
                worker=each.worker,
                vm=each.vm,
                is_planned=each.is_planned,
            )
        for worker in observed.reinstated:
            log_message("currantstage:worker-reinstated", worker=worker)
            self._start_renewals()
        return True

    async def _execute_order(self, order: VmOrder) -> None:
        goal = order.goal
        await self._list_in_lease(order)
        try:
            outcome = await self._send(order)
        except Exception as error:
            # The order may have been sent, as one without an answer.
            log_task_failure(f"order for VM {order.vm}", error)
            outcome = VmOrderOutcome.UNAVAILABLE
        log_message(
            "currantstage:vm-order",
            vm=order.vm,
            work=goal.work.value,
            wave=goal.wave,
            pool=goal.pool,
            term=self._term,
            outcome=outcome.value,
        )
        self._manager.on_order_outcome(order, outcome, self._ports.clock.now_s())
        self._record_waves()

    async def _send(self, order: VmOrder) -> VmOrderOutcome:
        """Send an order, unless the write that lists it has released the lease."""
        if not self._may_order():
            return VmOrderOutcome.UNSENT
        goal = order.goal
        if order.is_upkeep:
            return await self._ports.vms.maintain(order.vm, goal.wave, self._term)
        assert goal.pool is not None
        return await self._ports.vms.move(order.vm, goal.pool, self._term)

    def _record_waves(self) -> None:
        """Store which VMs have been maintained, as far as that is not yet stored."""
        for wave in self._manager.maintenance.waves.values():
            if wave.unrecorded and not wave.is_recording:
                wave.is_recording = True
                self._tasks.spawn(self._record_wave(wave))

    async def _record_wave(self, wave: WaveState) -> None:
        vms = wave.unrecorded
        try:
            await self._repository.record_maintained(wave.wave.number, vms)
            wave.recorded |= vms
        except StoreUnavailable as error:
            log_message(
                "currantstage:wave-record-failed",
                wave=wave.wave.number,
                vms=len(vms),
                reason=str(error),
            )
            await asyncio.sleep(RECORD_RETRY_S)
        finally:
            wave.is_recording = False

    async def _report_waves(self) -> None:
        """Report the waves that have begun or are completed; orders don't wait."""
        try:
            await self._report_open_waves()
        finally:
            self._is_reporting = False

    async def _report_open_waves(self) -> None:
        for wave in self._manager.maintenance.open_waves():
            is_done = self._manager.is_wave_done(wave) and not wave.unrecorded
            if wave.is_announced and not is_done:
                continue
            try:
                await self._ports.operators.write_wave_state(
                    wave.wave.number, is_completed=is_done
                )
            except StoreUnavailable as error:
                log_message("currantstage:wave-report-failed", reason=str(error))
                continue
            wave.is_announced = True
            wave.is_completed = is_done
