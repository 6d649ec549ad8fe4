"""Plan actions that reconcile the fleet rows with the note and the platform."""

from __future__ import annotations

from itertools import groupby, islice
from typing import TYPE_CHECKING

from currantstage.coordination.fleet._fleet_actions import (
    AbandonDrain,
    BeginMove,
    BeginWithdrawal,
    CompleteDrain,
    DeleteAcks,
    FinishMaintenance,
    MarkServing,
    MarkUnavailable,
    RegisterVms,
    UpdateHome,
)
from currantstage.state import DisruptionKind, RebootStatus, VmState

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Sequence

    from currantstage.coordination.fleet._fleet_actions import Action
    from currantstage.coordination.fleet._fleet_snapshot import FleetSnapshot
    from currantstage.state import Vm, VmRow

#: Maximum number of VMs that one transaction registers.
REGISTER_BATCH_SIZE = 20
#: Time after which an unfinished drain is abandoned, in seconds.
MAX_DRAIN_S = 120.0


def plan_reconciliation(snapshot: FleetSnapshot) -> tuple[Action, ...]:
    """Return at most one action for each VM that differs from its desired state.

    These actions are not scheduled but due at once: they follow changes of the note
    or of the platform, and continue each disruption that has begun.
    """
    actions: list[Action] = list(_register_new(snapshot))
    for row in sorted(snapshot.rows.vms.values(), key=lambda row: row.vm_id):
        action = _next_step(snapshot, row)
        if action is not None:
            actions.append(action)
    actions.extend(_delete_stale_acks(snapshot))
    return tuple(actions)


def is_overdue(snapshot: FleetSnapshot, row: VmRow, bound_s: float) -> bool:
    """Return whether the disruption of `row` has lasted longer than `bound_s`."""
    disruption = row.disruption
    return disruption is not None and snapshot.now_s - disruption.started_at_s > bound_s


def _register_new(snapshot: FleetSnapshot) -> Iterator[RegisterVms]:
    fleet = snapshot.fleet

    def data_centre_of(vm: Vm) -> str:
        return fleet.pools[vm.pool].data_centre

    new = [vm for vm in fleet.vms.values() if vm.vm_id not in snapshot.rows.vms]
    new.sort(key=lambda vm: (data_centre_of(vm), vm.vm_id))
    for _, members in groupby(new, data_centre_of):
        for batch in _batches(members):
            data_centre = fleet.pools[batch[0].pool].data_centre
            yield RegisterVms(data_centre, tuple(vm.vm_id for vm in batch))


def _batches(vms: Iterator[Vm]) -> Iterator[Sequence[Vm]]:
    while batch := list(islice(vms, REGISTER_BATCH_SIZE)):
        yield batch


def _next_step(snapshot: FleetSnapshot, row: VmRow) -> Action | None:
    if _is_withdrawn(snapshot, row) and not _is_being_withdrawn(row):
        return BeginWithdrawal(row.vm_id)
    if row.state is VmState.DRAINING:
        return _next_of_drain(snapshot, row)
    if row.state is VmState.IN_MAINTENANCE:
        return _next_of_maintenance(snapshot, row)
    if row.state is VmState.SERVING and not snapshot.is_live(row.vm_id):
        return MarkUnavailable(row.vm_id)
    if row.state is VmState.UNAVAILABLE and snapshot.is_live(row.vm_id):
        return MarkServing(row.vm_id)
    return _follow_note(snapshot, row)


def _is_withdrawn(snapshot: FleetSnapshot, row: VmRow) -> bool:
    """Return whether the note no longer assigns the VM to its data centre.

    A VM that the note moves to another data centre is removed here and registered
    there as a new one.
    """
    assigned = snapshot.fleet.vms.get(row.vm_id)
    if assigned is None:
        return True
    return snapshot.fleet.pools[assigned.pool].data_centre != row.data_centre


def _is_being_withdrawn(row: VmRow) -> bool:
    disruption = row.disruption
    return disruption is not None and disruption.kind is DisruptionKind.WITHDRAWAL


def _next_of_drain(snapshot: FleetSnapshot, row: VmRow) -> Action | None:
    assert row.disruption is not None
    drain = row.disruption.drain
    if not snapshot.entry_vms_holding(row):
        return CompleteDrain(row.vm_id, drain)
    if _is_being_withdrawn(row):
        return None
    if is_overdue(snapshot, row, MAX_DRAIN_S):
        return AbandonDrain(row.vm_id, drain)
    return None


def _next_of_maintenance(snapshot: FleetSnapshot, row: VmRow) -> Action | None:
    assert row.disruption is not None
    is_rebooted = snapshot.reboots.get(row.vm_id) is RebootStatus.DONE
    if is_rebooted and snapshot.is_live(row.vm_id):
        return FinishMaintenance(row.vm_id, row.disruption.drain)
    return None


def _follow_note(snapshot: FleetSnapshot, row: VmRow) -> Action | None:
    assigned = snapshot.fleet.vms[row.vm_id].pool
    is_pool_withdrawn = row.pool not in snapshot.fleet.pools
    if assigned == row.home and not is_pool_withdrawn:
        return None
    if assigned == row.pool:
        return UpdateHome(row.vm_id)
    is_movable = row.state is VmState.SERVING and row.vm_id not in snapshot.cooling_down
    return BeginMove(row.vm_id, assigned) if is_movable else None


def _delete_stale_acks(snapshot: FleetSnapshot) -> Iterable[DeleteAcks]:
    present = {entry.incarnation for entry in snapshot.entry_vms}
    for incarnation, ack in sorted(snapshot.drain_acks.items()):
        if incarnation not in present:
            yield DeleteAcks(ack.entry_vm, incarnation)
