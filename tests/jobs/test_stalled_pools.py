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


#: Most stops for the jobs of one play: the first ones, until most workers have stalled.
MAX_STOPS = 40
#: Fewest stops if only three of the eight workers stall.
MIN_STOPS = 12


@pytest.mark.parametrize("seed", SEEDS)
def test_tasks_are_not_stopped_by_turns_if_none_of_a_pool_shows_progress(
    seed: int,
) -> None:
    """Each task was stopped twice, and the work of these runs was thrown away."""

    async def scenario() -> None:
        site = await _start_site(seed)
        site.workers.without_progress.update(_workers_of(site, POOL))
        await _submit_jobs(site, 120)
        await asyncio.sleep(20)
        await site.check_final()
        assert site.oracle.violations == []

    with captured_log() as log:
        run_scenario(scenario())
    assert 0 < len(log.lines("task-stop")) <= MAX_STOPS


def test_stalls_of_less_than_half_of_the_workers_are_stopped_as_ever() -> None:
    """Guards the stops on workers that are really at fault."""

    async def scenario() -> None:
        site = await _start_site(seed=1)
        bad = _workers_of(site, POOL)[:3]
        site.workers.without_progress.update(bad)
        await _submit_jobs(site, 60)
        await asyncio.sleep(20)
        await site.check_final()
        assert site.oracle.violations == []

    with captured_log() as log:
        run_scenario(scenario())
    assert len(log.lines("task-stop")) >= MIN_STOPS
