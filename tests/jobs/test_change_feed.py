"""How soon the scheduler learns of changes when a poll of the store gets no answer."""

from __future__ import annotations

import asyncio

from msgspec.structs import replace

from currantstage.standin.jobs import POOLS, SimulatedSite
from currantstage.state.jobs import WorkerId
from tests.jobs.site import run_scenario, start_site, step

#: Time after which a worker that drains must get no more starts.
DRAIN_S = 2.0
WORKER = WorkerId(f"i-{POOLS[0]}-0")


async def _lose_polls(site: SimulatedSite) -> str:
    """Let the polls that the scheduler sends next get no answer; return its name."""
    name = site.scheduler_name()
    assert name is not None
    site.store.loses_polls_of = {name}
    # Each poll that was under way ends, and the next one is lost.
    await asyncio.sleep(1.2)
    site.store.loses_polls_of = set()
    return name


def test_lost_poll_does_not_hide_a_worker_that_drains() -> None:
    async def scenario(seed: int) -> None:
        site = await start_site(seed)
        name = await _lose_polls(site)
        worker = site.workers.workers[WORKER]
        worker.entry = replace(worker.entry, is_draining=True)
        site.workers.publish(worker.entry)
        await asyncio.sleep(DRAIN_S)
        session = site.daemons[name].ownership.session
        assert session is not None
        assert session.scheduler is not None
        state = session.scheduler.workers.get(WORKER)
        assert state is not None
        assert state.entry.is_draining

    for seed in range(4):
        run_scenario(scenario(seed))


def test_lost_poll_does_not_hide_a_job_that_its_scheduler_was_not_told_of() -> None:
    async def scenario(seed: int) -> None:
        site = await start_site(seed)
        name = await _lose_polls(site)
        site.silent_daemons = {name}
        other = next(each for each in site.daemons if each != name)
        job = await site.submit((step(2, run_ms=200),), daemon=other)
        await asyncio.sleep(DRAIN_S)
        assert job in site.oracle.started_jobs

    for seed in range(4):
        run_scenario(scenario(seed))
