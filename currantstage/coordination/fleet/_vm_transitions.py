"""State transitions of a VM, with the matching changes of its pool's budget."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, TypeAlias

from msgspec.structs import replace
from returns.result import Failure, Result, Success

from currantstage.coordination.fleet._budgets import (
    add_outage,
    allows_disruption,
    release,
    reserve,
)
from currantstage.coordination.fleet._fleet_actions import (
    AbandonDrain,
    BeginMaintenance,
    BeginMove,
    BeginWithdrawal,
    CompleteDrain,
    FinishMaintenance,
    MarkServing,
    MarkUnavailable,
    UpdateHome,
)
from currantstage.coordination.fleet._placement_rows import (
    clear_vm,
    next_drain,
    place_vm,
)
from currantstage.state import Disruption, DisruptionKind, VmState

if TYPE_CHECKING:
    from currantstage.coordination.fleet._fleet_actions import VmAction
    from currantstage.coordination.fleet._fleet_snapshot import FleetSnapshot
    from currantstage.state import BudgetRow, DrainNumber, PlacementRow, PoolId, VmRow

#: Length of the sliding window in which moves are limited, in seconds.
MOVE_WINDOW_S = 3600.0


class TransitionRefusal(Enum):
    """Reason why a planned transition is rejected."""

    #: The VM is no longer in the state that the plan assumed.
    STATE_CHANGED = "state-changed"
    BUDGET_EXHAUSTED = "budget-spent"
    NOT_LIVE = "not-live"


@dataclass(frozen=True, slots=True)
class VmRecords:
    """The rows that are written together when a VM changes its state.

    Parameters
    ----------
    vm : VmRow or None
        None once the VM is removed.
    budget : BudgetRow
        Budget of the pool that the VM was in.
    placement : PlacementRow
        Placement of the VM's data centre.
    """

    vm: VmRow | None
    budget: BudgetRow
    placement: PlacementRow


TransitionResult: TypeAlias = Result[VmRecords, TransitionRefusal]
_STATE_CHANGED: TransitionResult = Failure(TransitionRefusal.STATE_CHANGED)
_NOT_LIVE: TransitionResult = Failure(TransitionRefusal.NOT_LIVE)


def make_transition(
    records: VmRecords, snapshot: FleetSnapshot, action: VmAction
) -> TransitionResult:
    """Return the records after `action`, or the reason why it is rejected.

    Parameters
    ----------
    records : VmRecords
        Rows read just now; `action` may have been planned from older ones.
    snapshot : FleetSnapshot
    action : VmAction
    """
    vm = records.vm
    if vm is None:
        return _STATE_CHANGED
    match action:
        case UpdateHome():
            return _update_home(records, vm, snapshot)
        case MarkUnavailable():
            return _mark_unavailable(records, vm)
        case MarkServing():
            return _mark_serving(records, vm, snapshot)
        case BeginMove() | BeginMaintenance():
            return _begin_disruption(records, vm, snapshot, action)
        case BeginWithdrawal():
            return _begin_withdrawal(records, vm, snapshot)
        case AbandonDrain() | CompleteDrain():
            return _end_drain(records, vm, snapshot, action)
        case FinishMaintenance(drain=drain):
            return _finish_maintenance(records, vm, snapshot, drain)


def _update_home(
    records: VmRecords, vm: VmRow, snapshot: FleetSnapshot
) -> TransitionResult:
    assigned = snapshot.fleet.vms.get(vm.vm_id)
    if assigned is None:
        return _STATE_CHANGED
    return Success(
        _updated_records(records, replace(vm, home=assigned.pool), records.budget)
    )


def _mark_unavailable(records: VmRecords, vm: VmRow) -> TransitionResult:
    if vm.state is not VmState.SERVING:
        return _STATE_CHANGED
    budget = add_outage(records.budget, vm.vm_id, vm.rack)
    return Success(
        _updated_records(records, replace(vm, state=VmState.UNAVAILABLE), budget)
    )


def _mark_serving(
    records: VmRecords, vm: VmRow, snapshot: FleetSnapshot
) -> TransitionResult:
    if vm.state is not VmState.UNAVAILABLE:
        return _STATE_CHANGED
    if not snapshot.is_live(vm.vm_id):
        return _NOT_LIVE
    return Success(_return_to_service(records, vm, snapshot))


def _begin_disruption(
    records: VmRecords,
    vm: VmRow,
    snapshot: FleetSnapshot,
    action: BeginMove | BeginMaintenance,
) -> TransitionResult:
    if vm.state is not VmState.SERVING:
        return _STATE_CHANGED
    if not snapshot.is_live(vm.vm_id):
        return _NOT_LIVE
    pool = snapshot.fleet.pools.get(vm.pool)
    if not allows_disruption(pool, records.budget, vm.vm_id, vm.rack):
        return Failure(TransitionRefusal.BUDGET_EXHAUSTED)
    drain = next_drain(records.placement)
    if isinstance(action, BeginMove):
        disruption = Disruption(
            kind=DisruptionKind.MOVE,
            drain=drain,
            started_at_s=snapshot.now_s,
            target=action.target,
            is_loan=action.is_loan,
        )
    else:
        disruption = Disruption(
            kind=DisruptionKind.MAINTENANCE,
            drain=drain,
            started_at_s=snapshot.now_s,
            wave=action.wave,
            wave_round=action.wave_round,
        )
    draining = replace(vm, state=VmState.DRAINING, disruption=disruption)
    budget = reserve(records.budget, vm.vm_id, vm.rack)
    return Success(_updated_records(records, draining, budget))


def _begin_withdrawal(
    records: VmRecords, vm: VmRow, snapshot: FleetSnapshot
) -> TransitionResult:
    # A withdrawn VM no longer counts towards its pool's capacity, so it neither
    # needs nor holds budget, even if another disruption had reserved some.
    disruption = Disruption(
        kind=DisruptionKind.WITHDRAWAL,
        drain=next_drain(records.placement),
        started_at_s=snapshot.now_s,
    )
    draining = replace(vm, state=VmState.DRAINING, disruption=disruption)
    return Success(
        _updated_records(records, draining, release(records.budget, vm.vm_id))
    )


def _end_drain(
    records: VmRecords,
    vm: VmRow,
    snapshot: FleetSnapshot,
    action: AbandonDrain | CompleteDrain,
) -> TransitionResult:
    disruption = vm.disruption
    is_expected = disruption is not None and disruption.drain == action.drain
    if vm.state is not VmState.DRAINING or not is_expected:
        return _STATE_CHANGED
    if isinstance(action, AbandonDrain):
        return Success(_return_to_service(records, vm, snapshot))
    return _complete_drain(records, vm, snapshot)


def _complete_drain(
    records: VmRecords, vm: VmRow, snapshot: FleetSnapshot
) -> TransitionResult:
    assert vm.disruption is not None
    match vm.disruption.kind:
        case DisruptionKind.MAINTENANCE:
            maintained = replace(vm, state=VmState.IN_MAINTENANCE)
            return Success(_updated_records(records, maintained, records.budget))
        case DisruptionKind.WITHDRAWAL:
            budget = release(records.budget, vm.vm_id)
            return Success(VmRecords(None, budget, clear_vm(records.placement, vm)))
        case DisruptionKind.MOVE:
            assert vm.disruption.target is not None
            return Success(_complete_move(records, vm, vm.disruption.target, snapshot))


def _complete_move(
    records: VmRecords, vm: VmRow, target: PoolId, snapshot: FleetSnapshot
) -> VmRecords:
    """Assign a drained VM to `target`.

    The VM stays in its pool if it is not live or `target` no longer exists.
    """
    if target not in snapshot.fleet.pools or not snapshot.is_live(vm.vm_id):
        return _return_to_service(records, vm, snapshot)
    assert vm.disruption is not None
    # A later note may have assigned another pool by now. As that differs from the
    # home recorded here, reconciliation then plans the next move.
    moved = replace(
        vm,
        pool=target,
        home=vm.home if vm.disruption.is_loan else target,
        state=VmState.SERVING,
        disruption=None,
    )
    after = _updated_records(records, moved, release(records.budget, vm.vm_id))
    oldest_s = snapshot.now_s - MOVE_WINDOW_S
    recent = tuple(at_s for at_s in after.placement.moves_at_s if at_s > oldest_s)
    placement = replace(after.placement, moves_at_s=(*recent, snapshot.now_s))
    return VmRecords(moved, after.budget, placement)


def _return_to_service(
    records: VmRecords, vm: VmRow, snapshot: FleetSnapshot
) -> VmRecords:
    """Mark the VM as serving in its current pool, or as unavailable if not live."""
    budget = release(records.budget, vm.vm_id)
    if snapshot.is_live(vm.vm_id):
        serving = replace(vm, state=VmState.SERVING, disruption=None)
        return _updated_records(records, serving, budget)
    unavailable = replace(vm, state=VmState.UNAVAILABLE, disruption=None)
    return _updated_records(records, unavailable, add_outage(budget, vm.vm_id, vm.rack))


def _finish_maintenance(
    records: VmRecords, vm: VmRow, snapshot: FleetSnapshot, drain: DrainNumber
) -> TransitionResult:
    disruption = vm.disruption
    is_expected = disruption is not None and disruption.drain == drain
    if vm.state is not VmState.IN_MAINTENANCE or not is_expected:
        return _STATE_CHANGED
    if not snapshot.is_live(vm.vm_id):
        return _NOT_LIVE
    assert disruption is not None
    assert disruption.wave is not None
    rounds = {**vm.completed_rounds, disruption.wave: disruption.wave_round}
    return Success(
        _return_to_service(records, replace(vm, completed_rounds=rounds), snapshot)
    )


def _updated_records(records: VmRecords, vm: VmRow, budget: BudgetRow) -> VmRecords:
    return VmRecords(vm, budget, place_vm(records.placement, vm))
