"""Goodput under overload, cost of mass cancellation, memory per waiting request."""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter
from typing import TYPE_CHECKING

import aiohttp
import click
import uvloop

from bench.harness import serving
from currantstage.protocol import OUTCOME_HEADER

if TYPE_CHECKING:
    from bench.harness import ServingSite

_WORKERS = 2
_SLOTS = 8
_RUN_S = 0.1
_CAPACITY_PER_S = _WORKERS * _SLOTS / _RUN_S
_OVERLOAD_FACTOR = 5.0
_NORMAL_FACTOR = 0.8
_TIMEOUT_MS = 2_000
_WAITING = 10_000
_BURST = 500
_BURST_PAUSE_S = 0.25
_CANCEL_TIMEOUT_MS = 300_000


@click.command()
@click.option("--seconds", default=5.0, show_default=True, help="Length of a phase.")
@click.option("--seed", default=1, show_default=True)
def main(seconds: float, seed: int) -> None:
    """Measure overload and recovery, then 10,000 waiting and cancelled callers."""
    uvloop.run(_measure_overload(seconds, random.Random(seed)))
    uvloop.run(_measure_cancellations())


async def _measure_overload(seconds: float, rng: random.Random) -> None:
    print(f"capacity {_CAPACITY_PER_S:.0f} requests/s, phases of {seconds:.0f} s\n")
    print("| phase | offered/s | completed/s | not run/s | other |")
    print("|---|---|---|---|---|")
    async with (
        serving(workers=_WORKERS, duration_s=_RUN_S, timeout_ms=_TIMEOUT_MS) as site,
        aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session,
    ):
        for name, factor in (
            ("before", _NORMAL_FACTOR),
            ("overload", _OVERLOAD_FACTOR),
            ("after", _NORMAL_FACTOR),
        ):
            started_s = time.perf_counter()
            counts = await _offer(site, session, factor * _CAPACITY_PER_S, seconds, rng)
            # A phase includes the completion of the requests that wait at its end.
            elapsed_s = time.perf_counter() - started_s
            offered = counts.total() / seconds
            completed = counts.pop("completed", 0) / elapsed_s
            refused = counts.pop("not-run", 0) / elapsed_s
            cells = f"{offered:.0f} | {completed:.0f} | {refused:.0f}"
            print(f"| {name} | {cells} | {counts.total()} |")


async def _offer(
    site: ServingSite,
    session: aiohttp.ClientSession,
    offered_per_s: float,
    seconds: float,
    rng: random.Random,
) -> Counter[str]:
    """Send requests at random times and count the outcomes."""
    counts: Counter[str] = Counter()

    async def call() -> None:
        async with session.post(site.url, data=b"x") as response:
            await response.read()
            counts[response.headers[OUTCOME_HEADER]] += 1

    started_s = at_s = time.perf_counter()
    calls = []
    while at_s < started_s + seconds:
        at_s += rng.expovariate(offered_per_s)
        await asyncio.sleep(at_s - time.perf_counter())
        calls.append(asyncio.create_task(call()))
    await asyncio.gather(*calls)
    return counts


async def _measure_cancellations() -> None:
    async with (
        serving(
            workers=1,
            slots=1,
            duration_s=30.0,
            max_waiting=_WAITING,
            timeout_ms=_CANCEL_TIMEOUT_MS,
        ) as site,
        aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session,
    ):
        before_bytes = site.resident_bytes()
        callers = []
        for number in range(_WAITING + 1):
            callers.append(asyncio.create_task(_send_request(session, site.url)))
            if number % _BURST == 0:
                await asyncio.sleep(_BURST_PAUSE_S)
        await _wait_for_metric(session, site, "waiting", _WAITING)
        waiting_bytes = site.resident_bytes() - before_bytes
        used_s, started_s = site.processor_time_s(), time.perf_counter()
        for caller in callers:
            caller.cancel()
        await _wait_for_metric(session, site, "waiting", 0)
        duration_s = time.perf_counter() - started_s
        used_s = site.processor_time_s() - used_s
    print(f"\nmemory per waiting request: {waiting_bytes / _WAITING / 1024:.1f} KB")
    print(f"{_WAITING} cancellations: {duration_s:.2f} s,", end=" ")
    print(f"{used_s * 1e6 / _WAITING:.0f} us of processor time each")


async def _send_request(session: aiohttp.ClientSession, url: str) -> None:
    async with session.post(url, data=b"x") as response:
        await response.read()


async def _wait_for_metric(
    session: aiohttp.ClientSession, site: ServingSite, name: str, expected: int
) -> None:
    line = f"currantstage_{name}_requests {float(expected)}"
    url = site.url.partition("/v1/")[0] + "/metrics"
    async with asyncio.timeout(60.0):
        while True:
            async with session.get(url) as response:
                if line in await response.text():
                    return
            await asyncio.sleep(0.02)


if __name__ == "__main__":
    main()
