"""Orders of two schedulers about one VM lie apart; other VMs are ordered at once."""

from __future__ import annotations

import msgspec

from currantstage.coordination.jobs import SchedulerTuning, UpkeepPlan, VmTable, VmTurns
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


def test_only_vms_that_were_ordered_lately_are_left_alone() -> None:
    turns = VmTurns((A,), taken_s=10.0, tuning=TUNING)
    assert turns.may_order(B, 10.0)
    assert not turns.may_order(A, 13.3)
    assert turns.may_order(A, 13.5)


def test_lease_names_vms_until_the_next_scheduler_may_order_them() -> None:
    turns = VmTurns((A,), taken_s=10.0, tuning=TUNING)
    turns.note(B, 12.0)
    assert turns.recent(12.0) == (A, B)
    assert turns.recent(14.0) == (B,)
    assert turns.recent(16.0) == ()


def test_vm_that_an_earlier_scheduler_ordered_counts_as_down() -> None:
    vms = VmTable(TUNING)
    vms.observe((RECORD, msgspec.structs.replace(RECORD, vm=B)), asked_s=10.0)
    plan = UpkeepPlan(vms, VmTurns((A,), 10.0, TUNING), TUNING)
    plan.announce(
        MaintenanceWave(number=1, vms=(A, B), complete_by_s=30.0, max_down=1), (), 10.0
    )
    other = vms.get(B)
    assert other is not None
    assert not plan.may_order(other, 10.0)
    assert plan.may_order(other, 13.5)
