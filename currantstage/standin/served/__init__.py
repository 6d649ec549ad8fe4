"""The users' platform served on loopback, and trials of real daemons against it."""

from __future__ import annotations

from currantstage.standin.served._errors import TrialError
from currantstage.standin.served._excuses import is_excused
from currantstage.standin.served._faults import Fault, FaultBoard, FaultKind, Service
from currantstage.standin.served._load import Load
from currantstage.standin.served._platform import ServedPlatform
from currantstage.standin.served._report import TrialReport
from currantstage.standin.served._scenarios import (
    DaemonAction,
    DaemonEvent,
    Scenario,
    ScenarioName,
    build_scenario,
)
from currantstage.standin.served._site import SiteSize, encode_configuration
from currantstage.standin.served._standstill import (
    StandingJob,
    Standstill,
    StandstillCheck,
    WorkerRoom,
)
from currantstage.standin.served._trial import Trial

__all__ = [
    "DaemonAction",
    "DaemonEvent",
    "Fault",
    "FaultBoard",
    "FaultKind",
    "Load",
    "Scenario",
    "ScenarioName",
    "ServedPlatform",
    "Service",
    "SiteSize",
    "StandingJob",
    "Standstill",
    "StandstillCheck",
    "Trial",
    "TrialError",
    "TrialReport",
    "WorkerRoom",
    "build_scenario",
    "encode_configuration",
    "is_excused",
]
