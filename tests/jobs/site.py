"""Runs scenarios of a simulated site on virtual time."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from currantstage.standin.jobs import VirtualTimeLoop
from currantstage.state.jobs import Resources, Step

if TYPE_CHECKING:
    from collections.abc import Coroutine
    from typing import Any


def run_scenario(scenario: Coroutine[Any, Any, None]) -> None:
    """Run `scenario` to its end on an event loop of its own."""
    loop = VirtualTimeLoop()
    try:
        loop.run_until_complete(scenario)
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()


def step(count: int = 3, cpu: int = 1000, run_ms: int = 500, **options: Any) -> Step:
    """Return a step; by default, its tasks take one core and 500 MB each."""
    return Step(
        task_count=count,
        resources=Resources(cpu, 500, 0),
        estimated_run_ms=run_ms,
        **options,
    )
