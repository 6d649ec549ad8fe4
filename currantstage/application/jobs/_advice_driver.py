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
    from currantstage.state import QueueId
    from currantstage.state.jobs import AdviceSource

#: Interval between checks for steps that wait for advice, in seconds.
CHECK_INTERVAL_S = 0.1


class AdviceDriver:
    """Requests advice for steps of queues that need it.

    Sends one request at a time, as the service accepts them. Without a service, the
    tasks of these queues wait, and the queues are logged.

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
        self._scheduler = scheduler
        self._tracker = AdviceTracker(scheduler)
        self._ports = ports
        self._on_advice = on_advice
        self._unserved: frozenset[QueueId] = frozenset()

    async def run(self) -> None:
        """Request advice until cancelled."""
        source = self._ports.advice
        while True:
            if source is None:
                self._log_unserved_queues()
            elif await self._request_once(source):
                continue
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _log_unserved_queues(self) -> None:
        """Log the queues that need advice, each time that these are others."""
        queues = frozenset(
            each.queue
            for each in self._scheduler.configuration.queues
            if each.advice is not None
        )
        if queues != self._unserved:
            self._unserved = queues
            log_message("currantstage:advice-not-configured", queues=sorted(queues))

    async def _request_once(self, source: AdviceSource) -> bool:
        requested_s = self._ports.clock.now_s()
        step = self._tracker.next_step(requested_s)
        if step is None:
            return False
        workers = self._tracker.candidates(step, requested_s)
        timeout_s = self._tracker.timeout_s(step, len(workers))
        advice = await source.advise(step.key, workers, timeout_s)
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
