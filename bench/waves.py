"""Roll-out time of a wave, compared with the lower bound that budgets set."""

from __future__ import annotations

import random
from collections import defaultdict

import click

from bench.memory_fleet import MemoryFleet, make_fleet
from currantstage.coordination.fleet import (
    FLEET_INTERVAL_S,
    plan_reconciliation,
    plan_waves,
)
from currantstage.state import Fleet, RebootStatus, VmId, VmState, WaveId

_WAVE = WaveId("wave")
#: Ranges of the duration of a drain and of a reboot, in seconds.
_DRAIN_S = (2.0, 20.0)
_REBOOT_S = (60.0, 180.0)


class _Wave:
    """Simulation of one wave with random drain and reboot times for each VM."""

    def __init__(self, fleet: Fleet, seed: int, failures: int) -> None:
        rng = random.Random(seed)
        self.memory = MemoryFleet(fleet)
        self.drain_s = {vm: rng.uniform(*_DRAIN_S) for vm in fleet.vms}
        self.reboot_s = {vm: rng.uniform(*_REBOOT_S) for vm in fleet.vms}
        self.failing = rng.sample(sorted(fleet.vms), failures)
        self.drained_at_s: dict[VmId, float] = {}
        self.worst_excess = 0

    def run(self) -> float:
        """Run the wave; return the time until every VM is maintained, in seconds."""
        now_s = 0.0
        while not self._is_done():
            now_s += FLEET_INTERVAL_S
            self._set_down_vms(now_s)
            self._advance_disruptions(now_s)
            snapshot = self.memory.snapshot(now_s)
            for plan in (plan_reconciliation, plan_waves):
                for action in plan(snapshot):
                    self.memory.apply(snapshot, action)
            self._record_excess()
        return now_s

    def bound_s(self) -> float:
        """Return the lower bound that the pools' budgets set, in seconds."""
        by_pool: dict[str, float] = defaultdict(float)
        for vm in self.memory.fleet.vms.values():
            by_pool[vm.pool] += self.drain_s[vm.vm_id] + self.reboot_s[vm.vm_id]
        pools = self.memory.fleet.pools
        return max(
            total_s / pools[pool].max_unavailable for pool, total_s in by_pool.items()
        )

    def _set_down_vms(self, now_s: float) -> None:
        """Set the VMs that are down: each for 600 s, starting 120 s after another."""
        self.memory.down = {
            vm
            for n, vm in enumerate(self.failing)
            if 120.0 * n <= now_s < 120.0 * n + 600.0
        }

    def _advance_disruptions(self, now_s: float) -> None:
        drained = []
        self.memory.reboots = {}
        for row in self.memory.rows.vms.values():
            if row.disruption is None:
                continue
            vm = row.vm_id
            age_s = now_s - row.disruption.started_at_s
            if age_s >= self.drain_s[vm]:
                drained.append(vm)
            if age_s >= self.drain_s[vm] + self.reboot_s[vm]:
                self.memory.reboots[vm] = RebootStatus.DONE
        self.memory.acknowledge(drained)

    def _record_excess(self) -> None:
        for pool_id, budget in self.memory.rows.budgets.items():
            pool = self.memory.fleet.pools[pool_id]
            planned = len(budget.reservations)
            self.worst_excess = max(self.worst_excess, planned - pool.max_unavailable)

    def _is_done(self) -> bool:
        return all(
            row.completed_rounds.get(_WAVE) == 1 and row.state is VmState.SERVING
            for row in self.memory.rows.vms.values()
        )


@click.command()
@click.option("--seed", default=1, show_default=True)
def main(seed: int) -> None:
    """Print a table of roll-out times."""
    click.echo("| VMs | pools | budget | failures | roll-out s | bound s | ratio |")
    click.echo("|---|---|---|---|---|---|---|")
    cases = [(3, 5, 6, 1, 0), (3, 5, 6, 2, 0), (11, 3, 32, 2, 0), (11, 3, 32, 2, 16)]
    for data_centres, pools, size, budget, failures in cases:
        fleet = make_fleet(data_centres, pools, size, budget)
        wave = _Wave(fleet, seed, failures)
        time_s = wave.run()
        assert wave.worst_excess <= 0
        click.echo(
            f"| {len(fleet.vms)} | {len(fleet.pools)} | {budget} | {failures} "
            f"| {time_s:.0f} | {wave.bound_s():.0f} | {time_s / wave.bound_s():.2f} |"
        )


if __name__ == "__main__":
    main()
