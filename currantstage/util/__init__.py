"""Small helpers that belong to no layer."""

from __future__ import annotations

from currantstage.util._clock import MonotonicClock, SteppedUnixClock, UnixClock
from currantstage.util._duty_loop import DutyLoop
from currantstage.util._log_sink import LogSink
from currantstage.util._stop_signal import catch_reload_signal, catch_stop_signals
from currantstage.util._task_set import TaskSet
from currantstage.util._waiting import wait_for_event

__all__ = [
    "DutyLoop",
    "LogSink",
    "MonotonicClock",
    "SteppedUnixClock",
    "TaskSet",
    "UnixClock",
    "catch_reload_signal",
    "catch_stop_signals",
    "wait_for_event",
]
