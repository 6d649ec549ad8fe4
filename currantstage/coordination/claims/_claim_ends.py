"""How the ends of requests and the verdicts on claims map to each other."""

from __future__ import annotations

from typing import TYPE_CHECKING

from currantstage.coordination.claims._claim_ledger import ClaimState
from currantstage.coordination.requests._outcomes import (
    Answer,
    CompletedEarlier,
    Refusal,
    RefusalReason,
    Uncertain,
)
from currantstage.state import (
    ClaimCompleted,
    ClaimReleased,
    ClaimUncertain,
    StoredResponse,
)

if TYPE_CHECKING:
    from currantstage.coordination.claims._claim_ledger import ClaimVerdict
    from currantstage.coordination.requests._outcomes import RequestEnd
    from currantstage.state import ClaimSettlement, ClaimTaken

#: Longest answer that is kept for repeats, in bytes.
MAX_KEPT_ANSWER_BYTES = 4096
#: Advice to a caller whose claim can't be decided now, in seconds.
CLAIM_RETRY_AFTER_S = 1.0

_REFUSAL_OF_STATE = {
    ClaimState.IN_PROGRESS: Refusal(RefusalReason.IN_PROGRESS, CLAIM_RETRY_AFTER_S),
    ClaimState.KEY_REUSED: Refusal(RefusalReason.IDEMPOTENCY_KEY_REUSED),
    ClaimState.UNAVAILABLE: Refusal(
        RefusalReason.CLAIM_UNAVAILABLE, CLAIM_RETRY_AFTER_S
    ),
}


def settlement_of(claim: ClaimTaken, end: RequestEnd) -> ClaimSettlement:
    """Return what the owner of `claim` has to record about the end of its request."""
    digest, request_id = claim.digest, claim.request_id
    if isinstance(end, Refusal):
        return ClaimReleased(digest=digest, request_id=request_id)
    if isinstance(end, Uncertain):
        return ClaimUncertain(digest=digest, request_id=request_id)
    kept = None
    if isinstance(end, Answer) and len(end.body) <= MAX_KEPT_ANSWER_BYTES:
        kept = StoredResponse(
            status=end.status, content_type=end.content_type, body=end.body
        )
    return ClaimCompleted(digest=digest, request_id=request_id, answer=kept)


def verdict_end(verdict: ClaimVerdict) -> RequestEnd | None:
    """Return how a request ends by the verdict, or None when it may run."""
    if verdict.state is ClaimState.GRANTED:
        return None
    if verdict.state is ClaimState.UNKNOWN:
        return Uncertain("an earlier request under this idempotency key may have run")
    if verdict.state is ClaimState.COMPLETED:
        kept = verdict.answer
        if kept is None:
            return CompletedEarlier()
        return Answer(kept.status, kept.content_type, kept.body)
    return _REFUSAL_OF_STATE[verdict.state]
