"""How far each team is from its share on the queues that are full."""

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

#: Share of callers without a key, and of teams that were withdrawn.
DEFAULT_SHARE = 1.0


class QueueLoad(Struct, frozen=True, kw_only=True):
    """What one team runs and waits for on one queue at one entry VM."""

    queue: QueueId
    team: TeamId
    running_slots: float
    waiting_requests: int


class ShareDistance(Struct, frozen=True, kw_only=True):
    """One team on one full queue.

    Parameters
    ----------
    queue : QueueId
    team : TeamId
    running_slots, fair_slots : float
        What the team holds, and its weighted max-min allocation of what all hold.
    distance : float
        Difference of the two as a fraction of the second.
    """

    queue: QueueId
    team: TeamId
    running_slots: float
    fair_slots: float
    distance: float


@dataclass(slots=True)
class _Sum:
    running_slots: float = 0.0
    waiting_requests: int = 0


def measure_shares(
    loads: Iterable[QueueLoad], teams: Mapping[TeamId, Team]
) -> tuple[ShareDistance, ...]:
    """Return the distance of each team, ordered by queue and team.

    Parameters
    ----------
    loads : iterable of QueueLoad
        Of all entry VMs that answered.
    teams : mapping of TeamId to Team

    Examples
    --------
    >>> load = QueueLoad(
    ...     queue=QueueId("q"), team=TeamId("t"), running_slots=4, waiting_requests=1
    ... )
    >>> measure_shares([load], {})[0].distance
    0.0
    """
    by_queue: defaultdict[QueueId, defaultdict[TeamId, _Sum]]
    by_queue = defaultdict(lambda: defaultdict(_Sum))
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
    queue: QueueId, totals: Mapping[TeamId, _Sum], teams: Mapping[TeamId, Team]
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
        gap_slots = abs(running_slots - fair_slots)
        yield ShareDistance(
            queue=queue,
            team=team,
            running_slots=running_slots,
            fair_slots=fair_slots,
            distance=gap_slots / fair_slots if fair_slots else 0.0,
        )
