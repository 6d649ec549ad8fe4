"""Timeout that adapts to the observed response time.

With a fixed timeout, calls to a slow store are abandoned and retried while it is
still processing them, which slows it further.
"""

from __future__ import annotations

#: Timeout as a multiple of the average response time.
TIMEOUT_FACTOR = 4.0
#: Weight of the newest response in the moving average.
NEWEST_WEIGHT = 0.2
#: Factor by which the timeout grows after a call without a response.
BACKOFF_FACTOR = 2.0


class AdaptiveTimeout:
    """Derives a timeout from the moving average of the response time.

    Parameters
    ----------
    min_s, max_s : float
        Bounds of the timeout, in seconds.

    Examples
    --------
    >>> timeout = AdaptiveTimeout(0.9, 3.0)
    >>> for _ in range(20):
    ...     timeout.record_response(0.5)
    >>> round(timeout.timeout_s(), 1)
    2.0

    A call without a response says that the next one may take longer as well:

    >>> timeout = AdaptiveTimeout(0.9, 3.0)
    >>> timeout.record_timeout(0.9)
    >>> timeout.timeout_s()
    1.8

    So does a call that was abandoned for another reason, after a shorter time:

    >>> timeout = AdaptiveTimeout(0.9, 3.0)
    >>> for _ in range(20):
    ...     timeout.record_abandoned(0.5)
    >>> round(timeout.timeout_s(), 1)
    2.0
    """

    def __init__(self, min_s: float, max_s: float) -> None:
        self._min_s = min_s
        self._max_s = max_s
        self._average_s = 0.0

    def timeout_s(self) -> float:
        """Return how long to wait for a response."""
        return min(self._max_s, max(self._min_s, TIMEOUT_FACTOR * self._average_s))

    def record_response(self, took_s: float) -> None:
        """Record a response that took `took_s` seconds."""
        self._average_s += NEWEST_WEIGHT * (took_s - self._average_s)

    def record_abandoned(self, waited_s: float) -> None:
        """Record a call that was abandoned after `waited_s` seconds.

        Its response would have taken at least that long.
        """
        if waited_s > self._average_s:
            self.record_response(waited_s)

    def record_timeout(self, timeout_s: float) -> None:
        """Record a call that got no response within `timeout_s` seconds."""
        backed_off_s = timeout_s * BACKOFF_FACTOR / TIMEOUT_FACTOR
        self._average_s = max(self._average_s, backed_off_s)
