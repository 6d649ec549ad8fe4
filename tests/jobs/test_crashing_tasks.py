"""Tasks that crash the workers that start them, and tasks that only were there."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from currantstage.standin.jobs import POOLS, SimulatedSite
from currantstage.standin.jobs._workers import DEADLY_SPEC
from currantstage.state.jobs import JobId, JobState, TaskKey
from tests.jobs.site import run_scenario, start_site, step

if TYPE_CHECKING:
    from collections.abc import Callable

POOL = POOLS[0]
SEEDS = range(4)


async def _submit_innocent(site: SimulatedSite, count: int) -> list[JobId]:
    """Submit short jobs at a steady pace that leaves the pool half free."""
    jobs = []
    for _ in range(count):
        jobs.append(await site.submit((step(4, run_ms=700),), POOL))
        await asyncio.sleep(0.3)
    return jobs


async def _states(site: SimulatedSite, jobs: list[JobId]) -> set[JobState | None]:
    return {await site.show(job) for job in jobs}


#: Times from a crash to the worker's return, before and after its lease has expired.
RETURNS_S = (3.0, 5.5)


@pytest.mark.parametrize("crash_return_s", RETURNS_S)
@pytest.mark.parametrize("returns_under_new_id", [False, True])
def test_task_that_crashes_each_of_its_workers_is_given_up(
    returns_under_new_id: bool, crash_return_s: float
) -> None:
    async def scenario(seed: int) -> None:
        site = await start_site(seed)
        site.workers.returns_under_new_id = returns_under_new_id
        site.workers.crash_return_s = crash_return_s
        submitting = asyncio.create_task(_submit_innocent(site, 30))
        await asyncio.sleep(1)
        deadly = await site.submit((step(4, run_ms=700),), POOL, spec=DEADLY_SPEC)
        innocent = await submitting
        await asyncio.sleep(40)
        assert site.oracle.violations == []
        assert await site.show(deadly) is JobState.FAILED
        assert await _states(site, innocent) == {JobState.COMPLETED}

    for seed in SEEDS:
        run_scenario(scenario(seed))


# Review case 7: a lease that lapsed on a worker that was cut off counted as a crash.
def test_job_whose_worker_crashes_and_whose_next_one_is_cut_off_completes() -> None:
    async def scenario(seed: int) -> None:
        site = await start_site(seed)
        job = await site.submit((step(1, run_ms=8000),), POOL)
        for trouble in (_crash, _cut_off):
            await asyncio.sleep(2)
            while not (runs := site.oracle.running[TaskKey(job, 0, 0, 0)]):
                await asyncio.sleep(0.1)
            trouble(site, list(site.workers.workers).index(runs[0].worker.name))
        await asyncio.sleep(30)
        assert site.oracle.violations == []
        assert await site.show(job) is JobState.COMPLETED

    for seed in SEEDS:
        run_scenario(scenario(seed))


def test_crashes_under_a_task_are_counted_across_schedulers() -> None:
    async def scenario(seed: int) -> None:
        site = await start_site(seed)
        deadly = await site.submit((step(4, run_ms=700),), POOL, spec=DEADLY_SPEC)
        task = TaskKey(deadly, 0, 0, 0)
        for _ in range(12):
            crashes = site.oracle.crashes[task]
            await asyncio.sleep(0.02)
            name = site.scheduler_name()
            if name is not None:
                site.kill_daemon(name)
                await site.start_daemon(name)
            for _ in range(400):
                if site.oracle.crashes[task] > crashes:
                    break
                await asyncio.sleep(0.02)
        assert site.oracle.violations == []
        assert await site.show(deadly) is JobState.FAILED

    for seed in SEEDS:
        run_scenario(scenario(seed))


def test_long_running_task_that_crashes_its_workers_is_given_up() -> None:
    async def scenario(seed: int) -> None:
        site = await start_site(seed)
        steps = (step(3, run_ms=0, is_long_running=True),)
        deadly = await site.submit(steps, POOL, spec=DEADLY_SPEC)
        steady = await site.submit(steps, POOL)
        await asyncio.sleep(40)
        assert site.oracle.violations == []
        assert await site.show(deadly) is JobState.FAILED
        assert await site.show(steady) is JobState.RUNNING

    for seed in SEEDS:
        run_scenario(scenario(seed))


def _crash(site: SimulatedSite, number: int) -> None:
    worker = list(site.workers.workers.values())[number]
    site.workers.crash_and_return(worker)


def _cut_off(site: SimulatedSite, number: int) -> None:
    worker = list(site.workers.workers)[number]
    site.workers.unreachable.add(worker)
    loop = asyncio.get_running_loop()
    loop.call_later(6.0, site.workers.unreachable.discard, worker)


@pytest.mark.parametrize("trouble", [_crash, _cut_off])
def test_jobs_whose_workers_crash_or_are_cut_off_by_turns_complete(
    trouble: Callable[[SimulatedSite, int], None],
) -> None:
    async def scenario(seed: int) -> None:
        site = await start_site(seed)
        submitting = asyncio.create_task(_submit_innocent(site, 60))
        steady = await site.submit((step(3, run_ms=0, is_long_running=True),), POOL)
        for turn in range(6):
            await asyncio.sleep(3)
            trouble(site, turn % 3)
        innocent = await submitting
        await asyncio.sleep(15)
        assert site.oracle.violations == []
        assert await _states(site, innocent) == {JobState.COMPLETED}
        assert await site.show(steady) is JobState.RUNNING

    for seed in SEEDS:
        run_scenario(scenario(seed))
