"""Messages between callers and the daemon, and the statuses of outcomes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated

import msgspec
from msgspec import Meta, Struct
from returns.result import Failure, Result, Success

from currantstage.coordination.requests import (
    Answer,
    CompletedEarlier,
    JobSize,
    Outcome,
    Refusal,
    RefusalReason,
    RequestEnd,
    Submission,
)
from currantstage.state import QueueId

if TYPE_CHECKING:
    from collections.abc import Mapping

#: Header that carries a caller's key, as ``key-id.secret``.
KEY_HEADER = "currantstage-key"
#: Header that tells a backend server the time left to the deadline.
TIMEOUT_HEADER = "currantstage-timeout-ms"
#: Header of every answer that says what is certain about the request.
OUTCOME_HEADER = "currantstage-outcome"
JSON_TYPE = "application/json"
#: Start of the names of the headers that carry a caller's options.
OPTION_PREFIX = "currantstage-"
#: Type of a body whose sender named none.
DEFAULT_TYPE = "application/octet-stream"
#: Longest bound that a caller may name, in milliseconds.
MAX_TIMEOUT_MS = 24 * 3600 * 1000
#: Largest declared processors, accelerators, or megabytes of memory.
MAX_SIZE = 2**31

_STATUS_OF_REASON = {
    RefusalReason.KEY_REFUSED: 403,
    RefusalReason.QUEUE_UNKNOWN: 404,
    RefusalReason.MALFORMED: 400,
    RefusalReason.JOB_TOO_LARGE: 422,
    RefusalReason.QUEUE_FULL: 429,
    RefusalReason.CONFIG_LEASE_LAPSED: 503,
    RefusalReason.TEAM_AT_LIMIT: 429,
    RefusalReason.NO_CAPACITY: 429,
    RefusalReason.DEADLINE_UNMEETABLE: 503,
    RefusalReason.DEADLINE_PASSED: 503,
    RefusalReason.CANCELLED: 503,
    RefusalReason.IDEMPOTENCY_KEY_MALFORMED: 400,
    RefusalReason.IDEMPOTENCY_KEY_EXPIRED: 410,
    RefusalReason.IDEMPOTENCY_KEY_REUSED: 422,
    RefusalReason.IN_PROGRESS: 409,
    RefusalReason.CLAIM_UNAVAILABLE: 503,
    RefusalReason.STOPPING: 503,
    RefusalReason.UNREACHABLE: 503,
}
#: Status when a request may have run and no whole answer came back.
UNKNOWN_STATUS = 504
#: Status when the first request completed, and its answer was too long to keep.
ANSWER_NOT_KEPT_STATUS = 208


class CallerOptions(
    Struct,
    frozen=True,
    kw_only=True,
    rename=lambda name: f"{OPTION_PREFIX}{name.replace('_', '-')}",
):
    """What a caller may declare about its request, each in a header of its own.

    Parameters
    ----------
    idempotent : bool
        Whether the request may run more than once; by default it may not.
    urgent : bool
        Whether it goes ahead of its team's other requests.
    timeout_ms : int or None
        The caller's own bound on the time to the answer, in milliseconds.
    processors : float
    memory_mb : int
    accelerators : int
    idempotency_key : str or None
        Makes repeats of the request find its first outcome, ``SECONDS-TEXT`` with the
        Unix time of its making.
    """

    idempotent: bool = False
    urgent: bool = False
    timeout_ms: Annotated[int, Meta(ge=1, le=MAX_TIMEOUT_MS)] | None = None
    processors: Annotated[float, Meta(ge=0, le=MAX_SIZE)] = 0.0
    memory_mb: Annotated[int, Meta(ge=0, le=MAX_SIZE)] = 0
    accelerators: Annotated[int, Meta(ge=0, le=MAX_SIZE)] = 0
    idempotency_key: str | None = None


class CallerRequest(Struct, frozen=True, kw_only=True):
    """A caller's request, taken from its HTTP form.

    Parameters
    ----------
    queue : QueueId
    presented_key : str or None
    content_type : str
    body : bytes
    options : CallerOptions
    """

    queue: QueueId
    presented_key: str | None
    content_type: str
    body: bytes
    options: CallerOptions = CallerOptions()

    def to_submission(self) -> Submission:
        """Return the request as admission sees it."""
        options = self.options
        timeout_ms = options.timeout_ms
        return Submission(
            queue=self.queue,
            presented_key=self.presented_key,
            is_urgent=options.urgent,
            is_idempotent=options.idempotent,
            timeout_s=None if timeout_ms is None else timeout_ms / 1000,
            size=JobSize(
                processors=options.processors,
                memory_mb=options.memory_mb,
                accelerators=options.accelerators,
            ),
        )


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
    asked: JobSize | None = None
    largest: JobSize | None = None


def read_caller_request(
    queue: QueueId, headers: Mapping[str, str], body: bytes
) -> Result[CallerRequest, Refusal]:
    """Return the request in an HTTP message, or a refusal when an option is malformed.

    Parameters
    ----------
    queue : QueueId
    headers : mapping of str to str
        By names in lower case.
    body : bytes
    """
    options = _NO_OPTIONS
    declared = {name: headers[name] for name in _OPTION_HEADERS if name in headers}
    if declared:
        try:
            options = msgspec.convert(declared, CallerOptions, strict=False)
        # A header that is not UTF-8 can't be encoded for conversion.
        except (msgspec.ValidationError, UnicodeError):
            return Failure(Refusal(RefusalReason.MALFORMED))
    return Success(
        CallerRequest(
            queue=queue,
            presented_key=headers.get(KEY_HEADER),
            content_type=headers.get("content-type", DEFAULT_TYPE),
            body=body,
            options=options,
        )
    )


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
        shortage = end.shortage
        body = OutcomeBody(
            outcome=Outcome.NOT_RUN,
            reason=end.reason.value,
            retry_after_s=end.retry_after_s,
            asked=None if shortage is None else shortage.asked,
            largest=None if shortage is None else shortage.largest,
        )
        return _explain(_STATUS_OF_REASON[end.reason], body)
    if isinstance(end, CompletedEarlier):
        body = OutcomeBody(outcome=Outcome.COMPLETED, reason="answer-not-kept")
        return _explain(ANSWER_NOT_KEPT_STATUS, body)
    body = OutcomeBody(outcome=Outcome.UNKNOWN, reason=end.detail)
    return _explain(UNKNOWN_STATUS, body)


def _explain(status: int, body: OutcomeBody) -> CallerAnswer:
    return CallerAnswer(
        status=status,
        outcome=body.outcome,
        content_type=JSON_TYPE,
        body=msgspec.json.encode(body),
        retry_after_s=body.retry_after_s,
    )


_NO_OPTIONS = CallerOptions()
_OPTION_HEADERS = tuple(
    info.encode_name for info in msgspec.structs.fields(CallerOptions)
)
