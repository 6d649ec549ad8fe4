"""Time to recover from a silent connection and to eject a failing worker."""

from __future__ import annotations

import asyncio
import random
import statistics

import click
import uvloop

from bench.request_site import RequestSite, serving_path
from currantstage.coordination.requests import Outcome
from currantstage.protocol import CallerOptions
from currantstage.standin import BackendMode

_WORKERS = 6
_RUN_S = 0.02
_CALLERS = 24
_WARM_UP_REQUESTS = 400
_FAILING = "w0"
_SERVER_ERROR = 500


@click.command()
@click.option("--rounds", default=5, show_default=True)
@click.option("--seed", default=1, show_default=True)
def main(rounds: int, seed: int) -> None:
    """Measure recovery from silent connections and from a failing worker."""
    uvloop.run(_measure(rounds, random.Random(seed)))


async def _measure(rounds: int, rng: random.Random) -> None:
    silent_s = [await _measure_silence(rng) for _ in range(rounds)]
    print("| measure | median | largest |\n|---|---|---|")
    print(_row("silent connection to answer on a fresh one, s", silent_s))
    for name, options in (
        ("not idempotent", CallerOptions()),
        ("idempotent", CallerOptions(idempotent=True)),
    ):
        ejections = [await _measure_ejection(rng, options) for _ in range(rounds)]
        times_s, failed = zip(*ejections, strict=True)
        print(_row(f"{name}: failing worker to its ejection, s", times_s))
        print(_row(f"{name}: jobs lost meanwhile", failed))


def _row(name: str, values: list[float] | tuple[float, ...]) -> str:
    return f"| {name} | {statistics.median(values):.2f} | {max(values):.2f} |"


async def _measure_silence(rng: random.Random) -> float:
    """Return the time from sending on a silent connection to the response."""
    async with serving_path(1, _RUN_S, rng) as site:
        await _load(site, _WARM_UP_REQUESTS, CallerOptions())
        site.backends[_FAILING].silence_connections()
        started_s = site.clock.now_s()
        answer = await site.serve(b"x", CallerOptions(idempotent=True))
        assert answer.outcome is Outcome.COMPLETED
        return site.clock.now_s() - started_s


async def _measure_ejection(
    rng: random.Random, options: CallerOptions
) -> tuple[float, int]:
    """Return the time to the ejection of a failing worker and the failed requests."""
    async with serving_path(_WORKERS, _RUN_S, rng) as site:
        await _load(site, _WARM_UP_REQUESTS, options)
        site.backends[_FAILING].mode = BackendMode.FAILING
        started_s = site.clock.now_s()
        failed = await _load(site, _WARM_UP_REQUESTS, options)
        assert site.ejected_s, "the failing worker was not ejected"
        return site.ejected_s[0] - started_s, failed


async def _load(site: RequestSite, requests: int, options: CallerOptions) -> int:
    """Send requests from several callers; return the number that failed."""
    failed = 0
    remaining = iter(range(requests))

    async def call() -> None:
        nonlocal failed
        for _ in remaining:
            answer = await site.serve(b"x", options)
            failed += answer.status >= _SERVER_ERROR

    await asyncio.gather(*(call() for _ in range(_CALLERS)))
    return failed


if __name__ == "__main__":
    main()
