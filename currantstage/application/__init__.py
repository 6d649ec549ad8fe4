"""The composition root: wires the layers together."""

from __future__ import annotations

from currantstage.application._caller_service import (
    NO_TEAM,
    QueueService,
)
from currantstage.application._claim_service import (
    CLEAN_S,
    OWNERS_REFRESH_S,
    TICK_S,
    ClaimService,
    SendEffect,
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
    "CLEAN_S",
    "ClaimService",
    "Daemon",
    "DaemonMetrics",
    "DutyRunner",
    "INCARNATION_BITS",
    "LATENCY_BUCKETS_S",
    "NO_TEAM",
    "NoteService",
    "OWNERS_REFRESH_S",
    "PEER_REFRESH_S",
    "PeerService",
    "ProcedureRunner",
    "QueueService",
    "RENEWALS_PER_LEASE",
    "SendEffect",
    "StartError",
    "TICK_S",
]
