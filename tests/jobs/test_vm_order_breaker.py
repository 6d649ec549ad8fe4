"""The circuit breaker for orders to the platform's service for VMs."""

from __future__ import annotations

import msgspec
import pytest

from currantstage.coordination.jobs import (
    SchedulerTuning,
    VmGoal,
    VmOrder,
    VmOrderBreaker,
    VmTable,
    VmWork,
)
from currantstage.state import PoolId
from currantstage.state.jobs import VmCondition, VmOrderOutcome
from tests.jobs.records import vm_record

TUNING = SchedulerTuning(max_order_delay_ms=12_000)
MOVE = VmGoal(VmWork.MOVE, pool=PoolId("letters"))
MAINTENANCE = VmGoal(VmWork.MAINTENANCE, wave=1)
UNAVAILABLE = VmOrderOutcome.UNAVAILABLE


def _table(count: int, goal: VmGoal) -> VmTable:
    """Return VMs that all have the same goal since 0 s."""
    table = VmTable(TUNING)
    table.observe([vm_record(f"m-{number}") for number in range(count)], 0.0)
    for vm in table.states():
        table.set_goal(vm, goal, 0.0)
    return table


def _send(
    table: VmTable, breaker: VmOrderBreaker, outcome: VmOrderOutcome, now_s: float
) -> None:
    """Send the orders for all VMs that have a goal, with the same outcome."""
    for vm in table.states():
        if vm.goal is None:
            continue
        table.record_sent(vm, now_s)
        order = VmOrder(vm.record.vm, vm.goal)
        breaker.record_order(order, outcome, now_s)
        table.on_order_outcome(order, outcome, now_s)


def _goals(table: VmTable) -> int:
    return sum(vm.goal is not None for vm in table.states())


def test_single_failure_gives_up_no_move() -> None:
    table = _table(4, MOVE)
    breaker = VmOrderBreaker(table, TUNING)
    _send(table, breaker, UNAVAILABLE, 1.0)
    assert breaker.release_vms(1.7) == []


def test_moves_are_given_up_but_one_while_no_order_is_carried_out() -> None:
    table = _table(4, MOVE)
    breaker = VmOrderBreaker(table, TUNING)
    _send(table, breaker, UNAVAILABLE, 1.0)
    assert len(breaker.release_vms(2.1)) == 3
    assert _goals(table) == 1
    assert not breaker.allows_work(2.1)


def test_moves_are_given_up_while_the_list_of_vms_fails() -> None:
    table = _table(4, MOVE)
    breaker = VmOrderBreaker(table, TUNING)
    breaker.record_list(1.0, is_answered=False)
    assert len(breaker.release_vms(2.1)) == 4


def test_vm_without_an_answer_to_its_order_is_not_given_up_yet() -> None:
    table = _table(2, MOVE)
    breaker = VmOrderBreaker(table, TUNING)
    breaker.record_list(0.0, is_answered=False)
    for vm in table.states():
        table.record_sent(vm, 1.0)
    assert breaker.release_vms(1.5) == []


def test_next_trial_follows_a_failed_one_after_a_pause() -> None:
    table = _table(1, MOVE)
    breaker = VmOrderBreaker(table, TUNING)
    _send(table, breaker, UNAVAILABLE, 1.0)
    breaker.release_vms(2.1)
    _send(table, breaker, UNAVAILABLE, 2.2)
    assert not breaker.allows_work(2.3)
    assert breaker.allows_work(3.3)


def test_trial_that_is_never_sent_keeps_no_other_vm_from_its_work() -> None:
    """Guards against one VM that can't be drained holding up the work on all."""
    table = _table(2, MOVE)
    breaker = VmOrderBreaker(table, TUNING)
    _send(table, breaker, UNAVAILABLE, 1.0)
    breaker.release_vms(2.1)
    assert not breaker.allows_work(12.0)
    assert breaker.allows_work(16.1)


def test_failures_after_a_pause_count_as_a_new_series() -> None:
    table = _table(2, MOVE)
    breaker = VmOrderBreaker(table, TUNING)
    _send(table, breaker, UNAVAILABLE, 1.0)
    _send(table, breaker, UNAVAILABLE, 20.0)
    assert not breaker.is_open(20.5)
    assert breaker.is_open(21.1)


def test_moves_are_given_up_as_soon_as_two_orders_have_timed_out() -> None:
    """Guards against VMs that run nothing for over 3 s while orders have no answer."""
    table = _table(4, MOVE)
    breaker = VmOrderBreaker(table, TUNING)
    for vm in table.states():
        table.record_sent(vm, 0.0)
    for vm in table.states():
        order = VmOrder(vm.record.vm, MOVE)
        breaker.record_order(order, UNAVAILABLE, 1.5)
        table.on_order_outcome(order, UNAVAILABLE, 1.5)
    assert len(breaker.release_vms(1.6)) == 3


@pytest.mark.parametrize("outcome", [VmOrderOutcome.DONE, VmOrderOutcome.BUSY])
def test_answer_to_an_order_closes_the_breaker(outcome: VmOrderOutcome) -> None:
    table = _table(1, MOVE)
    breaker = VmOrderBreaker(table, TUNING)
    _send(table, breaker, UNAVAILABLE, 1.0)
    breaker.release_vms(2.1)
    _send(table, breaker, outcome, 2.2)
    assert not breaker.is_open(2.2)


def test_maintenance_that_may_be_carried_out_late_keeps_its_place_in_the_wave() -> None:
    """Guards against more VMs down than a wave allows, once the service is back."""
    table = _table(3, MAINTENANCE)
    breaker = VmOrderBreaker(table, TUNING)
    _send(table, breaker, UNAVAILABLE, 1.0)
    assert breaker.release_vms(2.1) == []
    assert breaker.release_vms(12.9) == []
    assert len(breaker.release_vms(13.1)) == 2


def test_vm_that_is_listed_as_moving_keeps_its_goal() -> None:
    table = _table(2, MOVE)
    breaker = VmOrderBreaker(table, TUNING)
    _send(table, breaker, UNAVAILABLE, 1.0)
    moving = [
        msgspec.structs.replace(vm.record, condition=VmCondition.MOVING)
        for vm in table.states()
    ]
    table.observe(moving, 2.0)
    assert breaker.release_vms(2.1) == []
