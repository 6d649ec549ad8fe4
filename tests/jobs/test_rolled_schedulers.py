"""Schedulers that end one after another while workers go for good (issue 49)."""

from __future__ import annotations

import asyncio
from enum import Enum
from typing import TYPE_CHECKING

import pytest

from currantstage.coordination.jobs import SchedulerTuning
from currantstage.standin.jobs import POOLS, AbsenceWatch, SimulatedSite
from currantstage.standin.jobs._simulated_worker import STOP_DURATION_S
from currantstage.state.jobs import MaintenanceWave
from tests.jobs.site import SETTLE_S, run_scenario, step

if TYPE_CHECKING:
    from collections.abc import Iterable

    from currantstage.coordination.jobs import Scheduler
    from currantstage.state.jobs import WorkerId

#: Number of VMs of each pool, and of the long-running tasks that each pool runs.
VMS_PER_POOL = 6
TASKS_PER_POOL = 4
#: Longest leases that workers of the users' sites grant, in milliseconds.
MAX_LEASES_MS = (6000, 10_000)
#: Number of schedulers that end, and the interval between their ends in seconds.
ROLL_COUNT = 7
ROLL_INTERVAL_S = 2.0
#: Numbers of the ends around which a worker is lost.
LOSSES_AT_ROLLS = (2, 4)
#: When a worker is lost, from the end of a scheduler on, in seconds.
EARLIEST_LOSS_S = -1.0
LATEST_LOSS_S = 0.2
#: Time from the start of the wave to the end of a scenario, and the deadline of the
#: wave, in seconds.
DURATION_S = 30.0
COMPLETE_BY_S = 28.0
#: Number of the wave.
WAVE = 1
#: Interval between checks of what a scheduler knows, in seconds.
POLL_INTERVAL_S = 0.001


class Loss(Enum):
    """How a worker is lost."""

    GONE = "gone"
    CUT_OFF = "cut-off"


async def _start_site(seed: int, max_lease_ms: int) -> SimulatedSite:
    site = SimulatedSite(seed, vms_per_pool=VMS_PER_POOL)
    site.tuning = SchedulerTuning(
        min_vms_per_pool=VMS_PER_POOL, max_lease_ms=max_lease_ms
    )
    site.workers.max_lease_s = max_lease_ms / 1000
    await site.start()
    await asyncio.sleep(SETTLE_S)
    return site


async def _submit_long_running(site: SimulatedSite, max_per_worker: int = 2) -> None:
    """Submit a long-running job for each pool, and wait until all of it runs."""
    work = step(
        TASKS_PER_POOL,
        cpu=2000,
        is_long_running=True,
        max_unavailable=1,
        max_per_worker=max_per_worker,
    )
    for pool in POOLS:
        await site.submit((work,), pool)
    await asyncio.sleep(SETTLE_S)


def _announce_wave(site: SimulatedSite, vms: Iterable[str]) -> None:
    site.announce_wave(
        MaintenanceWave(
            number=WAVE, vms=tuple(vms), complete_by_s=COMPLETE_BY_S, max_down=2
        )
    )


def _all_vms() -> list[str]:
    """Return the VMs of all pools but the spare one."""
    return [f"m-{pool}-{number}" for pool in POOLS for number in range(VMS_PER_POOL)]


async def _end_scheduler(site: SimulatedSite) -> None:
    """End the scheduler gracefully, and start its daemon again."""
    name = site.scheduler_name()
    if name is not None:
        await site.stop_daemon(name)
        await site.start_daemon(name)


async def _roll_schedulers(site: SimulatedSite) -> None:
    loop = asyncio.get_running_loop()
    start_s = loop.time()
    for number in range(1, ROLL_COUNT + 1):
        await asyncio.sleep(start_s + number * ROLL_INTERVAL_S - loop.time())
        await _end_scheduler(site)


def _busy_worker(site: SimulatedSite) -> WorkerId:
    """Return a random worker that runs long-running tasks."""
    busy = [
        name
        for name, worker in site.workers.workers.items()
        if worker.runs and site.workers.is_reachable(name)
    ]
    return site.random.choice(busy)


def _lose(site: SimulatedSite, worker: WorkerId, loss: Loss) -> None:
    """Lose a worker for good; one that is cut off works on until its lease ends."""
    if loss is Loss.GONE:
        site.vms.lose(site.vms.vm_of(worker))
    else:
        site.workers.unreachable.add(worker)


async def _lose_workers(site: SimulatedSite, loss: Loss) -> None:
    """Lose a worker around each of some ends of a scheduler."""
    loop = asyncio.get_running_loop()
    start_s = loop.time()
    for roll in LOSSES_AT_ROLLS:
        offset_s = site.random.uniform(EARLIEST_LOSS_S, LATEST_LOSS_S)
        loss_s = start_s + roll * ROLL_INTERVAL_S + offset_s
        await asyncio.sleep(loss_s - loop.time())
        _lose(site, _busy_worker(site), loss)


def _scheduler(site: SimulatedSite) -> Scheduler:
    name = site.scheduler_name()
    assert name is not None
    session = site.daemons[name].ownership.session
    assert session is not None
    assert session.scheduler is not None
    return session.scheduler


async def _lose_end_of_stopped_run(site: SimulatedSite, worker: WorkerId) -> None:
    """Wait until the only run of a worker is stopped; let nobody hear of its end."""
    worker_state = _scheduler(site).workers.get(worker)
    assert worker_state is not None
    (run,) = worker_state.runs.values()
    while run.stop_sent_s < 0:
        await asyncio.sleep(POLL_INTERVAL_S)
    await asyncio.sleep(STOP_DURATION_S / 2)
    site.workers.unreachable.add(worker)
    while site.workers.workers[worker].runs:
        await asyncio.sleep(POLL_INTERVAL_S)


# LOST: each takeover kept the runs of a silent worker for the longest lease anew.
@pytest.mark.parametrize("loss", Loss)
@pytest.mark.parametrize("max_lease_ms", MAX_LEASES_MS)
@pytest.mark.parametrize("seed", range(3))
def test_lost_workers_keep_no_task_away_while_schedulers_end_one_after_another(
    seed: int, max_lease_ms: int, loss: Loss
) -> None:
    async def scenario() -> None:
        site = await _start_site(seed, max_lease_ms)
        await _submit_long_running(site)
        watch = AbsenceWatch(site.workers, site.oracle)
        _announce_wave(site, _all_vms())
        await asyncio.gather(
            _roll_schedulers(site), _lose_workers(site, loss), watch.run(DURATION_S)
        )
        assert site.oracle.violations == [], f"{watch.longest_away_s:.2f} s away"

    run_scenario(scenario())


# LOST: planned work kept tasks away while its scheduler changed.
@pytest.mark.parametrize("max_lease_ms", MAX_LEASES_MS)
@pytest.mark.parametrize("seed", range(3))
def test_wave_keeps_no_task_away_while_schedulers_end_one_after_another(
    seed: int, max_lease_ms: int
) -> None:
    async def scenario() -> None:
        site = await _start_site(seed, max_lease_ms)
        await _submit_long_running(site)
        watch = AbsenceWatch(site.workers, site.oracle)
        _announce_wave(site, _all_vms())
        await asyncio.gather(_roll_schedulers(site), watch.run(DURATION_S))
        assert site.oracle.violations == [], f"{watch.longest_away_s:.2f} s away"
        assert {vm for _, vm in site.vms.maintained} == set(_all_vms())

    run_scenario(scenario())


# LOST: a single takeover kept the runs of a silent worker for the longest lease.
@pytest.mark.parametrize("loss", Loss)
@pytest.mark.parametrize("max_lease_ms", MAX_LEASES_MS)
@pytest.mark.parametrize("before_s", [0.0, 0.4, 0.8, 1.2])
def test_worker_lost_before_a_takeover_keeps_no_task_away(
    before_s: float, max_lease_ms: int, loss: Loss
) -> None:
    async def scenario() -> None:
        site = await _start_site(1, max_lease_ms)
        await _submit_long_running(site)
        watch = AbsenceWatch(site.workers, site.oracle)
        _lose(site, _busy_worker(site), loss)
        watching = asyncio.create_task(watch.run(DURATION_S / 2))
        await asyncio.sleep(before_s)
        await _end_scheduler(site)
        await watching
        assert site.oracle.violations == [], f"{watch.longest_away_s:.2f} s away"

    run_scenario(scenario())


# LOST: a task was stopped for planned work, and no scheduler heard that it had ended.
@pytest.mark.parametrize("max_lease_ms", MAX_LEASES_MS)
@pytest.mark.parametrize("seed", range(2))
def test_end_that_the_next_scheduler_never_hears_of_keeps_no_task_away(
    seed: int, max_lease_ms: int
) -> None:
    async def scenario() -> None:
        site = await _start_site(seed, max_lease_ms)
        await _submit_long_running(site, max_per_worker=1)
        watch = AbsenceWatch(site.workers, site.oracle)
        watching = asyncio.create_task(watch.run(DURATION_S / 2))
        worker = _busy_worker(site)
        vm = site.vms.vm_of(worker)
        _announce_wave(site, [vm])
        await _lose_end_of_stopped_run(site, worker)
        # Its scheduler ends as the VM goes down for maintenance.
        await site.vms.maintain(vm, WAVE, _scheduler(site).term)
        await _end_scheduler(site)
        await watching
        assert site.oracle.violations == [], f"{watch.longest_away_s:.2f} s away"

    run_scenario(scenario())
