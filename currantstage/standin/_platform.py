"""A stand-in for the platform's HTTP service that can be made to fail."""

from __future__ import annotations

import asyncio
from enum import Enum
from typing import TYPE_CHECKING

import msgspec
from aiohttp import web

from currantstage.protocol import WireReboot, WireTransaction
from currantstage.standin._table import PlatformContent
from currantstage.state import RebootTicket, VmId

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable


class PlatformMode(Enum):
    """How the stand-in handles calls."""

    UP = "up"
    #: Answers with status 503 without carrying out the call.
    DOWN = "down"
    #: Carries out the call, then closes the connection without answering.
    DROPPING = "loses-answers"


class PlatformStandIn:
    """Serves `PlatformContent` over HTTP at one address.

    Parameters
    ----------
    address : str
        ``IP:port``.
    """

    def __init__(self, address: str) -> None:
        self.content = PlatformContent()
        self.mode = PlatformMode.UP
        #: Delay before each answer, in seconds.
        self.delay_s = 0.0
        self.calls = 0
        self._address = address
        self._runner: web.AppRunner | None = None

    @property
    def url(self) -> str:
        """Base URL of the service."""
        return f"http://{self._address}"

    async def start(self) -> None:
        """Start listening."""
        app = web.Application(middlewares=[self._fail])
        app.add_routes(
            [
                web.get("/rows", self._rows),
                web.post("/transactions", self._transactions),
                web.get("/objects/{name:.+}", self._get_object),
                web.put("/objects/{name:.+}", self._put_object),
                web.get("/objects", self._list_names),
                web.delete("/objects/{name:.+}", self._delete_object),
                web.get("/vms", self._vms),
                web.put("/vms/{vm}/reboots/{ticket:.+}", self._reboot),
            ]
        )
        self._runner = await start_site(app, self._address)

    async def close(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    @web.middleware
    async def _fail(
        self,
        request: web.Request,
        handler: Callable[[web.Request], Awaitable[web.StreamResponse]],
    ) -> web.StreamResponse:
        self.calls += 1
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        if self.mode is PlatformMode.DOWN:
            return web.Response(status=503)
        response = await handler(request)
        if self.mode is PlatformMode.DROPPING and request.transport is not None:
            request.transport.close()
        return response

    async def _rows(self, request: web.Request) -> web.Response:
        if "key" in request.query:
            return _json(self.content.read(request.query["key"]))
        return _json(self.content.scan(request.query["prefix"]))

    async def _transactions(self, request: web.Request) -> web.Response:
        body = await request.read()
        transaction = msgspec.json.decode(body, type=WireTransaction)
        return _json(self.content.transact(transaction))

    async def _get_object(self, request: web.Request) -> web.Response:
        body = self.content.get_object(request.match_info["name"])
        if body is None:
            return web.Response(status=404)
        return web.Response(body=body)

    async def _put_object(self, request: web.Request) -> web.Response:
        self.content.put_object(request.match_info["name"], await request.read())
        return web.Response()

    async def _list_names(self, request: web.Request) -> web.Response:
        return _json(self.content.list_names(request.query["prefix"]))

    async def _delete_object(self, request: web.Request) -> web.Response:
        self.content.delete_object(request.match_info["name"])
        return web.Response()

    async def _reboot(self, request: web.Request) -> web.Response:
        ticket = RebootTicket(request.match_info["ticket"])
        status = self.content.reboot(VmId(request.match_info["vm"]), ticket)
        return _json(WireReboot(status=status))

    async def _vms(self, _: web.Request) -> web.Response:
        return _json(self.content.list_vms())


def _json(message: msgspec.Struct) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(message), content_type="application/json"
    )


async def start_site(app: web.Application, address: str) -> web.AppRunner:
    """Serve `app` at ``IP:port`` and return its runner."""
    host, _, port = address.rpartition(":")
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, host, int(port)).start()
    return runner
