"""Client of the backend servers: one request at a time on a connection."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import aiohttp

from currantstage.coordination.requests import Answer, SendFailure
from currantstage.protocol import DEFAULT_TYPE, TIMEOUT_HEADER

if TYPE_CHECKING:
    from currantstage.state import QueueId, Vm

#: Longest time to make a connection, in seconds.
CONNECT_TIMEOUT_S = 1.0
#: Longest time to the answer of a probe, in seconds.
PROBE_TIMEOUT_S = 1.0
#: A connection that was idle for longer is not used again, in seconds.
MAX_IDLE_S = 5.0
_NO_CONTENT = 204


@dataclass(frozen=True, slots=True)
class BackendCall:
    """One attempt to run a request.

    Parameters
    ----------
    queue : QueueId
    content_type : str
    body : bytes
    timeout_s : float
        Time left to the deadline, which the server is told as well, in seconds.
    silence_s : float or None
        Longest time without progress, in seconds; None for no bound but the deadline.
    """

    queue: QueueId
    content_type: str
    body: bytes
    timeout_s: float
    silence_s: float | None


class ServerConnections:
    """Connections with one backend server, replaced as a whole after doubt.

    Parameters
    ----------
    address : str
        ``IP:port``.
    max_connections : int
    """

    def __init__(self, address: str, max_connections: int) -> None:
        self._address = address
        connector = aiohttp.TCPConnector(
            limit=max_connections, keepalive_timeout=MAX_IDLE_S
        )
        self._session = aiohttp.ClientSession(
            connector=connector, cookie_jar=aiohttp.DummyCookieJar()
        )
        self._active = 0
        self._is_retired = False

    @property
    def is_closed(self) -> bool:
        """Whether all connections are closed."""
        return self._session.closed

    async def close(self) -> None:
        """Close all connections at once."""
        await self._session.close()

    async def retire(self) -> None:
        """Take no new request, and close when the running ones have ended."""
        self._is_retired = True
        if not self._active:
            await self.close()

    async def send(self, call: BackendCall) -> Answer | SendFailure:
        """Return the whole answer, or how far the request came."""
        self._active += 1
        try:
            return await self._send(call)
        # These two are raised only before a connection is made.
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return SendFailure.NOT_SENT
        except TimeoutError:
            return SendFailure.SILENT
        except aiohttp.ClientError:
            return SendFailure.SENT
        finally:
            self._active -= 1
            if self._is_retired and not self._active:
                await self.close()

    async def probe(self) -> bool:
        """Return whether the server answers anything on these connections."""
        try:
            async with self._session.head(
                f"http://{self._address}/",
                timeout=aiohttp.ClientTimeout(total=PROBE_TIMEOUT_S),
                allow_redirects=False,
            ):
                return True
        except (aiohttp.ClientError, TimeoutError):
            return False

    async def _send(self, call: BackendCall) -> Answer | SendFailure:
        timeout = aiohttp.ClientTimeout(
            total=call.timeout_s,
            sock_connect=CONNECT_TIMEOUT_S,
            sock_read=call.silence_s,
        )
        # aiohttp repeats a request on its own only for idempotent methods, so never
        # a POST.
        async with self._session.post(
            f"http://{self._address}/run/{call.queue}",
            data=call.body,
            headers={
                "content-type": call.content_type,
                TIMEOUT_HEADER: str(int(call.timeout_s * 1000)),
            },
            timeout=timeout,
            allow_redirects=False,
        ) as response:
            content = await response.read()
        if not _has_length(response):
            return SendFailure.SENT
        answer_type = response.headers.get("content-type", DEFAULT_TYPE)
        return Answer(response.status, answer_type, content)


class BackendClient:
    """Sends requests to backend servers.

    After a timeout or a short answer aiohttp closes the connection and never reuses
    it.
    """

    def __init__(self) -> None:
        self._servers: dict[str, ServerConnections] = {}
        self._retired: set[ServerConnections] = set()
        self._is_open = False

    async def start(self) -> None:
        """Allow requests."""
        self._is_open = True

    async def close(self) -> None:
        """Close all connections."""
        self._is_open = False
        servers = (*self._servers.values(), *self._retired)
        self._servers.clear()
        self._retired.clear()
        for server in servers:
            await server.close()

    async def send(self, vm: Vm, call: BackendCall) -> Answer | SendFailure:
        """Return the whole answer of `vm`, or how far the request came."""
        if not self._is_open:
            return SendFailure.NOT_SENT
        server = self._servers.get(vm.address)
        if server is None:
            server = ServerConnections(vm.address, vm.connections)
            self._servers[vm.address] = server
        return await server.send(call)

    async def renew(self, vm: Vm) -> None:
        """Use none of the present connections with `vm` for a further request."""
        self._retired = {server for server in self._retired if not server.is_closed}
        server = self._servers.pop(vm.address, None)
        if server is not None:
            self._retired.add(server)
            await server.retire()

    async def probe(self, vm: Vm) -> bool:
        """Return whether `vm` answers on a fresh connection."""
        server = ServerConnections(vm.address, max_connections=1)
        try:
            return await server.probe()
        finally:
            await server.close()


def _has_length(response: aiohttp.ClientResponse) -> bool:
    """Return whether the end of the answer can be told from a lost connection."""
    headers = response.headers
    return (
        "content-length" in headers
        or "transfer-encoding" in headers
        or response.status == _NO_CONTENT
    )
