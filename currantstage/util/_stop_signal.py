"""Turn the signals that end a process into an event on its loop."""

from __future__ import annotations

import asyncio
import signal


def catch_stop_signals() -> asyncio.Event:
    """Return an event that SIGTERM and SIGINT set, in place of ending the process."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    return stopped
