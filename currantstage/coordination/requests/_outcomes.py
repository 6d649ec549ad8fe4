"""What can become of a request."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    from currantstage.coordination.requests._jobs import JobSize


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
    MALFORMED = "malformed"
    #: The entry VM can't tell whether the key has been withdrawn.
    CONFIG_LEASE_LAPSED = "config-lease-lapsed"
    #: No worker of the queue is large enough.
    JOB_TOO_LARGE = "job-too-large"
    #: The queue's bound on waiting requests is reached.
    QUEUE_FULL = "queue-full"
    #: The learnt run times leave no hope of an answer before the deadline.
    DEADLINE_UNMEETABLE = "deadline-unmeetable"
    #: The deadline passed while the request waited.
    DEADLINE_PASSED = "deadline-passed"
    #: A caller that goes away withdraws its waiting request.
    CANCELLED = "cancelled"
    IDEMPOTENCY_KEY_MALFORMED = "idempotency-key-malformed"
    #: The key is past the window for which first outcomes are kept.
    IDEMPOTENCY_KEY_EXPIRED = "idempotency-key-expired"
    #: The key came with another content before.
    IDEMPOTENCY_KEY_REUSED = "idempotency-key-reused"
    #: The first request under the key has not ended.
    IN_PROGRESS = "in-progress"
    #: The use of the key could not be recorded.
    CLAIM_UNAVAILABLE = "claim-unavailable"
    TEAM_AT_LIMIT = "team-at-limit"
    NO_CAPACITY = "no-capacity"
    STOPPING = "stopping"
    UNREACHABLE = "unreachable"


@dataclass(frozen=True, slots=True)
class SizeShortage:
    """A job that no worker can hold.

    Parameters
    ----------
    asked : JobSize
    largest : JobSize
        What the largest worker of the queue has.
    """

    asked: JobSize
    largest: JobSize


@dataclass(frozen=True, slots=True)
class Refusal:
    """A request that certainly did not run.

    Parameters
    ----------
    reason : RefusalReason
    retry_after_s : float or None
        When to try again, in seconds; None when repeating can't help.
    shortage : SizeShortage or None
        Set when the job is too large.
    """

    reason: RefusalReason
    retry_after_s: float | None = None
    shortage: SizeShortage | None = None


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

    #: No connection could be made: no byte left this entry VM.
    NOT_SENT = "not-sent"
    #: A connection was lost, or ended before the answer's length.
    SENT = "sent"
    #: A connection made no progress within its bound.
    SILENT = "silent"


RequestEnd: TypeAlias = Answer | CompletedEarlier | Refusal | Uncertain
