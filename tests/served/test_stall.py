"""Tasks that make no progress for a time."""

from __future__ import annotations

import asyncio

from currantstage.state.jobs import JobState
from tests.jobs.site import run_scenario, start_site, step

#: Less than the time after which the scheduler stops a run without progress.
STALL_S = 1.0


def test_stalled_tasks_go_on_where_they_stood() -> None:
    async def scenario() -> None:
        site = await start_site(1)
        job = await site.submit((step(count=3, run_ms=500),))
        await asyncio.sleep(0.2)
        for worker in site.workers.workers.values():
            worker.set_stalled(True)
        await asyncio.sleep(STALL_S)
        assert not site.oracle.done
        for worker in site.workers.workers.values():
            worker.set_stalled(False)
        await asyncio.sleep(0.5)
        assert len(site.oracle.done) == 3
        await asyncio.sleep(1.0)
        assert await site.show(job) is JobState.COMPLETED
        assert site.oracle.violations == []

    run_scenario(scenario())
