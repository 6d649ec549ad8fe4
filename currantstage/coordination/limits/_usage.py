"""Usage of each team as entry VMs tell one another, for shares over data centres."""

from __future__ import annotations

import math
from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

from msgspec import Struct

from currantstage.state import QueueId, TeamId

if TYPE_CHECKING:
    from collections.abc import Mapping

    from currantstage.state import EntryVmId, IncarnationId

#: Pause between two reports to the peers, in seconds.
USAGE_INTERVAL_S = 0.5
#: Time constant over which usage is averaged before it is reported, in seconds. It
#: stays well above the age of a report, or entry VMs would correct one another in
#: step, and overshoot.
USAGE_SMOOTHING_S = 4.0
#: Age at which a report that was not followed by another counts no more, in seconds.
USAGE_EXPIRY_S = 5.0

UsageSlots: TypeAlias = dict[QueueId, dict[TeamId, float]]


class UsageReport(Struct, frozen=True, kw_only=True, tag="usage"):
    """What the sender's teams hold, averaged; a hint, safe to lose or double.

    Parameters
    ----------
    number : int
        Rises with each report of one start of an entry VM.
    running_slots : dict
        Slots by queue and team.
    """

    number: int
    running_slots: UsageSlots


@dataclass(frozen=True, slots=True)
class _Heard:
    incarnation: IncarnationId
    report: UsageReport
    at_s: float


class UsageBoard:
    """What this entry VM reports of its teams, and what others have reported."""

    def __init__(self) -> None:
        self._average: defaultdict[QueueId, defaultdict[TeamId, float]]
        self._average = defaultdict(lambda: defaultdict(float))
        self._sampled_s: float | None = None
        self._number = 0
        self._heard: dict[EntryVmId, _Heard] = {}

    def report(
        self, now_s: float, running_slots: Mapping[QueueId, Mapping[TeamId, float]]
    ) -> UsageReport:
        """Average what is running now into the usage, and return the next report."""
        weight = self._weight(now_s)
        for queue in self._average.keys() | running_slots.keys():
            teams, now = self._average[queue], running_slots.get(queue, {})
            for team in teams.keys() | now.keys():
                teams[team] += weight * (now.get(team, 0.0) - teams[team])
        self._sampled_s = now_s
        self._number += 1
        return UsageReport(
            number=self._number,
            running_slots={
                queue: {team: slots for team, slots in teams.items() if slots > 0.01}
                for queue, teams in self._average.items()
            },
        )

    def hear(
        self,
        now_s: float,
        sender: EntryVmId,
        incarnation: IncarnationId,
        report: UsageReport,
    ) -> None:
        """Keep the newest report of each entry VM."""
        known = self._heard.get(sender)
        is_older = (
            known is not None
            and known.incarnation == incarnation
            and report.number <= known.report.number
        )
        if not is_older:
            self._heard[sender] = _Heard(incarnation, report, now_s)

    def correction_slots(
        self, now_s: float, queue: QueueId, team: TeamId, running_slots: float
    ) -> float:
        """Return what to add to `running_slots` when teams are compared.

        Half of the difference between late and present usage makes a share that is
        no whole number of slots alternate between the two nearest ones.
        """
        late = self._average[queue][team] - running_slots
        return late / 2 + self.elsewhere_slots(now_s, queue, team)

    def elsewhere_slots(self, now_s: float, queue: QueueId, team: TeamId) -> float:
        """Return the slots of `queue` that `team` holds at other entry VMs."""
        return sum(
            heard.report.running_slots.get(queue, {}).get(team, 0.0)
            for heard in self._heard.values()
            if now_s - heard.at_s < USAGE_EXPIRY_S
        )

    def _weight(self, now_s: float) -> float:
        if self._sampled_s is None:
            return 1.0
        return 1.0 - math.exp(-(now_s - self._sampled_s) / USAGE_SMOOTHING_S)
