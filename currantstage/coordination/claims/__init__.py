"""Idempotency keys: claims on them, their owners and their outcomes."""

from __future__ import annotations

from currantstage.coordination.claims._claim_index import (
    ClaimDecision,
    ClaimIndex,
    ClaimState,
)
from currantstage.coordination.claims._claim_keys import (
    bucket_of,
    claim_digest,
    content_fingerprint,
    parse_idempotency_key,
)
from currantstage.coordination.claims._claim_log import ClaimLog, merge_events
from currantstage.coordination.claims._claim_outcomes import (
    request_end_of,
    settlement_of,
)
from currantstage.coordination.claims._claim_owners import (
    ClaimOwners,
    assign_buckets,
    refresh_owners,
)
from currantstage.coordination.claims._claim_recorder import (
    AcknowledgeSettlement,
    AnswerClaim,
    ClaimRecorder,
    RecorderEffect,
)
from currantstage.coordination.claims._claim_requester import (
    ClaimRequester,
    ClaimRequesterEffect,
    ClaimResolved,
    SendClaimRequest,
    SendSettlement,
)

__all__ = [
    "AcknowledgeSettlement",
    "AnswerClaim",
    "ClaimIndex",
    "ClaimLog",
    "ClaimOwners",
    "ClaimRecorder",
    "ClaimResolved",
    "ClaimState",
    "ClaimDecision",
    "ClaimRequester",
    "ClaimRequesterEffect",
    "RecorderEffect",
    "SendSettlement",
    "SendClaimRequest",
    "assign_buckets",
    "bucket_of",
    "claim_digest",
    "content_fingerprint",
    "merge_events",
    "parse_idempotency_key",
    "refresh_owners",
    "settlement_of",
    "request_end_of",
]
