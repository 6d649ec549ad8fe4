"""Apply planned actions to the fleet, each in one fenced transaction."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Success

from currantstage.coordination.fleet._budgets import add_outage
from currantstage.coordination.fleet._fleet_actions import (
    DeleteAcks,
    RegisterVms,
    StartRound,
)
from currantstage.coordination.fleet._placement_rows import place_vm
from currantstage.coordination.fleet._vm_transitions import VmRecords, make_transition
from currantstage.coordination.store._row_batch import RowBatch
from currantstage.state import (
    HEAD_KEY,
    BudgetRow,
    DrainAckRow,
    PlacementRow,
    RowCheck,
    VmRow,
    VmState,
    WaveRow,
    budget_key,
    drain_ack_key,
    placement_key,
    vm_key,
    wave_key,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from currantstage.coordination.fleet._fleet_actions import Action, VmAction
    from currantstage.coordination.fleet._fleet_snapshot import FleetSnapshot
    from currantstage.coordination.store._procedures import Procedure
    from currantstage.coordination.store._row_batch import Fence
    from currantstage.coordination.store._store_access import StoreAccess
    from currantstage.state import VmId


class FleetWriter:
    """Writes the rows of the fleet for the holder of the fleet duty.

    Each transaction is conditional on the versions of the rows that it was computed
    from, on the fence and on the head. The head is included so that a budget lowered
    by a new note is not exceeded.

    Parameters
    ----------
    store : StoreAccess
    fence : Fence
    snapshot : FleetSnapshot
        Its rows are updated after each committed write.
    """

    def __init__(
        self, store: StoreAccess, fence: Fence, snapshot: FleetSnapshot
    ) -> None:
        self._store = store
        self._fence = fence
        self._snapshot = snapshot
        self._rows = snapshot.rows

    def apply(self, action: Action) -> Procedure[bool]:
        """Apply `action`, and return whether it took effect.

        After `StoreUnreachableError` or `WriteUncertainError` the rows must be reloaded
        before further planning.
        """
        if isinstance(action, RegisterVms):
            return (yield from self._register(action))
        if isinstance(action, StartRound):
            return (yield from self._start_round(action))
        if isinstance(action, DeleteAcks):
            return (yield from self._delete_acks(action))
        return (yield from self._change_vm(action))

    def _change_vm(self, action: VmAction) -> Procedure[bool]:
        batch = RowBatch(self._store)
        vm = yield from batch.read(vm_key(action.vm), VmRow)
        if vm is None:
            return False
        budget = yield from batch.read(budget_key(vm.pool), BudgetRow)
        placement = yield from batch.read(placement_key(vm.data_centre), PlacementRow)
        before = VmRecords(
            vm=vm,
            budget=budget or BudgetRow(pool=vm.pool),
            placement=placement or PlacementRow(data_centre=vm.data_centre),
        )
        result = make_transition(before, self._snapshot, action)
        if not isinstance(result, Success):
            return False
        after = result.unwrap()
        # The placement is written first: it is never deleted, so reading it back
        # after a lost answer shows whether the transaction took effect.
        batch.put(placement_key(vm.data_centre), after.placement)
        batch.put(vm_key(vm.vm_id), after.vm)
        if after.budget != before.budget:
            batch.put(budget_key(vm.pool), after.budget)
        if not (yield from self._commit(batch)):
            return False
        self._update_snapshot(vm.vm_id, after)
        return True

    def _register(self, action: RegisterVms) -> Procedure[bool]:
        batch = RowBatch(self._store)
        key = placement_key(action.data_centre)
        placement = yield from batch.read(key, PlacementRow)
        placement = placement or PlacementRow(data_centre=action.data_centre)
        rows = [self._initial_row(vm) for vm in action.vms]
        for row in rows:
            placement = place_vm(placement, row)
        batch.put(key, placement)
        for row in rows:
            batch.put(vm_key(row.vm_id), row)
        budgets = yield from self._record_outages(batch, rows)
        if not (yield from self._commit(batch)):
            return False
        self._rows.vms.update({row.vm_id: row for row in rows})
        self._rows.budgets.update({budget.pool: budget for budget in budgets})
        self._rows.placements[action.data_centre] = placement
        return True

    def _initial_row(self, vm_id: VmId) -> VmRow:
        fleet = self._snapshot.fleet
        vm = fleet.vms[vm_id]
        is_live = self._snapshot.is_live(vm_id)
        return VmRow(
            vm_id=vm_id,
            pool=vm.pool,
            home=vm.pool,
            data_centre=fleet.pools[vm.pool].data_centre,
            rack=vm.rack,
            state=VmState.SERVING if is_live else VmState.UNAVAILABLE,
        )

    def _record_outages(
        self, batch: RowBatch, rows: Sequence[VmRow]
    ) -> Procedure[list[BudgetRow]]:
        """Record new VMs that are not live as outages in the budgets of their pools."""
        unavailable = [row for row in rows if row.state is VmState.UNAVAILABLE]
        budgets = []
        for pool in sorted({row.pool for row in unavailable}):
            budget = yield from batch.read(budget_key(pool), BudgetRow)
            budget = budget or BudgetRow(pool=pool)
            for row in unavailable:
                if row.pool == pool:
                    budget = add_outage(budget, row.vm_id, row.rack)
            batch.put(budget_key(pool), budget)
            budgets.append(budget)
        return budgets

    def _start_round(self, action: StartRound) -> Procedure[bool]:
        batch = RowBatch(self._store)
        current = yield from batch.read(wave_key(action.wave), WaveRow)
        if current is not None and current.round >= action.wave_round:
            return False
        row = WaveRow(
            wave=action.wave,
            round=action.wave_round,
            started_at_s=self._snapshot.now_s,
        )
        batch.put(wave_key(action.wave), row)
        if not (yield from self._commit(batch)):
            return False
        self._rows.waves[action.wave] = row
        return True

    def _delete_acks(self, action: DeleteAcks) -> Procedure[bool]:
        batch = RowBatch(self._store)
        key = drain_ack_key(action.entry_vm, action.incarnation)
        if (yield from batch.read(key, DrainAckRow)) is None:
            return False
        batch.put(key, None)
        return (yield from batch.commit(self._fence))

    def _commit(self, batch: RowBatch) -> Procedure[bool]:
        head = RowCheck(key=HEAD_KEY, expected_version=self._snapshot.head_version)
        return (yield from batch.commit(self._fence, head))

    def _update_snapshot(self, vm: VmId, after: VmRecords) -> None:
        if after.vm is None:
            self._rows.vms.pop(vm, None)
        else:
            self._rows.vms[vm] = after.vm
        self._rows.budgets[after.budget.pool] = after.budget
        self._rows.placements[after.placement.data_centre] = after.placement
