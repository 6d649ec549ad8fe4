"""HTTP server: a sanic application on one address, in the daemon's event loop."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from sanic import Sanic

from currantstage.transport._errors import ListenError

if TYPE_CHECKING:
    from sanic.server import AsyncioServer

#: Maximum number of connections that wait to be accepted. A connection attempt beyond
#: it is dropped, and the caller retries only after a second.
LISTEN_BACKLOG = 4096
#: Maximum time that a connection waits for its response, in seconds.
RESPONSE_TIMEOUT_S = 25 * 3600


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
