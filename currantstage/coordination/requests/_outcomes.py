"""Outcomes, answers and refusals of requests."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    from currantstage.coordination.requests._jobs import JobSize


class Outcome(Enum):
    """Whether a request that has ended was run."""

    COMPLETED = "completed"
    #: No byte reached a backend server, so the request can safely be retried.
    NOT_RUN = "not-run"
    #: It may have run.
    UNKNOWN = "unknown"


class RefusalReason(Enum):
    """Why a request was not run."""

    KEY_REFUSED = "key-refused"
    QUEUE_UNKNOWN = "queue-unknown"
    MALFORMED = "malformed"
    #: The entry VM can't verify that the key has not been withdrawn.
    CONFIG_LEASE_EXPIRED = "config-lease-lapsed"
    #: No worker of the queue is large enough.
    JOB_TOO_LARGE = "job-too-large"
    #: The queue has its maximum number of waiting requests.
    QUEUE_FULL = "queue-full"
    #: By the observed run times, no answer is expected before the deadline.
    DEADLINE_UNMEETABLE = "deadline-unmeetable"
    #: The deadline passed while the request waited.
    DEADLINE_PASSED = "deadline-passed"
    #: The caller disconnected while the request waited.
    CANCELLED = "cancelled"
    IDEMPOTENCY_KEY_MALFORMED = "idempotency-key-malformed"
    #: The key is older than the period for which first outcomes are kept.
    IDEMPOTENCY_KEY_EXPIRED = "idempotency-key-expired"
    #: The key was used before with different content.
    IDEMPOTENCY_KEY_REUSED = "idempotency-key-reused"
    #: The first request with the key has not ended.
    IN_PROGRESS = "in-progress"
    #: The use of the key could not be recorded.
    CLAIM_UNAVAILABLE = "claim-unavailable"
    TEAM_AT_LIMIT = "team-at-limit"
    NO_CAPACITY = "no-capacity"
    STOPPING = "stopping"
    UNREACHABLE = "unreachable"


@dataclass(frozen=True, slots=True)
class SizeShortage:
    """A job that is too large for every worker of its queue.

    Parameters
    ----------
    asked : JobSize
    largest : JobSize
        Capacity of the queue's largest worker.
    """

    asked: JobSize
    largest: JobSize


@dataclass(frozen=True, slots=True)
class Refusal:
    """The end of a request that is known not to have run.

    Parameters
    ----------
    reason : RefusalReason
    retry_after_s : float or None
        Delay before a retry, in seconds; None if a retry can't succeed.
    shortage : SizeShortage or None
        Set if the job is too large.
    """

    reason: RefusalReason
    retry_after_s: float | None = None
    shortage: SizeShortage | None = None


@dataclass(frozen=True, slots=True)
class Answer:
    """A complete answer from a backend server."""

    status: int
    content_type: str
    body: bytes


@dataclass(frozen=True, slots=True)
class CompletedEarlier:
    """The first request with the key completed; its answer was too long to store."""


@dataclass(frozen=True, slots=True)
class Uncertain:
    """The request may have run, but no complete answer was received."""

    detail: str


class SendFailure(Enum):
    """How far a request without a complete answer got."""

    #: No connection could be established, so no byte left this entry VM.
    NOT_SENT = "not-sent"
    #: The connection was lost, or closed before the answer was complete.
    SENT = "sent"
    #: The connection made no progress within the silence timeout.
    SILENT = "silent"


RequestEnd: TypeAlias = Answer | CompletedEarlier | Refusal | Uncertain
