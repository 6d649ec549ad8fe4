"""Runs a simulated day on virtual time."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from currantstage.standin.jobs import VirtualTimeLoop
from currantstage.state.jobs import Resources, Step

if TYPE_CHECKING:
    from collections.abc import Coroutine
    from typing import Any


def run_scenario(day: Coroutine[Any, Any, None]) -> None:
    """Run `day` to its end on a loop of its own."""
    loop = VirtualTimeLoop()
    try:
        loop.run_until_complete(day)
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()


def step(count: int = 3, cpu: int = 1000, run_ms: int = 500, **options: Any) -> Step:
    """Return a step of tasks of one core and 500 MB."""
    return Step(
        task_count=count,
        resources=Resources(cpu, 500, 0),
        estimated_run_ms=run_ms,
        **options,
    )
