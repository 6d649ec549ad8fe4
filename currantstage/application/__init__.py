"""The composition root: wires the layers together."""

from __future__ import annotations

from currantstage.application._caller_service import (
    NO_TEAM,
    QueueService,
)
from currantstage.application._daemon import (
    INCARNATION_BITS,
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

__all__ = [
    "ApplicationError",
    "Daemon",
    "DaemonMetrics",
    "DutyRunner",
    "INCARNATION_BITS",
    "LATENCY_BUCKETS_S",
    "NO_TEAM",
    "NoteService",
    "PEER_REFRESH_S",
    "PeerService",
    "ProcedureRunner",
    "QueueService",
    "RENEWALS_PER_LEASE",
    "StartError",
]
