"""The ledger of a scope: total slots, which follow the limits, and free slots."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec.structs import replace

from currantstage.state import team_resource, worker_resource

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from currantstage.state import (
        DataCentreId,
        Fleet,
        Generation,
        IncarnationId,
        LedgerRow,
        ResourceId,
    )


#: Time for which work may still run after its deadline, in seconds.
WORK_MARGIN_S = 5.0


def longest_work_s(fleet: Fleet) -> float:
    """Return the maximum run time of work started under `fleet`, in seconds."""
    timeouts_ms = [queue.timeout_ms for queue in fleet.queues.values()]
    return max(timeouts_ms, default=0) / 1000 + WORK_MARGIN_S


def team_limits(fleet: Fleet) -> dict[ResourceId, int]:
    """Return the upper limit of every team, by resource."""
    return {
        team_resource(team.team_id): team.upper_limit_slots
        for team in fleet.teams.values()
    }


def worker_limits(fleet: Fleet, data_centre: DataCentreId) -> dict[ResourceId, int]:
    """Return the slots of every worker of `data_centre`, by resource."""
    return {
        worker_resource(vm.vm_id): vm.slots
        for vm in fleet.vms.values()
        if fleet.pools[vm.pool].data_centre == data_centre
    }


def allotted_slots(ledger: LedgerRow, resource: ResourceId) -> int:
    """Return all slots of `resource`: free, held or in transfer.

    This bounds the number of slots that can be in use at once.
    """
    return ledger.total_slots.get(resource, 0)


def resources_above_limit(
    ledger: LedgerRow, limits: Mapping[ResourceId, int]
) -> tuple[ResourceId, ...]:
    """Return the resources whose total slots exceed `limits`.

    A lowered limit is in force on all entry VMs once its resource is not returned.
    """
    return tuple(
        resource
        for resource, total in sorted(ledger.total_slots.items())
        if total > limits.get(resource, 0)
    )


def adjust_to_limits(
    ledger: LedgerRow, generation: Generation, limits: Mapping[ResourceId, int]
) -> LedgerRow:
    """Return the ledger with its totals adjusted towards `limits`.

    A raised limit adds free slots. A lowered limit removes free slots at once, and the
    remaining excess as holders return slots. The ledger is left unchanged if it is of
    a newer generation than `limits`, so that an old limit is never restored.
    """
    if generation < ledger.generation:
        return ledger
    total, free = dict(ledger.total_slots), dict(ledger.free_slots)
    for resource in total.keys() | limits.keys():
        excess = total.get(resource, 0) - limits.get(resource, 0)
        change = -min(excess, free.get(resource, 0))
        total[resource] = total.get(resource, 0) + change
        free[resource] = free.get(resource, 0) + change
    return replace(
        ledger,
        generation=generation,
        total_slots=_without_zeros(total),
        free_slots=_without_zeros(free),
    )


def take_free_slots(ledger: LedgerRow, taken: Mapping[ResourceId, int]) -> LedgerRow:
    """Return the ledger less `taken` free slots; negative counts are added."""
    free = dict(ledger.free_slots)
    for resource, slots in taken.items():
        free[resource] = free.get(resource, 0) - slots
    return replace(ledger, free_slots=_without_zeros(free))


def retire_holders(ledger: LedgerRow, holders: Iterable[IncarnationId]) -> LedgerRow:
    """Return the ledger with `holders` marked as retired."""
    return replace(ledger, retired=tuple(sorted({*ledger.retired, *holders})))


def _without_zeros(slots: Mapping[ResourceId, int]) -> dict[ResourceId, int]:
    return {resource: slots[resource] for resource in sorted(slots) if slots[resource]}
