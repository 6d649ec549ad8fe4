"""The composition root: assembles a daemon from the layers."""

from __future__ import annotations

from currantstage.application._allotment_service import (
    SLOT_REQUEST_INTERVAL_S,
    AllotmentService,
)
from currantstage.application._caller_service import (
    NO_QUEUE,
    Claims,
    EndObserver,
    QueueService,
)
from currantstage.application._claim_service import (
    CLAIM_CLEANUP_INTERVAL_S,
    CLAIM_TICK_S,
    OWNERS_REFRESH_INTERVAL_S,
    ClaimService,
    SendEffect,
)
from currantstage.application._core import INCARNATION_BITS, DaemonCore
from currantstage.application._daemon import (
    PROBE_INTERVAL_S,
    VM_LIST_INTERVAL_S,
    Component,
    Daemon,
)
from currantstage.application._demand_service import DEMAND_INTERVAL_S, DemandService
from currantstage.application._dispatch_driver import AdmissionResult, DispatchDriver
from currantstage.application._distributed_limits import (
    EXCHANGE_INTERVAL_S,
    SETTLE_INTERVAL_S,
    AllottedTeamLimiter,
    AllottedWorkerSlots,
    DistributedLimits,
)
from currantstage.application._duty_runner import DutyRunner
from currantstage.application._errors import ApplicationError, StartError
from currantstage.application._fleet_follower import PLACEMENT_POLL_S, FleetFollower
from currantstage.application._fleet_reporter import FleetReporter
from currantstage.application._head_follower import (
    HEARTBEATS_PER_ROUND,
    PEER_REFRESH_PER_PEER_S,
    PEER_REFRESH_S,
    HeadFollower,
)
from currantstage.application._http_api import build_http_server
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
    "AdmissionResult",
    "AllotmentService",
    "AllottedTeamLimiter",
    "AllottedWorkerSlots",
    "ApplicationError",
    "CLAIM_CLEANUP_INTERVAL_S",
    "CLAIM_TICK_S",
    "ClaimService",
    "Claims",
    "Component",
    "DEMAND_INTERVAL_S",
    "Daemon",
    "DaemonCore",
    "DaemonMetrics",
    "DemandService",
    "DispatchDriver",
    "DistributedLimits",
    "DutyRunner",
    "EXCHANGE_INTERVAL_S",
    "EndObserver",
    "FleetFollower",
    "FleetReporter",
    "HEARTBEATS_PER_ROUND",
    "HeadFollower",
    "INCARNATION_BITS",
    "LATENCY_BUCKETS_S",
    "MAX_RUNNING_RENEWALS",
    "NO_QUEUE",
    "NoteService",
    "OWNERS_REFRESH_INTERVAL_S",
    "PEER_REFRESH_PER_PEER_S",
    "PEER_REFRESH_S",
    "PLACEMENT_POLL_S",
    "PROBE_INTERVAL_S",
    "PeerService",
    "ProcedureRunner",
    "QueueService",
    "RelayService",
    "RequestPath",
    "SETTLE_INTERVAL_S",
    "SLOT_REQUEST_INTERVAL_S",
    "SendEffect",
    "ServerMonitor",
    "ServiceLevelService",
    "StartError",
    "TeamAllotment",
    "UsageService",
    "VM_LIST_INTERVAL_S",
    "build_http_server",
]
