"""HTTP server whose calls meet faults, and whose listening socket can be closed."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from aiohttp import web

from currantstage.standin.served._faults import FaultKind

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from currantstage.standin.served._faults import Fault

#: Prefix of the paths of all calls.
PREFIX = "/currantstage"
#: Time for which a silent service keeps a connection, in seconds.
SILENCE_S = 30.0
#: Time that calls under way get when the server closes, in seconds.
SHUTDOWN_S = 0.05
#: Methods that change nothing.
READING_METHODS = ("GET", "HEAD")
#: Maximum size of a call's body, in bytes.
MAX_BODY_BYTES = 8_000_000


class FaultyListener:
    """Serves an application on one address.

    Parameters
    ----------
    address : str
        ``IP:port``.
    is_open : callable
        Returns whether the listening socket is to be open now.
    find_fault : callable
        Returns the fault that a call meets now, by whether it is an order.
    """

    def __init__(
        self,
        address: str,
        is_open: Callable[[], bool],
        find_fault: Callable[[bool], Fault | None],
    ) -> None:
        self.address = address
        self.app = web.Application(
            middlewares=[self._meet_fault], client_max_size=MAX_BODY_BYTES
        )
        self._is_open = is_open
        self._find_fault = find_fault
        self._runner = web.AppRunner(
            self.app, access_log=None, shutdown_timeout=SHUTDOWN_S
        )
        self._site: web.TCPSite | None = None

    async def start(self) -> None:
        """Prepare the application, and listen if the socket is to be open."""
        await self._runner.setup()
        await self.update()

    async def close(self) -> None:
        """Close the socket and all connections."""
        self._abort_connections()
        await self._runner.cleanup()

    async def update(self) -> None:
        """Open or close the listening socket as `is_open` says."""
        is_open = self._is_open()
        if is_open and self._site is None:
            host, _, port = self.address.rpartition(":")
            self._site = web.TCPSite(self._runner, host, int(port), reuse_address=True)
            await self._site.start()
        elif not is_open and self._site is not None:
            site, self._site = self._site, None
            await site.stop()
            self._abort_connections()

    def _abort_connections(self) -> None:
        server = self._runner.server
        for connection in tuple(server.connections if server else ()):
            if connection.transport is not None:
                connection.transport.abort()

    @web.middleware
    async def _meet_fault(
        self,
        request: web.Request,
        handler: Callable[[web.Request], Awaitable[web.StreamResponse]],
    ) -> web.StreamResponse:
        fault = self._find_fault(request.method not in READING_METHODS)
        match fault.kind if fault else None:
            case FaultKind.REFUSE | FaultKind.RESET:
                return _abort(request)
            case FaultKind.UNAVAILABLE:
                return web.Response(status=503)
            case FaultKind.SILENT:
                return await _stay_silent(request)
            case FaultKind.LOSE_ANSWERS:
                await handler(request)
                return await _stay_silent(request)
            case FaultKind.SLOW if fault is not None:
                await asyncio.sleep(fault.delay_s)
        if not self._is_open():
            return _abort(request)
        response = await handler(request)
        # An answer that the socket's closing overtakes is lost.
        return response if self._is_open() else _abort(request)


def _abort(request: web.Request) -> web.Response:
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=503)


async def _stay_silent(request: web.Request) -> web.Response:
    await asyncio.sleep(SILENCE_S)
    return _abort(request)
