"""Detection of store outages.

During an outage, a job that can't be stored is refused at once with a retry delay,
rather than after its caller's timeout.
"""

from __future__ import annotations

import math

#: Time without a response after which the store counts as unavailable, in seconds.
UNAVAILABLE_AFTER_S = 0.8
#: Maximum retry delay that callers are given, in seconds.
MAX_RETRY_AFTER_S = 4


class StoreHealth:
    """Tracks whether the store responds."""

    def __init__(self) -> None:
        self._failing_since_s: float | None = None
        self._answered_s = float("-inf")
        #: When the newest of the calls was sent that the store has answered.
        self.newest_answered_call_s = float("-inf")

    def record_success(self, sent_s: float, now_s: float) -> None:
        """Record a response to a call sent at `sent_s`."""
        self._failing_since_s = None
        self._answered_s = now_s
        self.newest_answered_call_s = max(self.newest_answered_call_s, sent_s)

    def record_failure(self, sent_s: float) -> None:
        """Record that a call sent at `sent_s` got no response."""
        if self._failing_since_s is None:
            self._failing_since_s = max(sent_s, self._answered_s)

    def is_unavailable(self, now_s: float) -> bool:
        """Return whether a write is expected to fail now."""
        since_s = self._failing_since_s
        return since_s is not None and now_s - since_s > UNAVAILABLE_AFTER_S

    def retry_after_s(self, now_s: float) -> int:
        """Return the retry delay; an outage is expected to last as long again."""
        since_s = self._failing_since_s
        age_s = now_s - since_s if since_s is not None else 0.0
        return min(MAX_RETRY_AFTER_S, max(1, math.ceil(age_s)))
