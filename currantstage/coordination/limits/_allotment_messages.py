"""Messages with which holders request and transfer idle slots."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

from msgspec import Struct

from currantstage.state import EntryVmId, IncarnationId, ResourceId, ScopeId


class Need(Struct, frozen=True, kw_only=True):
    """Demand of an entry VM for slots of one resource.

    Parameters
    ----------
    held_slots : int
        Slots that it already holds.
    wanted_slots : int
        Slots that it requests in addition.
    is_level : bool
        Whether it only requests its equal share, and no work is waiting.
    """

    held_slots: int
    wanted_slots: int
    is_level: bool = False


class AllotmentRequest(Struct, frozen=True, kw_only=True, tag="allotment-ask"):
    """Request for idle slots of a peer; safe to lose or duplicate.

    Parameters
    ----------
    scope : ScopeId
    needs : dict
    reclaims : int
        Number of reclaims that the sender has seen in the ledger; a fencing token.
    """

    scope: ScopeId
    needs: dict[ResourceId, Need]
    reclaims: int


class AllotmentTransfer(Struct, frozen=True, kw_only=True, tag="allotment-transfer"):
    """Transfer of slots; resent until the receiver has acknowledged the totals.

    Parameters
    ----------
    scope : ScopeId
    receiver : IncarnationId
        The only incarnation of the entry VM that may accept the slots.
    sent_slots : dict
        Cumulative slots sent to the receiver, by resource.
    """

    scope: ScopeId
    receiver: IncarnationId
    sent_slots: dict[ResourceId, int]


class AllotmentReceipt(Struct, frozen=True, kw_only=True, tag="allotment-receipt"):
    """Acknowledgement of the totals of a transfer.

    Parameters
    ----------
    scope : ScopeId
    sender : IncarnationId
        The incarnation of the entry VM that sent the slots.
    received_slots : dict
    """

    scope: ScopeId
    sender: IncarnationId
    received_slots: dict[ResourceId, int]


AllotmentMessage: TypeAlias = AllotmentRequest | AllotmentTransfer | AllotmentReceipt


@dataclass(frozen=True, slots=True)
class Peer:
    """One incarnation of another entry VM."""

    entry_vm: EntryVmId
    incarnation: IncarnationId


@dataclass(frozen=True, slots=True)
class SendToPeer:
    """Effect: send `message`; delivery is not guaranteed."""

    receiver: EntryVmId
    message: AllotmentMessage
