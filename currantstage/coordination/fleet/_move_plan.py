"""Plan moves of VMs between pools: what a move costs against what waiting costs."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from currantstage.coordination.fleet._budgets import has_room
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
    """What moves cost, and their bounds.

    Parameters
    ----------
    price_slot_s : float
        Waiting that a move must save to be worth it, in slot-seconds, while all moves
        of the hour are left; the price rises as they are used up.
    transfer_s : float
        Time for which a moving VM serves neither pool, in seconds.
    horizon_s : float
        Time over which a lasting difference in demand is counted, in seconds.
    max_moves_per_hour : int
        Bound on the moves of one data centre.
    min_spare_vms : int
        VMs that a spare pool keeps for its own service and for failures.
    """

    price_slot_s: float = 480.0
    transfer_s: float = 6.0
    horizon_s: float = 900.0
    max_moves_per_hour: int = 30
    min_spare_vms: int = 2


def plan_moves(
    snapshot: FleetSnapshot, demand: DemandEstimator, policy: MovePolicy
) -> tuple[Action, ...]:
    """Return the moves that save more waiting than they cost.

    VMs of spare pools are lent inside their data centre, and go on from borrower to
    borrower without a detour. A borrowed VM that nobody else needs stays where it is:
    taking it back would cost a move and save nothing.
    """
    pools_of: dict[DataCentreId, list[Pool]] = {}
    for pool in sorted(snapshot.fleet.pools.values(), key=lambda pool: pool.pool_id):
        pools_of.setdefault(pool.data_centre, []).append(pool)
    free_of: dict[PoolId, list[VmRow]] = {}
    for row in snapshot.serving_vms():
        if snapshot.is_live(row.vm_id):
            free_of.setdefault(row.pool, []).append(row)
    actions: list[Action] = []
    for data_centre, pools in sorted(pools_of.items()):
        if any(pool.is_spare for pool in pools):
            plan = _DataCentrePlan(snapshot, demand, policy, pools, free_of)
            actions.extend(plan.moves(_moves_left(snapshot, data_centre, policy)))
    return tuple(actions)


def _moves_left(
    snapshot: FleetSnapshot, data_centre: DataCentreId, policy: MovePolicy
) -> int:
    oldest_s = snapshot.now_s - MOVE_WINDOW_S
    made = snapshot.rows.placement(data_centre).moves_at_s
    recent = sum(1 for at_s in made if at_s > oldest_s)
    under_way = sum(
        1
        for row in snapshot.rows.vms.values()
        if row.data_centre == data_centre and _is_moving(row)
    )
    return policy.max_moves_per_hour - recent - under_way


def _is_moving(row: VmRow) -> bool:
    disruption = row.disruption
    return disruption is not None and disruption.kind is DisruptionKind.MOVE


class _DataCentrePlan:
    """Chooses the moves of one data centre, one by one."""

    def __init__(
        self,
        snapshot: FleetSnapshot,
        demand: DemandEstimator,
        policy: MovePolicy,
        pools: Sequence[Pool],
        free_of: dict[PoolId, list[VmRow]],
    ) -> None:
        self._snapshot = snapshot
        self._demand = demand
        self._policy = policy
        self._pools = pools
        self._free_of = free_of
        self._size = Counter(
            {pool.pool_id: len(free_of.get(pool.pool_id, ())) for pool in pools}
        )
        for row in snapshot.rows.vms.values():
            if _is_moving(row):
                assert row.disruption is not None
                assert row.disruption.target is not None
                self._size[row.disruption.target] += 1
        #: Pools that give a VM in this plan; their budgets then have one less room.
        self._givers: set[PoolId] = set()

    def moves(self, limit: int) -> Iterable[BeginMove]:
        """Return at most `limit` moves, those that save most first."""
        for left in range(limit, 0, -1):
            # The fewer moves the hour has left, the more each must save: moves that
            # save little then do not keep later ones from being made.
            price = self._policy.price_slot_s * self._policy.max_moves_per_hour / left
            best = max(self._candidates(), key=lambda each: each[0], default=None)
            if best is None or best[0] <= price:
                return
            _, row, target = best
            self._givers.add(row.pool)
            self._size[row.pool] -= 1
            self._size[target] += 1
            yield BeginMove(row.vm_id, target, is_loan=True)

    def _candidates(self) -> Iterable[tuple[float, VmRow, PoolId]]:
        givers = [
            (pool.pool_id, row)
            for pool in self._pools
            if (row := self._vm_to_give(pool)) is not None
        ]
        for target in self._pools:
            for giver, row in givers:
                if giver != target.pool_id:
                    saved = self._saved_slot_s(row, target.pool_id)
                    yield saved, row, target.pool_id

    def _vm_to_give(self, pool: Pool) -> VmRow | None:
        """Return the VM that `pool` gives most easily, if it gives any."""
        pool_id = pool.pool_id
        if pool_id in self._givers:
            return None
        if pool.is_spare and self._size[pool_id] <= self._policy.min_spare_vms:
            return None
        budget = self._snapshot.rows.budget(pool_id)
        candidates = [
            row
            for row in self._free_of.get(pool_id, ())
            if (pool.is_spare or row.is_borrowed)
            and has_room(pool, budget, row.vm_id, row.rack)
        ]
        racks = Counter(row.rack for row in self._free_of.get(pool_id, ()))
        # Giving from the fullest rack keeps the pool spread.
        return min(
            candidates, key=lambda row: (-racks[row.rack], row.vm_id), default=None
        )

    def _saved_slot_s(self, row: VmRow, target: PoolId) -> float:
        """Return the waiting that moving `row` to `target` is expected to save."""
        slots = self._snapshot.fleet.vms[row.vm_id].slots
        gain = self._demand.need(target, self._size[target] + 1)
        loss = self._demand.need(row.pool, self._size[row.pool])
        gain_share = 1.0 if self._lacks_reserve(target) else gain.wanted_share
        # In the long run the giver misses the VM as often as it wants it, whatever the
        # present spell brings the taker.
        saved_s = self._policy.horizon_s * (gain_share - loss.wanted_share)
        if gain.is_wanted and not loss.is_wanted:
            spell_s = _expected_minimum(gain.remaining_s, loss.remaining_s)
            saved_s += max(0.0, spell_s - self._policy.transfer_s)
        return slots * saved_s

    def _lacks_reserve(self, pool_id: PoolId) -> bool:
        """Return whether a spare pool holds too few VMs for its own service."""
        is_spare = self._snapshot.fleet.pools[pool_id].is_spare
        return is_spare and self._size[pool_id] < self._policy.min_spare_vms


def _expected_minimum(first_s: float, second_s: float) -> float:
    """Return the mean time until the first of two memoryless spells ends.

    >>> _expected_minimum(10.0, 10.0)
    5.0
    """
    total_s = first_s + second_s
    return first_s * second_s / total_s if total_s else 0.0
