"""Weighted max-min shares: which team is served next, and the allocation reached."""

from __future__ import annotations

from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from currantstage.coordination.limits import TeamDemand, WeightedMaxMin, max_min_slots
from currantstage.coordination.requests import TeamLoad
from currantstage.state import TeamId

SHARES = {TeamId("a"): 4.0, TeamId("b"): 2.0, TeamId("c"): 1.0}


def fill(capacity, demands, remote_slots=None):
    """Assign slots one by one and return the slots of each team."""
    held, waiting = Counter(), Counter(demands)
    remote = remote_slots or {}
    for _ in range(capacity):
        loads = [
            TeamLoad(team, share, held[team], waiting[team], remote.get(team, 0))
            for team, share in SHARES.items()
        ]
        if not any(waiting.values()):
            break
        team = WeightedMaxMin().choose(loads)
        held[team] += 1
        waiting[team] -= 1
    return held


def test_full_demand_is_served_by_share():
    assert fill(28, {"a": 99, "b": 990, "c": 99}) == {"a": 16, "b": 8, "c": 4}


def test_unused_share_goes_to_teams_with_demand():
    assert fill(28, {"a": 1, "b": 99, "c": 99}) == {"a": 1, "b": 18, "c": 9}


def test_a_team_whose_demand_returns_gets_the_next_slots():
    loads = [TeamLoad(TeamId("a"), 4.0, 0, 1), TeamLoad(TeamId("b"), 2.0, 20, 50)]
    assert WeightedMaxMin().choose(loads) == "a"


def test_ties_go_to_the_first_team():
    loads = [TeamLoad(TeamId(name), 1.0, 0, 9) for name in "ba"]
    assert WeightedMaxMin().choose(loads) == "b"


def test_slots_held_at_other_entry_vms_count_without_starvation():
    held = fill(28, {"a": 99, "b": 99, "c": 99}, {"a": 1000.0})
    assert 0 < held["a"] < 16
    assert held["b"] > 8


@settings(derandomize=True, max_examples=100)
@given(
    st.floats(1, 500),
    st.lists(st.tuples(st.floats(0.1, 9), st.floats(0, 300)), min_size=1, max_size=6),
)
def test_allocation_is_complete_bounded_and_max_min(capacity, teams):
    demands = [TeamDemand(TeamId(str(i)), *each) for i, each in enumerate(teams)]
    slots = max_min_slots(capacity, demands)
    wanted = sum(each.wanted_slots for each in demands)
    assert abs(sum(slots.values()) - min(capacity, wanted)) < 1e-6
    level = max(slots[each.team] / each.share for each in demands)
    for each in demands:
        assert slots[each.team] <= each.wanted_slots + 1e-9
        if slots[each.team] < each.wanted_slots - 1e-9:
            assert slots[each.team] / each.share >= level - 1e-6
