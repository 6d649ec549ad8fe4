"""The clock of the machine."""

from __future__ import annotations

import time


class MonotonicClock:
    """Implements `Clock` by the machine's monotonic clock."""

    def now_s(self) -> float:
        """Return the seconds since an arbitrary start."""
        return time.monotonic()
