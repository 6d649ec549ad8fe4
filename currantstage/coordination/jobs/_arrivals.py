"""Arrival rate of work per pool, by which pools follow sudden rises in demand."""

from __future__ import annotations

from collections import defaultdict, deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from currantstage.state import PoolId

#: Time over which arrivals are averaged, in seconds.
WINDOW_S = 1.0


@dataclass(frozen=True, slots=True)
class _Arrival:
    at_s: float
    work_core_s: float


class ArrivalMeter:
    """Averages the work arriving at each pool over a short window.

    >>> meter = ArrivalMeter()
    >>> meter.add("letters", 30.0, now_s=1.0)
    >>> meter.rate_cores("letters", now_s=1.5), meter.rate_cores("letters", now_s=2.5)
    (30.0, 0.0)
    """

    def __init__(self) -> None:
        self._arrivals: dict[PoolId, deque[_Arrival]] = defaultdict(deque)

    def add(self, pool: PoolId, work_core_s: float, now_s: float) -> None:
        """Record a job of `work_core_s` core-seconds."""
        self._arrivals[pool].append(_Arrival(now_s, work_core_s))

    def rate_cores(self, pool: PoolId, now_s: float) -> float:
        """Return the rate of arriving work, in core-seconds per second."""
        arrivals = self._arrivals[pool]
        while arrivals and arrivals[0].at_s < now_s - WINDOW_S:
            arrivals.popleft()
        return sum(each.work_core_s for each in arrivals) / WINDOW_S
