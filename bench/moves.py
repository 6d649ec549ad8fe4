"""Idle spare capacity, moves and waiting time under alternating load, by planner."""

from __future__ import annotations

import random
from collections import Counter
from typing import TYPE_CHECKING, TypeAlias

import click

from bench.memory_fleet import MemoryFleet, make_fleet
from currantstage.coordination.fleet import (
    BeginMove,
    DemandEstimator,
    MovePolicy,
    max_vms_per_pool,
    plan_moves,
    plan_reconciliation,
)
from currantstage.state import DataCentreId, PoolId, VmState

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from currantstage.coordination.fleet import Action, FleetSnapshot

    Planner: TypeAlias = Callable[[FleetSnapshot, "_Demand"], Sequence[Action]]

_STEP_S = 0.5
_PLAN_EVERY_STEPS = 4
_WARM_UP_S = 1800.0
_SLOTS = 8
_MEAN_SLOTS = 12.0
_HIGH, _LOW = 5.0, 0.05
#: Pause between two bursts, as a fraction of a burst. With this value, the mean load of
#: each pool is `_MEAN_SLOTS`.
_GAP = 0.3
_JOB_S = 0.5
_DRAIN_S = 4.0
_MAX_UNAVAILABLE = 2


class _Demand:
    """Work that arrives at one pool after another, and waits while the pool is full."""

    def __init__(self, pools: Sequence[PoolId], burst_s: float, seed: int) -> None:
        self.pools = pools
        self.backlog_slot_s = dict.fromkeys(pools, 0.0)
        self.rate_slots = dict.fromkeys(pools, 0.0)
        self.estimator = DemandEstimator()
        self._burst_s = burst_s
        self._random = random.Random(seed)
        self._phase = 0
        self._phase_end_s = 0.0

    def advance(self, now_s: float, vms: Counter[PoolId]) -> None:
        """Advance the arrival and completion of work by one step."""
        if now_s >= self._phase_end_s:
            self._phase += 1
            factor = self._random.uniform(0.5, 1.5)
            is_gap = self._phase % 2 == 0
            self._phase_end_s = now_s + self._burst_s * factor * (
                _GAP if is_gap else 1.0
            )
        busy = (self._phase // 2) % len(self.pools) if self._phase % 2 else None
        for index, pool in enumerate(self.pools):
            factor = _HIGH if index == busy else _LOW
            self.rate_slots[pool] = _MEAN_SLOTS * factor
            lacking = self.rate_slots[pool] - _SLOTS * vms[pool]
            backlog = self.backlog_slot_s[pool] + lacking * _STEP_S
            self.backlog_slot_s[pool] = max(0.0, backlog)

    def wanted_vms(self, pool: PoolId) -> float:
        """Return the number of VMs that the running and waiting requests need."""
        waiting = self.backlog_slot_s.get(pool, 0.0) / _JOB_S
        return (self.rate_slots.get(pool, 0.0) + waiting) / _SLOTS


def _plan_nothing(_: FleetSnapshot, __: _Demand) -> Sequence[Action]:
    return ()


def _plan_priced(snapshot: FleetSnapshot, demand: _Demand) -> Sequence[Action]:
    return plan_moves(snapshot, demand.estimator, MovePolicy())


def _plan_greedy(snapshot: FleetSnapshot, demand: _Demand) -> Sequence[Action]:
    """Lend an idle spare VM to a pool that lacks one, otherwise move it back."""
    serving = list(snapshot.serving_vms())
    size = Counter(row.pool for row in serving)
    lacking = [pool for pool in demand.pools if demand.wanted_vms(pool) > size[pool]]
    actions = []
    for row in serving:
        is_idle = demand.wanted_vms(row.pool) <= size[row.pool] - 1
        if row.home in demand.pools or not is_idle:
            continue
        if lacking:
            actions.append(BeginMove(row.vm_id, lacking[0], is_loan=True))
        elif row.is_borrowed:
            actions.append(BeginMove(row.vm_id, row.home, is_loan=True))
    return actions


class _Run:
    """Simulation of one planner under one demand."""

    def __init__(self, burst_s: float, hours: float, seed: int) -> None:
        self.memory = MemoryFleet(make_fleet(1, 5, 6, _MAX_UNAVAILABLE))
        pools = sorted(self.memory.fleet.pools)
        self.spare = pools[-1]
        self.demand = _Demand(pools[:-1], burst_s, seed)
        self.end_s = _WARM_UP_S + hours * 3600.0
        self.moves = 0
        self.waiting_slot_s = self.work_slot_s = self.idle_vm_s = 0.0

    def lend_evenly(self) -> None:
        """Lend each pool one spare VM permanently."""
        lent = [row for row in self.memory.rows.vms.values() if row.pool == self.spare]
        for row, pool in zip(lent, self.demand.pools, strict=False):
            action = BeginMove(row.vm_id, pool, is_loan=True)
            self.memory.apply(self.memory.snapshot(0.0), action)
            self._reconcile(4.0)

    def run(self, plan: Planner) -> None:
        """Run the simulation and collect the measurements."""
        now_s = 10.0
        step = 0
        while now_s < self.end_s:
            now_s += _STEP_S
            step += 1
            vms = self._serving()
            self.demand.advance(now_s, vms)
            if now_s > _WARM_UP_S:
                self._measure(vms)
            if step % _PLAN_EVERY_STEPS == 0:
                self._plan(plan, now_s)

    def _plan(self, plan: Planner, now_s: float) -> None:
        wanted = {
            pool: self.demand.wanted_vms(pool) for pool in self.memory.fleet.pools
        }
        max_vms = max_vms_per_pool(self.memory.fleet)
        self.demand.estimator.observe(now_s, wanted, max_vms)
        self._reconcile(now_s)
        snapshot = self.memory.snapshot(now_s)
        for action in plan(snapshot, self.demand):
            is_started = self.memory.apply(snapshot, action)
            self.moves += is_started and now_s > _WARM_UP_S

    def _reconcile(self, now_s: float) -> None:
        self.memory.acknowledge(
            row.vm_id
            for row in self.memory.rows.vms.values()
            if row.disruption is not None
            and now_s - row.disruption.started_at_s >= _DRAIN_S
        )
        snapshot = self.memory.snapshot(now_s)
        for action in plan_reconciliation(snapshot):
            self.memory.apply(snapshot, action)

    def _serving(self) -> Counter[PoolId]:
        placement = self.memory.rows.placement(DataCentreId("d0"))
        return Counter({pool: len(vms) for pool, vms in placement.serving.items()})

    def _measure(self, vms: Counter[PoolId]) -> None:
        self.waiting_slot_s += sum(self.demand.backlog_slot_s.values()) * _STEP_S
        self.work_slot_s += sum(self.demand.rate_slots.values()) * _STEP_S
        lent = Counter(
            row.pool
            for row in self.memory.rows.vms.values()
            if row.home == self.spare and row.state is VmState.SERVING
        )
        for pool, count in lent.items():
            unused = max(0.0, vms[pool] - self.demand.wanted_vms(pool))
            self.idle_vm_s += min(count, unused) * _STEP_S


@click.command()
@click.option("--seed", default=1, show_default=True)
@click.option("--hours", default=2.0, show_default=True, help="Simulated time.")
def main(seed: int, hours: float) -> None:
    """Print a table of idle spare capacity, moves and waiting time."""
    click.echo("| turn s | planner | idle spare VM-h/h | moves/h | mean wait s |")
    click.echo("|---|---|---|---|---|")
    planners: list[tuple[str, Planner]] = [
        ("fixed split", _plan_nothing),
        ("fixed, spare lent evenly", _plan_nothing),
        ("greedy", _plan_greedy),
        ("priced", _plan_priced),
    ]
    for burst_s in (8.0, 60.0, 600.0):
        for name, plan in planners:
            run = _Run(burst_s, hours, seed)
            if "lent" in name:
                run.lend_evenly()
            run.run(plan)
            wait_s = run.waiting_slot_s / run.work_slot_s
            click.echo(
                f"| {burst_s:.0f} | {name} | {run.idle_vm_s / hours / 3600:.2f} "
                f"| {run.moves / hours:.1f} | {wait_s:.2f} |"
            )


if __name__ == "__main__":
    main()
