"""Messages between the entry VM of a request and the owner of its claim."""

from __future__ import annotations

from msgspec import Struct

from currantstage.coordination.claims import ClaimState
from currantstage.state import ClaimSettlement, ClaimTaken, RequestId, StoredResponse


class ClaimRequest(Struct, frozen=True, kw_only=True, tag="claim-wanted"):
    """Requests that the owner of a bucket records a claim; may be resent."""

    claim: ClaimTaken


class ClaimReply(Struct, frozen=True, kw_only=True, tag="claim-answered"):
    """The owner's reply to `ClaimRequest`, with the requested claim."""

    claim: ClaimTaken
    state: ClaimState
    answer: StoredResponse | None = None


class ClaimSettled(Struct, frozen=True, kw_only=True, tag="claim-settled"):
    """Settles a claim with its owner; resent until acknowledged."""

    settlement: ClaimSettlement


class ClaimSettledAck(Struct, frozen=True, kw_only=True, tag="claim-settled-ack"):
    """Acknowledges a settlement that the owner has recorded or does not need."""

    request_id: RequestId
