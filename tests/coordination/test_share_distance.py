"""Distance of teams from their shares on full queues."""

from __future__ import annotations

import pytest

from currantstage.coordination.limits import QueueLoad, measure_shares
from currantstage.state import QueueId, Team, TeamId

TEAMS = {
    TeamId(name): Team(team_id=TeamId(name), share=share, upper_limit_slots=99)
    for name, share in (("large", 3.0), ("small", 1.0))
}


def make_load(team, running, waiting, queue="q"):
    return QueueLoad(
        queue=QueueId(queue),
        team=TeamId(team),
        running_slots=running,
        waiting_requests=waiting,
    )


def test_loads_of_all_entry_vms_are_added():
    loads = [
        make_load("large", 4, 9),
        make_load("large", 5, 9),
        make_load("small", 3, 9),
    ]
    large, small = measure_shares(loads, TEAMS)
    assert (large.fair_slots, small.fair_slots) == (9.0, 3.0)
    assert large.distance == small.distance == 0.0


def test_distance_of_a_team_below_its_share():
    loads = [make_load("large", 6, 9), make_load("small", 6, 0)]
    large, small = measure_shares(loads, TEAMS)
    assert large.distance == pytest.approx(3 / 9)
    assert small.distance == pytest.approx(1.0)


def test_a_queue_without_waiting_requests_is_omitted():
    assert measure_shares([make_load("large", 6, 0)], TEAMS) == ()


def test_a_team_with_less_demand_leaves_the_rest_to_others():
    loads = [make_load("large", 1, 0), make_load("small", 7, 5)]
    assert [each.distance for each in measure_shares(loads, TEAMS)] == [0.0, 0.0]
