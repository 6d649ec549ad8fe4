"""Runs scenarios of a simulated site on virtual time."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from currantstage.standin.jobs import SimulatedSite, VirtualTimeLoop
from currantstage.state.jobs import Resources, Step

if TYPE_CHECKING:
    from collections.abc import Coroutine
    from typing import Any


#: Time until a started site has a scheduler that knows its workers, in seconds.
SETTLE_S = 2


def run_scenario(scenario: Coroutine[Any, Any, None]) -> None:
    """Run `scenario` to its end on an event loop of its own."""
    loop = VirtualTimeLoop()
    try:
        loop.run_until_complete(scenario)
    finally:
        loop.run_until_complete(_cancel_all())
        loop.close()


async def _cancel_all() -> None:
    """Cancel what is left of a scenario, and wait until it has ended."""
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def start_site(
    seed: int, vms_per_pool: int = 3, settle_s: float = SETTLE_S, **options: Any
) -> SimulatedSite:
    """Return a running site, `settle_s` after its start."""
    site = SimulatedSite(seed, vms_per_pool=vms_per_pool, **options)
    await site.start()
    await asyncio.sleep(settle_s)
    return site


def step(count: int = 3, cpu: int = 1000, run_ms: int = 500, **options: Any) -> Step:
    """Return a step; by default, its tasks take one core and 500 MB each."""
    return Step(
        task_count=count,
        resources=Resources(cpu, 500, 0),
        estimated_run_ms=run_ms,
        **options,
    )
