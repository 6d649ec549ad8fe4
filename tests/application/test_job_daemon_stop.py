"""Graceful shutdown of a job daemon whose callers keep their connections."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

import aiohttp
import pytest
import uvloop

from currantstage.application.jobs import JobDaemon
from currantstage.config import JobSettings, parse_settings
from currantstage.state.jobs import RowName, RowWrite
from tests.application.job_settings import free_listen_addresses, render_template
from tests.jobs.captured_log import captured_log
from tests.jobs.served_store import ServedStore

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine
    from typing import Any

CONFIGURATION = b"""{"Version":1,"Routes":[{"Name":"q","Host":"front.example",
"PathPrefix":"/q/","TimeoutMs":3000,"Service":"pool","Public":true}],
"Services":[{"Name":"pool"}],
"Tenants":[{"Name":"team","ApiKeys":["key"],"Weight":1}]}"""
JOB = b'{"Spec":"x","Steps":[{"Count":1,"Cpu":100,"MemMb":10}]}'
HEADERS = {"Host": "front.example", "X-Currantstage-Credential": "key"}
#: Time for all that a test waits for, in seconds.
PATIENCE_S = 20.0
CALLERS = 6


class _Caller:
    """Submits one job after another, on a connection that it keeps."""

    def __init__(self, number: int, address: str) -> None:
        self._number = number
        self._address = address
        self.statuses: list[int] = []
        #: Number of calls whose connection ended without any part of a response.
        self.unread = 0

    async def run(self) -> None:
        """Call until the connection is refused."""
        connector = aiohttp.TCPConnector(limit=1)
        async with aiohttp.ClientSession(connector=connector) as session:
            while True:
                try:
                    await self._call(session)
                except aiohttp.ClientConnectorError:
                    return
                except aiohttp.ServerDisconnectedError:
                    self.unread += 1

    async def _call(self, session: aiohttp.ClientSession) -> None:
        job = f"{self._number:08x}{len(self.statuses):08x}"
        url = f"http://{self._address}/q/{job}"
        async with session.post(url, data=JOB, headers=HEADERS) as response:
            await response.read()
            self.statuses.append(response.status)


@dataclass(frozen=True, slots=True)
class _Stop:
    """The caller that waited for the start, and those that called during the stop."""

    first: _Caller
    callers: list[_Caller]


def _settings(store: ServedStore, drain_ms: int) -> JobSettings:
    addresses = free_listen_addresses() | {"platform.Address": store.address}
    text = render_template(addresses, has_advice=False)
    text = text.replace("balancer_notice_ms = 2300", "balancer_notice_ms = 100")
    text = text.replace("max_drain_ms = 2000", f"max_drain_ms = {drain_ms}")
    settings = parse_settings(text)
    assert isinstance(settings, JobSettings)
    return settings


async def _wait_admitted(caller: _Caller) -> None:
    """Submit jobs until the configuration is in force and one is accepted."""
    async with asyncio.timeout(PATIENCE_S), aiohttp.ClientSession() as session:
        while 200 not in caller.statuses:
            await caller._call(session)
            await asyncio.sleep(0.05)


async def _stop_under_load(write_s: float, drain_ms: int) -> _Stop:
    """Stop a daemon while callers submit jobs."""
    store = ServedStore()
    await store.start()
    name = RowName("op", "", "config")
    store.rows.apply((), (RowWrite(name, CONFIGURATION),))
    settings = _settings(store, drain_ms)
    first, *callers = [
        _Caller(number, settings.callers.front_address) for number in range(CALLERS + 1)
    ]
    daemon = JobDaemon.from_config(settings, seed=1)
    await daemon.start()
    try:
        await _wait_admitted(first)
        store.write_s = write_s
        calling = asyncio.gather(*(each.run() for each in callers))
        await asyncio.sleep(0.3)
    finally:
        async with asyncio.timeout(PATIENCE_S):
            await daemon.close()
    async with asyncio.timeout(PATIENCE_S):
        await calling
    await store.close()
    return _Stop(first, callers)


@pytest.mark.parametrize("run", [asyncio.run, uvloop.run], ids=["asyncio", "uvloop"])
@pytest.mark.parametrize(
    ("write_s", "drain_ms", "allowed"), [(0.05, 2000, {200}), (0.7, 200, {200, 504})]
)
def test_calls_on_kept_connections_are_answered_throughout_the_stop(
    run: Callable[[Coroutine[Any, Any, _Stop]], _Stop],
    write_s: float,
    drain_ms: int,
    allowed: set[int],
) -> None:
    """A call read after the drain met a closed HTTP client, and got a 500."""
    with captured_log() as log:
        stop = run(_stop_under_load(write_s, drain_ms))
    statuses = [status for each in stop.callers for status in each.statuses]
    assert set(statuses) <= allowed
    decided = [*log.lines("call-admitted"), *log.lines("call-refused")]
    assert len(decided) <= len(statuses) + len(stop.first.statuses)
    assert log.lines("task-failed") == []
