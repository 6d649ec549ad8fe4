"""Estimates of run times per queue, from observed run times."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from currantstage.state import QueueId

#: Number of most recent observations that an estimate is based on.
WINDOW_OBSERVATIONS = 256
#: Minimum number of observations for an estimate.
MIN_OBSERVATIONS = 8


class QuantileWindow:
    """Exact quantiles over a sliding window of observations.

    An observation costs a binary search and moves at most `size` list elements; a
    quantile costs one list access.

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
        """Add an observation, evicting the oldest if the window is full."""
        if len(self._arrivals) == self._size:
            oldest = self._arrivals.popleft()
            del self._sorted[bisect_left(self._sorted, oldest)]
        self._arrivals.append(value)
        insort(self._sorted, value)

    def quantile(self, fraction: float) -> float | None:
        """Return the quantile at `fraction`, or None if there are too few observations.

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
    """Run times of each queue's requests, from start to complete answer."""

    def __init__(self) -> None:
        self._windows: dict[QueueId, QuantileWindow] = {}

    def observe(self, queue: QueueId, duration_s: float) -> None:
        """Add the run time of one completed request."""
        self._windows.setdefault(queue, QuantileWindow()).observe(duration_s)

    def quantile_s(self, queue: QueueId, fraction: float) -> float | None:
        """Return a quantile of the queue's run times in seconds, or None if unknown."""
        window = self._windows.get(queue)
        return None if window is None else window.quantile(fraction)
