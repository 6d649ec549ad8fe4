"""Cancellations that overtake the submission of their job."""

from __future__ import annotations

import asyncio

import pytest
from msgspec.structs import replace

from currantstage.application.jobs._job_table_rows import JobPlace, partition_of
from currantstage.coordination.jobs import Scheduler, SchedulerTuning
from currantstage.protocol.jobs import CallRefusal, QueueTarget
from currantstage.standin.jobs import POOLS, SimulatedSite, build_configuration
from currantstage.state import QueueId
from currantstage.state.jobs import JobId, JobState, Term
from tests.jobs.records import submission
from tests.jobs.site import run_scenario, start_site, step

JOB = JobId("f" * 16)
QUEUE = QueueId(f"q-{POOLS[0]}")
#: Time until the silent store carries out a write, in seconds.
SILENCE_S = 4.0


def test_job_that_was_cancelled_before_it_is_stored_starts_nothing() -> None:
    scheduler = Scheduler(Term(1), build_configuration(), SchedulerTuning())
    scheduler.cancel(JOB, 0.0)
    scheduler.submit(submission(JOB, step(1)), 1.0)
    assert scheduler.state_of(JOB) is JobState.CANCELLED
    assert JOB not in scheduler.early_cancellations


async def _submit_without_answer(site: SimulatedSite) -> None:
    """Submit a job to a silent store, which stores it later."""
    steps = (step(4),)
    known = replace(submission(JOB, *steps), queue=QUEUE, pool=POOLS[0])
    site.oracle.submitted[JOB] = known
    site.store.slow_write_s = SILENCE_S
    site.store.slow_partitions = {partition_of(JOB, place) for place in JobPlace}
    core = next(iter(site.daemons.values()))
    assert await site.submit_to(core, steps) is CallRefusal.IN_DOUBT
    site.store.slow_partitions = set()


async def _cancel(site: SimulatedSite) -> CallRefusal | None:
    core = list(site.daemons.values())[-1]
    target = QueueTarget(QUEUE)
    call = await core.calls.admit(target, "key-east", 3000)
    return await core.calls.cancel(call.unwrap(), JOB)


@pytest.mark.parametrize("kills_scheduler", [False, True])
def test_late_submission_of_a_cancelled_job_starts_nothing(
    kills_scheduler: bool,
) -> None:
    """UNASKED: its caller had been told with 410 that there was no such job."""

    async def scenario() -> None:
        site = await start_site(seed=1)
        await _submit_without_answer(site)
        assert await _cancel(site) is CallRefusal.NO_SUCH_JOB
        if kills_scheduler:
            name = site.scheduler_name()
            if name is not None:
                site.kill_daemon(name)
        await asyncio.sleep(15)
        assert any(each.key == JOB for each in site.store.rows)
        assert JOB not in site.oracle.started_jobs

    run_scenario(scenario())


def test_cancellation_without_a_job_is_removed_after_the_retention_period() -> None:
    async def scenario() -> None:
        site = await start_site(seed=2)
        assert await _cancel(site) is CallRefusal.NO_SUCH_JOB
        assert any(JOB in each.key for each in site.store.rows)
        await asyncio.sleep(site.tuning.retention_ms / 1000 + 10)
        rows = [row for name, row in site.store.rows.items() if JOB in name.key]
        assert all(row.value is None for row in rows)

    run_scenario(scenario())
