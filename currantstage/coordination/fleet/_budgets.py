"""Availability budgets: how many VMs of a pool may be out of service at once."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec.structs import replace

if TYPE_CHECKING:
    from currantstage.state import BudgetRow, Pool, RackId, VmId


def allows_disruption(
    pool: Pool | None, budget: BudgetRow, vm: VmId, rack: RackId
) -> bool:
    """Return whether the budget allows `vm` to be taken out of service.

    Parameters
    ----------
    pool : Pool or None
        None when the note has withdrawn the pool, which then has no budget limits.
    budget : BudgetRow
        VMs already out of service, planned or not.
    vm : VmId
    rack : RackId
    """
    unavailable = budget.unavailable
    if pool is None or vm in unavailable:
        return True
    in_rack = sum(1 for each in unavailable.values() if each == rack)
    return (
        len(unavailable) < pool.max_unavailable
        and in_rack < pool.max_unavailable_per_rack
    )


def reserve(budget: BudgetRow, vm: VmId, rack: RackId) -> BudgetRow:
    """Return `budget` with a reservation for `vm`."""
    return replace(budget, reservations={**budget.reservations, vm: rack})


def add_outage(budget: BudgetRow, vm: VmId, rack: RackId) -> BudgetRow:
    """Return `budget` with an unplanned outage of `vm` added."""
    return replace(budget, outages={**budget.outages, vm: rack})


def release(budget: BudgetRow, vm: VmId) -> BudgetRow:
    """Return `budget` without `vm`, which is in service or has left the pool."""
    return replace(
        budget,
        reservations=_without(budget.reservations, vm),
        outages=_without(budget.outages, vm),
    )


def _without(racks: dict[VmId, RackId], vm: VmId) -> dict[VmId, RackId]:
    return {other: rack for other, rack in racks.items() if other != vm}
