"""Frames between entry VMs: authenticated, limited in size and typed."""

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
    ClaimReply,
    ClaimRequest,
    ClaimSettled,
    ClaimSettledAck,
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
from currantstage.util import UndecodableError, decode_msgpack

#: Maximum size of a frame that is sent or accepted, in bytes.
MAX_FRAME_BYTES = 64 * 1024
_HMAC_BYTES = hashlib.sha256().digest_size


class Heartbeat(Struct, frozen=True, kw_only=True, tag="heartbeat"):
    """Signals that the sender is alive, and the newest generation it knows."""

    generation: Generation


class RenewalRequestMessage(Struct, frozen=True, kw_only=True, tag="renewal-ask"):
    """Requests that the receiver renews the sender's configuration lease."""

    request: RenewalRequest


class RenewalOutcomeMessage(Struct, frozen=True, kw_only=True, tag="renewal-answer"):
    """Reports the outcome of a renewal made on the receiver's behalf."""

    outcome: RenewalOutcome


class FleetRequest(Struct, frozen=True, kw_only=True, tag="fleet-request"):
    """Requests the receiver's fleet if it is newer than the sender's."""

    known_generation: Generation


class DemandMessage(Struct, frozen=True, kw_only=True, tag="demand"):
    """Slots of the running and waiting requests of the sender, by queue."""

    data_centre: DataCentreId
    slots_of_queue: dict[QueueId, int]


PeerMessage: TypeAlias = (
    Heartbeat
    | RenewalRequestMessage
    | RenewalOutcomeMessage
    | FleetRequest
    | FleetPart
    | AllotmentRequest
    | AllotmentTransfer
    | AllotmentReceipt
    | UsageReport
    | DemandMessage
    | ClaimRequest
    | ClaimReply
    | ClaimSettled
    | ClaimSettledAck
)


class PeerFrame(Struct, frozen=True, kw_only=True):
    """A message with its sender and receiver."""

    sender: EntryVmId
    incarnation: IncarnationId
    receiver: EntryVmId
    message: PeerMessage


def encode_frame(frame: PeerFrame, secret: bytes) -> bytes:
    """Return the encoded `frame`, preceded by its HMAC-SHA-256 under `secret`."""
    body = msgspec.msgpack.encode(frame)
    return hmac.digest(secret, body, "sha256") + body


def decode_frame(data: bytes, secret: bytes) -> PeerFrame:
    """Verify and decode the frame in `data`; raises `DecodeError`."""
    if len(data) > MAX_FRAME_BYTES:
        raise DecodeError(
            f"frame of {len(data)} bytes exceeds the limit of {MAX_FRAME_BYTES}"
        )
    code, body = data[:_HMAC_BYTES], data[_HMAC_BYTES:]
    if not hmac.compare_digest(code, hmac.digest(secret, body, "sha256")):
        raise DecodeError("authentication code of the frame does not match")
    try:
        return decode_msgpack(body, PeerFrame)
    except UndecodableError as error:
        raise DecodeError(str(error)) from error
