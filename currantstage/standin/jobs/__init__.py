"""Simulation of the users' platform in virtual time, with faults and an oracle."""

from __future__ import annotations

from currantstage.standin.jobs._absence_watch import AbsenceWatch
from currantstage.standin.jobs._oracle import Oracle
from currantstage.standin.jobs._simulated_worker import SimulatedWorker
from currantstage.standin.jobs._site import (
    POOLS,
    SPARE_POOL,
    SimulatedSite,
    build_configuration,
)
from currantstage.standin.jobs._standstill_watch import StandstillWatch
from currantstage.standin.jobs._store import (
    CALL_TIMEOUT_S,
    MAX_ROW_BYTES,
    SimulatedStore,
    StoreConnection,
)
from currantstage.standin.jobs._virtual_loop import (
    CURRENT_PROCESS,
    DeadlockError,
    LoopClock,
    VirtualTimeLoop,
)
from currantstage.standin.jobs._vms import SimulatedVms
from currantstage.standin.jobs._workers import SimulatedWorkers

__all__ = [
    "CALL_TIMEOUT_S",
    "CURRENT_PROCESS",
    "MAX_ROW_BYTES",
    "POOLS",
    "SPARE_POOL",
    "AbsenceWatch",
    "LoopClock",
    "Oracle",
    "SimulatedSite",
    "SimulatedStore",
    "SimulatedVms",
    "SimulatedWorker",
    "SimulatedWorkers",
    "StandstillWatch",
    "StoreConnection",
    "DeadlockError",
    "VirtualTimeLoop",
    "build_configuration",
]
