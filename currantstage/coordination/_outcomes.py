"""What can become of a request."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TypeAlias


class Outcome(Enum):
    """What is certain about a request that has ended."""

    COMPLETED = "completed"
    #: No byte reached a backend server, so the request is safe to send again.
    NOT_RUN = "not-run"
    #: It may have run.
    UNKNOWN = "unknown"


class RefusalReason(Enum):
    """Why a request was not run."""

    KEY_REFUSED = "key-refused"
    QUEUE_UNKNOWN = "queue-unknown"
    TEAM_AT_LIMIT = "team-at-limit"
    IDEMPOTENCY_KEY_MALFORMED = "idempotency-key-malformed"
    #: The key is past the window for which first outcomes are kept.
    IDEMPOTENCY_KEY_EXPIRED = "idempotency-key-expired"
    #: The key came with another content before.
    IDEMPOTENCY_KEY_REUSED = "idempotency-key-reused"
    #: The first request under the key has not ended.
    IN_PROGRESS = "in-progress"
    #: The caller went away before the request was sent.
    CANCELLED = "cancelled"
    #: The use of the key could not be recorded.
    CLAIM_UNAVAILABLE = "claim-unavailable"
    NO_CAPACITY = "no-capacity"
    STOPPING = "stopping"
    UNREACHABLE = "unreachable"


@dataclass(frozen=True, slots=True)
class Refusal:
    """A request that certainly did not run.

    Parameters
    ----------
    reason : RefusalReason
    retry_after_s : float or None
        When to try again, in seconds; None when repeating can't help.
    """

    reason: RefusalReason
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class Answer:
    """A complete answer of a backend server."""

    status: int
    content_type: str
    body: bytes


@dataclass(frozen=True, slots=True)
class CompletedEarlier:
    """The first request under the key completed; its answer was too long to keep."""


@dataclass(frozen=True, slots=True)
class Uncertain:
    """The request reached a backend server, and no whole answer came back."""

    detail: str


class SendFailure(Enum):
    """How far a request came that got no whole answer."""

    NOT_SENT = "not-sent"
    SENT = "sent"


RequestEnd: TypeAlias = Answer | CompletedEarlier | Refusal | Uncertain
