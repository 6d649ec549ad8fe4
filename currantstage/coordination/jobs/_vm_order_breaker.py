"""Circuit breaker for orders to the platform's service for VMs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from currantstage.coordination.jobs._vm_table import VmWork
from currantstage.state.jobs import VmOrderOutcome

if TYPE_CHECKING:
    from currantstage.coordination.jobs._tuning import SchedulerTuning
    from currantstage.coordination.jobs._vm_table import VmOrder, VmState, VmTable
    from currantstage.state import VmId

#: Time since the first of a series of failures after which the breaker opens, in
#: seconds; a burst of orders beyond the service's rate is over by then.
OPEN_AFTER_S = 1.0
#: Pause between two trial orders while the breaker is open, in seconds.
TRIAL_INTERVAL_S = 1.0
#: Time since the latest failure after which it says nothing of the service any more, in
#: seconds; longer than a VM is drained, or an order carried out late.
FAILURE_EXPIRY_S = 15.0


class VmOrderBreaker:
    """Gives up planned work on VMs while no order for them is carried out.

    A VM is cordoned from the time its work is planned until its order is carried out.
    While the service fails, the breaker is open: one VM at a time is cordoned, for a
    trial order, and the others run tasks. The first answer closes the breaker, or
    `FAILURE_EXPIRY_S` without a failed order, as a trial's VM may never be drained. No
    trial is made while the list of VMs fails, as no order is sent without it.

    Parameters
    ----------
    vms : VmTable
    tuning : SchedulerTuning
    """

    def __init__(self, vms: VmTable, tuning: SchedulerTuning) -> None:
        self._vms = vms
        self._max_order_delay_s = tuning.max_order_delay_ms / 1000
        self._orders_failing_since_s: float | None = None
        self._first_called_s = float("-inf")
        self._order_failed_s = float("-inf")
        self._list_failing_since_s: float | None = None
        self._trial_vm: VmId | None = None
        self._next_trial_s = float("-inf")

    def is_open(self, now_s: float) -> bool:
        """Return whether the service has been failing for some time."""
        return self._is_list_failing(now_s) or self._are_orders_failing(now_s)

    def record_list(self, now_s: float, *, is_answered: bool) -> None:
        """Record whether a request for the list of VMs was answered."""
        if is_answered:
            self._list_failing_since_s = None
        elif self._list_failing_since_s is None:
            self._list_failing_since_s = now_s

    def record_order(
        self, order: VmOrder, outcome: VmOrderOutcome, now_s: float
    ) -> None:
        """Record the outcome of an order."""
        if outcome is VmOrderOutcome.UNSENT:
            return
        if outcome is not VmOrderOutcome.UNAVAILABLE:
            self._orders_failing_since_s = None
        else:
            self._record_failed_order(order, now_s)
        if order.vm == self._trial_vm:
            self._end_trial(now_s)

    def _record_failed_order(self, order: VmOrder, now_s: float) -> None:
        """Record a failure; a second one shows that the first was none by chance."""
        if self._is_failure_expired(now_s) or self._orders_failing_since_s is None:
            vm = self._vms.get(order.vm)
            self._first_called_s = now_s if vm is None else vm.called_s
            self._orders_failing_since_s = now_s
        else:
            self._orders_failing_since_s = self._first_called_s
        self._order_failed_s = now_s

    def allows_work(self, now_s: float) -> bool:
        """Return whether work on one more VM may be planned."""
        return not self.is_open(now_s) or self._is_trial_due(now_s)

    def begin_work(self, vm: VmState, now_s: float) -> None:
        """Record that work on a VM is planned."""
        if self.is_open(now_s):
            self._trial_vm = vm.record.vm

    def allows_order(self, vm: VmState, now_s: float) -> bool:
        """Return whether the order for a VM may be sent."""
        return not self.is_open(now_s) or vm.record.vm == self._trial_vm

    def release_vms(self, now_s: float) -> list[VmState]:
        """Clear the goals that wait for the service, but that of the trial's VM.

        Returns the VMs whose goals have been cleared.
        """
        if not self.is_open(now_s):
            self._trial_vm = None
            return []
        waiting = [vm for vm in self._vms.states() if self._is_waiting(vm)]
        self._update_trial(waiting, now_s)
        released = [
            vm
            for vm in waiting
            if vm.record.vm != self._trial_vm and self._may_release(vm, now_s)
        ]
        for vm in released:
            self._vms.clear_goal(vm)
        return released

    def _update_trial(self, waiting: list[VmState], now_s: float) -> None:
        trial = self._vms.get(self._trial_vm) if self._trial_vm is not None else None
        is_over = trial is None or trial.goal is None or self._is_list_failing(now_s)
        if self._trial_vm is not None and is_over:
            self._end_trial(now_s)
        if waiting and self._is_trial_due(now_s):
            first = min(waiting, key=lambda vm: (vm.sent_s is None, vm.goal_set_s))
            self._trial_vm = first.record.vm

    def _are_orders_failing(self, now_s: float) -> bool:
        if self._is_failure_expired(now_s):
            return False
        return _opens_breaker(self._orders_failing_since_s, now_s)

    def _is_failure_expired(self, now_s: float) -> bool:
        return now_s - self._order_failed_s >= FAILURE_EXPIRY_S

    def _is_list_failing(self, now_s: float) -> bool:
        return _opens_breaker(self._list_failing_since_s, now_s)

    def _is_trial_due(self, now_s: float) -> bool:
        if self._trial_vm is not None or self._is_list_failing(now_s):
            return False
        return now_s >= self._next_trial_s

    def _end_trial(self, now_s: float) -> None:
        self._trial_vm = None
        self._next_trial_s = now_s + TRIAL_INTERVAL_S

    def _is_waiting(self, vm: VmState) -> bool:
        """Return whether a VM is up and waits for its order, not for an answer."""
        if vm.goal is None or vm.done_s is not None or not vm.is_listed_up:
            return False
        return not vm.is_awaiting_answer

    def _may_release(self, vm: VmState, now_s: float) -> bool:
        """Return whether a VM may run tasks in place of its planned work.

        Maintenance that was ordered counts against its wave for as long as it may be
        carried out.
        """
        if vm.sent_s is None or vm.goal is None or vm.goal.work is VmWork.MOVE:
            return True
        return now_s - vm.answered_s >= self._max_order_delay_s


def _opens_breaker(failing_since_s: float | None, now_s: float) -> bool:
    """Return whether failures since `failing_since_s` open the breaker."""
    return failing_since_s is not None and now_s - failing_since_s >= OPEN_AFTER_S
