"""General-purpose helpers that belong to no layer."""

from __future__ import annotations

from currantstage.util._clock import MonotonicClock, StepFilteredUnixClock, UnixClock
from currantstage.util._decoding import (
    UndecodableError,
    decode_json,
    decode_msgpack,
)
from currantstage.util._header_text import is_header_text
from currantstage.util._lag_tolerant_timeout import LagTolerantTimeout, LoopLagMeter
from currantstage.util._log_sink import LogSink
from currantstage.util._notifier import Notifier
from currantstage.util._overlapping_calls import OverlappingCalls
from currantstage.util._periodic_task import PeriodicTask
from currantstage.util._signals import catch_reload_signal, catch_stop_signals
from currantstage.util._supervised_task import SupervisedTask
from currantstage.util._task_set import TaskSet, log_task_failure
from currantstage.util._transfer import Transfer, record_arrival
from currantstage.util._waiting import wait_for_event

__all__ = [
    "LagTolerantTimeout",
    "LogSink",
    "LoopLagMeter",
    "MonotonicClock",
    "Notifier",
    "OverlappingCalls",
    "PeriodicTask",
    "StepFilteredUnixClock",
    "SupervisedTask",
    "TaskSet",
    "Transfer",
    "UndecodableError",
    "UnixClock",
    "catch_reload_signal",
    "catch_stop_signals",
    "decode_json",
    "decode_msgpack",
    "is_header_text",
    "log_task_failure",
    "record_arrival",
    "wait_for_event",
]
