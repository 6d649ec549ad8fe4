"""HTTP client that all of the platform's services share."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

import aiohttp
import msgspec
from msgspec import Struct

from currantstage.util import LagTolerantTimeout, LoopLagMeter

if TYPE_CHECKING:
    from collections.abc import Mapping

#: Maximum number of connections to one address; a worker accepts 64 in all.
MAX_CONNECTIONS_PER_ADDRESS = 12
#: Time after which an idle connection is closed, in seconds.
IDLE_CONNECTION_S = 20.0
#: Headers that the HTTP library would add to each call, though no service reads them.
UNUSED_HEADERS = ("Accept", "Accept-Encoding", "User-Agent")


class CallFailure(Enum):
    """Reason why a call got no response."""

    REFUSED = "refused"
    TIMEOUT = "timeout"
    BROKEN = "broken"


@dataclass(frozen=True, slots=True)
class HttpReply:
    """Complete HTTP response."""

    status: int
    body: bytes


class _Refusal(Struct, rename="pascal"):
    reason: str = ""


def read_reason(reply: HttpReply) -> str:
    """Return the reason for a refused order; empty if the response has none.

    >>> read_reason(HttpReply(409, b'{"Reason":"fence"}'))
    'fence'
    """
    try:
        return msgspec.json.decode(reply.body, type=_Refusal).reason
    except msgspec.DecodeError:
        return ""


class PlatformHttp:
    """Sends calls, each with a timeout; never retries.

    An answer that has arrived while the event loop was late is still returned.
    """

    def __init__(self) -> None:
        self._session: aiohttp.ClientSession | None = None
        self._lag_meter = LoopLagMeter()

    async def start(self) -> None:
        """Open the connection pool."""
        await self._lag_meter.start()
        connector = aiohttp.TCPConnector(
            limit=0,
            limit_per_host=MAX_CONNECTIONS_PER_ADDRESS,
            keepalive_timeout=IDLE_CONNECTION_S,
        )
        self._session = aiohttp.ClientSession(
            connector=connector,
            auto_decompress=False,
            skip_auto_headers=UNUSED_HEADERS,
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._lag_meter.close()
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def call(
        self,
        method: str,
        url: str,
        timeout_s: float,
        *,
        body: object = None,
        headers: Mapping[str, str] | None = None,
    ) -> HttpReply | CallFailure:
        """Send one call; only `CallFailure.REFUSED` means that nothing was sent."""
        assert self._session is not None
        sent_headers = dict(headers or {})
        data = None
        if body is not None:
            data = msgspec.json.encode(body)
            sent_headers["Content-Type"] = "application/json"
        try:
            async with (
                LagTolerantTimeout(self._lag_meter, timeout_s),
                self._session.request(
                    method, url, data=data, headers=sent_headers
                ) as response,
            ):
                return HttpReply(response.status, await response.read())
        except aiohttp.ClientConnectorError:
            return CallFailure.REFUSED
        except TimeoutError:
            return CallFailure.TIMEOUT
        except aiohttp.ClientError:
            return CallFailure.BROKEN
