"""Queries between daemons about jobs, each with a reply and a timeout.

Uses HTTP instead of the sockets of other peer messages, since each query needs its own
reply and timeout, and an unresponsive connection must not delay the next query.
"""

from __future__ import annotations

import asyncio
from enum import Enum
from typing import TYPE_CHECKING

import aiohttp
from sanic.response import empty, raw

from currantstage.protocol import DecodeError
from currantstage.protocol.jobs import (
    PeerQuery,
    PeerReply,
    decode_peer_query,
    decode_peer_reply,
    encode_peer_message,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from typing import Any

    from sanic import Request, Sanic
    from sanic.response import HTTPResponse

#: Path that serves queries of peers.
PEER_PATH = "/peer/v1/query"
#: Maximum number of connections to one peer.
MAX_CONNECTIONS_PER_PEER = 16


class PeerFailure(Enum):
    """Why a query has no reply."""

    #: No connection could be established, so nothing was sent.
    REFUSED = "refused"
    #: The peer may have handled the query.
    NO_REPLY = "silent"


class JobPeerClient:
    """Sends queries to peers."""

    def __init__(self) -> None:
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the connection pool."""
        connector = aiohttp.TCPConnector(
            limit=0, limit_per_host=MAX_CONNECTIONS_PER_PEER
        )
        self._session = aiohttp.ClientSession(connector=connector)

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def send_query(
        self, address: str, query: PeerQuery, timeout_s: float
    ) -> PeerReply | PeerFailure:
        """Send a query; return the reply, or why there is none."""
        assert self._session is not None
        try:
            async with (
                asyncio.timeout(timeout_s),
                self._session.post(
                    f"http://{address}{PEER_PATH}", data=encode_peer_message(query)
                ) as response,
            ):
                return decode_peer_reply(await response.read())
        except aiohttp.ClientConnectorError:
            return PeerFailure.REFUSED
        except (TimeoutError, aiohttp.ClientError, DecodeError):
            return PeerFailure.NO_REPLY


def add_job_peer_route(
    app: Sanic[Any, Any], answer: Callable[[PeerQuery], Awaitable[PeerReply]]
) -> None:
    """Serve queries of peers through `answer`."""

    async def handle(request: Request) -> HTTPResponse:
        try:
            query = decode_peer_query(request.body)
        except DecodeError:
            return empty(status=400)
        return raw(encode_peer_message(await answer(query)))

    app.add_route(handle, PEER_PATH, methods=["POST"], name="peer-query")
