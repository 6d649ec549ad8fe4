"""Weighted max-min fairness among teams over the slots that they hold."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from currantstage.coordination.requests._policies import TeamLoad
    from currantstage.state import TeamId

#: Fraction of its entitlement that a waiting team gets at each entry VM, regardless of
#: its usage at others.
LOCAL_FLOOR_FRACTION = 0.5
#: Added to the slots held before dividing by the share. This rounds to the nearest
#: whole slot (Webster's method) instead of favouring small shares.
ROUNDING_SLOTS = 0.5
#: The same for averaged usage, in which recent usage has a weight of one half, so that
#: one more slot immediately adds one half.
AVERAGED_ROUNDING_SLOTS = 0.25


@dataclass(frozen=True, slots=True)
class TeamDemand:
    """Slots that one team would use if there were no other teams.

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
    """Implements `SharePolicy`: serves the team with the fewest slots per share.

    Each free slot goes to the waiting team that holds the fewest slots per unit of
    share, so the slots held approach the weighted max-min allocation. A team that needs
    less than its share leaves the rest to the others, and gets the next free slots when
    its demand returns.

    Recent usage, at this and at other entry VMs, counts as well. A team that is served
    more at other entry VMs therefore gets less here, and fractional shares are met on
    average over time. Both effects are bounded by a floor: waiting teams that hold less
    than `LOCAL_FLOOR_FRACTION` of their entitlement here are served before all others.
    """

    def choose(self, loads: Sequence[TeamLoad]) -> TeamId:
        """Return the team to serve; `loads` must contain at least one that waits.

        Ties go to the first in `loads`.
        """
        waiting = [load for load in loads if load.waiting_requests > 0]
        if not any(load.correction_slots for load in loads):
            return min(waiting, key=_local_rank).team
        below_floor = _loads_below_floor(loads, waiting)
        if below_floor:
            return min(below_floor, key=_local_rank).team
        return min(waiting, key=_fleet_rank).team


def max_min_slots(
    capacity_slots: float, demands: Iterable[TeamDemand]
) -> dict[TeamId, float]:
    """Return the weighted max-min allocation of `capacity_slots`.

    No team gets more than it demands. Slots that it does not use are divided among the
    others in proportion to their shares.

    >>> small, large = TeamDemand("s", 1.0, 2.0), TeamDemand("l", 1.0, 90.0)
    >>> max_min_slots(10.0, [small, large])
    {'s': 2.0, 'l': 8.0}
    """
    remaining_slots = capacity_slots
    allocation: dict[TeamId, float] = {}
    by_need = sorted(demands, key=lambda each: each.wanted_slots / each.share)
    remaining_shares = sum(each.share for each in by_need)
    for each in by_need:
        slots = min(each.wanted_slots, remaining_slots * each.share / remaining_shares)
        allocation[each.team] = slots
        remaining_slots -= slots
        remaining_shares -= each.share
    return allocation


def _loads_below_floor(
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
