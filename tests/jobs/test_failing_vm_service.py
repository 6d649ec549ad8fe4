"""Jobs run on while the platform's service for VMs carries out no order."""

from __future__ import annotations

import asyncio
import random

import pytest

from currantstage.standin.jobs import POOLS, SPARE_POOL
from currantstage.state import PoolId, VmId
from currantstage.state.jobs import (
    MaintenanceWave,
    Resources,
    Step,
    Term,
    VmOrderOutcome,
)
from tests.jobs.captured_log import captured_log
from tests.jobs.loaded_fleet import Arrival, LoadedFleet
from tests.jobs.site import run_scenario, start_site
from tests.jobs.standing_jobs import StandingJobs

LEFT, RIGHT = PoolId("left"), PoolId("right")
#: Time for which each pool has most of the load, in seconds.
TURN_S = 8.0
#: Time during which the service carries out no orders, in seconds.
FAILS_FROM_S, FAILS_UNTIL_S = 4.0, 29.0
#: When its list fails as well, in seconds; VMs have been cordoned by then.
LISTS_FAIL_FROM_S = 10.0
#: Time until which jobs are handed in, and that is played, in seconds.
LAST_ARRIVAL_S, PLAYED_S = 40.0, 60.0


def _arrivals(seed: int) -> list[Arrival]:
    """Return a load that turns from one pool to the other."""
    rng = random.Random(seed)
    step = Step(task_count=8, resources=Resources(8000, 4000, 0), estimated_run_ms=900)
    arrivals = []
    at_s = 0.0
    while at_s < LAST_ARRIVAL_S:
        at_s += rng.expovariate(7.0)
        is_left_busy = int(at_s / TURN_S) % 2 == 0
        is_left = is_left_busy if rng.random() < 0.9 else not is_left_busy
        arrivals.append(Arrival(at_s, LEFT if is_left else RIGHT, (step,), (0.9,)))
    return arrivals


@pytest.mark.parametrize("fails_lists", [False, True])
@pytest.mark.parametrize("seed", range(2))
def test_vms_whose_moves_are_not_carried_out_go_on_running_tasks(
    seed: int, fails_lists: bool
) -> None:
    """Most workers were kept for moves that didn't happen, for as long as that was."""
    fleet = LoadedFleet({LEFT: 8, RIGHT: 8, SPARE_POOL: 0})
    standing = StandingJobs(fleet)
    moves_before = 0

    def on_turn(played_s: float) -> None:
        nonlocal moves_before
        is_failing = FAILS_FROM_S <= played_s < FAILS_UNTIL_S
        fleet.vm_service.fails_orders = is_failing
        fleet.vm_service.fails_lists = (
            is_failing and fails_lists and played_s >= LISTS_FAIL_FROM_S
        )
        if is_failing:
            moves_before = fleet.moves
        standing.observe()

    fleet.play(_arrivals(seed), PLAYED_S, on_turn)
    assert standing.stood_too_long == 0
    assert all(took_s is not None for _, took_s in fleet.outcomes())
    assert fleet.moves > moves_before


def test_unexpected_error_of_an_order_does_not_keep_its_vm_cordoned(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The order counted as under way, and the VM as cordoned, for the whole term."""

    async def scenario() -> None:
        site = await start_site(3)
        maintain = site.vms.maintain
        is_first = True

        async def fail_once(vm: VmId, wave: int, term: Term) -> VmOrderOutcome:
            nonlocal is_first
            if is_first:
                is_first = False
                raise RuntimeError("broken")
            return await maintain(vm, wave, term)

        monkeypatch.setattr(site.vms, "maintain", fail_once)
        vm = f"m-{POOLS[0]}-0"
        with captured_log() as log:
            site.announce_wave(
                MaintenanceWave(number=1, vms=(vm,), complete_by_s=20, max_down=1)
            )
            await asyncio.sleep(6.0)
        assert len(log.lines("task-failed")) == 1
        assert site.vms.maintained == {(1, VmId(vm))}

    run_scenario(scenario())
