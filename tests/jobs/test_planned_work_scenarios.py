"""Planned work on VMs that run long-running tasks, on the simulated site."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from currantstage.coordination.jobs import SchedulerTuning
from currantstage.standin.jobs import POOLS, SPARE_POOL, SimulatedSite
from currantstage.state.jobs import MaintenanceWave, WorkerId
from tests.jobs.site import SETTLE_S, run_scenario, step

if TYPE_CHECKING:
    from currantstage.state.jobs import JobId, Step

#: How long planned work may keep a long-running task from running, in seconds.
MAX_AWAY_S = 6.0
#: Interval at which the running tasks are sampled, in seconds.
SAMPLE_S = 0.1
#: Number of VMs of each pool.
VMS_PER_POOL = 4


async def _start_site(seed: int) -> SimulatedSite:
    site = SimulatedSite(seed, vms_per_pool=VMS_PER_POOL)
    site.tuning = SchedulerTuning(min_vms_per_pool=VMS_PER_POOL)
    await site.start()
    await asyncio.sleep(SETTLE_S)
    return site


def _vms(*pools: str) -> tuple[str, ...]:
    return tuple(f"m-{pool}-{number}" for pool in pools for number in range(4))


def _announce(site: SimulatedSite, vms: tuple[str, ...], complete_by_s: float) -> None:
    wave = MaintenanceWave(number=1, vms=vms, complete_by_s=complete_by_s, max_down=2)
    site.announce_wave(wave)


async def longest_away_s(
    site: SimulatedSite, jobs: dict[JobId, int], duration_s: float
) -> float:
    """Return the longest time for which a task of `jobs` didn't run."""
    longest_s = 0.0
    away_s: dict[tuple[JobId, int], float] = {}
    for _ in range(round(duration_s / SAMPLE_S)):
        await asyncio.sleep(SAMPLE_S)
        running = {
            (task.job, task.number)
            for task, runs in site.oracle.running.items()
            if runs
        }
        for job, count in jobs.items():
            for number in range(count):
                key = (job, number)
                away_s[key] = 0 if key in running else away_s.get(key, 0) + SAMPLE_S
                longest_s = max(longest_s, away_s[key])
    return longest_s


def test_maintenance_finds_a_place_before_it_stops_a_long_running_task() -> None:
    """The stopped task waited for cordoned VMs, whose tasks waited for it."""

    async def scenario() -> None:
        site = await _start_site(seed=31)
        job = await site.submit(
            (step(8, is_long_running=True, max_unavailable=1, max_per_worker=2),)
        )
        await asyncio.sleep(1)
        _announce(site, _vms(POOLS[0]), complete_by_s=30)
        assert await longest_away_s(site, {job: 8}, 30) < MAX_AWAY_S
        assert {vm for _, vm in site.vms.maintained} == set(_vms(POOLS[0]))
        assert site.oracle.violations == []

    run_scenario(scenario())


def test_maintenance_without_spare_vms_keeps_no_long_running_task_away() -> None:
    """All VMs are full, so a task can only return to the VM that it has left."""

    async def scenario() -> None:
        site = await _start_site(seed=32)
        for vm in _vms(SPARE_POOL):
            site.vms.remove(vm)
        jobs = {
            await site.submit(
                (step(4, is_long_running=True, max_unavailable=1, max_per_worker=1),),
                pool,
            ): 4
            for pool in POOLS
        }
        await asyncio.sleep(1)
        _announce(site, _vms(*POOLS), complete_by_s=40)
        assert await longest_away_s(site, jobs, 40) < MAX_AWAY_S
        assert {vm for _, vm in site.vms.maintained} == set(_vms(*POOLS))
        assert site.oracle.violations == []

    run_scenario(scenario())


@pytest.mark.parametrize(
    "unplaced",
    [
        step(1, cpu=9000, is_long_running=True),
        step(1, needed_label="nowhere", is_long_running=True),
        step(1, cpu=5000, is_long_running=True),
    ],
    ids=["too-large", "label", "no-room"],
)
def test_task_that_never_gets_a_place_does_not_hold_up_a_wave(unplaced: Step) -> None:
    """No VM of its pool was maintained, not even after the deadline."""

    async def scenario() -> None:
        site = await _start_site(seed=32)
        for vm in _vms(SPARE_POOL):
            site.vms.remove(vm)
        work = step(
            4, cpu=5000, is_long_running=True, max_unavailable=1, max_per_worker=1
        )
        jobs = {await site.submit((work,), pool): 4 for pool in POOLS}
        await site.submit((unplaced,), POOLS[0])
        await asyncio.sleep(1)
        _announce(site, _vms(*POOLS), complete_by_s=40)
        assert await longest_away_s(site, jobs, 40) < MAX_AWAY_S
        assert {vm for _, vm in site.vms.maintained} == set(_vms(*POOLS))
        assert site.oracle.violations == []

    run_scenario(scenario())


def test_long_running_tasks_that_fit_only_in_sum_get_another_vm() -> None:
    """Five tasks that use more than half of a VM waited in a pool of four VMs."""

    async def scenario() -> None:
        site = await _start_site(seed=33)
        job = await site.submit((step(5, cpu=4800, is_long_running=True),))
        assert await longest_away_s(site, {job: 5}, 10) < MAX_AWAY_S
        assert site.oracle.violations == []

    run_scenario(scenario())


def test_short_tasks_leave_room_for_a_waiting_long_running_task() -> None:
    """Each core that became free went to a short task before there were enough."""

    async def scenario() -> None:
        site = await _start_site(seed=35)
        for vm in _vms(SPARE_POOL):
            site.vms.remove(vm)
        for number in range(300):
            await site.submit((step(4, run_ms=300 + 70 * (number % 17)),))
        job = await site.submit((step(1, cpu=6000, is_long_running=True),))
        assert await longest_away_s(site, {job: 1}, 15) < MAX_AWAY_S
        assert site.oracle.violations == []

    run_scenario(scenario())


async def _stop_scheduler(site: SimulatedSite, *, is_killed: bool) -> None:
    name = site.scheduler_name()
    assert name is not None
    if is_killed:
        site.kill_daemon(name)
    else:
        await site.stop_daemon(name)


@pytest.mark.parametrize("late_s", [2.0, 5.0, 8.0, 11.0])
@pytest.mark.parametrize("is_killed", [False, True])
def test_late_upkeep_of_an_earlier_scheduler_overlaps_with_no_other(
    late_s: float, is_killed: bool
) -> None:
    """LIMIT: the next scheduler forgot the order before it was carried out."""

    async def scenario() -> None:
        site = await _start_site(seed=33)
        # The first VM is busy, so that another one is ordered before it.
        await site.submit((step(1, run_ms=1000, needed_label="rack-0"),), POOLS[0])
        await asyncio.sleep(0.5)
        site.vms.late_upkeeps_s.append(late_s)
        vms = _vms(POOLS[0])
        site.announce_wave(
            MaintenanceWave(number=1, vms=vms, complete_by_s=40, max_down=1)
        )
        while site.vms.late_upkeeps_s:
            await asyncio.sleep(0.05)
        await asyncio.sleep(0.3)
        await _stop_scheduler(site, is_killed=is_killed)
        await asyncio.sleep(40)
        assert {vm for _, vm in site.vms.maintained} == set(vms)
        assert site.oracle.violations == []

    run_scenario(scenario())


@pytest.mark.parametrize("lists_former_worker", [False, True])
@pytest.mark.parametrize("list_delay_s", [0.0, 1.0])
def test_upkeep_at_a_takeover_keeps_no_long_running_task_away(
    lists_former_worker: bool, list_delay_s: float
) -> None:
    """LOST: each scheduler after it kept the run, as its worker gave no answer."""

    async def scenario() -> None:
        site = await _start_site(seed=36)
        site.vms.lists_former_worker = lists_former_worker
        site.vms.list_delay_s = list_delay_s
        vm, worker = f"m-{POOLS[0]}-0", f"i-{POOLS[0]}-0"
        site.vms.late_upkeeps_s.append(1.2)
        _announce(site, (vm,), complete_by_s=40)
        while site.vms.late_upkeeps_s:
            await asyncio.sleep(0.01)
        job = await site.submit(
            (step(1, needed_label="rack-0", is_long_running=True, max_unavailable=1),),
        )
        await _stop_scheduler(site, is_killed=False)
        while site.workers.workers[WorkerId(worker)].is_up:
            await asyncio.sleep(0.01)
        await _stop_scheduler(site, is_killed=True)
        assert await longest_away_s(site, {job: 1}, 20) < MAX_AWAY_S
        assert site.oracle.violations == []

    run_scenario(scenario())
