"""Update the placement of a data centre to match the rows of its VMs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec.structs import replace

from currantstage.state import DrainNumber, VmState

if TYPE_CHECKING:
    from currantstage.state import PlacementRow, VmRow


def place_vm(placement: PlacementRow, vm: VmRow) -> PlacementRow:
    """Return `placement` updated from the row `vm`, with the next number."""
    cleared = clear_vm(placement, vm)
    if vm.state is VmState.SERVING:
        members = (*cleared.serving.get(vm.pool, ()), vm.vm_id)
        serving = {**cleared.serving, vm.pool: tuple(sorted(members))}
        return replace(cleared, serving=serving)
    if vm.state is VmState.DRAINING:
        assert vm.disruption is not None
        drains = {**cleared.draining, vm.vm_id: vm.disruption.drain}
        return replace(cleared, draining=drains)
    return cleared


def clear_vm(placement: PlacementRow, vm: VmRow) -> PlacementRow:
    """Return `placement` without `vm`, with the next number."""
    members = {
        pool: tuple(each for each in vms if each != vm.vm_id)
        for pool, vms in placement.serving.items()
    }
    return replace(
        placement,
        number=next_drain(placement),
        serving={pool: vms for pool, vms in members.items() if vms},
        draining={
            each: drain
            for each, drain in placement.draining.items()
            if each != vm.vm_id
        },
    )


def next_drain(placement: PlacementRow) -> DrainNumber:
    """Return the number of the next change of `placement`."""
    return DrainNumber(placement.number + 1)
