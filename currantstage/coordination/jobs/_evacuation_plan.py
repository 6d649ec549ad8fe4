"""Places for the long-running tasks of VMs that are to be maintained or moved."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from currantstage.coordination.jobs._availability import (
    may_interrupt,
    may_interrupt_all,
)
from currantstage.coordination.jobs._evacuation_room import EvacuationRoom
from currantstage.coordination.jobs._leaving_runs import LeavingRun
from currantstage.coordination.jobs._placement_forecast import (
    PlacementForecast,
    staying_tasks,
)
from currantstage.coordination.jobs._vm_table import VmWork
from currantstage.coordination.jobs._worker_state import StartBlocker

if TYPE_CHECKING:
    from currantstage.coordination.jobs._run import Run
    from currantstage.coordination.jobs._scheduler import Scheduler
    from currantstage.coordination.jobs._task_record import TaskRecord
    from currantstage.coordination.jobs._vm_table import VmState, VmTable
    from currantstage.coordination.jobs._worker_state import WorkerState
    from currantstage.state import PoolId, VmId
    from currantstage.state.jobs import Resources

#: How long a VM that can't be emptied waits for another VM to join its pool, in
#: seconds.
REPLACEMENT_WAIT_S = 4.0
#: How long the order for a VM may be delayed after its tasks have been interrupted
#: without another place, in seconds.
MAX_ORDER_DELAY_S = 2.0
#: Maximum number of waiting tasks of one step that a forecast includes; those without a
#: place request more VMs than a pool is given at once.
MAX_FORECAST_TASKS = 256


@dataclass(slots=True)
class BlockedPool:
    """When maintenance in a pool was first and last held up for want of room."""

    since_s: float
    seen_s: float


class EvacuationPlan:
    """Makes sure that planned work keeps no long-running task from running for long.

    A VM is cordoned only when its long-running tasks have a place elsewhere; each of
    them is stopped only when there is room for it, which is held meanwhile. Failing
    that, a further VM is requested for its pool. If none joins, other tasks are stopped
    to make room; if that makes none either, the tasks without a place return to the VM
    after maintenance, provided that all of them may be away at once.

    Parameters
    ----------
    scheduler : Scheduler
    vms : VmTable
    """

    def __init__(self, scheduler: Scheduler, vms: VmTable) -> None:
        self._scheduler = scheduler
        self._vms = vms
        self._forecasts: dict[PoolId, PlacementForecast] = {}
        self._blocked: dict[PoolId, BlockedPool] = {}
        #: VMs that were cordoned before the latest forecast.
        self._forecast_vms: set[VmId] = set()
        #: Tasks on cordoned VMs that are expected to have a place elsewhere.
        self._has_place: set[TaskRecord] = set()
        #: Those of them whose place takes the stop of other tasks.
        self._needs_preemption: set[TaskRecord] = set()
        self._room = EvacuationRoom(scheduler)
        #: Pools in which tasks are, or are about to be, away until their VM returns.
        self._awaiting_return: set[PoolId] = set()
        self._now_s = 0.0

    def update(self, now_s: float) -> None:
        """Forecast the places of waiting tasks and of those on cordoned VMs."""
        self._now_s = now_s
        self._has_place = set()
        self._needs_preemption = set()
        self._awaiting_return = {
            vm.record.pool for vm in self._vms.states() if vm.emptied_s is not None
        }
        self._forecasts = {
            each.pool: PlacementForecast(
                (
                    worker_state
                    for worker_state in self._scheduler.workers.in_pool(each.pool)
                    if worker_state.accepts_starts(now_s)
                ),
                now_s,
            )
            for each in self._scheduler.configuration.pools
            if not each.is_spare
        }
        leaving = [
            vm for vm in self._vms.states() if vm.goal is not None and vm.sent_s is None
        ]
        self._forecast_vms = {vm.record.vm for vm in leaving}
        self._place_waiting(leaving)
        for vm in leaving:
            self._place_leaving(vm)
        self._room.update(self._leaving_runs(leaving), now_s)

    def may_move(self, vm: VmState) -> bool:
        """Return whether a VM can leave its pool, and reserve the places for that."""
        worker_state = self._worker_state(vm)
        if worker_state is None:
            return True
        forecast = self._forecasts.get(worker_state.entry.pool)
        return forecast is None or forecast.withdraw(worker_state)

    def may_maintain(self, vm: VmState) -> bool:
        """Return whether a VM can be maintained, and reserve the places for that."""
        if self.may_move(vm):
            return True
        worker_state = self._worker_state(vm)
        assert worker_state is not None
        pool = worker_state.entry.pool
        if pool in self._awaiting_return:
            return False
        forecast = self._forecasts[pool]
        remaining = forecast.remaining_tasks(worker_state)
        if not forecast.unplaced:
            forecast.unplaced.extend(remaining)
        if self._blocked_s(pool) < REPLACEMENT_WAIT_S:
            return False
        if forecast.withdraw(worker_state, may_preempt=True):
            return True
        if not self._may_return(remaining):
            return False
        self._awaiting_return.add(pool)
        return True

    def may_interrupt(
        self, run: Run, vm: VmState, *, is_overdue: bool, may_order: bool
    ) -> bool:
        """Return whether a run on a cordoned VM has room elsewhere, or may return.

        Parameters
        ----------
        is_overdue : bool
            Whether the drain timeout is over; then a place that will have room is
            enough for maintenance, so that the wave is in time.
        may_order : bool
            Whether the order for the VM could be sent now.
        """
        if not run.step.is_long_running or vm.emptied_s is not None:
            return True
        if vm.record.vm not in self._forecast_vms:
            return False
        if run.task in self._has_place:
            may_wait = is_overdue and _is_maintenance(vm)
            return may_wait or run.task in self._room.ready
        tasks = self._long_running_tasks(vm)
        if not may_order or not self._has_place.isdisjoint(tasks):
            return False
        if not self._may_return(tasks):
            return False
        vm.emptied_s = self._now_s
        return True

    def gives_up(self, vm: VmState) -> bool:
        """Give up an overdue move if a task that may leave still has no room."""
        if _is_maintenance(vm):
            return False
        if self._room.lacking.isdisjoint(self._long_running_tasks(vm)):
            return False
        self._vms.clear_goal(vm)
        return True

    def missing_vms(self, pool: PoolId, capacity: Resources) -> int:
        """Return how many more VMs the long-running tasks of a pool need."""
        forecast = self._forecasts.get(pool)
        return forecast.missing_vms(capacity) if forecast is not None else 0

    def _place_waiting(self, leaving: list[VmState]) -> None:
        for step in self._scheduler.jobs.ready_long_running_steps():
            forecast = self._forecasts.get(self._scheduler.pool_of(step.job))
            if forecast is None:
                continue
            tasks = [run.task for run in step.runs() if run.is_stopping]
            if self._scheduler.team_allows(step):
                tasks.extend(step.first_waiting(MAX_FORECAST_TASKS))
            for task in tasks:
                if not forecast.assign(task):
                    self._uncordon_for(task, forecast, leaving)

    def _uncordon_for(
        self, task: TaskRecord, forecast: PlacementForecast, leaving: list[VmState]
    ) -> None:
        """Give up the goal of a VM that has room for a task that has none elsewhere."""
        pool = self._scheduler.pool_of(task.step.job)
        for vm in leaving:
            worker_state = self._worker_state(vm)
            if worker_state is None or worker_state.entry.pool != pool:
                continue
            if not self._is_recallable(vm, worker_state):
                continue
            if PlacementForecast((worker_state,), self._now_s).assign(task):
                leaving.remove(vm)
                self._vms.clear_goal(vm)
                forecast.add_worker(worker_state)
                forecast.assign(task)
                return
        forecast.unplaced.append(task)

    def _is_recallable(self, vm: VmState, worker_state: WorkerState) -> bool:
        emptied_s = float("-inf") if vm.emptied_s is None else vm.emptied_s
        if self._now_s - emptied_s < MAX_ORDER_DELAY_S:
            # Its tasks are to return to it after the order.
            return False
        return self._accepts_uncordoned(worker_state)

    def _accepts_uncordoned(self, worker_state: WorkerState) -> bool:
        """Return whether a worker accepts starts once it is no longer cordoned."""
        blocker = worker_state.start_blocker(self._now_s)
        return blocker is None or blocker is StartBlocker.CORDONED

    def _place_leaving(self, vm: VmState) -> None:
        worker_state = self._worker_state(vm)
        if worker_state is None:
            return
        forecast = self._forecasts.get(worker_state.entry.pool)
        may_preempt = _is_maintenance(vm)
        remaining: list[TaskRecord] = []
        for task in staying_tasks(worker_state):
            if forecast is None or forecast.assign(task):
                self._has_place.add(task)
            elif may_preempt and forecast.assign(task, may_preempt=True):
                self._has_place.add(task)
                self._needs_preemption.add(task)
            else:
                remaining.append(task)
        if forecast is None or not remaining:
            return
        if self._is_hopeless(vm, remaining):
            self._vms.clear_goal(vm)
            if self._accepts_uncordoned(worker_state):
                forecast.add_worker(worker_state)
        else:
            forecast.unplaced.extend(remaining)
            self._awaiting_return.add(worker_state.entry.pool)

    def _leaving_runs(self, leaving: list[VmState]) -> list[LeavingRun]:
        """Return the runs that are being stopped, or that may be if there is room."""
        return [
            LeavingRun(run, may_preempt=run.task in self._needs_preemption)
            for vm in sorted(leaving, key=lambda each: each.goal_set_s)
            if vm.goal is not None and vm.emptied_s is None
            for run in self._long_running_runs(vm)
            if run.is_stopping or self._may_leave(run)
        ]

    def _may_leave(self, run: Run) -> bool:
        """Return whether a run has a place elsewhere, and its budget allows a stop."""
        return run.task in self._has_place and may_interrupt(run, self._now_s)

    def _is_hopeless(self, vm: VmState, remaining: list[TaskRecord]) -> bool:
        """Return whether a VM can't be emptied of the tasks that have no place."""
        if not _is_maintenance(vm):
            return True
        is_overdue = self._now_s - vm.goal_set_s > REPLACEMENT_WAIT_S
        return is_overdue and vm.emptied_s is None and not self._may_return(remaining)

    def _long_running_runs(self, vm: VmState) -> list[Run]:
        worker_state = self._worker_state(vm)
        if worker_state is None:
            return []
        return [run for run in worker_state.runs.values() if run.step.is_long_running]

    def _long_running_tasks(self, vm: VmState) -> list[TaskRecord]:
        return [run.task for run in self._long_running_runs(vm)]

    def _may_return(self, tasks: list[TaskRecord]) -> bool:
        """Return whether tasks may be away until their VM returns."""
        runs = [task.run for task in tasks if task.run is not None]
        return may_interrupt_all(runs, self._now_s)

    def _blocked_s(self, pool: PoolId) -> float:
        """Return for how long no VM of a pool could be maintained for want of room."""
        blocked = self._blocked.get(pool)
        if blocked is None or self._now_s - blocked.seen_s > REPLACEMENT_WAIT_S:
            blocked = BlockedPool(self._now_s, self._now_s)
            self._blocked[pool] = blocked
        blocked.seen_s = self._now_s
        return self._now_s - blocked.since_s

    def _worker_state(self, vm: VmState) -> WorkerState | None:
        return self._scheduler.workers.get(vm.record.worker)


def _is_maintenance(vm: VmState) -> bool:
    return vm.goal is not None and vm.goal.work is VmWork.MAINTENANCE
