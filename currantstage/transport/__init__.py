"""Sockets and HTTP: moves bytes and decides nothing."""

from __future__ import annotations

from currantstage.transport._backends import (
    BackendClient,
)
from currantstage.transport._errors import (
    ListenError,
    OperatorCallError,
    OperatorRefusedError,
    TransportError,
)
from currantstage.transport._http_server import (
    HttpServer,
)
from currantstage.transport._operator_client import (
    CALL_TIMEOUT_S,
    OperatorClient,
)
from currantstage.transport._operator_routes import (
    OperatorService,
    add_operator_routes,
)
from currantstage.transport._peers import (
    RECONNECT_MAX_MS,
    RECONNECT_MIN_MS,
    SEND_BUFFER_FRAMES,
    PeerSockets,
)
from currantstage.transport._platform import (
    PlatformClient,
)
from currantstage.transport._routes import (
    CallerService,
    HealthService,
    add_caller_routes,
    add_health_routes,
)

__all__ = [
    "BackendClient",
    "CALL_TIMEOUT_S",
    "CallerService",
    "HealthService",
    "HttpServer",
    "ListenError",
    "OperatorCallError",
    "OperatorClient",
    "OperatorRefusedError",
    "OperatorService",
    "PeerSockets",
    "PlatformClient",
    "RECONNECT_MAX_MS",
    "RECONNECT_MIN_MS",
    "SEND_BUFFER_FRAMES",
    "TransportError",
    "add_caller_routes",
    "add_health_routes",
    "add_operator_routes",
]
