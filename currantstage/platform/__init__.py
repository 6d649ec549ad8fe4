"""Adapter to the users' platform: names, formats and calls, but no decisions."""

from __future__ import annotations

from currantstage.platform._advice import AdviceClient
from currantstage.platform._front import add_front_routes, add_readiness_route
from currantstage.platform._http import PlatformHttp
from currantstage.platform._machines import MachineClient
from currantstage.platform._sources import OperatorRows, WorkerRows
from currantstage.platform._store import StoreClient
from currantstage.platform._workers import WorkerClient

__all__ = [
    "AdviceClient",
    "MachineClient",
    "OperatorRows",
    "PlatformHttp",
    "StoreClient",
    "WorkerClient",
    "WorkerRows",
    "add_front_routes",
    "add_readiness_route",
]
