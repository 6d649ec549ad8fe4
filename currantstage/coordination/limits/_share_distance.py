"""Difference between each team's slots and its share on full queues."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from msgspec import Struct

from currantstage.coordination.limits._shares import TeamDemand, max_min_slots
from currantstage.state import QueueId, TeamId

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from currantstage.state import Team

#: Share of callers without a key, and of teams that were removed.
DEFAULT_SHARE = 1.0


class QueueLoad(Struct, frozen=True, kw_only=True):
    """Running and waiting requests of one team on one queue at one entry VM."""

    queue: QueueId
    team: TeamId
    running_slots: float
    waiting_requests: int


class ShareDistance(Struct, frozen=True, kw_only=True):
    """Distance of one team from its share on one full queue.

    Parameters
    ----------
    queue : QueueId
    team : TeamId
    running_slots, fair_slots : float
        Slots that the team holds, and its weighted max-min allocation of the slots
        that all teams hold.
    distance : float
        Absolute difference of the two, divided by `fair_slots`.
    """

    queue: QueueId
    team: TeamId
    running_slots: float
    fair_slots: float
    distance: float


@dataclass(slots=True)
class _LoadSum:
    running_slots: float = 0.0
    waiting_requests: int = 0


def measure_shares(
    loads: Iterable[QueueLoad], teams: Mapping[TeamId, Team]
) -> tuple[ShareDistance, ...]:
    """Return the distance of each team, ordered by queue and team.

    Parameters
    ----------
    loads : iterable of QueueLoad
        Loads at all entry VMs that answered.
    teams : mapping of TeamId to Team

    Examples
    --------
    >>> load = QueueLoad(
    ...     queue=QueueId("q"), team=TeamId("t"), running_slots=4, waiting_requests=1
    ... )
    >>> measure_shares([load], {})[0].distance
    0.0
    """
    by_queue: defaultdict[QueueId, defaultdict[TeamId, _LoadSum]]
    by_queue = defaultdict(lambda: defaultdict(_LoadSum))
    for load in loads:
        total = by_queue[load.queue][load.team]
        total.running_slots += load.running_slots
        total.waiting_requests += load.waiting_requests
    return tuple(
        distance
        for queue in sorted(by_queue)
        if any(total.waiting_requests for total in by_queue[queue].values())
        for distance in _measure_queue(queue, by_queue[queue], teams)
    )


def _measure_queue(
    queue: QueueId, totals: Mapping[TeamId, _LoadSum], teams: Mapping[TeamId, Team]
) -> Iterable[ShareDistance]:
    demands = [
        TeamDemand(
            team=team,
            share=teams[team].share if team in teams else DEFAULT_SHARE,
            wanted_slots=total.running_slots + total.waiting_requests,
        )
        for team, total in totals.items()
    ]
    capacity_slots = sum(total.running_slots for total in totals.values())
    fair = max_min_slots(capacity_slots, demands)
    for team in sorted(totals):
        running_slots, fair_slots = totals[team].running_slots, fair[team]
        difference_slots = abs(running_slots - fair_slots)
        yield ShareDistance(
            queue=queue,
            team=team,
            running_slots=running_slots,
            fair_slots=fair_slots,
            distance=difference_slots / fair_slots if fair_slots else 0.0,
        )
