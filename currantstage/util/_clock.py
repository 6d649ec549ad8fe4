"""The clocks of the machine."""

from __future__ import annotations

import time


class MonotonicClock:
    """Implements `Clock` by the machine's monotonic clock."""

    def now_s(self) -> float:
        """Return the seconds since an arbitrary start."""
        return time.monotonic()


class SystemWallClock:
    """Implements `WallClock` by the machine's system clock."""

    def wall_s(self) -> float:
        """Return the seconds since the epoch."""
        return time.time()
