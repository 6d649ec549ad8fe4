"""A stand-in for a backend server that can be made to fail."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from enum import Enum
from weakref import WeakSet

from aiohttp import web

from currantstage.standin._platform import start_site

#: Maximum time that a silent backend server holds a request open, in seconds.
MAX_HOLD_S = 60.0


class BackendMode(Enum):
    """How the stand-in handles requests."""

    UP = "up"
    FAILING = "failing"
    #: Accepts the request and does not answer.
    SILENT = "silent"
    #: Closes the connection before the announced content length is sent.
    TRUNCATED = "short"
    #: Runs the request, then closes the connection without answering.
    DROPPING = "dropping"


class BackendStandIn:
    """Answers each request with the server's name followed by the request body.

    Parameters
    ----------
    name : str
    address : str
        ``IP:port``.
    duration_s : float
        Processing time of each request, in seconds.
    """

    def __init__(self, name: str, address: str, duration_s: float = 0.0) -> None:
        self.mode = BackendMode.UP
        self.duration_s = duration_s
        #: Bodies of the requests that were run, in order of arrival.
        self.bodies: list[bytes] = []
        self.running = 0
        self.peak_running = 0
        self._connections: WeakSet[asyncio.Transport] = WeakSet()
        self._silenced: WeakSet[asyncio.Transport] = WeakSet()
        self._closing = asyncio.Event()
        self._name = name
        self._address = address
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Start listening."""
        self._closing.clear()
        app = web.Application()
        app.add_routes(
            [web.post("/run/{queue}", self._run), web.head("/", self._answer_probe)]
        )
        self._runner = await start_site(app, self._address)

    async def close(self) -> None:
        """Stop listening."""
        self._closing.set()
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    def silence_connections(self) -> None:
        """Stop answering on the connections that are open now."""
        self._silenced.update(self._connections)

    async def _answer_probe(self, request: web.Request) -> web.Response:
        await self._hold_if_silent(request)
        return web.Response()

    async def _hold_if_silent(self, request: web.Request) -> None:
        if request.transport is None:
            return
        self._connections.add(request.transport)
        is_silent = request.transport in self._silenced
        if is_silent or self.mode is BackendMode.SILENT:
            with suppress(TimeoutError):
                await asyncio.wait_for(self._closing.wait(), MAX_HOLD_S)
            if request.transport is not None:
                request.transport.close()

    async def _run(self, request: web.Request) -> web.StreamResponse:
        body = await request.read()
        if request.transport in self._silenced:
            await self._hold_if_silent(request)
        self.bodies.append(body)
        self.running += 1
        self.peak_running = max(self.peak_running, self.running)
        try:
            await self._hold_if_silent(request)
            await asyncio.sleep(self.duration_s)
        finally:
            self.running -= 1
        if self.mode is BackendMode.FAILING:
            return web.Response(status=500, text="failed")
        if self.mode is BackendMode.DROPPING and request.transport is not None:
            request.transport.close()
        answer = f"{self._name}:".encode() + body
        if self.mode is BackendMode.TRUNCATED:
            return await self._answer_truncated(request, answer)
        return web.Response(body=answer)

    async def _answer_truncated(
        self, request: web.Request, answer: bytes
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers={"content-length": str(len(answer) + 1)})
        await response.prepare(request)
        await response.write(answer)
        if request.transport is not None:
            request.transport.close()
        return response
