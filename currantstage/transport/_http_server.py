"""A sanic application on one address, inside the daemon's own loop."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from sanic import Sanic

from currantstage.transport._errors import ListenError

if TYPE_CHECKING:
    from sanic.server import AsyncioServer

#: Connections that may wait to be taken; beyond it a caller's connection attempt is
#: dropped, and repeated only after a second.
LISTEN_BACKLOG = 4096
#: Longest that a connection waits for its answer, in seconds.
MAX_ANSWER_S = 25 * 3600


class HttpServer:
    """Runs a sanic application by its `create_server`, with no worker process.

    Parameters
    ----------
    name : str
        Unique name of the application within the process.
    address : str
        ``IP:port`` to listen on.
    max_body_bytes : int
        Longest request body that is read, in bytes.
    """

    def __init__(self, name: str, address: str, max_body_bytes: int) -> None:
        self.app: Sanic[Any, Any] = Sanic(name, configure_logging=False)
        # The rewriting of methods at start would break a second application.
        self.app.config.TOUCHUP = False
        self.app.config.REQUEST_MAX_SIZE = max_body_bytes
        # Queues bound each request; sanic's own answer would not say its outcome.
        self.app.config.RESPONSE_TIMEOUT = MAX_ANSWER_S
        self._address = address
        self._server: AsyncioServer | None = None

    async def start(self) -> None:
        """Listen; raises `ListenError` when the address can't be had."""
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

    async def close(self) -> None:
        """Stop listening and close idle connections."""
        if self._server is None:
            return
        await self._server.before_stop()
        self._server.close()
        await self._server.wait_closed()
        await self._server.after_stop()
        self._server = None
        for connection in tuple(getattr(self.app, "connections", ())):
            connection.close()
        Sanic.unregister_app(self.app)
