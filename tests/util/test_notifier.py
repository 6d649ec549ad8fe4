"""Notification of all tasks that wait at the time."""

from __future__ import annotations

import asyncio

from currantstage.util import Notifier


def test_all_waiting_tasks_are_woken() -> None:
    async def run() -> list[bool]:
        notifier = Notifier()
        waits = [asyncio.create_task(notifier.wait(each)) for each in (None, 1.0, 1.0)]
        await asyncio.sleep(0)
        notifier.notify_all()
        return await asyncio.gather(*waits)

    assert asyncio.run(run()) == [True, True, True]


def test_earlier_notification_does_not_end_a_later_wait() -> None:
    async def run() -> bool:
        notifier = Notifier()
        notifier.notify_all()
        return await notifier.wait(0.001)

    assert asyncio.run(run()) is False
