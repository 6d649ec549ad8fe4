"""HTTP server: a sanic application on one address, in the daemon's event loop."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from sanic import Sanic
from sanic.exceptions import SanicException
from sanic.http import Stage

from currantstage.transport._errors import ListenError

if TYPE_CHECKING:
    from collections.abc import Collection

    from sanic.server import AsyncioServer, HttpProtocol

#: Maximum number of connections that wait to be accepted. A connection attempt beyond
#: it is dropped, and the caller retries only after a second.
LISTEN_BACKLOG = 4096
#: Maximum time that a connection waits for its response, in seconds.
RESPONSE_TIMEOUT_S = 25 * 3600
#: Interval between checks whether all connections are closed, in seconds.
DRAIN_CHECK_S = 0.02
#: Maximum time that the responses to aborted calls may take, in seconds.
ABORT_TIMEOUT_S = 0.5
#: Status of aborted calls, whose outcome is unknown to the caller.
_ABORTED_STATUS = 504


class HttpServer:
    """Runs a sanic application through `create_server`, without worker processes.

    Parameters
    ----------
    name : str
        Unique name of the application within the process.
    address : str
        ``IP:port`` to listen on.
    max_body_bytes : int
        Maximum size of a request body, in bytes.
    """

    def __init__(self, name: str, address: str, max_body_bytes: int) -> None:
        self.app: Sanic[Any, Any] = Sanic(name, configure_logging=False)
        # Sanic rewrites methods at start-up, which breaks a second application in the
        # same process.
        self.app.config.TOUCHUP = False
        self.app.config.REQUEST_MAX_SIZE = max_body_bytes
        # Queues limit the time of each request. Sanic's own response to a timeout would
        # not state the outcome of the request.
        self.app.config.RESPONSE_TIMEOUT = RESPONSE_TIMEOUT_S
        self.app.config.FALLBACK_ERROR_FORMAT = "text"
        self._address = address
        self._server: AsyncioServer | None = None

    async def start(self) -> None:
        """Start to listen; raises `ListenError` if the address is not available."""
        host, _, port = self._address.rpartition(":")
        try:
            server = await self.app.create_server(
                host=host,
                port=int(port),
                return_asyncio_server=True,
                access_log=False,
                backlog=LISTEN_BACKLOG,
            )
        except OSError as error:
            raise ListenError(f"{self._address}: {error}") from error
        assert server is not None
        await server.startup()
        await server.before_start()
        await server.after_start()
        self._server = server

    def close_after_responses(self) -> None:
        """Close each connection after its next response, from now on."""
        self.app.config.KEEP_ALIVE = False
        if self._server is None:
            return
        for connection in self._server.connections:
            # A call under way has read the setting before.
            if connection.http is not None:
                connection.http.keep_alive = False

    async def drain(self, timeout_s: float) -> bool:
        """Stop listening, and wait until the calls under way are answered.

        Connections without a call are closed at once, the others after the response.
        Returns False if some calls have no response after `timeout_s`.
        """
        if self._server is None:
            return True
        self.close_after_responses()
        self._server.close()
        return await _wait_disconnected(self._server.connections, timeout_s)

    async def close(self) -> None:
        """Stop listening, abort the calls under way, and close all connections.

        No call is being handled after that. An aborted one gets a response that leaves
        its outcome in doubt.
        """
        Sanic.unregister_app(self.app)
        server, self._server = self._server, None
        if server is None:
            return
        await server.before_stop()
        server.close()
        await server.wait_closed()
        connections: Collection[HttpProtocol] = server.connections
        for connection in tuple(connections):
            if not _is_idle(connection):
                _abort_call(connection)
        if not await _wait_disconnected(connections, ABORT_TIMEOUT_S):
            for connection in tuple(connections):
                connection.abort()
        await server.after_stop()


async def _wait_disconnected(
    connections: Collection[HttpProtocol], timeout_s: float
) -> bool:
    """Close connections without a call; return whether all others are closed too."""
    loop = asyncio.get_running_loop()
    until_s = loop.time() + timeout_s
    while True:
        for connection in tuple(connections):
            if _is_idle(connection):
                connection.close()
        if not connections:
            return True
        if loop.time() >= until_s:
            return False
        await asyncio.sleep(DRAIN_CHECK_S)


def _is_idle(connection: HttpProtocol) -> bool:
    """Return whether no part of a call has been read that has no response yet."""
    is_between_calls = connection.http is None or connection.http.stage is Stage.IDLE
    return is_between_calls and not connection.recv_buffer


def _abort_call(connection: HttpProtocol) -> None:
    """Cancel the handling of a call; its connection is closed after the response."""
    http, task = connection.http, connection._task
    if http is None or task is None:
        connection.close()
        return
    http.exception = SanicException(status_code=_ABORTED_STATUS, quiet=True)
    task.cancel()
