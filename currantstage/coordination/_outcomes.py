"""What can become of a request."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


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
    #: The entry VM can't tell whether the key has been withdrawn.
    CONFIG_LEASE_LAPSED = "config-lease-lapsed"
    TEAM_AT_LIMIT = "team-at-limit"
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
class Uncertain:
    """The request reached a backend server, and no whole answer came back."""

    detail: str


class SendFailure(Enum):
    """How far a request came that got no whole answer."""

    NOT_SENT = "not-sent"
    SENT = "sent"
