"""Waves on random pools of long-running tasks, on the simulated site."""

from __future__ import annotations

import asyncio
import random

import pytest

from currantstage.coordination.jobs import SchedulerTuning
from currantstage.standin.jobs import POOLS, SimulatedSite
from currantstage.state import PoolId, VmId
from currantstage.state.jobs import JobId, MaintenanceWave, Step
from tests.jobs.site import SETTLE_S, run_scenario, step
from tests.jobs.test_planned_work_scenarios import MAX_AWAY_S, longest_away_s

#: Duration of a scenario and deadline of its wave, in seconds.
DURATION_S = 50.0
COMPLETE_BY_S = 40.0
#: Capacity of a VM, in millicores.
VM_CPU_MILLICORES = 8000


def _draw_step(draw: random.Random, vms_per_pool: int) -> Step:
    """Return a long-running step that takes a third of its pool at most."""
    cpu = draw.choice((500, 1000, 2000, 3000, 4800))
    max_per_worker = draw.choice((0, 1, 2, 3))
    count = int(vms_per_pool * VM_CPU_MILLICORES * draw.uniform(0.1, 0.3) / cpu)
    if max_per_worker:
        count = min(count, vms_per_pool * max_per_worker)
    return step(
        max(1, min(count, 12)),
        cpu=cpu,
        is_long_running=True,
        max_unavailable=draw.choice((0, 1, 1, 2, 3)),
        max_per_worker=max_per_worker,
    )


async def _submit_long_running(
    site: SimulatedSite, draw: random.Random, vms_per_pool: int
) -> dict[JobId, int]:
    jobs = {}
    for pool in POOLS:
        for _ in range(draw.randint(1, 3)):
            work = _draw_step(draw, vms_per_pool)
            jobs[await site.submit((work,), pool)] = work.task_count
    return jobs


async def _submit_short(
    site: SimulatedSite, draw: random.Random, interval_s: float
) -> None:
    while True:
        for pool in POOLS:
            work = step(draw.randint(1, 4), run_ms=draw.randint(200, 1200))
            await site.submit((work,), pool)
        await asyncio.sleep(interval_s)


def _announce(site: SimulatedSite, draw: random.Random, vms_per_pool: int) -> None:
    vms = [
        VmId(f"m-{pool}-{number}")
        for pool in (*POOLS, PoolId("spare"))
        for number in range(vms_per_pool)
        if draw.random() < 0.7
    ]
    wave = MaintenanceWave(
        number=1,
        vms=tuple(vms),
        complete_by_s=COMPLETE_BY_S,
        max_down=draw.randint(1, 6),
    )
    site.announce_wave(wave)


@pytest.mark.parametrize("seed", range(8))
def test_random_wave_keeps_no_long_running_task_away(seed: int) -> None:
    async def scenario() -> None:
        draw = random.Random(seed)
        vms_per_pool = draw.randint(2, 6)
        site = SimulatedSite(seed, vms_per_pool=vms_per_pool)
        site.tuning = SchedulerTuning(min_vms_per_pool=draw.randint(1, vms_per_pool))
        await site.start()
        await asyncio.sleep(SETTLE_S)
        jobs = await _submit_long_running(site, draw, vms_per_pool)
        await asyncio.sleep(3)
        _announce(site, draw, vms_per_pool)
        interval_s = draw.uniform(1.5, 6) / vms_per_pool
        submitting = asyncio.create_task(_submit_short(site, draw, interval_s))
        assert await longest_away_s(site, jobs, DURATION_S) < MAX_AWAY_S
        submitting.cancel()
        assert len(site.vms.maintained) == len(site.vms.waves[1].vms)
        assert site.oracle.violations == []

    run_scenario(scenario())
