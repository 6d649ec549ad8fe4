"""Pools whose running tasks show no progress."""

from __future__ import annotations

import asyncio

import pytest

from currantstage.coordination.jobs import SchedulerTuning
from currantstage.standin.jobs import POOLS, SimulatedSite, StandstillWatch
from currantstage.state import PoolId
from currantstage.state.jobs import WorkerId
from tests.jobs.captured_log import captured_log
from tests.jobs.site import SETTLE_S, run_scenario, step

POOL = POOLS[0]
VMS_PER_POOL = 8
SEEDS = range(4)
#: Interval between two jobs; with `RUN_MS`, they take a third of the pool.
INTERVAL_S = 0.25
RUN_MS = 5000


async def _start_site(seed: int) -> SimulatedSite:
    """Return a running site no VM of which leaves its pool."""
    site = SimulatedSite(seed, vms_per_pool=VMS_PER_POOL)
    site.tuning = SchedulerTuning(min_vms_per_pool=VMS_PER_POOL)
    await site.start()
    await asyncio.sleep(SETTLE_S)
    return site


def _workers_of(site: SimulatedSite, pool: PoolId) -> list[WorkerId]:
    return [
        name for name, each in site.workers.workers.items() if each.entry.pool == pool
    ]


async def _submit_jobs(site: SimulatedSite, count: int) -> None:
    for _ in range(count):
        await site.submit((step(1, run_ms=RUN_MS),), POOL)
        await asyncio.sleep(INTERVAL_S)


@pytest.mark.parametrize("seed", SEEDS)
def test_pool_whose_tasks_show_no_progress_is_not_paused_as_a_whole(seed: int) -> None:
    """Each stalled run paused its whole worker for 4 s; jobs stood with room free."""

    async def scenario() -> None:
        site = await _start_site(seed)
        submitting = asyncio.create_task(_submit_jobs(site, 120))
        watch = StandstillWatch(site.workers, site.oracle)
        await watch.run(5)
        site.workers.without_progress.update(_workers_of(site, POOL))
        await watch.run(30)
        await submitting
        assert site.oracle.violations == []

    with captured_log() as log:
        run_scenario(scenario())
    assert log.lines("task-stop")
    activity = log.lines("scheduler-activity")
    assert not any(POOL in each["closed_pools"] for each in activity)
