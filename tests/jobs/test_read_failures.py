"""Reads of the store that fail."""

from __future__ import annotations

import asyncio

from currantstage.protocol.jobs import CallRefusal
from currantstage.state.jobs import JobId
from tests.jobs.captured_log import captured_log
from tests.jobs.site import run_scenario, start_site


def test_failed_reads_are_logged() -> None:
    """A caller was refused, and a daemon left, without a line that says why."""

    async def scenario() -> None:
        site = await start_site(seed=3)
        scheduler = site.scheduler_name()
        assert scheduler is not None
        name = next(each for each in site.daemons if each != scheduler)
        core = site.daemons[name]
        site.silent_daemons = {scheduler}
        site.store.unreachable_for = {name}
        with captured_log() as log:
            refusal = await core.calls.show(None, JobId("0123456789abcdef"))
            await asyncio.sleep(5)
            await site.stop_daemon(name)
        assert refusal is CallRefusal.UNAVAILABLE
        for event in ("job-read-failed", "members-read-failed", "leave-failed"):
            assert log.lines(event), event

    run_scenario(scenario())
