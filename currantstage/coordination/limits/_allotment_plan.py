"""What a holder takes from the ledger and gives back at one settlement."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from currantstage.coordination.limits._allotment_ledger import (
    allotted_slots,
    follow_limits,
    move_from_free,
)
from currantstage.state import HolderRow

if TYPE_CHECKING:
    from collections.abc import Mapping

    from currantstage.coordination.limits._allotment_book import AllotmentBook
    from currantstage.state import (
        EntryVmId,
        Generation,
        IncarnationId,
        LedgerRow,
        ResourceId,
    )


@dataclass(frozen=True, slots=True)
class AllotmentNeeds:
    """What an entry VM wants of a scope's resources.

    Parameters
    ----------
    generation : Generation
        The configuration from which `limits` come.
    limits : mapping
        Limit of each resource, in slots.
    holders : int
        Entry VMs among which the resources are divided, this one included.
    max_work_s : float
        Longest work that this entry VM starts, in seconds.
    shortages : mapping
        Slots wanted beyond those held.
    """

    generation: Generation
    limits: Mapping[ResourceId, int]
    holders: int
    max_work_s: float
    shortages: Mapping[ResourceId, int] = field(default_factory=dict)

    def baseline_slots(self, resource: ResourceId) -> int:
        """Return the even part of `resource`, rounded down."""
        return self.limits.get(resource, 0) // self.holders

    def first_grant_slots(self, resource: ResourceId) -> int:
        """Return the even part of `resource`, rounded up."""
        return -(-self.limits.get(resource, 0) // self.holders)


@dataclass(frozen=True, slots=True)
class HolderStart:
    """Which start of which entry VM a holder is."""

    entry_vm: EntryVmId
    number: int


@dataclass(frozen=True, slots=True)
class SettlementPlan:
    """The rows as one settlement writes them.

    Parameters
    ----------
    ledger : LedgerRow
    holder : HolderRow
    given_back : mapping
        Slots to give up before the rows are written.
    """

    ledger: LedgerRow
    holder: HolderRow
    given_back: Mapping[ResourceId, int]


def plan_settlement(
    book: AllotmentBook,
    start: HolderStart,
    ledger: LedgerRow,
    recorded: HolderRow | None,
    needs: AllotmentNeeds,
) -> SettlementPlan:
    """Return what to write, given the ledger and the holder's row as it was read.

    Parameters
    ----------
    book : AllotmentBook
        Already closed to all holders that `ledger` names as retired.
    start : HolderStart
    ledger : LedgerRow
    recorded : HolderRow or None
    needs : AllotmentNeeds
    """
    followed = follow_limits(ledger, needs.generation, needs.limits)
    taken = _plan_grants(book, followed, needs)
    given_back = _plan_returns(book, followed, needs)
    moved = Counter(taken)
    moved.subtract(given_back)
    after = follow_limits(
        move_from_free(followed, moved), needs.generation, needs.limits
    )
    granted = Counter({} if recorded is None else recorded.granted_slots)
    granted.update(moved)
    granted.update(_folded_slots(recorded, ledger.retired))
    row = HolderRow(
        incarnation=book.holder,
        entry_vm=start.entry_vm,
        start_number=start.number,
        max_work_s=max(needs.max_work_s, book.max_work_s),
        granted_slots={
            name: granted[name] for name in sorted(granted) if granted[name]
        },
        closed_slots={peer: book.net_received(peer) for peer in ledger.retired},
    )
    return SettlementPlan(after, row, given_back)


def work_ceilings(
    book: AllotmentBook, ledger: LedgerRow, needs: AllotmentNeeds
) -> dict[ResourceId, int]:
    """Return the bounds on work while more slots exist than the limits allow.

    Each holder keeps its part of the lowered limit in use and lets the rest finish.
    """
    if needs.generation < ledger.generation:
        return {}
    ceilings = {}
    for resource in book.resources:
        total = allotted_slots(ledger, resource)
        limit = needs.limits.get(resource, 0)
        if total > limit:
            ceilings[resource] = book.held_slots(resource) * limit // total
    return ceilings


def _plan_grants(
    book: AllotmentBook, ledger: LedgerRow, needs: AllotmentNeeds
) -> dict[ResourceId, int]:
    grants = {}
    for resource, free in ledger.free_slots.items():
        first = needs.first_grant_slots(resource) - book.held_slots(resource)
        wanted = max(first, needs.shortages.get(resource, 0))
        if wanted > 0:
            grants[resource] = min(free, wanted)
    return grants


def _plan_returns(
    book: AllotmentBook, ledger: LedgerRow, needs: AllotmentNeeds
) -> dict[ResourceId, int]:
    returns = {}
    for resource, ceiling in work_ceilings(book, ledger, needs).items():
        excess = allotted_slots(ledger, resource) - needs.limits.get(resource, 0)
        kept = max(ceiling, book.running_slots(resource))
        slots = min(excess, book.held_slots(resource) - kept)
        if slots > 0:
            returns[resource] = slots
    return returns


def _folded_slots(
    recorded: HolderRow | None, retired: tuple[IncarnationId, ...]
) -> Counter[ResourceId]:
    """Return the trade with closed holders whose rows have been reclaimed since."""
    folded: Counter[ResourceId] = Counter()
    for peer, slots in (recorded.closed_slots if recorded else {}).items():
        if peer not in retired:
            folded.update(slots)
    return folded
