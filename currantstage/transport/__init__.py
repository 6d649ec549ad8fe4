"""Sockets and HTTP: transfers messages and makes no decisions."""

from __future__ import annotations

from currantstage.transport._backends import (
    CONNECT_TIMEOUT_S,
    MAX_IDLE_S,
    PROBE_TIMEOUT_S,
    BackendCall,
    BackendClient,
    ServerConnections,
)
from currantstage.transport._body_transfer import read_body, upload_body
from currantstage.transport._errors import (
    ListenError,
    OperatorCallError,
    OperatorRefusedError,
    SessionClosedError,
    TransportError,
)
from currantstage.transport._http_server import (
    LISTEN_BACKLOG,
    RESPONSE_TIMEOUT_S,
    HttpServer,
)
from currantstage.transport._job_client import JobCallError, JobClient
from currantstage.transport._job_peers import (
    JobPeerClient,
    PeerFailure,
    add_job_peer_route,
)
from currantstage.transport._job_routes import add_job_routes
from currantstage.transport._operator_client import CALL_TIMEOUT_S, OperatorClient
from currantstage.transport._operator_routes import (
    FleetStatusService,
    LoadService,
    OperatorService,
    add_fleet_status_route,
    add_load_route,
    add_operator_routes,
    json_response,
    require_operator_key,
)
from currantstage.transport._peers import (
    RECONNECT_MAX_MS,
    RECONNECT_MIN_MS,
    SEND_BUFFER_FRAMES,
    PeerSockets,
)
from currantstage.transport._platform import PlatformClient
from currantstage.transport._renewable_session import RenewableSession
from currantstage.transport._routes import (
    CallerService,
    HealthService,
    add_caller_routes,
    add_error_handlers,
    add_health_routes,
)
from currantstage.transport._service_level_routes import (
    ServiceLevelSource,
    add_service_level_routes,
)

__all__ = [
    "BackendCall",
    "BackendClient",
    "CALL_TIMEOUT_S",
    "CONNECT_TIMEOUT_S",
    "CallerService",
    "FleetStatusService",
    "HealthService",
    "HttpServer",
    "JobCallError",
    "JobClient",
    "JobPeerClient",
    "LISTEN_BACKLOG",
    "ListenError",
    "LoadService",
    "MAX_IDLE_S",
    "OperatorCallError",
    "OperatorClient",
    "OperatorRefusedError",
    "OperatorService",
    "PROBE_TIMEOUT_S",
    "PeerFailure",
    "RenewableSession",
    "PeerSockets",
    "PlatformClient",
    "RECONNECT_MAX_MS",
    "RECONNECT_MIN_MS",
    "RESPONSE_TIMEOUT_S",
    "SEND_BUFFER_FRAMES",
    "ServerConnections",
    "ServiceLevelSource",
    "SessionClosedError",
    "TransportError",
    "add_caller_routes",
    "add_error_handlers",
    "add_fleet_status_route",
    "add_health_routes",
    "add_job_peer_route",
    "add_job_routes",
    "add_load_route",
    "add_operator_routes",
    "add_service_level_routes",
    "json_response",
    "require_operator_key",
    "read_body",
    "upload_body",
]
