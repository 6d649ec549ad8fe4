"""A loopback server in place of one of the platform's services, and orders to it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from aiohttp import web

from currantstage.platform import PlatformHttp
from currantstage.state.jobs import (
    EndNumber,
    Fence,
    JobId,
    RenewalOrder,
    RunNumber,
    StartOrder,
    TaskKey,
)
from tests.jobs.records import entry

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

TASK = TaskKey(JobId("5c0e7a21d94b36f8"), 0, 1, 17)


async def with_server(
    answer: Callable[[web.Request], Awaitable[web.StreamResponse]],
    use: Callable[[PlatformHttp, str], Awaitable[None]],
) -> None:
    """Serve all paths with `answer` while `use` runs."""
    app = web.Application()
    app.router.add_route("*", "/{path:.*}", answer)
    runner = web.AppRunner(app)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    host, port = runner.addresses[0][:2]
    http = PlatformHttp()
    await http.start()
    try:
        await use(http, f"{host}:{port}")
    finally:
        await http.close()
        await runner.cleanup()


def run_with_server(answer: Any, use: Any) -> None:
    """Serve all paths with `answer` while `use` runs, on a loop of its own."""
    asyncio.run(with_server(answer, use))


def start_order(address: str) -> StartOrder:
    """Return a start for the worker at `address`."""
    return StartOrder(
        worker=entry("i-1", address=address),
        task=TASK,
        run=RunNumber(2),
        spec="x",
        fence=Fence(7),
        until_ms=486000,
        checkpoint="c",
        ticket="",
    )


def renewal_order(address: str) -> RenewalOrder:
    """Return a renewal for the worker at `address`."""
    worker = entry("i-1", address=address)
    return RenewalOrder(worker, Fence(7), EndNumber(0), until_ms=1, wait_ms=0)
