"""Weighted max-min fairness among teams over the slots that they hold."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from currantstage.coordination.requests._policies import TeamLoad
    from currantstage.state import TeamId

#: Portion of its entitlement that a waiting team gets at each entry VM, however much
#: it runs at others.
LOCAL_FLOOR_FRACTION = 0.5
#: Added to the slots held before they are divided by the share: rounds to the
#: nearest whole slot (Webster's method) rather than in favour of small shares.
ROUNDING_SLOTS = 0.5
#: The same where usage of late counts for one half, so that one more slot adds one
#: half at once.
AVERAGED_ROUNDING_SLOTS = 0.25


@dataclass(frozen=True, slots=True)
class TeamDemand:
    """What one team would use if nobody else were there.

    Parameters
    ----------
    team : TeamId
    share : float
    wanted_slots : float
    """

    team: TeamId
    share: float
    wanted_slots: float


class WeightedMaxMin:
    """Implements `SharePolicy`: the waiting team with the least per share goes next.

    Giving each free slot to the team that holds the fewest slots per unit of share
    fills all teams evenly, so the slots held approach the weighted max-min
    allocation. A team that wants less than its share leaves the rest to the others,
    and is first in line for the next free slots when it wants them back.

    What a team has held of late, here and at the other entry VMs, counts as well. So
    a team that is served much elsewhere gets less here, and shares that are no whole
    number of slots come out right over time. A floor bounds both: a team that waits
    here and holds less than `LOCAL_FLOOR_FRACTION` of its entitlement here goes
    before all that hold more.
    """

    def choose(self, loads: Sequence[TeamLoad]) -> TeamId:
        """Return the team to serve; `loads` holds at least one that waits.

        On a tie the first of `loads` is served.
        """
        waiting = [load for load in loads if load.waiting_requests > 0]
        if not any(load.correction_slots for load in loads):
            return min(waiting, key=_local_rank).team
        below_floor = _below_floor(loads, waiting)
        if below_floor:
            return min(below_floor, key=_local_rank).team
        return min(waiting, key=_fleet_rank).team


def max_min_slots(
    capacity_slots: float, demands: Iterable[TeamDemand]
) -> dict[TeamId, float]:
    """Return the weighted max-min allocation of `capacity_slots`.

    No team gets more than it wants, and what it leaves is divided among the others
    by their shares.

    >>> small, large = TeamDemand("s", 1.0, 2.0), TeamDemand("l", 1.0, 90.0)
    >>> max_min_slots(10.0, [small, large])
    {'s': 2.0, 'l': 8.0}
    """
    left_slots = capacity_slots
    allocation: dict[TeamId, float] = {}
    by_need = sorted(demands, key=lambda each: each.wanted_slots / each.share)
    left_shares = sum(each.share for each in by_need)
    for each in by_need:
        slots = min(each.wanted_slots, left_slots * each.share / left_shares)
        allocation[each.team] = slots
        left_slots -= slots
        left_shares -= each.share
    return allocation


def _below_floor(
    loads: Sequence[TeamLoad], waiting: Sequence[TeamLoad]
) -> list[TeamLoad]:
    active = [load for load in loads if load.running_slots or load.waiting_requests]
    capacity_slots = sum(load.running_slots for load in active)
    shares = sum(load.share for load in active)
    return [
        load
        for load in waiting
        if load.running_slots
        < LOCAL_FLOOR_FRACTION * capacity_slots * load.share / shares
    ]


def _local_rank(load: TeamLoad) -> float:
    return (load.running_slots + ROUNDING_SLOTS) / load.share


def _fleet_rank(load: TeamLoad) -> float:
    held_slots = load.running_slots + load.correction_slots
    return (held_slots + AVERAGED_ROUNDING_SLOTS) / load.share
