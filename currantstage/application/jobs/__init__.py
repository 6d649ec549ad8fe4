"""The daemon that schedules jobs on the platform's store."""

from __future__ import annotations

from currantstage.application.jobs._activity_log import is_routine_message
from currantstage.application.jobs._core import JobCore
from currantstage.application.jobs._daemon import JobDaemon
from currantstage.application.jobs._metrics import JobMetrics
from currantstage.application.jobs._ports import SchedulerPorts

__all__ = [
    "JobCore",
    "JobDaemon",
    "JobMetrics",
    "SchedulerPorts",
    "is_routine_message",
]
