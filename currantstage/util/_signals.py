"""Turn the signals that a daemon handles into events on its event loop."""

from __future__ import annotations

import asyncio
import signal


def catch_stop_signals() -> asyncio.Event:
    """Return an event that SIGTERM and SIGINT set instead of ending the process."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    return stopped


def catch_reload_signal() -> asyncio.Event:
    """Return an event that SIGHUP sets instead of ending the process."""
    reload = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, reload.set)
    return reload
