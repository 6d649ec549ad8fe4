"""Convert the ends of requests to settlements, and claim decisions to ends."""

from __future__ import annotations

from typing import TYPE_CHECKING

from currantstage.coordination.claims._claim_index import ClaimState
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
    from currantstage.coordination.claims._claim_index import ClaimDecision
    from currantstage.coordination.requests._outcomes import RequestEnd
    from currantstage.state import ClaimSettlement, ClaimTaken

#: Maximum size of an answer that is stored for repeated requests, in bytes.
MAX_STORED_ANSWER_BYTES = 4096
#: Retry delay advised to a caller whose claim can't be decided now, in seconds.
CLAIM_RETRY_AFTER_S = 1.0

_REFUSAL_OF_STATE = {
    ClaimState.IN_PROGRESS: Refusal(RefusalReason.IN_PROGRESS, CLAIM_RETRY_AFTER_S),
    ClaimState.KEY_REUSED: Refusal(RefusalReason.IDEMPOTENCY_KEY_REUSED),
    ClaimState.UNAVAILABLE: Refusal(
        RefusalReason.CLAIM_UNAVAILABLE, CLAIM_RETRY_AFTER_S
    ),
}


def settlement_of(claim: ClaimTaken, end: RequestEnd) -> ClaimSettlement:
    """Return the settlement that records the end of the request that holds `claim`."""
    digest, request_id = claim.digest, claim.request_id
    if isinstance(end, Refusal):
        return ClaimReleased(digest=digest, request_id=request_id)
    if isinstance(end, Uncertain):
        return ClaimUncertain(digest=digest, request_id=request_id)
    stored = None
    if isinstance(end, Answer) and len(end.body) <= MAX_STORED_ANSWER_BYTES:
        stored = StoredResponse(
            status=end.status, content_type=end.content_type, body=end.body
        )
    return ClaimCompleted(digest=digest, request_id=request_id, answer=stored)


def request_end_of(decision: ClaimDecision) -> RequestEnd | None:
    """Return the end of a request by `decision`, or None if the request may run."""
    if decision.state is ClaimState.GRANTED:
        return None
    if decision.state is ClaimState.UNKNOWN:
        return Uncertain("an earlier request under this idempotency key may have run")
    if decision.state is ClaimState.COMPLETED:
        stored = decision.answer
        if stored is None:
            return CompletedEarlier()
        return Answer(stored.status, stored.content_type, stored.body)
    return _REFUSAL_OF_STATE[decision.state]
