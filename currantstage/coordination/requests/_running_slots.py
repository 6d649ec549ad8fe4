"""Slots that running requests hold, by queue and team."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from currantstage.coordination.requests._dispatch_effects import MIN_WEIGHT_SLOTS

if TYPE_CHECKING:
    from collections.abc import Mapping

    from currantstage.coordination.requests._dispatch_effects import Assignment
    from currantstage.state import QueueId, TeamId


class RunningSlots:
    """Counts running requests, and the slots of each team weighted by job size."""

    def __init__(self) -> None:
        self._slots: dict[QueueId, dict[TeamId, float]] = {}
        self._requests: Counter[QueueId] = Counter()

    @property
    def request_count(self) -> int:
        """Number of running requests of all queues."""
        return self._requests.total()

    @property
    def slots(self) -> Mapping[QueueId, Mapping[TeamId, float]]:
        """Weighted slots of each team, per queue."""
        return self._slots

    @property
    def requests(self) -> Mapping[QueueId, int]:
        """Number of running requests per queue."""
        return self._requests

    def count_requests(self, queue: QueueId) -> int:
        """Return the number of running requests of `queue`."""
        return self._requests[queue]

    def teams(self, queue: QueueId) -> Mapping[TeamId, float]:
        """Return the weighted slots of each team that has some in `queue`."""
        return self._slots.get(queue, _NO_SLOTS)

    def add(self, assignment: Assignment) -> None:
        """Count a request that has been assigned to a worker."""
        request = assignment.request
        teams = self._slots.setdefault(request.queue, {})
        teams[request.team] = teams.get(request.team, 0.0) + assignment.weight_slots
        self._requests[request.queue] += 1

    def remove(self, assignment: Assignment) -> None:
        """Count a request that has released its worker."""
        request = assignment.request
        teams = self._slots[request.queue]
        teams[request.team] -= assignment.weight_slots
        if teams[request.team] < MIN_WEIGHT_SLOTS:
            del teams[request.team]
        self._requests[request.queue] -= 1


_NO_SLOTS: Mapping[TeamId, float] = {}
