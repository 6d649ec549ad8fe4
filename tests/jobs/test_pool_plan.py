"""Pool sizing and moves of VMs."""

from __future__ import annotations

import pytest

from currantstage.coordination.jobs import (
    DemandSizing,
    FixedSizing,
    MaxMinDivision,
    PoolDemand,
    PoolPlan,
    SchedulerTuning,
    VmPresence,
    VmState,
    VmTable,
    WorkDemand,
)
from currantstage.state import DataCentreId, PoolId, VmId
from currantstage.state.jobs import Resources, VmCondition, VmRecord, WorkerId

TUNING = SchedulerTuning(min_vms_per_pool=1, demand_horizon_ms=1000, move_ms=1500)
CAPACITY = Resources(10_000, 10_000, 0)
BUSY, IDLE, SPARE = PoolId("busy"), PoolId("idle"), PoolId("spare")


def _table(busy: int, idle: int, spare: int) -> VmTable:
    table = VmTable(TUNING)
    records = [
        VmRecord(
            vm=VmId(f"{pool}-{number}"),
            pool=pool,
            condition=VmCondition.UP,
            data_centre=DataCentreId("dc"),
            labels=(),
            capacity=CAPACITY,
            worker=WorkerId(f"{pool}-{number}"),
        )
        for pool, count in ((BUSY, busy), (IDLE, idle), (SPARE, spare))
        for number in range(count)
    ]
    table.observe(records, requested_s=0.0)
    return table


def _targets(table: VmTable) -> dict[str, int]:
    counts = dict.fromkeys((BUSY, IDLE, SPARE), 0)
    for vm in table.states():
        counts[vm.target_pool()] += 1
    return {str(pool): count for pool, count in counts.items()}


def _plan(table: VmTable, demand: PoolDemand, times_s: tuple[float, ...]) -> None:
    plan = PoolPlan(table, DemandSizing(TUNING), MaxMinDivision(), 1.5)
    for now_s in times_s:
        _choose(plan, demand, now_s)


def _choose(
    plan: PoolPlan,
    demand: PoolDemand,
    now_s: float,
    idle: PoolDemand = PoolDemand(),  # noqa: B008
) -> None:
    """Plan moves for that demand on the busy pool, and by default none on the other."""
    plan.choose(
        {BUSY: demand, IDLE: idle},
        SPARE,
        lambda _: 0.0,
        lambda _: True,
        lambda _: VmPresence.PRESENT,
        now_s,
    )


def test_steady_arrivals_need_their_cores_and_some_headroom() -> None:
    sizing = DemandSizing(TUNING)
    demand = PoolDemand(
        arriving_cores=40.0, in_time=WorkDemand(40.0), capacity_cores=50.0
    )
    assert sizing.wanted_vms(demand, CAPACITY).all == 5


def test_rising_load_needs_vms_for_the_projected_backlog() -> None:
    """A pool of three VMs receives work for ten."""
    sizing = DemandSizing(TUNING)
    demand = PoolDemand(
        arriving_cores=100.0, in_time=WorkDemand(100.0), capacity_cores=30.0
    )
    assert sizing.wanted_vms(demand, CAPACITY).all >= 20


def test_long_running_tasks_keep_their_vms() -> None:
    sizing = DemandSizing(TUNING)
    demand = PoolDemand(long_running=Resources(5_000, 25_000, 0), min_vms=2)
    assert sizing.wanted_vms(demand, CAPACITY).all == 3


def test_spare_vms_are_moved_at_once() -> None:
    table = _table(busy=1, idle=1, spare=3)
    _plan(table, PoolDemand(arriving_cores=24.0, capacity_cores=30.0), (0.0,))
    assert _targets(table) == {"busy": 3, "idle": 1, "spare": 1}


def test_pool_without_vms_asks_for_those_that_its_demand_calls_for() -> None:
    """It took the VM of unknown size to be minute, and asked for all there are."""
    table = _table(busy=0, idle=1, spare=9)
    demand = PoolDemand(arriving_cores=24.0)
    _plan(table, demand, (0.0,))
    assert (
        _targets(table)["busy"] == DemandSizing(TUNING).wanted_vms(demand, CAPACITY).all
    )


def test_fleet_without_vms_plans_nothing() -> None:
    table = _table(busy=0, idle=0, spare=0)
    _plan(table, PoolDemand(arriving_cores=24.0), (0.0, 1.0))
    assert _targets(table) == {"busy": 0, "idle": 0, "spare": 0}


def test_surplus_of_another_pool_is_moved_after_a_delay() -> None:
    table = _table(busy=1, idle=4, spare=0)
    demand = PoolDemand(arriving_cores=24.0, capacity_cores=30.0)
    _plan(table, demand, (0.0,))
    assert _targets(table)["busy"] == 1
    _plan(table, demand, (0.0, 0.5))
    assert _targets(table) == {"busy": 3, "idle": 2, "spare": 0}


def test_surplus_is_moved_to_the_spare_pool_after_a_longer_delay() -> None:
    table = _table(busy=1, idle=3, spare=0)
    _plan(table, PoolDemand(), (0.0, 1.0))
    assert _targets(table)["spare"] == 0
    _plan(table, PoolDemand(), (0.0, 1.0, 1.6))
    assert _targets(table) == {"busy": 1, "idle": 1, "spare": 2}


def _plan_release(table: VmTable, plan: PoolPlan) -> None:
    """Plan moves of the surplus VMs of both pools to the spare pool."""
    for now_s in (0.0, 1.6):
        _choose(plan, PoolDemand(), now_s)


def test_vm_on_its_way_out_of_a_pool_goes_straight_to_the_pool_that_needs_it() -> None:
    """It moved to the spare pool first, and from there took as long again."""
    table = _table(busy=1, idle=3, spare=0)
    plan = PoolPlan(table, DemandSizing(TUNING), MaxMinDivision(), 1.5)
    _plan_release(table, plan)
    assert _targets(table) == {"busy": 1, "idle": 1, "spare": 2}
    demand = PoolDemand(arriving_cores=24.0, capacity_cores=30.0)
    _choose(plan, demand, 1.8)
    assert _targets(table) == {"busy": 3, "idle": 1, "spare": 0}


def test_pool_keeps_its_own_vms_that_have_not_left_when_its_load_returns() -> None:
    table = _table(busy=3, idle=1, spare=1)
    plan = PoolPlan(table, DemandSizing(TUNING), MaxMinDivision(), 1.5)
    _plan_release(table, plan)
    assert _targets(table) == {"busy": 1, "idle": 1, "spare": 3}
    demand = PoolDemand(arriving_cores=24.0, capacity_cores=30.0)
    _choose(plan, demand, 1.8)
    assert _targets(table) == {"busy": 3, "idle": 1, "spare": 1}
    assert [vm.goal for vm in table.states()] == [None] * 5


def test_vm_on_its_way_to_a_pool_that_has_too_many_stays() -> None:
    """Moves went both ways between two pools, and neither could use their VMs."""
    table = _table(busy=1, idle=4, spare=0)
    plan = PoolPlan(table, DemandSizing(TUNING), MaxMinDivision(), 1.5)
    needs_three = PoolDemand(arriving_cores=24.0, capacity_cores=30.0)
    for now_s in (0.0, 0.5):
        _choose(plan, needs_three, now_s)
    assert _targets(table) == {"busy": 3, "idle": 2, "spare": 0}
    _choose(plan, PoolDemand(), 0.7, idle=needs_three)
    assert [vm.goal for vm in table.states() if vm.goal is not None] == []


def test_vm_whose_move_may_have_been_ordered_keeps_its_goal() -> None:
    table = _table(busy=1, idle=3, spare=0)
    plan = PoolPlan(table, DemandSizing(TUNING), MaxMinDivision(), 1.5)
    _plan_release(table, plan)
    for vm in table.states():
        if vm.goal is not None:
            table.record_sent(vm, 1.7)
    demand = PoolDemand(arriving_cores=24.0, capacity_cores=30.0)
    _choose(plan, demand, 1.8)
    assert _targets(table) == {"busy": 1, "idle": 1, "spare": 2}


def test_fixed_sizing_requests_no_vm() -> None:
    demand = PoolDemand(arriving_cores=500.0)
    assert FixedSizing().wanted_vms(demand, CAPACITY).all == 0


def test_dark_vms_are_replaced_up_to_a_share_of_the_pool() -> None:
    """A pool that had lost a rack got no other VMs."""
    table = _table(busy=4, idle=1, spare=9)
    plan = PoolPlan(table, DemandSizing(TUNING), MaxMinDivision(), 1.5)
    demand = PoolDemand(arriving_cores=32.0, capacity_cores=40.0)
    assert DemandSizing(TUNING).wanted_vms(demand, CAPACITY).all == 4
    dark = [vm for vm in table.states() if vm.record.pool == BUSY][1:]

    def presence(vm: VmState) -> VmPresence:
        return VmPresence.DARK if vm in dark else VmPresence.PRESENT

    for now_s in (0.0, 0.2, 0.4):
        plan.choose(
            {BUSY: demand}, SPARE, lambda _: 0.0, lambda _: True, presence, now_s
        )
    assert _targets(table)["busy"] == 6


@pytest.mark.parametrize(("dark_count", "moved"), [(2, 2), (5, 0)])
def test_pool_gives_away_only_vms_that_work_and_that_it_can_spare(
    dark_count: int, moved: int
) -> None:
    """Dark VMs have the least to drain; the other pool got those."""
    table = _table(busy=1, idle=6, spare=0)
    plan = PoolPlan(table, DemandSizing(TUNING), MaxMinDivision(), 1.5)
    demand = PoolDemand(arriving_cores=24.0, capacity_cores=30.0)
    dark = [vm for vm in table.states() if vm.record.pool == IDLE][:dark_count]

    def presence(vm: VmState) -> VmPresence:
        return VmPresence.DARK if vm in dark else VmPresence.PRESENT

    for now_s in (0.0, 0.5):
        plan.choose(
            {BUSY: demand, IDLE: PoolDemand()},
            SPARE,
            lambda vm: 0.0 if vm in dark else 1.0,
            lambda _: True,
            presence,
            now_s,
        )
    assert _targets(table) == {"busy": 1 + moved, "idle": 6 - moved, "spare": 0}
    assert {vm.target_pool() for vm in dark} == {IDLE}
