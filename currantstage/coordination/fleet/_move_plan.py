"""Plan moves of VMs between pools by weighing move costs against waiting time."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from currantstage.coordination.fleet._budgets import allows_disruption
from currantstage.coordination.fleet._fleet_actions import BeginMove
from currantstage.coordination.fleet._vm_transitions import MOVE_WINDOW_S
from currantstage.state import DisruptionKind

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from currantstage.coordination.fleet._demand import DemandEstimator
    from currantstage.coordination.fleet._fleet_actions import Action
    from currantstage.coordination.fleet._fleet_snapshot import FleetSnapshot
    from currantstage.state import DataCentreId, Pool, PoolId, VmRow


@dataclass(frozen=True, slots=True)
class MovePolicy:
    """Costs and limits of moves.

    Parameters
    ----------
    min_saving_slot_s : float
        Waiting time that a move must save, in slot-seconds, while none of the hour's
        moves has been made; the threshold rises as they are used up.
    transfer_s : float
        Time for which a moving VM serves no pool, in seconds.
    horizon_s : float
        Time over which a long-run difference in demand is valued, in seconds.
    max_moves_per_hour : int
        Maximum number of moves in one data centre.
    min_spare_vms : int
        VMs that a spare pool keeps for its own queues and for failures.
    """

    min_saving_slot_s: float = 480.0
    transfer_s: float = 6.0
    horizon_s: float = 900.0
    max_moves_per_hour: int = 30
    min_spare_vms: int = 2


def plan_moves(
    snapshot: FleetSnapshot, demand: DemandEstimator, policy: MovePolicy
) -> tuple[Action, ...]:
    """Return the moves that save more waiting time than they cost.

    VMs of spare pools are lent within their data centre, and move from one borrower
    directly to the next. A borrowed VM that no other pool needs stays in place:
    returning it would cost a move and save nothing.
    """
    pools_by_data_centre: dict[DataCentreId, list[Pool]] = {}
    for pool in sorted(snapshot.fleet.pools.values(), key=lambda pool: pool.pool_id):
        pools_by_data_centre.setdefault(pool.data_centre, []).append(pool)
    available_by_pool: dict[PoolId, list[VmRow]] = {}
    for row in snapshot.serving_vms():
        if snapshot.is_live(row.vm_id):
            available_by_pool.setdefault(row.pool, []).append(row)
    actions: list[Action] = []
    for data_centre, pools in sorted(pools_by_data_centre.items()):
        if any(pool.is_spare for pool in pools):
            selector = _MoveSelector(snapshot, demand, policy, pools, available_by_pool)
            actions.extend(
                selector.moves(_remaining_moves(snapshot, data_centre, policy))
            )
    return tuple(actions)


def _remaining_moves(
    snapshot: FleetSnapshot, data_centre: DataCentreId, policy: MovePolicy
) -> int:
    oldest_s = snapshot.now_s - MOVE_WINDOW_S
    moves_at_s = snapshot.rows.placement(data_centre).moves_at_s
    recent = sum(1 for at_s in moves_at_s if at_s > oldest_s)
    in_progress = sum(
        1
        for row in snapshot.rows.vms.values()
        if row.data_centre == data_centre and _is_moving(row)
    )
    return policy.max_moves_per_hour - recent - in_progress


def _is_moving(row: VmRow) -> bool:
    disruption = row.disruption
    return disruption is not None and disruption.kind is DisruptionKind.MOVE


class _MoveSelector:
    """Greedily selects the moves of one data centre."""

    def __init__(
        self,
        snapshot: FleetSnapshot,
        demand: DemandEstimator,
        policy: MovePolicy,
        pools: Sequence[Pool],
        available_by_pool: dict[PoolId, list[VmRow]],
    ) -> None:
        self._snapshot = snapshot
        self._demand = demand
        self._policy = policy
        self._pools = pools
        self._available_by_pool = available_by_pool
        self._size = Counter(
            {
                pool.pool_id: len(available_by_pool.get(pool.pool_id, ()))
                for pool in pools
            }
        )
        for row in snapshot.rows.vms.values():
            if _is_moving(row):
                assert row.disruption is not None
                assert row.disruption.target is not None
                self._size[row.disruption.target] += 1
        #: Pools that already lose a VM in this plan, which uses one of their budget.
        self._donors: set[PoolId] = set()

    def moves(self, limit: int) -> Iterable[BeginMove]:
        """Return at most `limit` moves, ordered by descending saving."""
        for left in range(limit, 0, -1):
            # The fewer moves are left in the hour, the more each must save, so that
            # moves that save little do not block more useful later ones.
            min_saving = (
                self._policy.min_saving_slot_s * self._policy.max_moves_per_hour / left
            )
            best = max(self._candidates(), key=lambda each: each[0], default=None)
            if best is None or best[0] <= min_saving:
                return
            _, row, target = best
            self._donors.add(row.pool)
            self._size[row.pool] -= 1
            self._size[target] += 1
            yield BeginMove(row.vm_id, target, is_loan=True)

    def _candidates(self) -> Iterable[tuple[float, VmRow, PoolId]]:
        donors = [
            (pool.pool_id, row)
            for pool in self._pools
            if (row := self._lendable_vm(pool)) is not None
        ]
        for target in self._pools:
            for donor, row in donors:
                if donor != target.pool_id:
                    saved = self._saved_slot_s(row, target.pool_id)
                    yield saved, row, target.pool_id

    def _lendable_vm(self, pool: Pool) -> VmRow | None:
        """Return the VM that `pool` should lend next; None if it may lend none."""
        pool_id = pool.pool_id
        if pool_id in self._donors:
            return None
        if pool.is_spare and self._size[pool_id] <= self._policy.min_spare_vms:
            return None
        budget = self._snapshot.rows.budget(pool_id)
        candidates = [
            row
            for row in self._available_by_pool.get(pool_id, ())
            if (pool.is_spare or row.is_borrowed)
            and allows_disruption(pool, budget, row.vm_id, row.rack)
        ]
        racks = Counter(row.rack for row in self._available_by_pool.get(pool_id, ()))
        # Taking from the rack with the most VMs keeps the pool spread over racks.
        return min(
            candidates, key=lambda row: (-racks[row.rack], row.vm_id), default=None
        )

    def _saved_slot_s(self, row: VmRow, target: PoolId) -> float:
        """Return the expected waiting time saved by moving `row` to `target`."""
        slots = self._snapshot.fleet.vms[row.vm_id].slots
        gain = self._demand.vm_demand(target, self._size[target] + 1)
        loss = self._demand.vm_demand(row.pool, self._size[row.pool])
        gain_fraction = 1.0 if self._lacks_reserve(target) else gain.wanted_fraction
        # In the long run the donor lacks the VM for the fraction of time in which it
        # needs it, regardless of what the target gains in the present period.
        saved_s = self._policy.horizon_s * (gain_fraction - loss.wanted_fraction)
        if gain.is_wanted and not loss.is_wanted:
            busy_s = _expected_minimum(gain.remaining_s, loss.remaining_s)
            saved_s += max(0.0, busy_s - self._policy.transfer_s)
        return slots * saved_s

    def _lacks_reserve(self, pool_id: PoolId) -> bool:
        """Return whether a spare pool holds fewer VMs than its reserve."""
        is_spare = self._snapshot.fleet.pools[pool_id].is_spare
        return is_spare and self._size[pool_id] < self._policy.min_spare_vms


def _expected_minimum(first_s: float, second_s: float) -> float:
    """Return the mean time until the first of two memoryless periods ends.

    >>> _expected_minimum(10.0, 10.0)
    5.0
    """
    total_s = first_s + second_s
    return first_s * second_s / total_s if total_s else 0.0
