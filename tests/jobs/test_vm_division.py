"""Division of the VMs among pools that want more than there are."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from currantstage.coordination.jobs import MaxMinDivision, WantedVms
from currantstage.state import PoolId

A, B, C = PoolId("a"), PoolId("b"), PoolId("c")


@st.composite
def wanted_vms(draw: st.DrawFn) -> WantedVms:
    """Draw the numbers of VMs that a pool wants."""
    required, in_time, late = (draw(st.integers(0, 300)) for _ in range(3))
    return WantedVms(required, required + in_time, required + in_time + late)


pools = st.dictionaries(st.sampled_from([A, B, C]), wanted_vms(), min_size=1)
totals = st.integers(0, 700)


def test_pools_get_what_they_want_while_there_is_enough() -> None:
    wanted = {A: WantedVms(3, 20, 25), B: WantedVms(3, 3, 3)}
    assert MaxMinDivision().divide(wanted, 100) == {A: 25, B: 3}


def test_pool_that_wants_everything_leaves_the_others_what_they_want() -> None:
    wanted = {A: WantedVms(3, 500, 500), B: WantedVms(3, 20, 20)}
    assert MaxMinDivision().divide(wanted, 100) == {A: 80, B: 20}


def test_work_that_can_be_in_time_comes_before_a_backlog_that_is_late() -> None:
    wanted = {A: WantedVms(3, 3, 500), B: WantedVms(3, 60, 60)}
    assert MaxMinDivision().divide(wanted, 100) == {A: 40, B: 60}


def test_long_running_tasks_come_first() -> None:
    wanted = {A: WantedVms(30, 30, 30), B: WantedVms(3, 500, 500)}
    assert MaxMinDivision().divide(wanted, 40) == {A: 30, B: 10}


def test_fleet_without_vms_and_configuration_without_pools() -> None:
    assert MaxMinDivision().divide({A: WantedVms(3, 3, 3)}, 0) == {A: 0}
    assert MaxMinDivision().divide({}, 10) == {}


@given(pools, totals)
def test_shares_are_conserved_and_none_exceeds_what_the_pool_wants(
    wanted: dict[PoolId, WantedVms], total: int
) -> None:
    shares = MaxMinDivision().divide(wanted, total)
    assert sum(shares.values()) == min(total, sum(each.all for each in wanted.values()))
    assert all(0 <= shares[pool] <= each.all for pool, each in wanted.items())


@given(pools, totals)
def test_no_pool_lacks_vms_in_time_while_another_has_some_for_late_work(
    wanted: dict[PoolId, WantedVms], total: int
) -> None:
    shares = MaxMinDivision().divide(wanted, total)
    lacks = any(shares[pool] < each.in_time for pool, each in wanted.items())
    if lacks:
        assert all(shares[pool] <= each.in_time for pool, each in wanted.items())


@given(pools, totals)
def test_a_shortage_takes_the_same_from_each_pool_up_to_one_vm(
    wanted: dict[PoolId, WantedVms], total: int
) -> None:
    shares = MaxMinDivision().divide(wanted, total)
    extra = {pool: shares[pool] - each.required for pool, each in wanted.items()}
    short = [pool for pool, each in wanted.items() if shares[pool] < each.in_time]
    if all(each >= 0 for each in extra.values()):
        assert all(extra[pool] >= max(extra.values()) - 1 for pool in short)
