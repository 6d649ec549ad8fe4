"""HTTP client for backend servers, with one request at a time per connection."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import aiohttp

from currantstage.coordination.requests import Answer, SendFailure
from currantstage.protocol import DEFAULT_CONTENT_TYPE, TIMEOUT_HEADER

if TYPE_CHECKING:
    from currantstage.state import QueueId, Vm

#: Timeout for establishing a connection, in seconds.
CONNECT_TIMEOUT_S = 1.0
#: Timeout for the response to a probe, in seconds.
PROBE_TIMEOUT_S = 1.0
#: Time after which an idle connection is not reused, in seconds.
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
        Time left until the deadline, which is also sent to the server, in seconds.
    silence_timeout_s : float or None
        Maximum time without progress, in seconds; None if only the deadline applies.
    """

    queue: QueueId
    content_type: str
    body: bytes
    timeout_s: float
    silence_timeout_s: float | None


class ServerConnections:
    """Connections to one backend server, replaced together once one is suspect.

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
        self._active_requests = 0
        self._is_retired = False

    @property
    def is_closed(self) -> bool:
        """Whether all connections are closed."""
        return self._session.closed

    async def close(self) -> None:
        """Close all connections immediately."""
        await self._session.close()

    async def retire(self) -> None:
        """Accept no further requests, and close once the running ones have ended."""
        self._is_retired = True
        if not self._active_requests:
            await self.close()

    async def send(self, call: BackendCall) -> Answer | SendFailure:
        """Send a request; return the complete answer, or how far the request got."""
        self._active_requests += 1
        try:
            return await self._send(call)
        # These two are raised only before a connection is established.
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return SendFailure.NOT_SENT
        except TimeoutError:
            return SendFailure.SILENT
        except aiohttp.ClientError:
            return SendFailure.SENT
        finally:
            self._active_requests -= 1
            if self._is_retired and not self._active_requests:
                await self.close()

    async def probe(self) -> bool:
        """Return whether the server responds, with any status."""
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
            sock_read=call.silence_timeout_s,
        )
        # aiohttp retries requests by itself only for idempotent methods, so never a
        # POST.
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
        if not _has_delimited_body(response):
            return SendFailure.SENT
        content_type = response.headers.get("content-type", DEFAULT_CONTENT_TYPE)
        return Answer(response.status, content_type, content)


class BackendClient:
    """Sends requests to backend servers.

    aiohttp never reuses a connection after a timeout or a truncated answer, but
    closes it.
    """

    def __init__(self) -> None:
        self._servers: dict[str, ServerConnections] = {}
        self._retired: set[ServerConnections] = set()
        self._is_open = False

    async def start(self) -> None:
        """Accept requests from now on."""
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
        """Send a request to `vm`; return the complete answer, or how far it got."""
        if not self._is_open:
            return SendFailure.NOT_SENT
        server = self._servers.get(vm.address)
        if server is None:
            server = ServerConnections(vm.address, vm.connections)
            self._servers[vm.address] = server
        return await server.send(call)

    async def replace_connections(self, vm: Vm) -> None:
        """Use new connections to `vm` for all further requests."""
        self._retired = {server for server in self._retired if not server.is_closed}
        server = self._servers.pop(vm.address, None)
        if server is not None:
            self._retired.add(server)
            await server.retire()

    async def probe(self, vm: Vm) -> bool:
        """Return whether `vm` responds on a new connection."""
        server = ServerConnections(vm.address, max_connections=1)
        try:
            return await server.probe()
        finally:
            await server.close()


def _has_delimited_body(response: aiohttp.ClientResponse) -> bool:
    """Return whether an answer cut off by a lost connection is detectable."""
    headers = response.headers
    return (
        "content-length" in headers
        or "transfer-encoding" in headers
        or response.status == _NO_CONTENT
    )
