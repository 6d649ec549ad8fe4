"""Messages between callers and the daemon, and the HTTP statuses of outcomes."""

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
from currantstage.util import is_header_text

if TYPE_CHECKING:
    from collections.abc import Mapping

#: Header with the caller's key, as ``key-id.secret``.
KEY_HEADER = "currantstage-key"
#: Header that informs a backend server of the time left until the deadline.
TIMEOUT_HEADER = "currantstage-timeout-ms"
#: Header of every response to a caller, with the outcome of the request.
OUTCOME_HEADER = "currantstage-outcome"
JSON_CONTENT_TYPE = "application/json"
#: Prefix of the names of the headers that carry a caller's options.
OPTION_HEADER_PREFIX = "currantstage-"
#: Content type of a body whose sender stated none.
DEFAULT_CONTENT_TYPE = "application/octet-stream"
#: Maximum timeout that a caller may state, in milliseconds.
MAX_TIMEOUT_MS = 24 * 3600 * 1000
#: Maximum number of processors, accelerators or megabytes of memory to declare.
MAX_RESOURCE_AMOUNT = 2**31

_STATUS_OF_REASON = {
    RefusalReason.KEY_REFUSED: 403,
    RefusalReason.QUEUE_UNKNOWN: 404,
    RefusalReason.MALFORMED: 400,
    RefusalReason.JOB_TOO_LARGE: 422,
    RefusalReason.QUEUE_FULL: 429,
    RefusalReason.CONFIG_LEASE_EXPIRED: 503,
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
#: Status if a request may have run but no complete answer was received.
OUTCOME_UNKNOWN_STATUS = 504
#: Status if the first request completed, but its answer was too long to keep.
ANSWER_NOT_KEPT_STATUS = 208


class CallerOptions(
    Struct,
    frozen=True,
    kw_only=True,
    rename=lambda name: f"{OPTION_HEADER_PREFIX}{name.replace('_', '-')}",
):
    """Options that a caller may declare for its request, each in its own header.

    Parameters
    ----------
    idempotent : bool
        Whether the request may run more than once; by default it may not.
    urgent : bool
        Whether it is served before other requests of its team.
    timeout_ms : int or None
        The caller's timeout for the answer, in milliseconds.
    processors : float
    memory_mb : int
    accelerators : int
    idempotency_key : str or None
        Returns the first outcome for repeats of the request; ``SECONDS-TEXT``, where
        ``SECONDS`` is the Unix time at which the key was created.
    """

    idempotent: bool = False
    urgent: bool = False
    timeout_ms: Annotated[int, Meta(ge=1, le=MAX_TIMEOUT_MS)] | None = None
    processors: Annotated[float, Meta(ge=0, le=MAX_RESOURCE_AMOUNT)] = 0.0
    memory_mb: Annotated[int, Meta(ge=0, le=MAX_RESOURCE_AMOUNT)] = 0
    accelerators: Annotated[int, Meta(ge=0, le=MAX_RESOURCE_AMOUNT)] = 0
    idempotency_key: str | None = None


class CallerRequest(Struct, frozen=True, kw_only=True):
    """A caller's request, parsed from HTTP.

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
        """Return the parameters that admission decides on."""
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
    """Response to a caller."""

    status: int
    outcome: Outcome
    content_type: str
    body: bytes
    retry_after_s: float | None = None


class OutcomeBody(Struct, frozen=True, kw_only=True):
    """Machine-readable body of a response that does not come from a backend server.

    Parameters
    ----------
    outcome : Outcome
    reason : str
    retry_after_s : float or None
        Delay before a retry, in seconds; None if a retry can't succeed.
    asked, largest : JobSize or None
        Requested size, and capacity of the queue's largest worker; set if the job is
        too large.
    """

    outcome: Outcome
    reason: str
    retry_after_s: float | None = None
    asked: JobSize | None = None
    largest: JobSize | None = None


def parse_caller_request(
    queue: QueueId, headers: Mapping[str, str], body: bytes
) -> Result[CallerRequest, Refusal]:
    """Parse an HTTP request; a malformed option leads to a refusal.

    Parameters
    ----------
    queue : QueueId
    headers : mapping of str to str
        By lower-case names.
    body : bytes
    """
    options = _DEFAULT_OPTIONS
    declared = {name: headers[name] for name in _OPTION_HEADER_NAMES if name in headers}
    if declared:
        try:
            options = msgspec.convert(declared, CallerOptions, strict=False)
        # A header that is not valid UTF-8 can't be encoded for conversion.
        except (msgspec.ValidationError, UnicodeError):
            return Failure(Refusal(RefusalReason.MALFORMED))
    content_type = headers.get("content-type") or DEFAULT_CONTENT_TYPE
    if not is_header_text(content_type):
        # It is passed on to the backend server.
        return Failure(Refusal(RefusalReason.MALFORMED))
    return Success(
        CallerRequest(
            queue=queue,
            presented_key=headers.get(KEY_HEADER),
            content_type=content_type,
            body=body,
            options=options,
        )
    )


def to_caller_answer(end: RequestEnd) -> CallerAnswer:
    """Return the HTTP response for the end of a request.

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
        return _encode_outcome(_STATUS_OF_REASON[end.reason], body)
    if isinstance(end, CompletedEarlier):
        body = OutcomeBody(outcome=Outcome.COMPLETED, reason="answer-not-kept")
        return _encode_outcome(ANSWER_NOT_KEPT_STATUS, body)
    body = OutcomeBody(outcome=Outcome.UNKNOWN, reason=end.detail)
    return _encode_outcome(OUTCOME_UNKNOWN_STATUS, body)


def _encode_outcome(status: int, body: OutcomeBody) -> CallerAnswer:
    return CallerAnswer(
        status=status,
        outcome=body.outcome,
        content_type=JSON_CONTENT_TYPE,
        body=msgspec.json.encode(body),
        retry_after_s=body.retry_after_s,
    )


_DEFAULT_OPTIONS = CallerOptions()
_OPTION_HEADER_NAMES = tuple(
    info.encode_name for info in msgspec.structs.fields(CallerOptions)
)
