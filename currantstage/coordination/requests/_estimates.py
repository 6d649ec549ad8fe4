"""Run times learnt per queue."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from currantstage.state import QueueId

#: Observations that an estimate rests on; older ones are forgotten.
WINDOW_OBSERVATIONS = 256
#: Observations below which no estimate is given.
MIN_OBSERVATIONS = 8


class QuantileWindow:
    """Exact quantiles of the newest observations.

    Each observation costs one binary search and a move of at most `size` numbers, and
    a quantile costs one look-up.

    Parameters
    ----------
    size : int
        Number of observations kept.
    """

    def __init__(self, size: int = WINDOW_OBSERVATIONS) -> None:
        self._size = size
        self._arrivals: deque[float] = deque()
        self._sorted: list[float] = []

    def __len__(self) -> int:
        return len(self._sorted)

    def observe(self, value: float) -> None:
        """Add one observation, forgetting the oldest when the window is full."""
        if len(self._arrivals) == self._size:
            oldest = self._arrivals.popleft()
            del self._sorted[bisect_left(self._sorted, oldest)]
        self._arrivals.append(value)
        insort(self._sorted, value)

    def quantile(self, fraction: float) -> float | None:
        """Return the quantile at `fraction`, or None while too little is known.

        >>> window = QuantileWindow()
        >>> for value in range(100):
        ...     window.observe(value)
        >>> window.quantile(0.5), window.quantile(0.99)
        (50, 99)
        """
        if len(self._sorted) < MIN_OBSERVATIONS:
            return None
        index = min(int(fraction * len(self._sorted)), len(self._sorted) - 1)
        return self._sorted[index]


class RunTimeEstimates:
    """Run times of each queue's requests, from start to whole answer."""

    def __init__(self) -> None:
        self._windows: dict[QueueId, QuantileWindow] = {}

    def observe(self, queue: QueueId, duration_s: float) -> None:
        """Add the run time of one completed request."""
        self._windows.setdefault(queue, QuantileWindow()).observe(duration_s)

    def quantile_s(self, queue: QueueId, fraction: float) -> float | None:
        """Return a quantile of the queue's run times, in seconds, if known."""
        window = self._windows.get(queue)
        return None if window is None else window.quantile(fraction)
