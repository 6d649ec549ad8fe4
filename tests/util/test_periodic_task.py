"""Functions that are called periodically."""

from __future__ import annotations

import asyncio

from currantstage.util import PeriodicTask
from tests.jobs.captured_log import captured_log

INTERVAL_S = 0.01


def test_unexpected_error_does_not_end_the_task() -> None:
    """Heartbeats and probes ended for good, and nothing said so."""

    async def run() -> int:
        calls = 0

        async def work() -> None:
            nonlocal calls
            calls += 1
            if calls == 1:
                raise ValueError("wrong")

        task = PeriodicTask("work", work, INTERVAL_S)
        await task.start()
        await asyncio.sleep(5 * INTERVAL_S)
        await task.close()
        return calls

    with captured_log():
        assert asyncio.run(run()) > 1
