"""Run a function periodically on the event loop."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from eliot import start_action, write_traceback

from currantstage.util._waiting import wait_for_event

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable


class PeriodicTask:
    """Calls an asynchronous function periodically until it is closed.

    Parameters
    ----------
    name : str
        Name of the task in logs.
    function : callable
        The function to call. An exception that it raises is logged and does not end
        the task.
    interval_s : float
        Interval between the end of a run and the start of the next one, in seconds.
    """

    def __init__(
        self, name: str, function: Callable[[], Awaitable[object]], interval_s: float
    ) -> None:
        self._name = name
        self._function = function
        self._interval_s = interval_s
        self._wake_requested = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start the first run, and repeat it."""
        self._task = asyncio.create_task(self._repeat())

    async def close(self) -> None:
        """Stop, cancelling a run in progress."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
            self._task = None

    def wake(self) -> None:
        """Start the next run at once instead of after the interval."""
        self._wake_requested.set()

    async def _repeat(self) -> None:
        while True:
            self._wake_requested.clear()
            try:
                with start_action(action_type=f"currantstage:duty:{self._name}"):
                    await self._function()
            except Exception:
                write_traceback()
            await wait_for_event(self._wake_requested, self._interval_s)
