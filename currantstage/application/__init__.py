"""The composition root: wires the layers together."""

from __future__ import annotations

from currantstage.application._allotment_service import ASK_AGAIN_S, AllotmentService
from currantstage.application._caller_service import (
    NO_QUEUE,
    Claims,
    EndObserver,
    QueueService,
)
from currantstage.application._claim_service import (
    CLEAN_S,
    OWNERS_REFRESH_S,
    TICK_S,
    ClaimService,
    SendEffect,
)
from currantstage.application._core import INCARNATION_BITS, DaemonCore
from currantstage.application._daemon import (
    LISTING_INTERVAL_S,
    PROBE_INTERVAL_S,
    Daemon,
    Part,
)
from currantstage.application._demand_service import DEMAND_INTERVAL_S, DemandService
from currantstage.application._dispatch_driver import Admitted, DispatchDriver
from currantstage.application._duty_runner import DutyRunner
from currantstage.application._errors import ApplicationError, StartError
from currantstage.application._fleet_follower import PLACEMENT_POLL_S, FleetFollower
from currantstage.application._fleet_reporter import FleetReporter
from currantstage.application._head_follower import (
    HEARTBEATS_PER_TURN,
    PEER_REFRESH_PER_PEER_S,
    PEER_REFRESH_S,
    HeadFollower,
)
from currantstage.application._http_api import build_http_server
from currantstage.application._limit_path import (
    EXCHANGE_INTERVAL_S,
    SETTLE_INTERVAL_S,
    AllottedTeamLimiter,
    AllottedWorkerSlots,
    LimitPath,
)
from currantstage.application._metrics import DaemonMetrics, TeamAllotment
from currantstage.application._metrics_registry import LATENCY_BUCKETS_S
from currantstage.application._operator_service import NoteService
from currantstage.application._peer_service import PeerService
from currantstage.application._procedure_runner import ProcedureRunner
from currantstage.application._relay_service import MAX_RUNNING_RENEWALS, RelayService
from currantstage.application._request_path import RequestPath
from currantstage.application._server_monitor import ServerMonitor
from currantstage.application._service_level_service import ServiceLevelService
from currantstage.application._usage_service import UsageService

__all__ = [
    "ASK_AGAIN_S",
    "Admitted",
    "AllotmentService",
    "AllottedTeamLimiter",
    "AllottedWorkerSlots",
    "ApplicationError",
    "CLEAN_S",
    "ClaimService",
    "Claims",
    "DEMAND_INTERVAL_S",
    "Daemon",
    "DaemonCore",
    "DaemonMetrics",
    "DemandService",
    "DispatchDriver",
    "DutyRunner",
    "EXCHANGE_INTERVAL_S",
    "EndObserver",
    "FleetFollower",
    "FleetReporter",
    "HEARTBEATS_PER_TURN",
    "HeadFollower",
    "INCARNATION_BITS",
    "LATENCY_BUCKETS_S",
    "LISTING_INTERVAL_S",
    "LimitPath",
    "MAX_RUNNING_RENEWALS",
    "NO_QUEUE",
    "NoteService",
    "OWNERS_REFRESH_S",
    "PEER_REFRESH_PER_PEER_S",
    "PEER_REFRESH_S",
    "PLACEMENT_POLL_S",
    "PROBE_INTERVAL_S",
    "Part",
    "PeerService",
    "ProcedureRunner",
    "QueueService",
    "RelayService",
    "RequestPath",
    "SETTLE_INTERVAL_S",
    "SendEffect",
    "ServerMonitor",
    "ServiceLevelService",
    "StartError",
    "TICK_S",
    "TeamAllotment",
    "UsageService",
    "build_http_server",
]
