"""Background tasks that are cancelled when their owner closes."""

from __future__ import annotations

import asyncio

from eliot.testing import MemoryLogger, swap_logger

from currantstage.util import TaskSet


def test_failed_task_is_logged_and_reported() -> None:
    async def fail() -> None:
        raise ValueError("wrong")

    async def run() -> None:
        failures = []
        tasks = TaskSet(lambda: failures.append(1))
        tasks.spawn(fail())
        await asyncio.sleep(0.01)
        assert failures == [1]

    logger = MemoryLogger()
    previous = swap_logger(logger)
    try:
        asyncio.run(run())
    finally:
        swap_logger(previous)
    assert "wrong" in logger.messages[0]["reason"]


def test_close_cancels_running_tasks() -> None:
    async def run() -> None:
        ended = []

        async def work() -> None:
            try:
                await asyncio.sleep(60)
            finally:
                ended.append(1)

        tasks = TaskSet()
        tasks.spawn(work())
        await asyncio.sleep(0)
        await tasks.close()
        assert ended == [1]

    asyncio.run(run())
