"""Checks of a simulated site at intervals."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

#: Interval between checks, in seconds.
CHECK_INTERVAL_S = 0.05


async def check_at_intervals(check: Callable[[float], None], duration_s: float) -> None:
    """Call `check` with the time at intervals, for `duration_s`."""
    loop = asyncio.get_running_loop()
    end_s = loop.time() + duration_s
    while loop.time() < end_s:
        await asyncio.sleep(CHECK_INTERVAL_S)
        check(loop.time())
