"""An event loop in virtual time, for fast simulations.

Instead of waiting, the loop advances its time to the next timer, so that simulations
of long periods take little real time.
"""

from __future__ import annotations

import asyncio
import selectors
from contextvars import ContextVar
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Coroutine

#: Simulated process to which the running code belongs; empty if there is none.
CURRENT_PROCESS: ContextVar[str] = ContextVar("CURRENT_PROCESS", default="")


class DeadlockError(Exception):
    """No task is ready and no timer is set, but the main task has not ended."""


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Runs timers in order, without waiting.

    A simulation is deterministic as long as it does no real input or output.
    """

    def __init__(self) -> None:
        self._virtual_s = 1000.0
        self._processes: dict[str, dict[asyncio.Task[Any], None]] = {}
        super().__init__(_VirtualTimeSelector(self))
        self.set_task_factory(self._create_task)  # type: ignore[arg-type]

    def time(self) -> float:
        """Return the virtual time, in seconds."""
        return self._virtual_s

    def advance(self, duration_s: float) -> None:
        """Advance the virtual time."""
        self._virtual_s += duration_s

    def kill(self, process: str) -> None:
        """Cancel every task of a simulated process."""
        for task in list(self._processes.pop(process, {})):
            task.cancel()

    def _create_task(
        self,
        loop: asyncio.AbstractEventLoop,
        work: Coroutine[Any, Any, Any],
        **options: Any,
    ) -> asyncio.Task[Any]:
        task: asyncio.Task[Any] = asyncio.Task(work, loop=loop, **options)
        process = CURRENT_PROCESS.get()
        if process:
            # Tasks are kept in order of their start: `kill` must be deterministic.
            tasks = self._processes.setdefault(process, {})
            tasks[task] = None
            task.add_done_callback(lambda done: tasks.pop(done, None))
        return task


class _VirtualTimeSelector(selectors.SelectSelector):
    def __init__(self, loop: VirtualTimeLoop) -> None:
        super().__init__()
        self._loop = loop

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Return what is ready now, or else advance the time to the next timer."""
        ready = super().select(0)
        if ready or timeout == 0:
            return ready
        if timeout is None:
            raise DeadlockError
        self._loop.advance(max(timeout, 0.0))
        return []


class LoopClock:
    """Implements `Clock` with the running loop's time."""

    def now_s(self) -> float:
        """Return the loop's time, in seconds."""
        return asyncio.get_running_loop().time()
