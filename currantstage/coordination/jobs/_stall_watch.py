"""Stalls that many workers of a pool show at once."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from currantstage.coordination.jobs._worker_state import WorkerState
    from currantstage.state import PoolId
    from currantstage.state.jobs import WorkerId

#: Number of workers of a pool, and share of those that run short tasks, beyond which
#: stalls have a cause in common.
MIN_STALLED_WORKERS = 3
COMMON_CAUSE_SHARE = 0.5
#: How long a stall that was found on a worker counts, in seconds.
STALL_MEMORY_S = 4.0


class StallWatch:
    """Tells stalls of single runs from those that have a cause in common.

    If most workers of a pool stall, it is hardly the workers that are at fault, and
    stopping their runs loses work for nothing.
    """

    def __init__(self) -> None:
        self._found_s: dict[WorkerId, float] = {}
        self._common: set[PoolId] = set()

    def update(
        self,
        busy: Iterable[WorkerState],
        stalled: Iterable[WorkerState],
        now_s: float,
    ) -> None:
        """Note which workers run short tasks now, and on which of them some stall."""
        for each in stalled:
            self._found_s[each.entry.worker] = now_s
        self._found_s = {
            worker: found_s
            for worker, found_s in self._found_s.items()
            if now_s - found_s < STALL_MEMORY_S
        }
        busy_workers: Counter[PoolId] = Counter()
        stalled_workers: Counter[PoolId] = Counter()
        for each in busy:
            busy_workers[each.entry.pool] += 1
            stalled_workers[each.entry.pool] += each.entry.worker in self._found_s
        self._common = {
            pool
            for pool, count in stalled_workers.items()
            if count >= MIN_STALLED_WORKERS
            and count > COMMON_CAUSE_SHARE * busy_workers[pool]
        }

    def has_common_cause(self, pool: PoolId) -> bool:
        """Return whether the stalls in a pool have a cause in common."""
        return pool in self._common
