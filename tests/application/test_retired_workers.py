"""The scheduler's daemon spends nothing on workers whose VMs have moved."""

from __future__ import annotations

import asyncio

from msgspec.structs import replace

from currantstage.state.jobs import BornMs
from tests.jobs.site import run_scenario, start_site, step


def test_retired_worker_is_not_checked_again_until_it_restarts() -> None:
    """Guards against two checks a second of each worker of the last half minute."""

    async def scenario() -> None:
        site = await start_site(seed=5)
        name = site.scheduler_name()
        assert name is not None
        session = site.daemons[name].ownership.session
        assert session is not None
        assert session.scheduler is not None
        assert session._driver is not None
        await site.submit((step(60, run_ms=3000),))
        await asyncio.sleep(4)
        states = list(session.scheduler.workers.states())
        retired = {each.entry.worker for each in states if each.is_retired}
        assert retired
        assert retired.isdisjoint(session._driver._wake_events)
        others = {each.entry.worker for each in states} - retired
        assert others <= session._driver._wake_events.keys()
        ended = min(retired)
        state = session.scheduler.workers.get(ended)
        assert state is not None
        restarted = replace(state.entry, born_ms=BornMs(state.entry.born_ms + 1))
        now_s = asyncio.get_running_loop().time()
        session.scheduler.update_workers([restarted], now_s)
        session._driver.start_renewals()
        assert ended in session._driver._wake_events

    run_scenario(scenario())
