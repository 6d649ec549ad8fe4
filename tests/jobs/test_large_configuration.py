"""Configurations that take seconds to pass the link of a small VM."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
from aiohttp import web

from currantstage.platform import PlatformHttp, StoreClient, _store
from currantstage.state.jobs import ConfigurationVersion, OperatorChanges
from tests.jobs.platform_server import run_with_server
from tests.jobs.scripted_source import ScriptedSource, following, version_in_force
from tests.jobs.shared_link import SharedLink
from tests.jobs.site import run_scenario

if TYPE_CHECKING:
    pass


LINK_BYTES_PER_S = 125_000
V2 = ConfigurationVersion(2)


class LinkedSource(ScriptedSource):
    """Sends each changed configuration over a link."""

    def __init__(self, transfer_s: float) -> None:
        super().__init__()
        self.link = SharedLink(LINK_BYTES_PER_S)
        self.size_bytes = int(transfer_s * LINK_BYTES_PER_S)

    async def changes(self, after: int, wait_ms: int) -> OperatorChanges | None:
        changes = await super().changes(after, wait_ms)
        if changes is not None and changes.configuration is not None:
            await self.link.transfer(self.size_bytes)
        return changes


@pytest.mark.parametrize("transfer_s", [0.5, 2.0, 5.0, 10.0])
def test_change_that_takes_long_to_arrive_is_transferred_once(
    transfer_s: float,
) -> None:
    """Polls that were sent again and again shared the link, and none was answered."""

    async def scenario() -> None:
        source = LinkedSource(transfer_s)
        async with following(source) as follower:
            source.write(V2)
            await asyncio.sleep(transfer_s * 1.2)
            assert version_in_force(follower) == V2
            assert source.link.sent_bytes < source.size_bytes * 1.2

    run_scenario(scenario())


def test_refused_calls_do_not_take_the_link_from_the_change_they_wait_for() -> None:
    """Each refusal began a read of its own, which was given up after a second."""

    async def scenario() -> None:
        source = LinkedSource(transfer_s=4.0)
        async with following(source) as follower:
            source.write(V2)
            questions = []
            for _ in range(50):
                await asyncio.sleep(0.1)
                questions.append(asyncio.create_task(follower.confirm(0.5, 1.0)))
            assert version_in_force(follower) == V2
            assert source.link.sent_bytes < source.size_bytes * 1.2
            await asyncio.gather(*questions)

    run_scenario(scenario())


def test_changes_in_quick_succession_come_into_force_one_transfer_late() -> None:
    async def scenario() -> None:
        source = LinkedSource(transfer_s=2.0)
        async with following(source) as follower:
            for number in range(2, 20):
                source.write(ConfigurationVersion(number))
                await asyncio.sleep(0.3)
            await asyncio.sleep(2 * 2.0)
            assert version_in_force(follower) == 19

    run_scenario(scenario())


def test_answer_that_takes_longer_than_the_timeout_to_arrive_is_not_given_up(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The timeout was one for the whole answer, however large it was."""
    monkeypatch.setattr(_store, "MIN_TIMEOUT_S", 0.4)
    monkeypatch.setattr(_store, "MAX_TIMEOUT_S", 0.4)

    async def answer(request: web.Request) -> web.StreamResponse:
        response = web.StreamResponse()
        await response.prepare(request)
        for piece in (b'{"Ver":7,', *[b" "] * 12, b'"rows":[]}'):
            await response.write(piece)
            await asyncio.sleep(0.1)
        return response

    async def use(http: PlatformHttp, address: str) -> None:
        page = await StoreClient(http, address).changes("op", 3, 0)
        assert page is not None
        assert page.version == 7

    run_with_server(answer, use)


def test_answer_that_stops_arriving_is_given_up(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(_store, "MIN_TIMEOUT_S", 0.2)
    monkeypatch.setattr(_store, "MAX_TIMEOUT_S", 0.2)
    is_over = asyncio.Event()

    async def answer(request: web.Request) -> web.StreamResponse:
        response = web.StreamResponse()
        await response.prepare(request)
        await response.write(b'{"Ver":7,')
        await is_over.wait()
        return response

    async def use(http: PlatformHttp, address: str) -> None:
        with pytest.raises(_store.StoreUnavailable, match="timeout"):
            await StoreClient(http, address).changes("op", 3, 0)
        is_over.set()

    run_with_server(answer, use)
