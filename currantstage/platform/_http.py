"""HTTP client that all of the platform's services share."""

from __future__ import annotations

import time
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

import aiohttp
import msgspec
from eliot import log_message
from msgspec import Struct

from currantstage.transport import (
    RenewableSession,
    SessionClosedError,
    read_body,
    upload_body,
)
from currantstage.util import (
    LagTolerantTimeout,
    LoopLagMeter,
    UndecodableError,
    decode_json,
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

    The timeout is one of silence: a call that is still being sent, or whose answer
    keeps arriving, is waited for, however large it is. An answer that has arrived while
    the event loop was late is still returned.
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
        encoded = b""
        if body is not None:
            encoded = msgspec.json.encode(body)
            sent_headers["Content-Type"] = "application/json"
            sent_headers["Content-Length"] = str(len(encoded))
        try:
            async with sessions.lend() as session:
                reply = await self._send(
                    session, method, url, timeout_s, encoded, sent_headers
                )
                if reply is CallFailure.TIMEOUT and group in _RENEWED_GROUPS:
                    sessions.renew(session)
                return reply
        except SessionClosedError:
            return CallFailure.REFUSED

    async def _send(
        self,
        session: aiohttp.ClientSession,
        method: str,
        url: str,
        timeout_s: float,
        body: bytes,
        headers: Mapping[str, str],
    ) -> HttpReply | CallFailure:
        sent_s = time.monotonic()
        try:
            async with (
                LagTolerantTimeout(self._lag_meter, timeout_s) as silence,
                session.request(
                    method,
                    url,
                    data=upload_body(body, silence.restart) or None,
                    headers=headers,
                ) as response,
            ):
                waited_s = time.monotonic() - sent_s
                reply_body = await read_body(response, silence.restart)
                return HttpReply(response.status, reply_body, waited_s)
        except (aiohttp.ClientConnectorError, aiohttp.InvalidURL, UnicodeError):
            return CallFailure.REFUSED
        except TimeoutError:
            return CallFailure.TIMEOUT
        except aiohttp.ClientError:
            return CallFailure.BROKEN
        except ValueError as error:
            # The HTTP library can't send it, such as a header with a line feed.
            log_message("currantstage:call-not-sendable", url=url, error=str(error))
            return CallFailure.BROKEN


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
