"""Waiting and balance under three ways to place requests, in simulated time."""

from __future__ import annotations

import heapq
import random
import time
from collections import Counter
from itertools import count
from typing import TYPE_CHECKING

import click

from bench.harness import quantile
from currantstage.coordination import (
    AttributedRing,
    Candidate,
    LeastLoaded,
    PowerOfTwoChoices,
)
from currantstage.state import PoolId, RackId, RequestId, Vm, VmId

if TYPE_CHECKING:
    from collections.abc import Callable

    from currantstage.coordination import Placement
    from currantstage.state import Random

_POOL_SIZES = (6, 31)
_SLOTS = 8
_RACK_SIZE = 4
_MEAN_RUN_S = 0.1
_LOAD = 0.7
_ENTRY_VMS = 3
#: Time for which an entry VM does not know what the others have started, in seconds.
_STALENESS_S = 0.5
_PLACEMENTS: dict[str, Callable[[Random], Placement]] = {
    "least loaded": LeastLoaded,
    "power of two choices": PowerOfTwoChoices,
    "attributed ring": lambda _: AttributedRing(),
}


@click.command()
@click.option("--requests", default=20_000, show_default=True)
@click.option("--seed", default=1, show_default=True)
def main(requests: int, seed: int) -> None:
    """Compare placements where several entry VMs place on the same workers.

    A worker's run time grows with the part of its slots in use, so that an uneven
    placement shows in the run times. Each entry VM knows its own requests at once and
    those of the others late.
    """
    print("| workers | placement | p50 ms | p99 ms | largest use | us a choice |")
    print("|---|---|---|---|---|---|")
    for workers in _POOL_SIZES:
        for name, make in _PLACEMENTS.items():
            rng = random.Random(seed)
            times_s, most, cost_s = _simulate(make, workers, requests, rng)
            p50, p99 = (1000 * quantile(times_s, part) for part in (0.5, 0.99))
            print(
                f"| {workers} | {name} | {p50:.0f} | {p99:.0f} | {most} "
                f"| {cost_s * 1e6:.1f} |"
            )


def _simulate(
    make: Callable[[Random], Placement],
    workers: int,
    requests: int,
    rng: random.Random,
) -> tuple[list[float], int, float]:
    """Return the run times, the most requests on one worker, the cost of a choice."""
    placements = [make(random.Random(index)) for index in range(_ENTRY_VMS)]
    vms = [_make_vm(index) for index in range(workers)]
    running: Counter[VmId] = Counter()
    own: list[Counter[VmId]] = [Counter() for _ in range(_ENTRY_VMS)]
    seen: list[Counter[VmId]] = [Counter() for _ in range(_ENTRY_VMS)]
    ends: list[tuple[float, int, int, VmId]] = []
    numbers = count()
    rate = _LOAD * workers * _SLOTS / _MEAN_RUN_S
    now_s = seen_at_s = cost_s = 0.0
    times_s: list[float] = []
    most = 0
    for number in range(requests):
        now_s += rng.expovariate(rate)
        while ends and ends[0][0] <= now_s:
            _, _, entry_vm, vm_id = heapq.heappop(ends)
            running[vm_id] -= 1
            own[entry_vm][vm_id] -= 1
        if now_s - seen_at_s > _STALENESS_S:
            seen_at_s = now_s
            seen = [running - each for each in own]
        entry_vm = rng.randrange(_ENTRY_VMS)
        candidates = [
            Candidate(vm, max(1, _SLOTS - own[entry_vm][vm.vm_id] - others))
            for vm in vms
            for others in (seen[entry_vm][vm.vm_id],)
        ]
        started_s = time.perf_counter()
        vm = placements[entry_vm].choose(RequestId(str(number)), candidates)
        cost_s += time.perf_counter() - started_s
        running[vm.vm_id] += 1
        own[entry_vm][vm.vm_id] += 1
        most = max(most, running[vm.vm_id])
        slowdown = max(1.0, 2 * running[vm.vm_id] / _SLOTS)
        run_s = rng.expovariate(1 / _MEAN_RUN_S) * slowdown / 2
        times_s.append(run_s)
        heapq.heappush(ends, (now_s + run_s, next(numbers), entry_vm, vm.vm_id))
    return times_s, most, cost_s / requests


def _make_vm(index: int) -> Vm:
    return Vm(
        vm_id=VmId(f"w{index}"),
        pool=PoolId("p"),
        rack=RackId(f"r{index // _RACK_SIZE}"),
        address="127.0.0.1:1",
        slots=_SLOTS,
    )


if __name__ == "__main__":
    main()
