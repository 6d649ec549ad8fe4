"""Ejection of workers that fail what others complete."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from currantstage.state import VmId

#: Part of a pool that may be ejected at once.
MAX_EJECTED_FRACTION = 1 / 3
#: A run of failures ejects when a healthy worker shows one by chance less often.
SIGNIFICANCE_LEVEL = 1e-4
#: Failure rate that every worker is granted.
MIN_ASSUMED_FAILURE_RATE = 0.1
#: Newest results kept of each worker.
RECENT_RESULTS = 32
#: Length of a worker's first ejection; each further one is twice as long.
INITIAL_EJECTION_S = 5.0
MAX_EJECTION_S = 300.0


@dataclass(slots=True)
class _Record:
    """Results of one worker."""

    recent: deque[bool] = field(default_factory=lambda: deque(maxlen=RECENT_RESULTS))
    consecutive_failures: int = 0
    consecutive_ejections: int = 0
    ejected_until_s: float = -math.inf
    is_on_probation: bool = False


class OutlierDetector:
    """Ejects workers whose failures can't be explained by the jobs.

    The failure rate of the pool's other workers is the rate of the jobs themselves. A
    run of failures ejects its worker when that rate makes the run improbable, so jobs
    that fail everywhere eject nobody. At most `MAX_EJECTED_FRACTION` of a pool, or one
    of its workers, is out at once.
    """

    def __init__(self) -> None:
        self._records: dict[VmId, _Record] = {}

    def is_ejected(self, vm: VmId, now_s: float) -> bool:
        """Return whether `vm` gets no requests now."""
        record = self._records.get(vm)
        return record is not None and now_s < record.ejected_until_s

    def on_success(self, vm: VmId) -> None:
        """Count a request that completed on `vm`."""
        record = self._record(vm)
        record.recent.append(True)
        record.consecutive_failures = 0
        record.consecutive_ejections = 0
        record.is_on_probation = False

    def on_failure(self, vm: VmId, pool: Collection[VmId], now_s: float) -> bool:
        """Count a failure of `vm` and return whether that ejects it.

        Parameters
        ----------
        vm : VmId
        pool : collection of VmId
            The workers of its pool, itself included.
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
        """Forget the workers that are not in `vms`."""
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
    """Return how many workers of a pool may be out at once.

    >>> [_max_ejected(size) for size in (1, 2, 6, 30)]
    [0, 1, 2, 10]
    """
    return min(pool_size - 1, max(1, int(pool_size * MAX_EJECTED_FRACTION)))
