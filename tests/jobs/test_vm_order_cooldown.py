"""Cooldown between orders of two schedulers for the same VM."""

from __future__ import annotations

import msgspec

from currantstage.coordination.jobs import (
    MaintenancePlan,
    SchedulerTuning,
    VmOrderCooldown,
    VmTable,
)
from currantstage.state import DataCentreId, PoolId, VmId
from currantstage.state.jobs import (
    MaintenanceWave,
    Resources,
    VmCondition,
    VmRecord,
    WorkerId,
)

TUNING = SchedulerTuning(vm_lease_ms=3000)
A, B = VmId("a"), VmId("b")
RECORD = VmRecord(
    vm=A,
    pool=PoolId("letters"),
    condition=VmCondition.UP,
    data_centre=DataCentreId("dc"),
    labels=("a", "r"),
    capacity=Resources(8000, 16384, 0),
    worker=WorkerId("w"),
)


def test_cooldown_applies_only_to_vms_that_were_ordered_recently() -> None:
    cooldown = VmOrderCooldown((A,), taken_s=10.0, tuning=TUNING)
    assert cooldown.may_order(B, 10.0)
    assert not cooldown.may_order(A, 13.3)
    assert cooldown.may_order(A, 13.5)


def test_lease_lists_vms_until_the_next_scheduler_may_order_them() -> None:
    cooldown = VmOrderCooldown((A,), taken_s=10.0, tuning=TUNING)
    cooldown.record_order(B, 12.0)
    assert cooldown.recent(12.0) == (A, B)
    assert cooldown.recent(14.0) == (B,)
    assert cooldown.recent(16.0) == ()


def test_vm_that_an_earlier_scheduler_ordered_counts_as_down() -> None:
    vms = VmTable(TUNING)
    vms.observe((RECORD, msgspec.structs.replace(RECORD, vm=B)), requested_s=10.0)
    plan = MaintenancePlan(vms, VmOrderCooldown((A,), 10.0, TUNING), TUNING)
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
    cooldown = VmOrderCooldown((A,), 10.0, TUNING, inherited_upkeeps=(A,))
    plan, vms = _plan(cooldown)
    ordered, other = vms.get(A), vms.get(B)
    assert ordered is not None
    assert other is not None
    assert not plan.may_order(other, 13.5)
    assert plan.may_order(ordered, 13.5)
    cooldown.settle_upkeep(A)
    assert plan.may_order(other, 13.5)


def test_upkeep_of_an_earlier_scheduler_counts_as_long_as_an_order_may_be_late() -> (
    None
):
    cooldown = VmOrderCooldown((A,), 10.0, TUNING, inherited_upkeeps=(A,))
    plan, vms = _plan(cooldown)
    other = vms.get(B)
    assert other is not None
    late_s = TUNING.max_order_delay_ms / 1000
    assert not plan.may_order(other, 10.0 + late_s - 0.1)
    assert plan.may_order(other, 10.0 + late_s + 0.1)


def test_vm_with_an_upkeep_of_an_earlier_scheduler_is_chosen_first() -> None:
    cooldown = VmOrderCooldown((B,), 10.0, TUNING, inherited_upkeeps=(B,))
    plan, vms = _plan(cooldown, max_down=0)
    plan.choose(lambda vm: float(vm.record.vm == B), lambda _: True, 10.0)
    assert [vm.record.vm for vm in vms.states() if vm.goal is not None] == [B]


def test_lease_lists_upkeeps_until_they_are_settled() -> None:
    cooldown = VmOrderCooldown((A,), 10.0, TUNING, inherited_upkeeps=(A,))
    cooldown.record_upkeep(B)
    assert cooldown.open_upkeeps(11.0) == (A, B)
    assert cooldown.open_upkeeps(30.0) == (B,)
    cooldown.settle_upkeep(B)
    assert cooldown.open_upkeeps(30.0) == ()
