"""Messages by which holders move idle slots among themselves."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

from msgspec import Struct

from currantstage.state import EntryVmId, IncarnationId, ResourceId, ScopeId


class Need(Struct, frozen=True, kw_only=True):
    """What an entry VM lacks of one resource.

    Parameters
    ----------
    held_slots : int
        Slots that it has already.
    wanted_slots : int
        Slots that it wants besides.
    is_level : bool
        Whether it only wants its even part, without work that waits.
    """

    held_slots: int
    wanted_slots: int
    is_level: bool = False


class AllotmentAsk(Struct, frozen=True, kw_only=True, tag="allotment-ask"):
    """Asks a peer for idle slots; losing or doubling it does no harm.

    Parameters
    ----------
    scope : ScopeId
    needs : dict
    reclaims : int
        Reclaimings that the sender has seen the ledger count; works as a fence.
    """

    scope: ScopeId
    needs: dict[ResourceId, Need]
    reclaims: int


class AllotmentTransfer(Struct, frozen=True, kw_only=True, tag="allotment-transfer"):
    """Hands slots over; repeated until the receiver has acknowledged the totals.

    Parameters
    ----------
    scope : ScopeId
    receiver : IncarnationId
        The start of the entry VM for which the slots are; no other may take them.
    sent_slots : dict
        All that the sender has ever sent to the receiver, by resource.
    """

    scope: ScopeId
    receiver: IncarnationId
    sent_slots: dict[ResourceId, int]


class AllotmentReceipt(Struct, frozen=True, kw_only=True, tag="allotment-receipt"):
    """Acknowledges the totals of a transfer.

    Parameters
    ----------
    scope : ScopeId
    sender : IncarnationId
        The start of the entry VM that sent the slots.
    received_slots : dict
    """

    scope: ScopeId
    sender: IncarnationId
    received_slots: dict[ResourceId, int]


AllotmentMessage: TypeAlias = AllotmentAsk | AllotmentTransfer | AllotmentReceipt


@dataclass(frozen=True, slots=True)
class Peer:
    """One start of another entry VM."""

    entry_vm: EntryVmId
    incarnation: IncarnationId


@dataclass(frozen=True, slots=True)
class SendToPeer:
    """Effect: send `message`, without promise of delivery."""

    receiver: EntryVmId
    message: AllotmentMessage
