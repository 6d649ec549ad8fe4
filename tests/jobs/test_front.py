"""The interface for callers, over HTTP."""

from __future__ import annotations

import asyncio
from typing import Any

import aiohttp
import pytest

from currantstage.platform import add_front_routes
from currantstage.transport import HttpServer
from tests.jobs.captured_log import captured_log
from tests.ports import free_addresses


class _FaultyService:
    """Job service with a fault."""

    async def admit(self, *_: Any) -> Any:
        """Raise an unexpected exception."""
        raise ValueError("wrong")

    def retry_after_s(self) -> int:
        """Return a delay."""
        return 1


async def _call(method: str) -> int:
    (address,) = free_addresses(1)
    server = HttpServer("faulty-front", address, 10_000)
    add_front_routes(server.app, _FaultyService())
    await server.start()
    try:
        async with aiohttp.ClientSession() as session:
            url = f"http://{address}/q/0123456789abcdef"
            async with session.request(method, url) as response:
                return response.status
    finally:
        await server.close()


@pytest.mark.parametrize("method", ["GET", "POST", "DELETE"])
def test_unexpected_error_leaves_the_call_in_doubt_and_is_logged(method: str) -> None:
    """The caller got a 500, after which no call is repeated."""
    with captured_log() as log:
        assert asyncio.run(_call(method)) == 504
    (line,) = log.lines("task-failed")
    assert line["reason"] == "ValueError('wrong')"
