"""Planned work on VMs."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from currantstage.coordination.jobs import (
    FleetManager,
    Scheduler,
    SchedulerTuning,
    VmGoal,
    VmOrder,
    VmOrderCooldown,
    VmTable,
    VmWork,
)
from currantstage.standin.jobs import build_configuration
from currantstage.state import DataCentreId, PoolId, VmId
from currantstage.state.jobs import (
    Resources,
    Term,
    VmCondition,
    VmOrderOutcome,
    VmRecord,
    WorkerId,
)
from tests.jobs.records import entry

TUNING = SchedulerTuning(min_vms_per_pool=0)
OLD, NEW = WorkerId("old"), WorkerId("new")
RECORD = VmRecord(
    vm=VmId("m"),
    pool=PoolId("letters"),
    condition=VmCondition.UP,
    data_centre=DataCentreId("dc"),
    labels=("a", "r"),
    capacity=Resources(8000, 16384, 0),
    worker=OLD,
)
GOAL = VmGoal(VmWork.MAINTENANCE, wave=1)


def _manager_after_sending() -> tuple[Scheduler, FleetManager]:
    """Return a manager that has sent an order for the VM."""
    scheduler = Scheduler(Term(1), build_configuration(), TUNING)
    scheduler.update_workers((entry(OLD), entry(NEW)), now_s=0.0)
    manager = FleetManager(scheduler, TUNING, VmOrderCooldown((), 0.0, TUNING))
    manager.observe((RECORD,), requested_s=0.0)
    state = manager.vms.get(RECORD.vm)
    assert state is not None
    manager.vms.set_goal(state, GOAL, now_s=0.0)
    manager.vms.record_sent(state, now_s=0.1)
    return scheduler, manager


def test_late_answer_retires_the_worker_that_the_order_has_ended() -> None:
    """The VM's next worker was retired instead, so that no task was placed on it."""
    scheduler, manager = _manager_after_sending()
    order = VmOrder(RECORD.vm, GOAL)
    manager.on_order_outcome(order, VmOrderOutcome.UNAVAILABLE, now_s=1.0)
    manager.observe((msgspec.structs.replace(RECORD, worker=NEW),), requested_s=3.0)
    manager.on_order_outcome(order, VmOrderOutcome.DONE, now_s=3.5)
    old, new = scheduler.workers.get(OLD), scheduler.workers.get(NEW)
    assert old is not None
    assert new is not None
    assert (old.is_retired, new.is_retired) == (True, False)


def test_list_that_was_requested_before_the_answer_does_not_end_the_work() -> None:
    table = VmTable(TUNING)
    table.observe((RECORD,), requested_s=0.0)
    state = table.get(RECORD.vm)
    assert state is not None
    table.set_goal(state, GOAL, now_s=0.0)
    table.record_sent(state, now_s=1.0)
    table.on_order_outcome(VmOrder(RECORD.vm, GOAL), VmOrderOutcome.DONE, now_s=1.1)
    table.observe((RECORD,), requested_s=1.05)
    assert state.is_order_outstanding
    table.observe((RECORD,), requested_s=1.1 + TUNING.upkeep_ms / 1000 + 0.1)
    assert not state.is_order_outstanding
    assert state.goal is None


def _manager_after_order(*listed_after: VmRecord) -> tuple[Scheduler, FleetManager]:
    """Return a manager whose order for the VM was confirmed, and a list after that."""
    scheduler, manager = _manager_after_sending()
    manager.on_order_outcome(VmOrder(RECORD.vm, GOAL), VmOrderOutcome.DONE, now_s=0.2)
    manager.observe(listed_after, requested_s=0.3)
    return scheduler, manager


# Review case 9: the platform confirms an upkeep that was done before, and does nothing.
def test_worker_that_a_confirmed_order_has_not_ended_is_called_again() -> None:
    scheduler, manager = _manager_after_order(RECORD)
    worker_state = scheduler.workers.get(OLD)
    assert worker_state is not None
    assert not worker_state.is_retired
    assert worker_state.is_renewal_due(0.4)
    manager.observe((RECORD,), requested_s=0.3 + TUNING.upkeep_ms / 1000)
    state = manager.vms.get(RECORD.vm)
    assert state is not None
    assert state.goal is None


@pytest.mark.parametrize(
    "changes",
    [{"condition": VmCondition.MAINTENANCE}, {"worker": NEW}, {"worker": ""}],
)
def test_worker_that_an_order_has_ended_stays_retired(changes: dict[str, Any]) -> None:
    scheduler, _ = _manager_after_order(msgspec.structs.replace(RECORD, **changes))
    worker_state = scheduler.workers.get(OLD)
    assert worker_state is not None
    assert worker_state.is_retired
