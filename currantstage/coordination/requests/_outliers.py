"""Outlier detection: eject workers that fail requests that others complete."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from currantstage.state import VmId

#: Maximum fraction of a pool that may be ejected at the same time.
MAX_EJECTED_FRACTION = 1 / 3
#: Consecutive failures eject a worker if a healthy one would show as many with at most
#: this probability.
SIGNIFICANCE_LEVEL = 1e-4
#: Lower bound on the failure rate that is assumed of healthy workers.
MIN_ASSUMED_FAILURE_RATE = 0.1
#: Number of most recent results kept per worker.
RECENT_RESULTS = 32
#: Duration of a worker's first ejection, in seconds; it doubles with each consecutive
#: ejection up to `MAX_EJECTION_S`.
INITIAL_EJECTION_S = 5.0
MAX_EJECTION_S = 300.0


@dataclass(slots=True)
class _Record:
    """Recent results and ejections of one worker."""

    recent: deque[bool] = field(default_factory=lambda: deque(maxlen=RECENT_RESULTS))
    consecutive_failures: int = 0
    consecutive_ejections: int = 0
    ejected_until_s: float = -math.inf
    is_on_probation: bool = False


class OutlierDetector:
    """Ejects workers whose failures are not explained by the jobs they ran.

    The failure rate of the other workers of the pool is taken as the failure rate of
    the jobs. A worker is ejected if its number of consecutive failures is improbable at
    that rate, so jobs that fail on every worker eject none. At most
    `MAX_EJECTED_FRACTION` of a pool, or one worker if that is more, is ejected at the
    same time, and never the whole pool. A worker that returns from an ejection is on
    probation: its next failure ejects it again, unless a request completes first.
    """

    def __init__(self) -> None:
        self._records: dict[VmId, _Record] = {}

    def is_ejected(self, vm: VmId, now_s: float) -> bool:
        """Return whether `vm` is ejected and gets no requests."""
        record = self._records.get(vm)
        return record is not None and now_s < record.ejected_until_s

    def on_success(self, vm: VmId) -> None:
        """Record a request that completed on `vm`."""
        record = self._record(vm)
        record.recent.append(True)
        record.consecutive_failures = 0
        record.consecutive_ejections = 0
        record.is_on_probation = False

    def on_failure(self, vm: VmId, pool: Collection[VmId], now_s: float) -> bool:
        """Record a failure of `vm` and return whether it is ejected as a result.

        Parameters
        ----------
        vm : VmId
        pool : collection of VmId
            The workers of its pool, including `vm`.
        now_s : float
        """
        record = self._record(vm)
        record.recent.append(False)
        record.consecutive_failures += 1
        if self.is_ejected(vm, now_s) or not self._is_outlier(record, vm, pool):
            return False
        ejected = sum(self.is_ejected(other, now_s) for other in pool)
        if ejected >= _max_ejected(len(pool)):
            return False
        ejection_s = INITIAL_EJECTION_S * 2**record.consecutive_ejections
        record.ejected_until_s = now_s + min(ejection_s, MAX_EJECTION_S)
        record.consecutive_ejections = min(
            record.consecutive_ejections + 1, RECENT_RESULTS
        )
        record.is_on_probation = True
        return True

    def retain(self, vms: Collection[VmId]) -> None:
        """Discard the records of workers that are not in `vms`."""
        for vm in [vm for vm in self._records if vm not in vms]:
            del self._records[vm]

    def _record(self, vm: VmId) -> _Record:
        return self._records.setdefault(vm, _Record())

    def _is_outlier(self, record: _Record, vm: VmId, pool: Iterable[VmId]) -> bool:
        others = [
            result
            for other in pool
            if other != vm and other in self._records
            for result in self._records[other].recent
        ]
        if not any(others):
            return False
        if record.is_on_probation:
            return True
        rate = max(MIN_ASSUMED_FAILURE_RATE, 1 - sum(others) / (len(others) + 1))
        return rate**record.consecutive_failures <= SIGNIFICANCE_LEVEL


def _max_ejected(pool_size: int) -> int:
    """Return how many workers of a pool may be ejected at the same time.

    >>> [_max_ejected(size) for size in (1, 2, 6, 30)]
    [0, 1, 2, 10]
    """
    return min(pool_size - 1, max(1, int(pool_size * MAX_EJECTED_FRACTION)))
