"""Client of the backend servers: one request at a time on a connection."""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp

from currantstage.coordination import Answer, SendFailure

if TYPE_CHECKING:
    from currantstage.state import QueueId

_DEFAULT_TYPE = "application/octet-stream"


class BackendClient:
    """Sends requests to backend servers.

    Each connection carries one request at a time. After a timeout, a cancelled
    caller or a short answer aiohttp closes the connection and never reuses it.
    """

    def __init__(self) -> None:
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the connection pool."""
        connector = aiohttp.TCPConnector(limit=0)
        self._session = aiohttp.ClientSession(connector=connector)

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def send(
        self,
        address: str,
        queue: QueueId,
        content_type: str,
        body: bytes,
        timeout_s: float,
    ) -> Answer | SendFailure:
        """Return the whole answer of a backend server, or how far the request came.

        Parameters
        ----------
        address : str
            ``IP:port`` of the backend server.
        queue : QueueId
        content_type : str
        body : bytes
        timeout_s : float
            Deadline of the answer, in seconds.
        """
        if self._session is None:
            return SendFailure.NOT_SENT
        try:
            async with self._session.post(
                f"http://{address}/run/{queue}",
                data=body,
                headers={"content-type": content_type},
                timeout=aiohttp.ClientTimeout(total=timeout_s),
                allow_redirects=False,
            ) as response:
                content = await response.read()
        except aiohttp.ClientConnectorError:
            return SendFailure.NOT_SENT
        except (aiohttp.ClientError, TimeoutError):
            return SendFailure.SENT
        answer_type = response.headers.get("content-type", _DEFAULT_TYPE)
        return Answer(response.status, answer_type, content)
