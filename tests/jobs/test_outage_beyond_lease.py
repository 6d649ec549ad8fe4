"""Outages of the store that last longer than the scheduler's lease (issue 52)."""

from __future__ import annotations

import asyncio

import pytest

from currantstage.application.jobs._job_table_rows import JOBS_TABLE
from currantstage.state.jobs import JobState
from tests.jobs.site import run_scenario, start_site, step

#: Time in which one write is sent, whose answer is lost, in seconds.
ONE_WRITE_S = 0.1
#: Interval between looks at the store and the workers, in seconds.
LOOK_S = 0.001
#: Longer than a scheduler may act without a confirmed write, in seconds.
OUTAGE_S = 6.7
#: Longest time that tasks may wait while there is room for them, in seconds.
MAX_WAIT_S = 3.0


# LOST: starts that were found to be stored after the lease had run out were not sent.
@pytest.mark.parametrize("seed", range(4))
def test_placed_tasks_start_though_their_write_is_confirmed_after_the_lease_has_ended(
    seed: int,
) -> None:
    async def scenario() -> None:
        site = await start_site(seed)
        submitting = asyncio.create_task(site.submit((step(4),)))
        while not any(name.table == JOBS_TABLE for name in site.store.rows):
            await asyncio.sleep(LOOK_S)
        site.store.lost_fraction = 1.0
        await asyncio.sleep(ONE_WRITE_S)
        site.store.lost_fraction = 0.0
        site.store.refused_for = set(site.daemons)
        await asyncio.sleep(OUTAGE_S)
        job = await submitting
        assert job not in site.oracle.started_jobs
        site.store.refused_for = set()
        async with asyncio.timeout(MAX_WAIT_S):
            while await site.show(job) is not JobState.COMPLETED:
                await asyncio.sleep(LOOK_S)
        assert site.oracle.violations == []

    run_scenario(scenario())
