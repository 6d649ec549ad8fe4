"""The composition root: wires the layers together."""

from __future__ import annotations

from currantstage.application._caller_service import (
    NO_TEAM,
    QueueService,
)
from currantstage.application._daemon import (
    HEARTBEATS_PER_TURN,
    INCARNATION_BITS,
    PEER_REFRESH_PER_PEER_S,
    PEER_REFRESH_S,
    Daemon,
)
from currantstage.application._duty_runner import (
    RENEWALS_PER_LEASE,
    DutyRunner,
)
from currantstage.application._errors import (
    ApplicationError,
    StartError,
)
from currantstage.application._metrics import (
    LATENCY_BUCKETS_S,
    DaemonMetrics,
)
from currantstage.application._operator_service import (
    NoteService,
)
from currantstage.application._peer_service import (
    PeerService,
)
from currantstage.application._procedure_runner import (
    ProcedureRunner,
)
from currantstage.application._relay_service import (
    MAX_RUNNING_RENEWALS,
    RelayService,
)

__all__ = [
    "ApplicationError",
    "Daemon",
    "DaemonMetrics",
    "DutyRunner",
    "HEARTBEATS_PER_TURN",
    "INCARNATION_BITS",
    "LATENCY_BUCKETS_S",
    "MAX_RUNNING_RENEWALS",
    "NO_TEAM",
    "NoteService",
    "PEER_REFRESH_PER_PEER_S",
    "PEER_REFRESH_S",
    "PeerService",
    "ProcedureRunner",
    "QueueService",
    "RENEWALS_PER_LEASE",
    "RelayService",
    "StartError",
]
