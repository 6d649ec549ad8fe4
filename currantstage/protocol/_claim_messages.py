"""Messages between the entry VM that runs a request and its claim's owner."""

from __future__ import annotations

from msgspec import Struct

from currantstage.coordination.claims import ClaimState
from currantstage.state import ClaimSettlement, ClaimTaken, RequestId, StoredResponse


class ClaimWanted(Struct, frozen=True, kw_only=True, tag="claim-wanted"):
    """Asks the owner of a bucket to record a claim; may be repeated."""

    claim: ClaimTaken


class ClaimAnswered(Struct, frozen=True, kw_only=True, tag="claim-answered"):
    """The owner's answer to `ClaimWanted`, with the claim that was asked for."""

    claim: ClaimTaken
    state: ClaimState
    answer: StoredResponse | None = None


class ClaimSettled(Struct, frozen=True, kw_only=True, tag="claim-settled"):
    """Tells the owner what became of a request; repeated until acknowledged."""

    settlement: ClaimSettlement


class ClaimSettledAck(Struct, frozen=True, kw_only=True, tag="claim-settled-ack"):
    """The owner has recorded the settlement, or has no need of it."""

    request_id: RequestId
