"""Small helpers that belong to no layer."""

from __future__ import annotations

from currantstage.util._clock import (
    MonotonicClock,
    UnixClock,
)
from currantstage.util._duty_loop import (
    DutyLoop,
)

__all__ = [
    "DutyLoop",
    "MonotonicClock",
    "UnixClock",
]
