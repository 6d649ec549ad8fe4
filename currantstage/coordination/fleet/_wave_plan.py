"""Plan maintenance waves within the availability budgets."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from currantstage.coordination.fleet._budgets import allows_disruption, reserve
from currantstage.coordination.fleet._fleet_actions import BeginMaintenance, StartRound
from currantstage.state import VmState

if TYPE_CHECKING:
    from currantstage.coordination.fleet._fleet_actions import Action
    from currantstage.coordination.fleet._fleet_snapshot import FleetSnapshot
    from currantstage.state import BudgetRow, PoolId, VmId, VmRow, Wave


@dataclass(frozen=True, slots=True)
class _Candidate:
    """A VM that the current round of a wave has not maintained yet."""

    row: VmRow
    wave: Wave
    wave_round: int

    @property
    def rounds_behind(self) -> int:
        return self.wave_round - self.row.completed_rounds.get(self.wave.wave_id, 0)


def plan_waves(snapshot: FleetSnapshot) -> tuple[Action, ...]:
    """Return the rounds to start and the VMs to take out of service now.

    Each pool uses up its budget independently. As no pool spans two data centres,
    this also keeps the data centres independent. Within a pool, VMs that missed the
    most rounds come first, then VMs whose rack has the fewest VMs out of service over
    all pools. Unplanned outages count against the budgets, so a wave backs off while
    they last.
    """
    rounds = _rounds_to_start(snapshot)
    if rounds:
        return rounds
    tally = _DisruptionTally(snapshot)
    actions = []
    for candidates in _candidates_by_pool(snapshot):
        while candidates:
            chosen = min(candidates, key=tally.sort_key)
            if tally.try_reserve(chosen.row):
                actions.append(
                    BeginMaintenance(
                        chosen.row.vm_id, chosen.wave.wave_id, chosen.wave_round
                    )
                )
            elif tally.is_exhausted(chosen.row.pool):
                break
            candidates.remove(chosen)
    return tuple(actions)


def unfinished_vms(snapshot: FleetSnapshot, wave: Wave) -> list[VmRow]:
    """Return the VMs of `wave` that its current round has not maintained yet."""
    row = snapshot.rows.waves.get(wave.wave_id)
    current = 1 if row is None else row.round
    return [
        vm
        for vm in sorted(snapshot.rows.vms.values(), key=lambda vm: vm.vm_id)
        if vm.home in wave.pools and vm.completed_rounds.get(wave.wave_id, 0) < current
    ]


def _rounds_to_start(snapshot: FleetSnapshot) -> tuple[StartRound, ...]:
    due = []
    for wave in sorted(snapshot.fleet.waves.values(), key=lambda wave: wave.wave_id):
        row = snapshot.rows.waves.get(wave.wave_id)
        if row is None:
            due.append(StartRound(wave.wave_id, 1))
        elif snapshot.now_s >= row.started_at_s + wave.period_s:
            due.append(StartRound(wave.wave_id, row.round + 1))
    return tuple(due)


def _candidates_by_pool(snapshot: FleetSnapshot) -> list[list[_Candidate]]:
    """Return the serving VMs that are due, by pool, each for one wave only."""
    pools: dict[PoolId, list[_Candidate]] = {}
    seen: set[VmId] = set()
    for wave in sorted(snapshot.fleet.waves.values(), key=lambda wave: wave.wave_id):
        wave_round = snapshot.rows.waves[wave.wave_id].round
        for vm in unfinished_vms(snapshot, wave):
            is_available = (
                vm.state is VmState.SERVING and vm.vm_id not in snapshot.cooling_down
            )
            if is_available and vm.vm_id not in seen and snapshot.is_live(vm.vm_id):
                seen.add(vm.vm_id)
                candidate = _Candidate(vm, wave, wave_round)
                pools.setdefault(vm.pool, []).append(candidate)
    return [pools[pool] for pool in sorted(pools)]


class _DisruptionTally:
    """Counts VMs out of service, including those chosen by this plan."""

    def __init__(self, snapshot: FleetSnapshot) -> None:
        self._snapshot = snapshot
        self._budgets: dict[PoolId, BudgetRow] = dict(snapshot.rows.budgets)
        self._by_rack = Counter(
            vm.rack
            for vm in snapshot.rows.vms.values()
            if vm.state is not VmState.SERVING
        )

    def sort_key(self, candidate: _Candidate) -> tuple[int, int, VmId]:
        """Return the sort key of `candidate`; the lowest comes first."""
        row = candidate.row
        return (-candidate.rounds_behind, self._by_rack[row.rack], row.vm_id)

    def try_reserve(self, row: VmRow) -> bool:
        """Reserve budget for `row`; return False if its pool has none left."""
        budget = self._budget(row.pool)
        pool = self._snapshot.fleet.pools.get(row.pool)
        if not allows_disruption(pool, budget, row.vm_id, row.rack):
            return False
        self._budgets[row.pool] = reserve(budget, row.vm_id, row.rack)
        self._by_rack[row.rack] += 1
        return True

    def is_exhausted(self, pool_id: PoolId) -> bool:
        """Return whether the pool's budget allows no further VM out of service."""
        pool = self._snapshot.fleet.pools.get(pool_id)
        unavailable = self._budget(pool_id).unavailable
        return pool is not None and len(unavailable) >= pool.max_unavailable

    def _budget(self, pool: PoolId) -> BudgetRow:
        return self._budgets.get(pool) or self._snapshot.rows.budget(pool)
