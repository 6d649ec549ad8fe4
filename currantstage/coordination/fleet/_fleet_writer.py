"""Carry out planned actions on the fleet: one fenced transaction each."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Success

from currantstage.coordination.fleet._budgets import add_outage
from currantstage.coordination.fleet._fleet_actions import (
    ForgetAcks,
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

    Each transaction states the versions of the rows that it was worked out from, the
    fence, and the head: a budget that a new note has lowered is not overdrawn.

    Parameters
    ----------
    store : StoreAccess
    fence : Fence
    snapshot : FleetSnapshot
        Its rows are kept up to date with what is written.
    """

    def __init__(
        self, store: StoreAccess, fence: Fence, snapshot: FleetSnapshot
    ) -> None:
        self._store = store
        self._fence = fence
        self._snapshot = snapshot
        self._rows = snapshot.rows

    def apply(self, action: Action) -> Procedure[bool]:
        """Do `action`, and return whether it took effect.

        After `StoreUnreachableError` or `WriteUncertainError` the rows must be read
        anew before anything else is planned on them.
        """
        if isinstance(action, RegisterVms):
            return (yield from self._register(action))
        if isinstance(action, StartRound):
            return (yield from self._start_round(action))
        if isinstance(action, ForgetAcks):
            return (yield from self._forget_acks(action))
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
        # The placement comes first: it is never deleted, so that reading it back
        # after a lost answer tells whether the transaction took effect.
        batch.put(placement_key(vm.data_centre), after.placement)
        batch.put(vm_key(vm.vm_id), after.vm)
        if after.budget != before.budget:
            batch.put(budget_key(vm.pool), after.budget)
        if not (yield from self._commit(batch)):
            return False
        self._keep(vm.vm_id, after)
        return True

    def _register(self, action: RegisterVms) -> Procedure[bool]:
        batch = RowBatch(self._store)
        place_at = placement_key(action.data_centre)
        placement = yield from batch.read(place_at, PlacementRow)
        placement = placement or PlacementRow(data_centre=action.data_centre)
        rows = [self._first_row(vm) for vm in action.vms]
        for row in rows:
            placement = place_vm(placement, row)
        batch.put(place_at, placement)
        for row in rows:
            batch.put(vm_key(row.vm_id), row)
        budgets = yield from self._count_outages(batch, rows)
        if not (yield from self._commit(batch)):
            return False
        self._rows.vms.update({row.vm_id: row for row in rows})
        self._rows.budgets.update({budget.pool: budget for budget in budgets})
        self._rows.placements[action.data_centre] = placement
        return True

    def _first_row(self, vm_id: VmId) -> VmRow:
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

    def _count_outages(
        self, batch: RowBatch, rows: Sequence[VmRow]
    ) -> Procedure[list[BudgetRow]]:
        """Write the new VMs that are not live into the budgets of their pools."""
        gone = [row for row in rows if row.state is VmState.UNAVAILABLE]
        budgets = []
        for pool in sorted({row.pool for row in gone}):
            budget = yield from batch.read(budget_key(pool), BudgetRow)
            budget = budget or BudgetRow(pool=pool)
            for row in gone:
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

    def _forget_acks(self, action: ForgetAcks) -> Procedure[bool]:
        batch = RowBatch(self._store)
        key = drain_ack_key(action.entry_vm, action.incarnation)
        if (yield from batch.read(key, DrainAckRow)) is None:
            return False
        batch.put(key, None)
        return (yield from batch.commit(self._fence))

    def _commit(self, batch: RowBatch) -> Procedure[bool]:
        head = RowCheck(key=HEAD_KEY, expected_version=self._snapshot.head_version)
        return (yield from batch.commit(self._fence, head))

    def _keep(self, vm: VmId, after: VmRecords) -> None:
        if after.vm is None:
            self._rows.vms.pop(vm, None)
        else:
            self._rows.vms[vm] = after.vm
        self._rows.budgets[after.budget.pool] = after.budget
        self._rows.placements[after.placement.data_centre] = after.placement
