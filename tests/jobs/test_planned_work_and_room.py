"""Planned work on VMs with long-running tasks, in pools whose room is taken."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest

from currantstage.standin.jobs import SPARE_POOL
from currantstage.state import PoolId
from currantstage.state.jobs import MaintenanceWave, Resources, Step
from tests.jobs.loaded_fleet import Arrival, LoadedFleet

POOL = PoolId("quick")
#: How long a long-running task may be away for planned work, in seconds.
MAX_AWAY_S = 6.0
#: How long it is away at most if it is stopped for room that is there, in seconds.
MAX_RESTART_S = 0.3
#: When the wave begins and within what time it has to end, in seconds.
WAVE_S, COMPLETE_BY_S = 4.0, 30.0
END_S = WAVE_S + COMPLETE_BY_S
#: Run time of a task that runs on through the whole test, in seconds.
LONG_S = 120.0


def _lasting(
    task_count: int, memory_mb: int, max_unavailable: int = 1, *, is_gang: bool = False
) -> Arrival:
    """Return a long-running job of which a worker holds one task."""
    step = Step(
        task_count=task_count,
        resources=Resources(2000, memory_mb),
        estimated_run_ms=900,
        is_gang=is_gang,
        is_long_running=True,
        max_unavailable=max_unavailable,
        max_per_worker=1,
    )
    return Arrival(0.0, POOL, (step,), (1.0,))


def _long(task_count: int, memory_mb: int, *, is_filler: bool) -> Arrival:
    """Return a job of tasks that take much memory and little processor time."""
    step = Step(
        task_count=task_count,
        resources=Resources(1000, memory_mb),
        estimated_run_ms=round(LONG_S * 1000),
        is_filler=is_filler,
    )
    return Arrival(0.3, POOL, (step,), (LONG_S,))


def _short(seed: int, mean_interval_s: float) -> list[Arrival]:
    """Return jobs of short tasks, of which a worker holds five."""
    rng = random.Random(seed)
    arrivals = []
    at_s = 0.5
    while at_s < END_S:
        at_s += rng.expovariate(1 / mean_interval_s)
        run_s = rng.uniform(0.5, 1.5)
        step = Step(
            task_count=8,
            resources=Resources(5000, 12_000),
            estimated_run_ms=round(run_s * 1000),
        )
        arrivals.append(Arrival(at_s, POOL, (step,), (run_s,)))
    return arrivals


def _misjudged(seed: int, mean_interval_s: float) -> list[Arrival]:
    """Return jobs of tasks that run for up to four times as long as estimated."""
    rng = random.Random(seed)
    arrivals = []
    at_s = 0.5
    while at_s < END_S:
        at_s += rng.expovariate(1 / mean_interval_s)
        run_s = rng.uniform(1.0, 5.0)
        step = Step(
            task_count=8,
            resources=Resources(5000, 24_000),
            estimated_run_ms=round(run_s * 1000 * rng.uniform(0.25, 1.0)),
        )
        arrivals.append(Arrival(at_s, POOL, (step,), (run_s,)))
    return arrivals


def _play_wave(fleet: LoadedFleet, arrivals: list[Arrival], max_down: int) -> None:
    """Maintain the VMs that run long-running tasks, and expect it to be in time."""
    early = [each for each in arrivals if each.at_s < WAVE_S]
    late = [
        replace(each, at_s=each.at_s - WAVE_S)
        for each in arrivals
        if each.at_s >= WAVE_S
    ]
    fleet.play(early, WAVE_S)
    fleet.announce(
        MaintenanceWave(
            number=1,
            vms=tuple(fleet.long_running_vms()),
            complete_by_s=COMPLETE_BY_S,
            max_down=max_down,
        )
    )
    fleet.play(late, COMPLETE_BY_S)
    (wave,) = fleet.manager.maintenance.waves.values()
    assert fleet.manager.is_wave_done(wave)


@pytest.mark.parametrize("spare_vms", [0, 3])
@pytest.mark.parametrize("seed", range(3))
def test_maintenance_in_a_pool_full_of_short_tasks_stops_no_task_for_long(
    seed: int, spare_vms: int
) -> None:
    fleet = LoadedFleet({POOL: 8, SPARE_POOL: spare_vms})
    lasting = _lasting(3, memory_mb=50_000)
    _play_wave(fleet, [lasting, *_short(seed, 0.12)], max_down=2)
    assert fleet.longest_away_s(lasting) <= MAX_RESTART_S


@pytest.mark.parametrize("spare_vms", [0, 3])
@pytest.mark.parametrize("is_filler", [False, True])
def test_maintenance_does_not_stop_a_task_for_memory_that_is_taken_for_long(
    is_filler: bool, spare_vms: int
) -> None:
    """It was stopped for a place on a worker whose memory other tasks kept."""
    fleet = LoadedFleet({POOL: 8, SPARE_POOL: spare_vms})
    lasting = _lasting(3, memory_mb=50_000)
    long = _long(5, memory_mb=40_000, is_filler=is_filler)
    _play_wave(fleet, [lasting, long, *_short(1, 0.3)], max_down=2)
    assert fleet.longest_away_s(lasting) <= MAX_RESTART_S


def test_task_is_away_for_a_stop_and_a_start_in_a_calm_pool() -> None:
    fleet = LoadedFleet({POOL: 8, SPARE_POOL: 0})
    lasting = _lasting(3, memory_mb=50_000)
    _play_wave(fleet, [lasting, *_short(1, 0.6)], max_down=2)
    assert fleet.longest_away_s(lasting) <= MAX_RESTART_S


@pytest.mark.parametrize("seed", range(3))
def test_tasks_of_many_vms_at_once_are_not_away_for_long(
    seed: int,
) -> None:
    fleet = LoadedFleet({POOL: 16, SPARE_POOL: 0})
    lasting = _lasting(8, memory_mb=50_000, max_unavailable=0)
    _play_wave(fleet, [lasting, *_misjudged(seed, 0.4)], max_down=8)
    assert fleet.longest_away_s(lasting) <= MAX_AWAY_S


@pytest.mark.parametrize("seed", range(3))
def test_gang_is_not_away_for_long_as_the_stop_of_one_member_ends_it(seed: int) -> None:
    """Workers held for some members were released before there was room for all."""
    fleet = LoadedFleet({POOL: 8, SPARE_POOL: 0})
    gang = _lasting(3, memory_mb=50_000, is_gang=True)
    _play_wave(fleet, [gang, *_misjudged(seed, 0.3)], max_down=2)
    assert fleet.longest_away_s(gang) <= MAX_AWAY_S
