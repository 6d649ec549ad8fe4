"""Background tasks that are cancelled when their owner closes."""

from __future__ import annotations

import asyncio
import traceback
from typing import TYPE_CHECKING, Any

from eliot import log_message

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine


class TaskSet:
    """Holds references to running tasks, and cancels them in `close`.

    An exception that ends a task is logged.

    Parameters
    ----------
    on_failure : callable, optional
        Called after an exception has been logged.
    """

    def __init__(self, on_failure: Callable[[], None] | None = None) -> None:
        self._on_failure = on_failure
        # A dict keeps the order of creation, in which the tasks are cancelled.
        self._tasks: dict[asyncio.Task[None], None] = {}

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run `work` concurrently with the caller."""
        task = asyncio.create_task(work)
        self._tasks[task] = None
        task.add_done_callback(self._on_done)

    async def close(self) -> None:
        """Cancel the running tasks, and wait until they have ended."""
        current = asyncio.current_task()
        tasks = [task for task in self._tasks if task is not current]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _on_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.pop(task, None)
        error = None if task.cancelled() else task.exception()
        if error is None:
            return
        log_task_failure(task.get_name(), error)
        if self._on_failure is not None:
            self._on_failure()


def log_task_failure(name: str, error: BaseException) -> None:
    """Log an unexpected exception of background work."""
    log_message(
        "currantstage:task-failed",
        task_name=name,
        reason=repr(error),
        trace="".join(traceback.format_exception(error)),
    )
