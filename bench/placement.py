"""Run times and drops under three placement policies, in simulated time."""

from __future__ import annotations

import heapq
import random
import time
from collections import Counter
from typing import TYPE_CHECKING

import click

from bench.harness import quantile
from currantstage.coordination.requests import (
    AttributedConsistentHashing,
    Candidate,
    LeastLoaded,
    PowerOfTwoChoices,
)
from currantstage.state import PoolId, RackId, RequestId, Vm, VmId

if TYPE_CHECKING:
    from collections.abc import Callable

    from currantstage.coordination.requests import PlacementPolicy
    from currantstage.state import Random

_POOL_SIZES = (6, 31)
_SLOTS = 8
_RACK_SIZE = 4
_MEAN_RUN_S = 0.1
_LOAD = 0.7
_ENTRY_VMS = 3
_PLACEMENTS: dict[str, Callable[[Random], PlacementPolicy]] = {
    "least loaded": LeastLoaded,
    "power of two choices": PowerOfTwoChoices,
    "attributed ring": lambda _: AttributedConsistentHashing(),
}


@click.command()
@click.option("--requests", default=20_000, show_default=True)
@click.option("--seed", default=1, show_default=True)
def main(requests: int, seed: int) -> None:
    """Compare placement policies of several entry VMs that share the same workers.

    Each entry VM holds a third of each worker's slots and doesn't see the use of the
    others'. A worker's run time grows with the fraction of its slots in use, so that
    uneven placement shows in the run times. A request without a free slot is dropped.
    """
    print("| workers | placement | p50 ms | p99 ms | dropped | us a choice |")
    print("|---|---|---|---|---|---|")
    for workers in _POOL_SIZES:
        for name, make_policy in _PLACEMENTS.items():
            rng = random.Random(seed)
            times_s, dropped, cost_s = _simulate(make_policy, workers, requests, rng)
            p50, p99 = (1000 * quantile(times_s, part) for part in (0.5, 0.99))
            print(
                f"| {workers} | {name} | {p50:.0f} | {p99:.0f} | {dropped} "
                f"| {cost_s * 1e6:.1f} |"
            )


def _simulate(
    make_policy: Callable[[Random], PlacementPolicy],
    workers: int,
    requests: int,
    rng: random.Random,
) -> tuple[list[float], int, float]:
    """Return the run times, the dropped requests, and the mean time of a choice."""
    placements = [make_policy(random.Random(index)) for index in range(_ENTRY_VMS)]
    vms = [_make_vm(index) for index in range(workers)]
    allotted = [
        {vm.vm_id: _allotment(entry_vm + index) for index, vm in enumerate(vms)}
        for entry_vm in range(_ENTRY_VMS)
    ]
    running: Counter[VmId] = Counter()
    ends: list[tuple[float, int, int, VmId]] = []
    rate = _LOAD * workers * _SLOTS / _MEAN_RUN_S
    now_s = cost_s = 0.0
    times_s: list[float] = []
    for number in range(requests):
        now_s += rng.expovariate(rate)
        while ends and ends[0][0] <= now_s:
            _, _, end_entry_vm, vm_id = heapq.heappop(ends)
            running[vm_id] -= 1
            allotted[end_entry_vm][vm_id] += 1
        entry_vm = rng.randrange(_ENTRY_VMS)
        free = allotted[entry_vm]
        candidates = [Candidate(vm, free[vm.vm_id]) for vm in vms if free[vm.vm_id]]
        if not candidates:
            continue
        started_s = time.perf_counter()
        vm = placements[entry_vm].choose(RequestId(str(number)), candidates)
        cost_s += time.perf_counter() - started_s
        running[vm.vm_id] += 1
        free[vm.vm_id] -= 1
        run_s = rng.expovariate(1 / _MEAN_RUN_S) * running[vm.vm_id] / _SLOTS
        times_s.append(run_s)
        heapq.heappush(ends, (now_s + run_s, number, entry_vm, vm.vm_id))
    return times_s, requests - len(times_s), cost_s / requests


def _allotment(index: int) -> int:
    """Return an entry VM's share of a worker's slots, the remainder in rotation."""
    return _SLOTS // _ENTRY_VMS + (index % _ENTRY_VMS < _SLOTS % _ENTRY_VMS)


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
