"""Requests for advice on which workers may run a step, one at a time."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from eliot import log_message

from currantstage.coordination.jobs import AdviceTracker

if TYPE_CHECKING:
    from collections.abc import Callable

    from currantstage.application.jobs._ports import SchedulerPorts
    from currantstage.coordination.jobs import Scheduler

#: Interval between checks for steps that wait for advice, in seconds.
CHECK_INTERVAL_S = 0.1


class AdviceDriver:
    """Requests advice for steps of queues that need it.

    Sends one request at a time, as the service accepts them.

    Parameters
    ----------
    scheduler : Scheduler
    ports : SchedulerPorts
    on_advice : callable
        Called when tasks may have become placeable.
    """

    def __init__(
        self, scheduler: Scheduler, ports: SchedulerPorts, on_advice: Callable[[], None]
    ) -> None:
        self._tracker = AdviceTracker(scheduler)
        self._ports = ports
        self._on_advice = on_advice

    async def run(self) -> None:
        """Request advice until cancelled."""
        while True:
            if not await self._request_once():
                await asyncio.sleep(CHECK_INTERVAL_S)

    async def _request_once(self) -> bool:
        requested_s = self._ports.clock.now_s()
        step = self._tracker.next_step(requested_s)
        if step is None:
            return False
        workers = self._tracker.candidates(step, requested_s)
        advice = await self._ports.advice.advise(step.key, workers)
        self._tracker.record_advice(step, advice, requested_s)
        log_message(
            "currantstage:advice",
            job=step.key.job,
            step=step.key.step,
            asked=len(workers),
            allowed=len(advice.tickets) if advice else None,
        )
        self._on_advice()
        return True
