"""The clocks of the machine."""

from __future__ import annotations

import time


class MonotonicClock:
    """Implements `Clock` by the machine's monotonic clock."""

    def now_s(self) -> float:
        """Return the seconds since an arbitrary start."""
        return time.monotonic()


class UnixClock:
    """Implements `Clock` by the time of day, which may jump; for records only."""

    def now_s(self) -> float:
        """Return the Unix time, in seconds."""
        return time.time()
