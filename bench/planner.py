"""Time of one planning round of the fleet duty, for three fleet sizes."""

from __future__ import annotations

import random
import time

import click

from bench.memory_fleet import MemoryFleet, make_fleet
from currantstage.coordination.fleet import (
    DemandEstimator,
    MovePolicy,
    max_vms_per_pool,
    plan_moves,
    plan_reconciliation,
    plan_waves,
)

_WARM_UP_S = 600
_ROUNDS = 30


@click.command()
@click.option("--seed", default=1, show_default=True)
def main(seed: int) -> None:
    """Print a table of planner times in milliseconds."""
    click.echo("| VMs | pools | observe | reconcile | waves | moves | plan in all |")
    click.echo("|---|---|---|---|---|---|---|")
    for data_centres, pools, size in ((3, 5, 6), (11, 3, 16), (7, 5, 32)):
        memory = MemoryFleet(make_fleet(data_centres, pools, size))
        rng = random.Random(seed)
        demand = DemandEstimator()
        max_vms = max_vms_per_pool(memory.fleet)
        for now_s in range(0, _WARM_UP_S, 2):
            demand.observe(now_s, _demand(memory, rng, size), max_vms)
        spent_ms = [
            _measure(memory, rng, demand, max_vms, size) for _ in range(_ROUNDS)
        ]
        medians = [sorted(times)[_ROUNDS // 2] for times in zip(*spent_ms, strict=True)]
        cells = " | ".join(f"{ms:.1f}" for ms in (*medians, sum(medians)))
        click.echo(f"| {len(memory.fleet.vms)} | {len(memory.fleet.pools)} | {cells} |")


def _demand(memory: MemoryFleet, rng: random.Random, size: int) -> dict:
    """Return a demand in which about one pool in five needs twice its size."""
    return {
        pool: 2.0 * size if rng.random() < 0.2 else 0.05 * size
        for pool in memory.fleet.pools
    }


def _measure(
    memory: MemoryFleet,
    rng: random.Random,
    demand: DemandEstimator,
    max_vms: int,
    size: int,
) -> tuple[float, ...]:
    snapshot = memory.snapshot(float(_WARM_UP_S))
    wanted = _demand(memory, rng, size)
    planners = (
        lambda: demand.observe(float(_WARM_UP_S), wanted, max_vms),
        lambda: plan_reconciliation(snapshot),
        lambda: plan_waves(snapshot),
        lambda: plan_moves(snapshot, demand, MovePolicy()),
    )
    return tuple(_time_ms(planner) for planner in planners)


def _time_ms(planner) -> float:
    started_s = time.perf_counter()
    planner()
    return (time.perf_counter() - started_s) * 1000


if __name__ == "__main__":
    main()
