"""Arrival rate of work per pool, by which pools follow sudden rises in demand."""

from __future__ import annotations

from collections import defaultdict, deque
from dataclasses import dataclass
from itertools import takewhile
from operator import attrgetter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from currantstage.state import PoolId

#: Time over which arrivals are averaged, in seconds.
WINDOW_S = 1.0
#: Shorter time over which a sudden rise shows, in seconds, and number of jobs that have
#: to arrive in it.
RISE_WINDOW_S = 0.25
MIN_RISE_JOBS = 10


@dataclass(frozen=True, slots=True)
class _Arrival:
    at_s: float
    work_core_s: float
    ready_cores: float


class ArrivalMeter:
    """Averages the work arriving at each pool over a short window.

    A rise shows before it has filled the window; a fall doesn't, as VMs that are moved
    away too soon take as long again to come back.

    >>> meter = ArrivalMeter()
    >>> meter.add("letters", 30.0, now_s=1.0)
    >>> meter.rate_cores("letters", now_s=1.5), meter.rate_cores("letters", now_s=2.5)
    (30.0, 0.0)
    """

    def __init__(self) -> None:
        self._arrivals: dict[PoolId, deque[_Arrival]] = defaultdict(deque)

    def add(
        self, pool: PoolId, work_core_s: float, now_s: float, ready_cores: float = 0.0
    ) -> None:
        """Record a job of `work_core_s`, whose first tasks use `ready_cores`."""
        self._arrivals[pool].append(_Arrival(now_s, work_core_s, ready_cores))

    def rate_cores(self, pool: PoolId, now_s: float) -> float:
        """Return the rate of arriving work, in core-seconds per second."""
        return self._rate(pool, now_s, attrgetter("work_core_s"))

    def ready_cores_per_s(self, pool: PoolId, now_s: float) -> float:
        """Return the rate at which new jobs ask for cores for their first tasks.

        The largest job is left out, as a single one doesn't tell of others to come.
        """
        ready_cores = attrgetter("ready_cores")
        largest = max(map(ready_cores, self._recent(pool, now_s)), default=0.0)
        rate = self._rate(pool, now_s, ready_cores)
        return max(0.0, rate - largest / WINDOW_S)

    def _rate(
        self, pool: PoolId, now_s: float, amount: Callable[[_Arrival], float]
    ) -> float:
        recent = self._recent(pool, now_s)
        rate = sum(map(amount, recent)) / WINDOW_S
        newest = list(
            takewhile(lambda each: each.at_s >= now_s - RISE_WINDOW_S, reversed(recent))
        )
        if len(newest) < MIN_RISE_JOBS:
            return rate
        return max(rate, sum(map(amount, newest)) / RISE_WINDOW_S)

    def _recent(self, pool: PoolId, now_s: float) -> deque[_Arrival]:
        arrivals = self._arrivals[pool]
        while arrivals and arrivals[0].at_s < now_s - WINDOW_S:
            arrivals.popleft()
        return arrivals
