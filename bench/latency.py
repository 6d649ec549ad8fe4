"""Latency that the daemon adds to a direct call, and its throughput per core."""

from __future__ import annotations

import asyncio
import random
import time
from itertools import cycle
from typing import TYPE_CHECKING

import aiohttp
import click
import uvloop

from bench.harness import quantile, serving

if TYPE_CHECKING:
    from bench.harness import ServingSite

_BLOCK_REQUESTS = 50
_BODY_BYTES = 200


@click.command()
@click.option("--requests", default=4000, show_default=True)
@click.option("--callers", default=32, show_default=True)
@click.option("--seconds", default=5.0, show_default=True)
@click.option("--seed", default=1, show_default=True)
def main(requests: int, callers: int, seconds: float, seed: int) -> None:
    """Compare the daemon with direct calls to the same backend servers."""
    uvloop.run(_measure(requests, callers, seconds, random.Random(seed)))


async def _measure(
    requests: int, callers: int, seconds: float, rng: random.Random
) -> None:
    body = rng.randbytes(_BODY_BYTES)
    async with serving(workers=6) as site, aiohttp.ClientSession() as session:
        await _measure_alternately(site, session, body, 10 * _BLOCK_REQUESTS)
        direct, routed = await _measure_alternately(site, session, body, requests)
        rate, per_core = await _measure_throughput(
            site, session, body, callers, seconds
        )
    print("| path | p50 ms | p99 ms |\n|---|---|---|")
    for name, samples in (("direct", direct), ("daemon", routed)):
        p50, p99 = (1000 * quantile(samples, part) for part in (0.5, 0.99))
        print(f"| {name} | {p50:.3f} | {p99:.3f} |")
    ratios = [quantile(routed, part) / quantile(direct, part) for part in (0.5, 0.99)]
    print(f"| ratio | {ratios[0]:.2f} | {ratios[1]:.2f} |")
    print(f"\n{rate:.0f} requests/s with {callers} callers,", end=" ")
    print(f"{per_core:.0f} requests per core-second of the daemon")


async def _measure_alternately(
    site: ServingSite, session: aiohttp.ClientSession, body: bytes, requests: int
) -> tuple[list[float], list[float]]:
    """Return the times of direct and of routed requests, in alternating blocks."""
    direct: list[float] = []
    routed: list[float] = []
    targets = cycle(site.direct_urls)
    for _ in range(requests // _BLOCK_REQUESTS):
        for _ in range(_BLOCK_REQUESTS):
            direct.append(await _time(session, next(targets), body))
        for _ in range(_BLOCK_REQUESTS):
            routed.append(await _time(session, site.url, body))
    return direct, routed


async def _time(session: aiohttp.ClientSession, url: str, body: bytes) -> float:
    started_s = time.perf_counter()
    async with session.post(url, data=body) as response:
        await response.read()
        response.raise_for_status()
    return time.perf_counter() - started_s


async def _measure_throughput(
    site: ServingSite,
    session: aiohttp.ClientSession,
    body: bytes,
    callers: int,
    seconds: float,
) -> tuple[float, float]:
    """Return the requests per second, and per second of the daemon's processor."""
    count = 0
    end_s = time.perf_counter() + seconds

    async def call() -> None:
        nonlocal count
        while time.perf_counter() < end_s:
            await _time(session, site.url, body)
            count += 1

    before_s, started_s = site.processor_time_s(), time.perf_counter()
    await asyncio.gather(*(call() for _ in range(callers)))
    used_s = site.processor_time_s() - before_s
    return count / (time.perf_counter() - started_s), count / used_s


if __name__ == "__main__":
    main()
