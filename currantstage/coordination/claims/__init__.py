"""Idempotency keys: who records them, and what becomes of each."""

from __future__ import annotations

from currantstage.coordination.claims._claim_ends import settlement_of, verdict_end
from currantstage.coordination.claims._claim_keys import (
    bucket_of,
    claim_digest,
    content_fingerprint,
    parse_idempotency_key,
)
from currantstage.coordination.claims._claim_ledger import (
    ClaimLedger,
    ClaimState,
    ClaimVerdict,
)
from currantstage.coordination.claims._claim_log import ClaimLog, merge_events
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
from currantstage.coordination.claims._claimant import (
    Claimant,
    ClaimantEffect,
    ClaimResolved,
    SendSettlement,
    SendWanted,
)

__all__ = [
    "AcknowledgeSettlement",
    "AnswerClaim",
    "ClaimLedger",
    "ClaimLog",
    "ClaimOwners",
    "ClaimRecorder",
    "ClaimResolved",
    "ClaimState",
    "ClaimVerdict",
    "Claimant",
    "ClaimantEffect",
    "RecorderEffect",
    "SendSettlement",
    "SendWanted",
    "assign_buckets",
    "bucket_of",
    "claim_digest",
    "content_fingerprint",
    "merge_events",
    "parse_idempotency_key",
    "refresh_owners",
    "settlement_of",
    "verdict_end",
]
