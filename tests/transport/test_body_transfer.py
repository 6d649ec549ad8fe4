"""Bodies that take longer to pass than the other side may be silent."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from aiohttp import web

from currantstage.protocol.jobs import (
    AdmissionQuery,
    ConfigurationQuery,
    ConfigurationReply,
    QueueTarget,
    StoreJob,
    decode_peer_query,
    encode_peer_message,
)
from currantstage.state import PoolId, QueueId, TeamId
from currantstage.state.jobs import ConfigurationVersion, JobId, Submission
from currantstage.transport import JobPeerClient, PeerFailure, upload_body
from currantstage.transport._body_transfer import PART_BYTES

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from currantstage.protocol.jobs import PeerQuery, PeerReply

TIMEOUT_S = 0.4
QUERY = ConfigurationQuery(ConfigurationVersion(1))


def _query_peer(
    query: PeerQuery,
    answer: Callable[[web.Request], Awaitable[web.StreamResponse]],
    *,
    is_closed: bool = False,
) -> PeerReply | PeerFailure:
    async def run() -> PeerReply | PeerFailure:
        app = web.Application(client_max_size=2**24)
        app.router.add_post("/{path:.*}", answer)
        runner = web.AppRunner(app)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        host, port = runner.addresses[0][:2]
        client = JobPeerClient()
        await client.start()
        if is_closed:
            await client.close()
        try:
            return await client.send_query(f"{host}:{port}", query, TIMEOUT_S)
        finally:
            await client.close()
            await runner.cleanup()

    return asyncio.run(run())


def test_query_after_the_close_is_not_sent() -> None:
    """A query after the close opened connections that nothing closed."""
    body = encode_peer_message(ConfigurationReply(b"x"))

    async def answer(request: web.Request) -> web.StreamResponse:
        return web.Response(body=body)

    assert _query_peer(QUERY, answer, is_closed=True) is PeerFailure.REFUSED


def test_configuration_that_a_peer_sends_slowly_is_not_given_up() -> None:
    """A peer's copy was given up after 3 s, and begun anew with the next peer."""
    reply = ConfigurationReply(b"x" * 1200)
    body = encode_peer_message(reply)

    async def answer(request: web.Request) -> web.StreamResponse:
        response = web.StreamResponse()
        await response.prepare(request)
        for first in range(0, len(body), 100):
            await response.write(body[first : first + 100])
            await asyncio.sleep(TIMEOUT_S / 4)
        return response

    assert _query_peer(QUERY, answer) == reply


def test_peer_that_falls_silent_in_its_reply_is_given_up() -> None:
    async def answer(request: web.Request) -> web.StreamResponse:
        response = web.StreamResponse()
        await response.prepare(request)
        await response.write(b"x")
        await asyncio.sleep(2 * TIMEOUT_S)
        return response

    assert _query_peer(QUERY, answer) is PeerFailure.NO_REPLY


def test_peer_of_an_older_release_that_does_not_know_a_query_counts_as_silent() -> None:
    async def answer(request: web.Request) -> web.StreamResponse:
        return web.Response(status=400)

    query = AdmissionQuery(QueueTarget(QueueId("q")), "key")
    assert _query_peer(query, answer) is PeerFailure.NO_REPLY


def test_large_body_arrives_whole_with_its_length() -> None:
    submission = Submission(
        job=JobId("0" * 16),
        queue=QueueId("q"),
        pool=PoolId("p"),
        team=TeamId("t"),
        spec="x" * 10 * PART_BYTES,
        steps=(),
    )
    seen: list[object] = []

    async def answer(request: web.Request) -> web.StreamResponse:
        body = await request.read()
        seen.append((request.content_length, decode_peer_query(body)))
        return web.Response(body=encode_peer_message(ConfigurationReply(None)))

    query = StoreJob(submission)
    assert _query_peer(query, answer) == ConfigurationReply(None)
    assert seen == [(len(encode_peer_message(query)), query)]


def test_each_part_that_the_link_takes_is_progress() -> None:
    taken: list[int] = []
    progress: list[int] = []

    async def send(parts: AsyncIterator[bytes]) -> None:
        async for part in parts:
            taken.append(len(part))

    parts = upload_body(b"x" * (3 * PART_BYTES + 1), lambda: progress.append(1))
    assert not isinstance(parts, bytes)
    asyncio.run(send(parts))
    assert taken == [PART_BYTES] * 3 + [1]
    assert len(progress) == len(taken)
