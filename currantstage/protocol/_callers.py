"""Messages between callers and the daemon, and the statuses of outcomes."""

from __future__ import annotations

import msgspec
from msgspec import Struct

from currantstage.coordination import (
    Answer,
    CompletedEarlier,
    Outcome,
    Refusal,
    RefusalReason,
    RequestEnd,
)
from currantstage.state import QueueId

#: Header that carries a caller's key, as ``key-id.secret``.
KEY_HEADER = "currantstage-key"
#: Header of every answer that says what is certain about the request.
OUTCOME_HEADER = "currantstage-outcome"
JSON_TYPE = "application/json"

_STATUS_OF_REASON = {
    RefusalReason.KEY_REFUSED: 403,
    RefusalReason.QUEUE_UNKNOWN: 404,
    RefusalReason.IDEMPOTENCY_KEY_MALFORMED: 400,
    RefusalReason.IDEMPOTENCY_KEY_EXPIRED: 410,
    RefusalReason.IDEMPOTENCY_KEY_REUSED: 422,
    RefusalReason.IN_PROGRESS: 409,
    RefusalReason.CANCELLED: 499,
    RefusalReason.CLAIM_UNAVAILABLE: 503,
    RefusalReason.TEAM_AT_LIMIT: 429,
    RefusalReason.NO_CAPACITY: 429,
    RefusalReason.STOPPING: 503,
    RefusalReason.UNREACHABLE: 503,
}
#: Status when a request may have run and no whole answer came back.
UNKNOWN_STATUS = 504
#: Status when the first request completed, and its answer was too long to keep.
ANSWER_NOT_KEPT_STATUS = 208


class CallerRequest(Struct, frozen=True, kw_only=True):
    """A caller's request, taken from its HTTP form.

    Parameters
    ----------
    queue : QueueId
    presented_key : str or None
    content_type : str
    body : bytes
    """

    queue: QueueId
    presented_key: str | None
    content_type: str
    body: bytes


class CallerAnswer(Struct, frozen=True, kw_only=True):
    """What the caller gets back."""

    status: int
    outcome: Outcome
    content_type: str
    body: bytes
    retry_after_s: float | None = None


class OutcomeBody(Struct, frozen=True, kw_only=True):
    """Machine-readable body of an answer that is not a backend server's own."""

    outcome: Outcome
    reason: str
    retry_after_s: float | None = None


def to_caller_answer(end: RequestEnd) -> CallerAnswer:
    """Return the HTTP form of the end of a request.

    >>> to_caller_answer(Refusal(RefusalReason.KEY_REFUSED)).status
    403
    """
    if isinstance(end, Answer):
        return CallerAnswer(
            status=end.status,
            outcome=Outcome.COMPLETED,
            content_type=end.content_type,
            body=end.body,
        )
    if isinstance(end, Refusal):
        return _explain(
            _STATUS_OF_REASON[end.reason],
            Outcome.NOT_RUN,
            end.reason.value,
            end.retry_after_s,
        )
    if isinstance(end, CompletedEarlier):
        return _explain(
            ANSWER_NOT_KEPT_STATUS, Outcome.COMPLETED, "answer-not-kept", None
        )
    return _explain(UNKNOWN_STATUS, Outcome.UNKNOWN, end.detail, None)


def _explain(
    status: int, outcome: Outcome, reason: str, retry_after_s: float | None
) -> CallerAnswer:
    body = OutcomeBody(outcome=outcome, reason=reason, retry_after_s=retry_after_s)
    return CallerAnswer(
        status=status,
        outcome=outcome,
        content_type=JSON_TYPE,
        body=msgspec.json.encode(body),
        retry_after_s=retry_after_s,
    )
