"""Queries between daemons about jobs, each with a reply and a timeout.

Uses HTTP instead of the sockets of other peer messages, since each query needs its own
reply and timeout, and an unresponsive connection must not delay the next query.
"""

from __future__ import annotations

import asyncio
from enum import Enum
from functools import partial
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
from currantstage.transport._body_transfer import read_body, upload_body
from currantstage.transport._renewable_session import RenewableSession

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

    #: There is no connection, so nothing was sent.
    REFUSED = "refused"
    #: The peer may have handled the query.
    NO_REPLY = "silent"


class JobPeerClient:
    """Sends queries to peers, over connection pools of their own.

    After a query without a reply, the peer's other open connections aren't trusted
    either.
    """

    def __init__(self) -> None:
        self._sessions: dict[str, RenewableSession] = {}
        self._is_closed = False

    async def start(self) -> None:
        """Do nothing; a peer's pool is opened by the first query to it."""

    async def close(self) -> None:
        """Close all connections; later queries are refused."""
        self._is_closed = True
        for sessions in self._sessions.values():
            await sessions.close()
        self._sessions.clear()

    async def send_query(
        self, address: str, query: PeerQuery, timeout_s: float
    ) -> PeerReply | PeerFailure:
        """Send a query; return the reply, or why there is none.

        `timeout_s` is the time without any progress after which the query is given up.
        """
        if self._is_closed:
            return PeerFailure.REFUSED
        body = encode_peer_message(query)
        sessions = self._sessions_to(address)
        async with sessions.lend() as session:
            try:
                async with asyncio.timeout(timeout_s) as silence:
                    on_progress = partial(_restart, silence, timeout_s)
                    async with session.post(
                        f"http://{address}{PEER_PATH}",
                        data=upload_body(body, on_progress),
                        headers={"Content-Length": str(len(body))},
                    ) as response:
                        reply = await read_body(response, on_progress)
                return decode_peer_reply(reply)
            except aiohttp.ClientConnectorError:
                return PeerFailure.REFUSED
            except TimeoutError:
                sessions.renew(session)
                return PeerFailure.NO_REPLY
            except (aiohttp.ClientError, DecodeError):
                return PeerFailure.NO_REPLY

    def _sessions_to(self, address: str) -> RenewableSession:
        if address not in self._sessions:
            self._sessions[address] = RenewableSession(_open_session)
            self._sessions[address].start()
        return self._sessions[address]


def _restart(silence: asyncio.Timeout, timeout_s: float) -> None:
    silence.reschedule(asyncio.get_running_loop().time() + timeout_s)


def _open_session() -> aiohttp.ClientSession:
    connector = aiohttp.TCPConnector(limit=MAX_CONNECTIONS_PER_PEER)
    return aiohttp.ClientSession(connector=connector)


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
