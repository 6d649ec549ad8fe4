"""Team usage that entry VMs report to each other, for shares across data centres."""

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

#: Interval between two reports to the peers, in seconds.
USAGE_INTERVAL_S = 0.5
#: Time constant of the moving average of reported usage, in seconds. It must be well
#: above the age of a report; otherwise entry VMs would correct for each other at the
#: same time and overshoot.
USAGE_SMOOTHING_S = 4.0
#: Age at which a report that was not replaced by a newer one expires, in seconds.
USAGE_EXPIRY_S = 5.0

UsageSlots: TypeAlias = dict[QueueId, dict[TeamId, float]]


class UsageReport(Struct, frozen=True, kw_only=True, tag="usage"):
    """Average usage of the sender's teams; a hint, safe to lose or duplicate.

    Parameters
    ----------
    number : int
        Increases with each report of one incarnation of an entry VM.
    running_slots : dict
        Slots by queue and team.
    """

    number: int
    running_slots: UsageSlots


@dataclass(frozen=True, slots=True)
class _ReceivedReport:
    incarnation: IncarnationId
    report: UsageReport
    at_s: float


class UsageTracker:
    """Averages the usage of teams here, and keeps the reports of other entry VMs."""

    def __init__(self) -> None:
        self._average: defaultdict[QueueId, defaultdict[TeamId, float]]
        self._average = defaultdict(lambda: defaultdict(float))
        self._sampled_s: float | None = None
        self._number = 0
        self._reports: dict[EntryVmId, _ReceivedReport] = {}

    def report(
        self, now_s: float, running_slots: Mapping[QueueId, Mapping[TeamId, float]]
    ) -> UsageReport:
        """Add the current usage to the average, and return the next report."""
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

    def receive(
        self,
        now_s: float,
        sender: EntryVmId,
        incarnation: IncarnationId,
        report: UsageReport,
    ) -> None:
        """Store `report` if it is the newest of its sender."""
        known = self._reports.get(sender)
        is_older = (
            known is not None
            and known.incarnation == incarnation
            and report.number <= known.report.number
        )
        if not is_older:
            self._reports[sender] = _ReceivedReport(incarnation, report, now_s)

    def correction_slots(
        self, now_s: float, queue: QueueId, team: TeamId, running_slots: float
    ) -> float:
        """Return the slots to add to `running_slots` when comparing teams.

        Half of the difference between recent and current usage makes a fractional
        share alternate between the two nearest whole numbers of slots.
        """
        recent = self._average[queue][team] - running_slots
        return recent / 2 + self.remote_slots(now_s, queue, team)

    def remote_slots(self, now_s: float, queue: QueueId, team: TeamId) -> float:
        """Return the slots of `queue` that `team` uses at other entry VMs."""
        return sum(
            received.report.running_slots.get(queue, {}).get(team, 0.0)
            for received in self._reports.values()
            if now_s - received.at_s < USAGE_EXPIRY_S
        )

    def _weight(self, now_s: float) -> float:
        if self._sampled_s is None:
            return 1.0
        return 1.0 - math.exp(-(now_s - self._sampled_s) / USAGE_SMOOTHING_S)
