"""Frames between entry VMs: authenticated, bounded, typed."""

from __future__ import annotations

import hashlib
import hmac
from typing import TypeAlias

import msgspec
from msgspec import Struct

from currantstage.coordination.limits import (
    AllotmentReceipt,
    AllotmentRequest,
    AllotmentTransfer,
    UsageReport,
)
from currantstage.coordination.membership import RenewalOutcome, RenewalRequest
from currantstage.protocol._claim_messages import (
    ClaimAnswered,
    ClaimSettled,
    ClaimSettledAck,
    ClaimWanted,
)
from currantstage.protocol._errors import DecodeError
from currantstage.protocol._fleet_parts import FleetPart
from currantstage.state import (
    DataCentreId,
    EntryVmId,
    Generation,
    IncarnationId,
    QueueId,
)

#: Longest frame that is sent or read, in bytes.
MAX_FRAME_BYTES = 64 * 1024
_TAG_BYTES = hashlib.sha256().digest_size


class Heartbeat(Struct, frozen=True, kw_only=True, tag="heartbeat"):
    """Says that the sender lives, and which generation it has heard of."""

    generation: Generation


class RenewalAsk(Struct, frozen=True, kw_only=True, tag="renewal-ask"):
    """Asks the receiver to renew the sender's configuration lease."""

    request: RenewalRequest


class RenewalAnswer(Struct, frozen=True, kw_only=True, tag="renewal-answer"):
    """Tells what became of a renewal on the receiver's behalf."""

    outcome: RenewalOutcome


class FleetRequest(Struct, frozen=True, kw_only=True, tag="fleet-request"):
    """Asks for the receiver's fleet if it is newer than the sender's."""

    known_generation: Generation


class DemandMessage(Struct, frozen=True, kw_only=True, tag="demand"):
    """Running and waiting requests of the sender, by queue."""

    data_centre: DataCentreId
    slots_of_queue: dict[QueueId, int]


PeerMessage: TypeAlias = (
    Heartbeat
    | RenewalAsk
    | RenewalAnswer
    | FleetRequest
    | FleetPart
    | AllotmentRequest
    | AllotmentTransfer
    | AllotmentReceipt
    | UsageReport
    | DemandMessage
    | ClaimWanted
    | ClaimAnswered
    | ClaimSettled
    | ClaimSettledAck
)


class PeerFrame(Struct, frozen=True, kw_only=True):
    """One message with its sender and receiver."""

    sender: EntryVmId
    incarnation: IncarnationId
    receiver: EntryVmId
    message: PeerMessage


def encode_frame(frame: PeerFrame, secret: bytes) -> bytes:
    """Return `frame` behind its HMAC-SHA-256 under `secret`."""
    body = msgspec.msgpack.encode(frame)
    return hmac.digest(secret, body, "sha256") + body


def decode_frame(data: bytes, secret: bytes) -> PeerFrame:
    """Return the frame in `data`; raises `DecodeError` when it is not genuine."""
    if len(data) > MAX_FRAME_BYTES:
        raise DecodeError(f"frame of {len(data)} bytes")
    tag, body = data[:_TAG_BYTES], data[_TAG_BYTES:]
    if not hmac.compare_digest(tag, hmac.digest(secret, body, "sha256")):
        raise DecodeError("frame with a wrong tag")
    try:
        return msgspec.msgpack.decode(body, type=PeerFrame)
    except msgspec.DecodeError as error:
        raise DecodeError(str(error)) from error
