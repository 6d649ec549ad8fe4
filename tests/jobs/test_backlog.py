"""What callers get from a site with a backlog of jobs that are too late already."""

from __future__ import annotations

import asyncio

from currantstage.standin.jobs import SimulatedSite
from currantstage.state.jobs import JobId, JobState
from tests.jobs.site import run_scenario, step

#: Time within which callers of the jobs of these scenarios want them done, in seconds.
FRESH_LIMIT_S = 3.0
POLL_S = 0.1
FOUR_STEPS = (
    step(2, run_ms=1000),
    step(2, run_ms=1000, after=(0,)),
    step(2, run_ms=1000, after=(1,)),
    step(2, run_ms=1000, after=(2,)),
)


async def _restart_after_backlog(site: SimulatedSite) -> list[JobId]:
    """Fill the first pool with jobs, and end all daemons until they are too late."""
    await site.start()
    await asyncio.sleep(3)
    jobs = [await site.submit(FOUR_STEPS) for _ in range(150)]
    for name in list(site.daemons):
        site.kill_daemon(name)
    await asyncio.sleep(8)
    for number in range(3):
        await site.start_daemon(f"entry-{number}")
    while site.scheduler_name() is None:
        await asyncio.sleep(POLL_S)
    return jobs


async def _check_end(site: SimulatedSite, jobs: list[JobId]) -> None:
    """Wait until `jobs` are completed, and check the rules."""
    for job in jobs:
        await _completion_s(site, job)
    await site.check_final()
    assert site.oracle.violations == []


async def _completion_s(site: SimulatedSite, job: JobId) -> float:
    """Wait until a job is shown as completed; return how long that took."""
    loop = asyncio.get_running_loop()
    begun_s = loop.time()
    while await site.show(job) is not JobState.COMPLETED:
        await asyncio.sleep(POLL_S)
    return loop.time() - begun_s


def test_new_jobs_do_not_wait_for_a_backlog_that_a_new_scheduler_found() -> None:
    """Each new scheduler took all stored jobs for new ones, however old they were."""

    async def scenario() -> None:
        site = SimulatedSite(seed=31)
        old = await _restart_after_backlog(site)
        fresh = []
        for _ in range(6):
            job = await site.submit((step(10, run_ms=1000),))
            fresh.append(asyncio.create_task(_completion_s(site, job)))
            await asyncio.sleep(0.5)
        durations_s = await asyncio.gather(*fresh)
        assert max(durations_s) <= FRESH_LIMIT_S
        await _check_end(site, old)

    run_scenario(scenario())
