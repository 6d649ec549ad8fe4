"""Shutdown of an HTTP server, with clients that keep their connections."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import pytest
import uvloop
from sanic import HTTPResponse

from currantstage.transport import HttpServer
from tests.ports import free_addresses

if TYPE_CHECKING:
    from sanic import Request

REQUEST = b"GET /work HTTP/1.1\r\nHost: a\r\n\r\n"
#: Time that a call takes, in seconds.
CALL_S = 0.1
#: Time for all that a test waits for, in seconds.
PATIENCE_S = 10.0


class _Service:
    """Counts the calls that it handles."""

    def __init__(self) -> None:
        self.call_s = CALL_S
        self.begun = 0
        self.running = 0

    async def handle(self, _: Request) -> HTTPResponse:
        self.begun += 1
        self.running += 1
        try:
            await asyncio.sleep(self.call_s)
        finally:
            self.running -= 1
        return HTTPResponse("done", 200)


class _Connection:
    """Connection of a client that sends one call after another."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer

    async def send(self, request: bytes = REQUEST) -> None:
        self.writer.write(request)
        await self.writer.drain()

    async def read(self) -> tuple[int, str]:
        """Return the status of a response, and whether the connection stays open.

        The status is 0 if the connection ends without any part of a response.
        """
        try:
            head = await self.reader.readuntil(b"\r\n\r\n")
        except asyncio.IncompleteReadError as error:
            assert not error.partial
            return 0, "close"
        except ConnectionResetError:
            return 0, "close"
        status, *fields = head.decode().lower().strip().split("\r\n")
        headers = dict(each.split(": ", 1) for each in fields)
        await self.reader.readexactly(int(headers["content-length"]))
        return int(status.split()[1]), headers["connection"]

    async def is_closed(self) -> bool:
        """Wait until the server closes the connection."""
        return not await self.reader.read()


@pytest.fixture(params=[asyncio.run, uvloop.run], ids=["asyncio", "uvloop"])
def serve(request: pytest.FixtureRequest) -> Any:
    """Return a function that runs a scenario while a server listens."""

    async def run(scenario: Any) -> None:
        (address,) = free_addresses(1)
        host, _, port = address.rpartition(":")
        service = _Service()
        server = HttpServer("drained", address, 10_000)
        server.app.add_route(service.handle, "/work")
        await server.start()

        async def connect() -> _Connection:
            return _Connection(*await asyncio.open_connection(host, int(port)))

        try:
            async with asyncio.timeout(PATIENCE_S):
                await scenario(server, service, connect)
        finally:
            await server.close()

    return lambda scenario: request.param(run(scenario))


def test_call_under_way_is_answered_before_the_drain_ends(serve: Any) -> None:
    async def scenario(server: Any, service: Any, connect: Any) -> None:
        client = await connect()
        await client.send()
        await asyncio.sleep(CALL_S / 2)
        drain = asyncio.create_task(server.drain(PATIENCE_S))
        assert await client.read() == (200, "close")
        assert await client.is_closed()
        assert await drain

    serve(scenario)


def test_drain_closes_connections_without_a_call_and_refuses_new_ones(
    serve: Any,
) -> None:
    async def scenario(server: Any, service: Any, connect: Any) -> None:
        unused, used = await connect(), await connect()
        await used.send()
        assert await used.read() == (200, "keep-alive")
        assert await server.drain(PATIENCE_S)
        assert await used.is_closed()
        assert await unused.is_closed()
        with pytest.raises(ConnectionRefusedError):
            await connect()

    serve(scenario)


def test_call_whose_first_part_was_read_before_the_drain_is_answered(
    serve: Any,
) -> None:
    async def scenario(server: Any, service: Any, connect: Any) -> None:
        client = await connect()
        await client.send(REQUEST[:20])
        await asyncio.sleep(CALL_S)
        drain = asyncio.create_task(server.drain(PATIENCE_S))
        await asyncio.sleep(CALL_S)
        await client.send(REQUEST[20:])
        assert await client.read() == (200, "close")
        assert await drain

    serve(scenario)


def test_call_that_outlasts_the_drain_gets_a_response_in_doubt(serve: Any) -> None:
    """The call went on after the server's close, with closed clients."""

    async def scenario(server: Any, service: Any, connect: Any) -> None:
        service.call_s = 2 * PATIENCE_S
        client = await connect()
        await client.send()
        await asyncio.sleep(CALL_S)
        assert not await server.drain(CALL_S)
        await server.close()
        assert service.running == 0
        assert await client.read() == (504, "close")

    serve(scenario)


def test_client_that_calls_throughout_the_shutdown_loses_no_call(serve: Any) -> None:
    """A call read after the drain met closed clients, and got a 500."""

    async def scenario(server: Any, service: Any, connect: Any) -> None:
        statuses: list[int] = []

        async def call_until_refused() -> None:
            client = await connect()
            while True:
                await client.send()
                status, connection = await client.read()
                statuses.append(status)
                if connection == "close":
                    client = await connect()

        service.call_s = 0.01
        clients = [asyncio.create_task(call_until_refused()) for _ in range(8)]
        await asyncio.sleep(CALL_S)
        server.close_after_responses()
        await asyncio.sleep(CALL_S)
        assert await server.drain(PATIENCE_S)
        await server.close()
        ends = await asyncio.gather(*clients, return_exceptions=True)
        assert all(isinstance(each, ConnectionError) for each in ends)
        assert set(statuses) <= {0, 200}
        assert statuses.count(200) == service.begun
        assert service.running == 0

    serve(scenario)
