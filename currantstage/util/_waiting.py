"""Wait for an event with a timeout."""

from __future__ import annotations

import asyncio


async def wait_for_event(event: asyncio.Event, timeout_s: float) -> bool:
    """Wait for `event`; return whether it is set within `timeout_s` seconds."""
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        return False
    return True
