"""Leases of workers whose clocks run slow, on simulated sites and by themselves."""

from __future__ import annotations

import asyncio

import pytest

from currantstage.coordination.jobs import Scheduler, SchedulerTuning
from currantstage.standin.jobs import SimulatedSite, build_configuration
from currantstage.state.jobs import (
    BornMs,
    JobId,
    JobState,
    RenewalReply,
    Term,
    WorkerId,
)
from tests.jobs.records import entry, submission
from tests.jobs.site import run_scenario, start_site, step

TUNING = SchedulerTuning()
WORKER = WorkerId("w")
#: "which may be 2% slow"
SLOWEST_RATE = 0.98
RATES = (SLOWEST_RATE, 0.99, 1.0)
#: How long a cut lasts, in seconds; longer than a lease, and than its holder is silent.
CUT_S = 5.5
#: Shortest lease in seconds that bears one renewal without an answer.
SHORTEST_LEASE_S = 3.0


async def _start_idle_site(
    seed: int, idle_s: float, rate: float = SLOWEST_RATE
) -> SimulatedSite:
    """Return a site whose workers have been idle; their clocks have that rate."""
    return await start_site(seed, settle_s=idle_s, clock_rates=(rate,))


async def _cut_first_run(site: SimulatedSite, job: JobId) -> None:
    """Cut the worker off that runs a job's only task, while it runs on."""
    await asyncio.sleep(0.3)
    worker = next(
        run.worker.entry.worker
        for task, runs in site.oracle.running.items()
        for run in runs
        if task.job == job
    )
    site.workers.unreachable.add(worker)
    await asyncio.sleep(CUT_S)
    site.workers.unreachable.discard(worker)


@pytest.mark.parametrize("idle_s", [10.0, 80.0, 300.0])
def test_no_task_runs_twice_after_a_cut_of_a_worker_that_was_idle(
    idle_s: float,
) -> None:
    # TWICE: the lease lasted longer by what the worker's clock had fallen behind.
    async def scenario() -> None:
        site = await _start_idle_site(1, idle_s)
        job = await site.submit((step(1, run_ms=8000),))
        await _cut_first_run(site, job)
        await asyncio.sleep(20)
        assert site.oracle.violations == []
        assert await site.show(job) is JobState.COMPLETED

    run_scenario(scenario())


@pytest.mark.parametrize("kills", [1, 2])
def test_no_task_runs_twice_after_takeovers_behind_a_cut(kills: int) -> None:
    # TWICE: the next scheduler counts leases that the one before it has granted.
    async def scenario() -> None:
        site = await _start_idle_site(kills, idle_s=80.0)
        job = await site.submit((step(1, run_ms=8000),))
        cut = asyncio.create_task(_cut_first_run(site, job))
        for _ in range(kills):
            await asyncio.sleep(0.8)
            name = site.scheduler_name()
            assert name is not None
            site.kill_daemon(name)
            await site.start_daemon(name)
        await cut
        await asyncio.sleep(25)
        assert site.oracle.violations == []
        assert await site.show(job) is JobState.COMPLETED

    run_scenario(scenario())


@pytest.mark.parametrize("rate", RATES)
@pytest.mark.parametrize("idle_s", [0.0, 5.0, 60.0, 600.0, 6000.0])
def test_lease_ends_on_the_worker_before_the_scheduler_counts_it_as_expired(
    idle_s: float, rate: float
) -> None:
    # TWICE: a reading of the clock was carried on as if it were never slow.
    scheduler = Scheduler(Term(1), build_configuration(), TUNING)
    scheduler.update_workers((entry(WORKER),), now_s=0.0)
    order = scheduler.next_renewal(WORKER, 0.0)
    assert order is not None
    reply = RenewalReply(clock_ms=1000, born_ms=BornMs(1), running=(), ended=())
    scheduler.on_renewal_outcome(order, reply, sent_s=0.0, now_s=0.0)
    scheduler.submit(submission(JobId("0" * 16), step(1)), now_s=idle_s)
    scheduler.place(now_s=idle_s, unix_ms=0)
    batch = scheduler.take_batch()
    assert batch is not None
    (run,) = scheduler.on_batch_stored(batch)
    start = scheduler.start_order(run, now_s=idle_s)
    worker_state = scheduler.workers.get(WORKER)
    assert start is not None
    assert worker_state is not None
    worker_end_s = (start.until_ms - 1000) / 1000 / rate
    assert worker_end_s <= worker_state.lease.end_s


@pytest.mark.parametrize("rate", RATES)
def test_start_on_a_worker_that_was_idle_has_a_lease_that_bears_a_lost_renewal(
    rate: float,
) -> None:
    # A lease reckoned from a reading that is minutes old would be over at once.
    async def scenario() -> None:
        site = await _start_idle_site(3, idle_s=300.0, rate=rate)
        job = await site.submit((step(1, run_ms=8000),))
        await asyncio.sleep(0.02)
        (run,) = (
            each
            for task, runs in site.oracle.running.items()
            for each in runs
            if task.job == job
        )
        left_s = run.worker.lease_end_s - asyncio.get_running_loop().time()
        assert left_s >= SHORTEST_LEASE_S

    run_scenario(scenario())
