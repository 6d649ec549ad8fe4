"""Messages of the platform's interfaces, for what serves them in its place."""

from __future__ import annotations

from currantstage.platform._decoding import (
    WireConfiguration,
    WireJob,
    WireResources,
    WireRoute,
    WireService,
    WireStep,
    WireTenant,
    WireWave,
    WireWorkerEntry,
    decode_configuration,
)
from currantstage.platform._front import (
    DEADLINE_HEADER,
    KEY_HEADER,
    READINESS_PATH,
    WireState,
)
from currantstage.platform._machines import (
    ORDER_REASONS,
    TERM_HEADER,
    WireMachine,
    WireMove,
    WireUpkeep,
)
from currantstage.platform._store import (
    MAX_ANSWER_ROWS,
    WireCommit,
    WireName,
    WireRow,
    WireRows,
    WireTransaction,
)
from currantstage.platform._workers import (
    END_KINDS,
    INSTANCE_HEADER,
    REFUSAL_REASONS,
    WireEnded,
    WireHold,
    WireHoldResponse,
    WirePace,
    WireRunning,
    WireStart,
    WireStop,
    parse_task,
)

__all__ = [
    "DEADLINE_HEADER",
    "END_KINDS",
    "INSTANCE_HEADER",
    "KEY_HEADER",
    "MAX_ANSWER_ROWS",
    "ORDER_REASONS",
    "READINESS_PATH",
    "REFUSAL_REASONS",
    "TERM_HEADER",
    "WireCommit",
    "WireConfiguration",
    "WireEnded",
    "WireHold",
    "WireHoldResponse",
    "WireJob",
    "WireMachine",
    "WireMove",
    "WireName",
    "WirePace",
    "WireResources",
    "WireRoute",
    "WireRow",
    "WireRows",
    "WireRunning",
    "WireService",
    "WireStart",
    "WireState",
    "WireStep",
    "WireStop",
    "WireTenant",
    "WireTransaction",
    "WireUpkeep",
    "WireWave",
    "WireWorkerEntry",
    "decode_configuration",
    "parse_task",
]
