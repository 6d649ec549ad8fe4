"""Plan the slots that a holder takes and returns in one settlement."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from currantstage.coordination.limits._allotment_ledger import (
    adjust_to_limits,
    allotted_slots,
    take_free_slots,
)
from currantstage.state import HolderRow

if TYPE_CHECKING:
    from collections.abc import Mapping

    from currantstage.coordination.limits._allotment_account import AllotmentAccount
    from currantstage.state import (
        EntryVmId,
        Generation,
        IncarnationId,
        LedgerRow,
        ResourceId,
    )


@dataclass(frozen=True, slots=True)
class AllotmentNeeds:
    """Demand of an entry VM for the slots of a scope.

    Parameters
    ----------
    generation : Generation
        Generation of the configuration that `limits` come from.
    limits : mapping
        Limit of each resource, in slots.
    holders : int
        Number of entry VMs that share the resources, including this one.
    max_work_s : float
        Maximum run time of work that this entry VM starts, in seconds.
    shortages : mapping
        Slots wanted in addition to those held.
    """

    generation: Generation
    limits: Mapping[ResourceId, int]
    holders: int
    max_work_s: float
    shortages: Mapping[ResourceId, int] = field(default_factory=dict)

    def equal_share_slots(self, resource: ResourceId) -> int:
        """Return an equal share of `resource`, rounded down."""
        return self.limits.get(resource, 0) // self.holders

    def first_grant_slots(self, resource: ResourceId) -> int:
        """Return an equal share of `resource`, rounded up."""
        return -(-self.limits.get(resource, 0) // self.holders)


@dataclass(frozen=True, slots=True)
class HolderIncarnation:
    """The entry VM of a holder and the number of its incarnation."""

    entry_vm: EntryVmId
    number: int


@dataclass(frozen=True, slots=True)
class SettlementPlan:
    """The rows that one settlement writes.

    Parameters
    ----------
    ledger : LedgerRow
    holder : HolderRow
    returned_slots : mapping
        Slots to deduct before the rows are written.
    """

    ledger: LedgerRow
    holder: HolderRow
    returned_slots: Mapping[ResourceId, int]


def plan_settlement(
    account: AllotmentAccount,
    incarnation: HolderIncarnation,
    ledger: LedgerRow,
    recorded: HolderRow | None,
    needs: AllotmentNeeds,
) -> SettlementPlan:
    """Return the rows to write, given the ledger and the holder's row as read.

    Parameters
    ----------
    account : AllotmentAccount
        Must already be closed to all holders that `ledger` marks as retired.
    incarnation : HolderIncarnation
    ledger : LedgerRow
    recorded : HolderRow or None
    needs : AllotmentNeeds
    """
    adjusted = adjust_to_limits(ledger, needs.generation, needs.limits)
    taken = _plan_grants(account, adjusted, needs)
    returned_slots = _plan_returns(account, adjusted, needs)
    moved = Counter(taken)
    moved.subtract(returned_slots)
    after = adjust_to_limits(
        take_free_slots(adjusted, moved), needs.generation, needs.limits
    )
    granted = Counter({} if recorded is None else recorded.granted_slots)
    granted.update(moved)
    granted.update(_reclaimed_peer_slots(recorded, ledger.retired))
    row = HolderRow(
        incarnation=account.holder,
        entry_vm=incarnation.entry_vm,
        start_number=incarnation.number,
        max_work_s=max(needs.max_work_s, account.max_work_s),
        granted_slots={
            name: granted[name] for name in sorted(granted) if granted[name]
        },
        closed_slots={peer: account.net_received(peer) for peer in ledger.retired},
    )
    return SettlementPlan(after, row, returned_slots)


def work_ceilings(
    account: AllotmentAccount, ledger: LedgerRow, needs: AllotmentNeeds
) -> dict[ResourceId, int]:
    """Return the bounds on slots in use while the totals exceed the limits.

    Each holder's bound is its proportional part of the lowered limit; work above it
    is left to finish.
    """
    if needs.generation < ledger.generation:
        return {}
    ceilings = {}
    for resource in account.resources:
        total = allotted_slots(ledger, resource)
        limit = needs.limits.get(resource, 0)
        if total > limit:
            ceilings[resource] = account.held_slots(resource) * limit // total
    return ceilings


def _plan_grants(
    account: AllotmentAccount, ledger: LedgerRow, needs: AllotmentNeeds
) -> dict[ResourceId, int]:
    grants = {}
    for resource, free in ledger.free_slots.items():
        first = needs.first_grant_slots(resource) - account.held_slots(resource)
        wanted = max(first, needs.shortages.get(resource, 0))
        if wanted > 0:
            grants[resource] = min(free, wanted)
    return grants


def _plan_returns(
    account: AllotmentAccount, ledger: LedgerRow, needs: AllotmentNeeds
) -> dict[ResourceId, int]:
    returns = {}
    for resource, ceiling in work_ceilings(account, ledger, needs).items():
        excess = allotted_slots(ledger, resource) - needs.limits.get(resource, 0)
        kept = max(ceiling, account.running_slots(resource))
        slots = min(excess, account.held_slots(resource) - kept)
        if slots > 0:
            returns[resource] = slots
    return returns


def _reclaimed_peer_slots(
    recorded: HolderRow | None, retired: tuple[IncarnationId, ...]
) -> Counter[ResourceId]:
    """Return the net transfers with closed holders that have since been reclaimed."""
    reclaimed: Counter[ResourceId] = Counter()
    for peer, slots in (recorded.closed_slots if recorded else {}).items():
        if peer not in retired:
            reclaimed.update(slots)
    return reclaimed
