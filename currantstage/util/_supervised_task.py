"""Background work that goes on after an unexpected exception."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from currantstage.util._task_set import log_task_failure

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

#: Bounds of the pause before work that has failed is started again, in seconds; each
#: failure in a row doubles the pause.
MIN_RESTART_PAUSE_S = 0.25
MAX_RESTART_PAUSE_S = 2.0
#: Time without a failure after which the next one counts as the first, in seconds.
HEALTHY_AFTER_S = 10.0


class SupervisedTask:
    """Runs `work`, and starts it again after an exception, which is logged.

    A daemon without one of its background tasks would go on with what it last knew, and
    nothing would show it.

    Parameters
    ----------
    name : str
        Name of the task in logs.
    work : callable
        Runs until it is cancelled; ends by itself only if there is nothing left to do.
    """

    def __init__(self, name: str, work: Callable[[], Awaitable[None]]) -> None:
        self._name = name
        self._work = work
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start the work."""
        self._task = asyncio.create_task(self._supervise(), name=self._name)

    async def close(self) -> None:
        """Cancel the work, and wait until it has ended."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
            self._task = None

    async def _supervise(self) -> None:
        loop = asyncio.get_running_loop()
        pause_s = MIN_RESTART_PAUSE_S
        while True:
            started_s = loop.time()
            try:
                await self._work()
                return
            except Exception as error:
                log_task_failure(self._name, error)
            if loop.time() - started_s >= HEALTHY_AFTER_S:
                pause_s = MIN_RESTART_PAUSE_S
            await asyncio.sleep(pause_s)
            pause_s = min(MAX_RESTART_PAUSE_S, 2 * pause_s)
