"""Cooldown between orders of two schedulers for the same VM."""

from __future__ import annotations

import msgspec

from currantstage.coordination.jobs import (
    LeaseRow,
    ListedVmOrder,
    MaintenancePlan,
    SchedulerTuning,
    VmGoal,
    VmOrder,
    VmOrderCooldown,
    VmState,
    VmTable,
    VmWork,
)
from currantstage.protocol.jobs import decode_lease, encode_row
from currantstage.state import DataCentreId, EntryVmId, PoolId, VmId
from currantstage.state.jobs import (
    MaintenanceWave,
    Resources,
    Term,
    VmCondition,
    VmOrderOutcome,
    VmRecord,
    WorkerId,
)

TUNING = SchedulerTuning(vm_lease_ms=3000)
A, B = VmId("a"), VmId("b")
WORKER = WorkerId("w")
RECORD = VmRecord(
    vm=A,
    pool=PoolId("letters"),
    condition=VmCondition.UP,
    data_centre=DataCentreId("dc"),
    labels=("a", "r"),
    capacity=Resources(8000, 16384, 0),
    worker=WORKER,
)
UPKEEP = VmGoal(VmWork.MAINTENANCE, wave=1)
MOVE = VmGoal(VmWork.MOVE, pool=PoolId("parcels"))


def _ordered(vm: VmId) -> ListedVmOrder:
    """Return an order of an earlier scheduler that has been answered."""
    return ListedVmOrder(vm=vm)


def _open_upkeep(vm: VmId, wave: int | None = None) -> ListedVmOrder:
    """Return a maintenance order of an earlier scheduler without an answer."""
    return ListedVmOrder(vm=vm, is_upkeep=True, wave=wave, is_open=True)


def _cooldown(*inherited: ListedVmOrder) -> VmOrderCooldown:
    return VmOrderCooldown(inherited, taken_s=10.0, tuning=TUNING)


def _send(
    cooldown: VmOrderCooldown,
    order: VmOrder,
    now_s: float,
    outcome: VmOrderOutcome = VmOrderOutcome.UNAVAILABLE,
) -> None:
    cooldown.record_order(order)
    cooldown.record_outcome(order, outcome, now_s)


def test_cooldown_applies_only_to_vms_that_were_ordered_recently() -> None:
    cooldown = _cooldown(_ordered(A))
    assert cooldown.may_order(B, 10.0)
    assert not cooldown.may_order(A, 13.3)
    assert cooldown.may_order(A, 13.5)


def test_lease_lists_vms_until_the_next_scheduler_may_order_them() -> None:
    cooldown = _cooldown(_ordered(A))
    _send(cooldown, VmOrder(B, MOVE), 12.0)
    assert cooldown.recent(12.0) == (A, B)
    assert cooldown.recent(14.0) == (B,)
    assert cooldown.recent(16.0) == ()


def test_vm_that_an_earlier_scheduler_ordered_counts_as_down() -> None:
    vms = VmTable(TUNING)
    vms.observe((RECORD, msgspec.structs.replace(RECORD, vm=B)), requested_s=10.0)
    plan = MaintenancePlan(vms, _cooldown(_ordered(A)), TUNING)
    plan.announce(
        MaintenanceWave(number=1, vms=(A, B), complete_by_s=30.0, max_down=1), (), 10.0
    )
    other = vms.get(B)
    assert other is not None
    assert not plan.may_order(other, 10.0)
    assert plan.may_order(other, 13.5)


def _plan(
    cooldown: VmOrderCooldown, max_down: int = 1
) -> tuple[MaintenancePlan, VmTable]:
    vms = VmTable(TUNING)
    vms.observe((RECORD, msgspec.structs.replace(RECORD, vm=B)), requested_s=10.0)
    plan = MaintenancePlan(vms, cooldown, TUNING)
    plan.announce(
        MaintenanceWave(number=1, vms=(A, B), complete_by_s=30.0, max_down=max_down),
        (),
        10.0,
    )
    return plan, vms


# Review case 10: a late order of the earlier scheduler overlapped with one of this one.
def test_upkeep_of_an_earlier_scheduler_counts_until_it_is_settled() -> None:
    cooldown = _cooldown(_open_upkeep(A))
    plan, vms = _plan(cooldown)
    ordered, other = vms.get(A), vms.get(B)
    assert ordered is not None
    assert other is not None
    assert not plan.may_order(other, 13.5)
    assert plan.may_order(ordered, 13.5)
    cooldown.settle_upkeep(A, wave=1)
    assert plan.may_order(other, 13.5)


def test_upkeep_of_an_earlier_scheduler_counts_as_long_as_an_order_may_be_late() -> (
    None
):
    cooldown = _cooldown(_open_upkeep(A))
    plan, vms = _plan(cooldown)
    other = vms.get(B)
    assert other is not None
    late_s = TUNING.max_order_delay_ms / 1000
    assert not plan.may_order(other, 10.0 + late_s - 0.1)
    assert plan.may_order(other, 10.0 + late_s + 0.1)


def test_vm_with_an_upkeep_of_an_earlier_scheduler_is_chosen_first() -> None:
    cooldown = _cooldown(_open_upkeep(B))
    plan, vms = _plan(cooldown, max_down=0)
    plan.choose(lambda vm: float(vm.record.vm == B), lambda _: True, 10.0)
    assert [vm.record.vm for vm in vms.states() if vm.goal is not None] == [B]


def test_lease_lists_upkeeps_until_they_are_settled() -> None:
    cooldown = _cooldown(_open_upkeep(A))
    cooldown.record_order(VmOrder(B, UPKEEP))
    assert cooldown.open_upkeeps(11.0) == (A, B)
    assert cooldown.open_upkeeps(30.0) == (B,)
    cooldown.settle_upkeep(B, wave=1)
    assert cooldown.open_upkeeps(30.0) == ()


def _taken_again(
    cooldown: VmOrderCooldown, written_s: float, taken_s: float
) -> VmOrderCooldown:
    """Return the cooldown of the next scheduler, by its clock 100 s later."""
    return VmOrderCooldown(cooldown.listed(written_s), taken_s + 100, TUNING)


def test_series_of_takeovers_doesnt_begin_the_cooldown_anew() -> None:
    first = _cooldown()
    _send(first, VmOrder(A, UPKEEP), 10.0)
    second = _taken_again(first, written_s=11.0, taken_s=11.5)
    assert not second.may_order(A, 113.8)
    third = _taken_again(second, written_s=113.0, taken_s=113.0)
    assert not third.may_order(A, 213.8)
    assert third.may_order(A, 214.0)


def test_series_of_takeovers_doesnt_begin_the_time_of_a_late_upkeep_anew() -> None:
    first = _cooldown()
    _send(first, VmOrder(A, UPKEEP), 10.0)
    second = _taken_again(first, written_s=15.0, taken_s=15.0)
    third = _taken_again(second, written_s=120.0, taken_s=120.0)
    assert third.inherited_upkeeps(A, 221.9) == [1]
    assert third.inherited_upkeeps(A, 222.1) == []


# It is sent only once the write that lists it is confirmed, which may take long.
def test_age_of_an_order_doesnt_count_before_its_call_has_ended() -> None:
    cooldown = _cooldown()
    cooldown.record_order(VmOrder(A, UPKEEP))
    assert [each.age_ms for each in cooldown.listed(16.0)] == [0]
    _send(cooldown, VmOrder(A, UPKEEP), 16.0)
    assert [each.age_ms for each in cooldown.listed(17.0)] == [1000]
    cooldown.record_order(VmOrder(A, UPKEEP))
    assert [each.age_ms for each in cooldown.listed(18.0)] == [0]


def test_worker_that_an_order_ends_is_listed_while_the_order_may_be_late() -> None:
    cooldown = _cooldown()
    _send(cooldown, VmOrder(A, MOVE, WORKER), 10.0)
    assert [each.worker for each in cooldown.listed(22.0)] == [WORKER]
    _send(cooldown, VmOrder(A, MOVE, WORKER), 30.0, VmOrderOutcome.DONE)
    assert [each.worker for each in cooldown.listed(33.0)] == [WORKER]
    assert cooldown.listed(33.5) == ()


def test_move_forgets_no_upkeep_that_an_earlier_scheduler_ordered() -> None:
    cooldown = _cooldown(_open_upkeep(A))
    _send(cooldown, VmOrder(A, MOVE), 14.0, VmOrderOutcome.DONE)
    later = _taken_again(cooldown, written_s=15.0, taken_s=15.0)
    assert later.inherited_upkeeps(A, 121.9) == [None]


def test_lease_of_an_earlier_version_lists_its_orders_for_vms() -> None:
    row = decode_lease(
        b'{"holder": "e", "address": "a", "term": 4, "sequence": 7,'
        b' "ordered_vms": ["m-1", "m-2"], "upkeep_vms": ["m-2", "m-3"],'
        b' "earlier_acts_ms": 5}'
    )
    assert row.all_vm_orders() == (
        ListedVmOrder(vm=VmId("m-1")),
        ListedVmOrder(vm=VmId("m-2"), is_upkeep=True, is_open=True),
        ListedVmOrder(vm=VmId("m-3"), is_upkeep=True, is_open=True),
    )


def test_lease_lists_the_worker_that_an_order_for_its_vm_ends() -> None:
    order = ListedVmOrder(
        vm=A, worker=WORKER, age_ms=20, is_upkeep=True, wave=2, is_open=True
    )
    row = LeaseRow(
        holder=EntryVmId("e"),
        address="a",
        term=Term(4),
        vm_orders=(order,),
        ordered_vms=(A,),
        upkeep_vms=(A,),
    )
    assert decode_lease(encode_row(row)).all_vm_orders() == (order,)


def _two_waves(*inherited: ListedVmOrder) -> tuple[MaintenancePlan, VmState]:
    """Return a plan of two waves, and the VM B, which only the first one names.

    The first one is done with the VM A.
    """
    cooldown = _cooldown(*inherited)
    plan, vms = _plan(cooldown)
    plan.waves[1].done.add(A)
    second = MaintenanceWave(number=2, vms=(A,), complete_by_s=30.0, max_down=1)
    plan.announce(second, (), 10.0)
    other = vms.get(B)
    assert other is not None
    return plan, other


# VMs count against all waves that name them (docs/QUESTIONS.md).
def test_late_upkeep_for_one_wave_counts_against_another_that_is_done_with_the_vm() -> (
    None
):
    plan, other = _two_waves(_open_upkeep(A, wave=2))
    assert not plan.may_order(other, 13.5)
    plan.waves[2].done.add(A)
    assert plan.may_order(other, 13.5)


def test_answer_for_one_wave_settles_no_late_upkeep_for_another() -> None:
    cooldown = _cooldown(_open_upkeep(A, wave=2))
    cooldown.settle_upkeep(A, wave=1)
    assert cooldown.inherited_upkeeps(A, 11.0) == [2]
    cooldown.settle_upkeep(A, wave=2)
    assert cooldown.inherited_upkeeps(A, 11.0) == []
