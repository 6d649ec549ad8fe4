"""Admission, queueing, placement, retries and service levels of requests."""

from __future__ import annotations

from currantstage.coordination.requests._attempts import (
    MAX_RETRY_TOKENS,
    RETRY_TOKENS_PER_REQUEST,
    Attempts,
    Finish,
    Retry,
    is_server_error,
)
from currantstage.coordination.requests._burn_rates import (
    ALERT_RULES,
    Alert,
    BudgetBurn,
    Objective,
    SeriesCount,
    WindowBurn,
    compute_budget_burns,
    merge_counts,
)
from currantstage.coordination.requests._connection_health import (
    ServerHealth,
    ServerState,
)
from currantstage.coordination.requests._dispatch import Dispatcher
from currantstage.coordination.requests._dispatch_effects import (
    Assignment,
    DispatchEffect,
    Refuse,
    ReleaseAt,
    Start,
    Wait,
)
from currantstage.coordination.requests._estimates import RunTimeEstimates
from currantstage.coordination.requests._fault_tracking import (
    DEFAULT_SILENCE_TIMEOUT_S,
    FaultTracker,
)
from currantstage.coordination.requests._jobs import JobSize, Submission
from currantstage.coordination.requests._keys import (
    digest_secret,
    identify_team,
    key_id_of,
)
from currantstage.coordination.requests._outcomes import (
    Answer,
    CompletedEarlier,
    Outcome,
    Refusal,
    RefusalReason,
    RequestEnd,
    SendFailure,
    Uncertain,
)
from currantstage.coordination.requests._outliers import OutlierDetector
from currantstage.coordination.requests._placement import (
    AttributedConsistentHashing,
    Candidate,
    LeastLoaded,
    PlacementPolicy,
    PowerOfTwoChoices,
)
from currantstage.coordination.requests._policies import (
    SharePolicy,
    TeamLimiter,
    TeamLoad,
    UsageView,
    WorkerSlots,
)
from currantstage.coordination.requests._service_levels import (
    BUCKETS_PER_WINDOW,
    MAX_SERIES,
    WINDOWS_S,
    ServiceLevelRecorder,
    ServiceLevelResult,
    WindowCount,
    classify_request,
)
from currantstage.coordination.requests._topology import Topology
from currantstage.coordination.requests._waiting_requests import NO_TEAM, WaitingRequest
from currantstage.coordination.requests._worker_capacity import WorkerCapacity

__all__ = [
    "ALERT_RULES",
    "Alert",
    "Answer",
    "Assignment",
    "Attempts",
    "AttributedConsistentHashing",
    "BUCKETS_PER_WINDOW",
    "BudgetBurn",
    "Candidate",
    "CompletedEarlier",
    "DispatchEffect",
    "Dispatcher",
    "FaultTracker",
    "Finish",
    "JobSize",
    "LeastLoaded",
    "MAX_RETRY_TOKENS",
    "MAX_SERIES",
    "NO_TEAM",
    "Objective",
    "Outcome",
    "OutlierDetector",
    "PlacementPolicy",
    "PowerOfTwoChoices",
    "RETRY_TOKENS_PER_REQUEST",
    "Refusal",
    "RefusalReason",
    "Refuse",
    "ReleaseAt",
    "RequestEnd",
    "Retry",
    "RunTimeEstimates",
    "SendFailure",
    "SeriesCount",
    "ServerHealth",
    "ServerState",
    "ServiceLevelRecorder",
    "SharePolicy",
    "Start",
    "Submission",
    "TeamLimiter",
    "TeamLoad",
    "Topology",
    "DEFAULT_SILENCE_TIMEOUT_S",
    "Uncertain",
    "UsageView",
    "ServiceLevelResult",
    "WINDOWS_S",
    "Wait",
    "WaitingRequest",
    "WindowBurn",
    "WindowCount",
    "WorkerCapacity",
    "WorkerSlots",
    "compute_budget_burns",
    "digest_secret",
    "identify_team",
    "is_server_error",
    "classify_request",
    "key_id_of",
    "merge_counts",
]
