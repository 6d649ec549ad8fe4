"""HTTP client that all of the platform's services share."""

from __future__ import annotations

import time
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

import aiohttp
import msgspec
from msgspec import Struct

from currantstage.transport import RenewableSession
from currantstage.util import (
    LagTolerantTimeout,
    LoopLagMeter,
    UndecodableError,
    decode_json,
    record_arrival,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

#: Maximum number of connections to one address; a worker accepts 64 in all.
MAX_CONNECTIONS_PER_ADDRESS = 12
#: Time after which an idle connection is closed, in seconds.
IDLE_CONNECTION_S = 20.0
#: Headers that the HTTP library would add to each call, though no service reads them.
UNUSED_HEADERS = ("Accept", "Accept-Encoding", "User-Agent")


class ConnectionGroup(Enum):
    """Calls that share connections, which none of another group has to wait for.

    Long polls of the store have connections of their own, since writes under way may
    take up all others.
    """

    ORDERS = "orders"
    STORE = "store"
    STORE_POLLS = "store-polls"


#: Groups whose connections all lead to one address. One call without an answer says
#: that the other open ones may have gone silent as well.
_RENEWED_GROUPS = frozenset({ConnectionGroup.STORE, ConnectionGroup.STORE_POLLS})


class CallFailure(Enum):
    """Reason why a call got no response."""

    REFUSED = "refused"
    TIMEOUT = "timeout"
    BROKEN = "broken"


@dataclass(frozen=True, slots=True)
class HttpReply:
    """Complete HTTP response.

    Parameters
    ----------
    status : int
    body : bytes
    waited_s : float
        Time from sending the call until the response began to arrive.
    """

    status: int
    body: bytes
    waited_s: float = 0.0


class _Refusal(Struct, rename="pascal"):
    reason: str = ""


def read_reason(reply: HttpReply) -> str:
    """Return the reason for a refused order; empty if the response has none.

    >>> read_reason(HttpReply(409, b'{"Reason":"fence"}'))
    'fence'
    """
    try:
        return decode_json(reply.body, _Refusal).reason
    except UndecodableError:
        return ""


class PlatformHttp:
    """Sends calls, each with a timeout; never retries.

    The timeout is one of silence: an answer that keeps arriving is waited for, however
    large it is. One that has arrived while the event loop was late is still returned.
    """

    def __init__(self) -> None:
        self._sessions = {
            group: RenewableSession(_open_session) for group in ConnectionGroup
        }
        self._lag_meter = LoopLagMeter()

    async def start(self) -> None:
        """Open the connection pools."""
        await self._lag_meter.start()
        for sessions in self._sessions.values():
            sessions.start()

    async def close(self) -> None:
        """Close all connections."""
        await self._lag_meter.close()
        for sessions in self._sessions.values():
            await sessions.close()

    async def call(
        self,
        method: str,
        url: str,
        timeout_s: float,
        *,
        body: object = None,
        headers: Mapping[str, str] | None = None,
        group: ConnectionGroup = ConnectionGroup.ORDERS,
    ) -> HttpReply | CallFailure:
        """Send one call; only `CallFailure.REFUSED` means that nothing was sent."""
        sessions = self._sessions[group]
        sent_headers = dict(headers or {})
        data = None
        if body is not None:
            data = msgspec.json.encode(body)
            sent_headers["Content-Type"] = "application/json"
        sent_s = time.monotonic()
        async with sessions.lend() as session:
            try:
                async with (
                    LagTolerantTimeout(self._lag_meter, timeout_s) as silence,
                    session.request(
                        method, url, data=data, headers=sent_headers
                    ) as response,
                ):
                    waited_s = time.monotonic() - sent_s
                    body = await _read_body(response, silence)
                    return HttpReply(response.status, body, waited_s)
            except (aiohttp.ClientConnectorError, aiohttp.InvalidURL, UnicodeError):
                return CallFailure.REFUSED
            except TimeoutError:
                if group in _RENEWED_GROUPS:
                    sessions.renew(session)
                return CallFailure.TIMEOUT
            except aiohttp.ClientError:
                return CallFailure.BROKEN


async def _read_body(
    response: aiohttp.ClientResponse, silence: LagTolerantTimeout
) -> bytes:
    """Return the body; each part of it that arrives ends the silence."""
    silence.restart()
    record_arrival(0)
    pieces = []
    async for piece in response.content.iter_any():
        silence.restart()
        record_arrival(len(piece))
        pieces.append(piece)
    return b"".join(pieces)


def _open_session() -> aiohttp.ClientSession:
    connector = aiohttp.TCPConnector(
        limit=0,
        limit_per_host=MAX_CONNECTIONS_PER_ADDRESS,
        keepalive_timeout=IDLE_CONNECTION_S,
    )
    return aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        skip_auto_headers=UNUSED_HEADERS,
    )
