"""Wake all tasks that wait for something that happens again and again."""

from __future__ import annotations

import asyncio

from currantstage.util._waiting import wait_for_event


class Notifier:
    """Wakes the tasks that wait now; those that wait later wait for the next time.

    Unlike an `asyncio.Event`, it needs no clearing, so that no waiting task misses a
    notification because another one has cleared it.

    Examples
    --------
    >>> async def run():
    ...     stored = Notifier()
    ...     waiting = asyncio.create_task(stored.wait(1.0))
    ...     await asyncio.sleep(0)
    ...     stored.notify_all()
    ...     return await waiting, await stored.wait(0.001)
    >>> asyncio.run(run())
    (True, False)
    """

    def __init__(self) -> None:
        self._next = asyncio.Event()

    def notify_all(self) -> None:
        """Wake all tasks that are waiting."""
        self._next.set()
        self._next = asyncio.Event()

    async def wait(self, timeout_s: float | None = None) -> bool:
        """Wait for the next notification; return whether it comes within `timeout_s`.

        Without `timeout_s`, there is no limit to the wait.
        """
        if timeout_s is not None:
            return await wait_for_event(self._next, timeout_s)
        return await self._next.wait()
