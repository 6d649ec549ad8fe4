"""Workers on which all runs fail, and jobs all of whose runs do."""

from __future__ import annotations

import asyncio

import pytest

from currantstage.coordination.jobs import SchedulerTuning
from currantstage.standin.jobs import POOLS, SimulatedSite, StandstillWatch
from currantstage.state.jobs import JobState, Step
from tests.jobs.captured_log import captured_log
from tests.jobs.site import SETTLE_S, run_scenario, step

POOL = POOLS[0]
VMS_PER_POOL = 8
SEEDS = range(4)
JOBS = 120
INTERVAL_S = 0.1
#: When workers become grey after the first job, and for how long, in seconds.
GREY_AFTER_S = 3.0
GREY_S = 6.0
#: Time between two jobs that fail on every worker, and between two others, in seconds.
HOPELESS_INTERVAL_S = 0.6
SOUND_INTERVAL_S = 0.5
#: For how long jobs are submitted among which some fail on every worker, in seconds.
MIXED_S = 20.0


async def _start_site(seed: int) -> SimulatedSite:
    """Return a running site no VM of which leaves its pool."""
    site = SimulatedSite(seed, vms_per_pool=VMS_PER_POOL)
    site.tuning = SchedulerTuning(min_vms_per_pool=VMS_PER_POOL)
    await site.start()
    await asyncio.sleep(SETTLE_S)
    return site


async def _submit(
    site: SimulatedSite, each: Step, count: int, interval_s: float, spec: str = "work"
) -> None:
    for _ in range(count):
        await site.submit((each,), POOL, spec=spec)
        await asyncio.sleep(interval_s)


async def _count(site: SimulatedSite, state: JobState) -> int:
    return [await site.show(job) for job in site.oracle.submitted].count(state)


@pytest.mark.parametrize(
    ("grey_count", "max_failed_jobs", "max_failed_runs"),
    [(3, 2, 30), (6, 3, 87), (8, 9, 123)],
)
@pytest.mark.parametrize("seed", SEEDS)
def test_grey_workers_cost_few_jobs_their_attempts(
    seed: int, grey_count: int, max_failed_jobs: int, max_failed_runs: int
) -> None:
    """Guards the quarantine: most workers of a pool may really be at fault."""

    async def scenario() -> None:
        site = await _start_site(seed)
        work = step(3, run_ms=700)
        submitting = asyncio.create_task(_submit(site, work, JOBS, INTERVAL_S))
        await asyncio.sleep(GREY_AFTER_S)
        workers = site.workers.workers.values()
        in_pool = [each.entry.worker for each in workers if each.entry.pool == POOL]
        site.workers.grey.update(in_pool[:grey_count])
        await asyncio.sleep(GREY_S)
        site.workers.grey.clear()
        await submitting
        await asyncio.sleep(10)
        assert site.oracle.violations == []
        failed = await _count(site, JobState.FAILED)
        assert failed <= max_failed_jobs
        assert await _count(site, JobState.COMPLETED) == JOBS - failed

    with captured_log() as log:
        run_scenario(scenario())
    ends = [line["kind"] for line in log.lines("task-end")]
    assert ends.count("failed") <= max_failed_runs


@pytest.mark.parametrize("seed", SEEDS)
def test_jobs_that_fail_everywhere_do_not_close_their_pool(seed: int) -> None:
    """They had all workers quarantined, and other jobs stood with room free."""

    async def scenario() -> None:
        site = await _start_site(seed)
        watch = StandstillWatch(site.workers, site.oracle)
        watching = asyncio.create_task(watch.run(MIXED_S + 10))
        hopeless, sound = step(3, run_ms=300), step(2, run_ms=1500)
        await asyncio.gather(
            _submit(
                site,
                hopeless,
                int(MIXED_S / HOPELESS_INTERVAL_S),
                HOPELESS_INTERVAL_S,
                "hopeless",
            ),
            _submit(site, sound, int(MIXED_S / SOUND_INTERVAL_S), SOUND_INTERVAL_S),
        )
        await watching
        assert site.oracle.violations == []

    run_scenario(scenario())
