"""Messages and replies between daemons about jobs."""

from __future__ import annotations

from enum import Enum
from typing import Any

import msgspec
from msgspec import Struct

from currantstage.coordination.jobs import LeaseRow
from currantstage.protocol._errors import DecodeError
from currantstage.protocol.jobs._calls import AnyTarget, CallDecision
from currantstage.state import QueueId
from currantstage.state.jobs import (
    ConfigurationVersion,
    JobId,
    JobState,
    OrderOutcome,
    RelayPermit,
    StartOrder,
    Submission,
    Term,
)
from currantstage.util import UndecodableError, decode_msgpack


class StoreOutcome(Enum):
    """Outcome of a write to the store."""

    STORED = "stored"
    NO_SUCH_JOB = "no-such-job"
    NOT_STORED = "not-stored"
    #: It can't be stored, however often it is tried.
    NOT_STORABLE = "not-storable"
    #: The write may have been applied.
    IN_DOUBT = "in-doubt"


class JobAccepted(Struct, frozen=True, tag="job-accepted"):
    """Notifies the scheduler that a job was stored."""

    submission: Submission


class JobCancelled(Struct, frozen=True, tag="job-cancelled"):
    """Notifies the scheduler that the cancellation of a job was stored."""

    job: JobId


class StoreJob(Struct, frozen=True, tag="store-job"):
    """Requests that a daemon that can reach the store stores a job."""

    submission: Submission


class StoreCancel(Struct, frozen=True, tag="store-cancel"):
    """Requests that a daemon that can reach the store stores a cancellation."""

    job: JobId


class LeaseLookup(Struct, frozen=True, tag="lease-lookup"):
    """Queries the scheduler's lease as last read by the receiver."""


class StateQuery(Struct, frozen=True, tag="state"):
    """Queries the scheduler for the state of a job."""

    job: JobId


class WaitingQuery(Struct, frozen=True, tag="waiting"):
    """Queries the scheduler for the number of waiting jobs in a queue."""

    queue: QueueId


class ConfigurationStatusQuery(Struct, frozen=True, tag="configuration-status"):
    """Queries which configuration the receiver has, without its content."""


class ConfigurationQuery(Struct, frozen=True, tag="configuration"):
    """Queries a configuration newer than the sender's."""

    newer_than: ConfigurationVersion


class AdmissionQuery(Struct, frozen=True, tag="admission"):
    """Queries how the receiver's configuration decides on a call."""

    target: AnyTarget
    key: str


class LeaseHolderQuery(Struct, frozen=True, tag="lease"):
    """Queries whether the receiver holds the scheduler's lease in a term."""

    term: Term


class LeaseRequest(Struct, frozen=True, tag="lease-request"):
    """Requests that the holder hands over the scheduler's lease if it can't use it.

    Sent only by a daemon that can reach the store.
    """

    term: Term


class LeaseOffer(Struct, frozen=True, tag="lease-offer"):
    """Offers the scheduler's lease, which its holder currently can't use.

    The holder can't renew it, or can't load the stored state.
    """

    term: Term


class LeaseReleased(Struct, frozen=True, tag="lease-released"):
    """Notifies peers that the scheduler's lease was released."""


class RelayStarts(Struct, frozen=True, kw_only=True, tag="relay-starts"):
    """Requests that the receiver sends start orders of the scheduler.

    Parameters
    ----------
    orders : tuple of StartOrder
        Empty if only the receiver's clock is to be read.
    permit : RelayPermit, optional
        How long they may be sent.
    """

    orders: tuple[StartOrder, ...] = ()
    permit: RelayPermit | None = None


class Acknowledged(Struct, frozen=True, tag="noted"):
    """Acknowledges a message."""


class NotScheduler(Struct, frozen=True, tag="not-scheduler"):
    """The replying daemon does not hold the scheduler's lease."""


class StoreReply(Struct, frozen=True, tag="store-reply"):
    """Outcome of a request to store a job or a cancellation."""

    outcome: StoreOutcome


class LeaseReply(Struct, frozen=True, tag="lease-reply"):
    """The scheduler's lease as last read by the replying daemon."""

    lease: LeaseRow | None


class StateReply(Struct, frozen=True, tag="state-reply"):
    """State of a job; None if the scheduler does not know the job."""

    state: JobState | None


class WaitingReply(Struct, frozen=True, tag="waiting-reply"):
    """Number of waiting jobs."""

    count: int


class ConfigurationStatus(
    Struct, frozen=True, kw_only=True, tag="configuration-status-reply"
):
    """The configuration in force at the replying daemon.

    Parameters
    ----------
    version : ConfigurationVersion, optional
        None if it has none yet.
    confirmed_ago_s : float, optional
        Time since the store last confirmed it as the newest; None if it never did.
    """

    version: ConfigurationVersion | None
    confirmed_ago_s: float | None


class ConfigurationReply(Struct, frozen=True, tag="configuration-reply"):
    """Configuration as written by operators; None if the peer has no newer one."""

    value: bytes | None


class AdmissionReply(Struct, frozen=True, kw_only=True, tag="admission-reply"):
    """How the replying daemon's configuration decides on a call.

    Parameters
    ----------
    decision : CallDecision, optional
        None if it has no configuration.
    confirmed_ago_s : float, optional
        Time since the store last confirmed that configuration as the newest; None if it
        never did.
    """

    decision: CallDecision | None
    confirmed_ago_s: float | None


class StartsRelayed(Struct, frozen=True, kw_only=True, tag="starts-relayed"):
    """Outcomes of relayed start orders.

    Parameters
    ----------
    outcomes : tuple of OrderOutcome
        In the order of the request.
    incarnation : int
        Identifies the process that replies.
    clock_ms : int
        Time on its clock.
    """

    outcomes: tuple[OrderOutcome, ...]
    incarnation: int
    clock_ms: int


PeerQuery = (
    JobAccepted
    | JobCancelled
    | StoreJob
    | StoreCancel
    | LeaseLookup
    | StateQuery
    | WaitingQuery
    | ConfigurationStatusQuery
    | ConfigurationQuery
    | AdmissionQuery
    | LeaseHolderQuery
    | LeaseRequest
    | LeaseOffer
    | LeaseReleased
    | RelayStarts
)
PeerReply = (
    Acknowledged
    | NotScheduler
    | StoreReply
    | LeaseReply
    | StateReply
    | WaitingReply
    | ConfigurationStatus
    | ConfigurationReply
    | AdmissionReply
    | StartsRelayed
)


def encode_peer_message(message: PeerQuery | PeerReply) -> bytes:
    """Encode a message."""
    return msgspec.msgpack.encode(message)


def decode_peer_query(body: bytes) -> PeerQuery:
    """Decode the query in `body`; raises `DecodeError`."""
    query: PeerQuery = _decode(body, PeerQuery)
    return query


def decode_peer_reply(body: bytes) -> PeerReply:
    """Decode the reply in `body`; raises `DecodeError`."""
    reply: PeerReply = _decode(body, PeerReply)
    return reply


def _decode(body: bytes, message_type: Any) -> Any:
    try:
        return decode_msgpack(body, message_type)
    except UndecodableError as error:
        raise DecodeError(str(error)) from error
