"""Limits of the pauses on suspicion, so that they don't close most of a pool."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from currantstage.coordination.jobs._worker_pause import PauseGround

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from currantstage.coordination.jobs._worker_state import WorkerState

#: Grounds that tell less of a worker than of what happens around it.
SUSPICIONS = frozenset({PauseGround.STALL})
#: Share of the workers of a pool that suspicions leave open.
MIN_OPEN_SHARE = 0.5
#: Minimum interval between two looks at all workers, in seconds.
CHECK_INTERVAL_S = 0.2


class PauseLimits:
    """Ends pauses on suspicion that would close too much of a pool.

    Many suspects at once are more likely to have a common cause, such as their tasks or
    this machine. A worker that refuses starts, is silent or fails the runs of several
    jobs is known to be at fault: it counts neither as open nor as a suspect.
    """

    def __init__(self) -> None:
        self._checked_s = float("-inf")

    def apply(self, workers: Iterable[WorkerState], now_s: float) -> None:
        """End the pauses that go beyond the limit of their pool, the oldest first.

        Has no effect within `CHECK_INTERVAL_S` of the last time.
        """
        if now_s - self._checked_s < CHECK_INTERVAL_S:
            return
        self._checked_s = now_s
        everyone = list(workers)
        pools = {
            each.entry.pool
            for each in everyone
            if now_s < each.pauses.over_s and each.pauses.are_any(SUSPICIONS, now_s)
        }
        for pool in pools:
            _limit([each for each in everyone if each.entry.pool == pool], now_s)


def _limit(workers: Sequence[WorkerState], now_s: float) -> None:
    """End pauses in one pool."""
    usable = [each for each in workers if not each.start_blocker(now_s, SUSPICIONS)]
    suspects = [each for each in usable if not each.accepts_starts(now_s)]
    max_suspects = len(usable) - math.ceil(MIN_OPEN_SHARE * len(usable))
    suspects.sort(key=lambda each: each.pauses.end_s(now_s))
    for each in suspects[: max(0, len(suspects) - max_suspects)]:
        for ground in SUSPICIONS:
            each.pauses.end(ground)
