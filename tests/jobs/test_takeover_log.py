"""What the log says of runs that a scheduler has adopted from an earlier one."""

from __future__ import annotations

import asyncio

import pytest

from currantstage.application.jobs import JobMetrics
from currantstage.standin.jobs import SimulatedSite
from currantstage.state.jobs import OrderOutcome
from tests.jobs.captured_log import captured_log
from tests.jobs.site import run_scenario, start_site, step

#: Longer than any run is kept on a worker that doesn't answer, in seconds.
LONGEST_DOUBT_S = 15.0
#: Time until a started site has given its tasks to workers, and until these have listed
#: them, in seconds.
STARTED_S = 0.5
LISTED_S = 1.5
#: Time for which the first of two schedulers is in doubt, in seconds.
FIRST_DOUBT_S = 2.5
#: Longest time between two renewals of a worker's lease, in seconds.
RENEWAL_S = 1.0
#: Interval between looks at the log, in seconds.
LOOK_S = 0.01


async def _replace_scheduler(site: SimulatedSite) -> None:
    name = site.scheduler_name()
    assert name is not None
    await site.stop_daemon(name)


def test_loss_of_an_adopted_run_is_logged_without_times_that_nobody_measured() -> None:
    # A clock that was never read had been read 4,541 to 91,034 s ago.
    async def scenario() -> None:
        site = await start_site(seed=1)
        await site.submit((step(1, run_ms=60_000),))
        await asyncio.sleep(STARTED_S)
        worker = next(each for each in site.workers.workers.values() if each.runs)
        site.workers.crash(worker.entry.worker, is_silent=True)
        await _replace_scheduler(site)
        await asyncio.sleep(LONGEST_DOUBT_S)

    with captured_log() as log:
        run_scenario(scenario())
    (lost,) = log.lines("task-lost")
    assert lost["is_adopted"]
    assert lost["phase"] == "in-doubt"
    assert lost["placed_ago_s"] is None
    assert lost["clock_age_s"] is None
    assert lost["listed_ago_s"] is None
    adopted = log.lines("runs-adopted")[-1]
    assert (adopted["runs"], adopted["workers"]) == (1, 1)
    (settled,) = log.lines("adopted-runs-settled")
    assert settled["term"] == adopted["term"]
    assert settled["duration_s"] == pytest.approx(lost["in_doubt_s"], abs=0.001)
    assert settled["lease_expired"] == 1
    assert settled["listed"] == settled["process_ended"] == 0


def test_loss_of_an_adopted_run_tells_how_long_earlier_schedulers_were_in_doubt() -> (
    None
):
    ages_s = []

    async def scenario() -> None:
        site = await start_site(seed=1)
        await site.submit((step(1, run_ms=60_000),))
        await asyncio.sleep(LISTED_S)
        worker = next(each for each in site.workers.workers.values() if each.runs)
        site.workers.crash(worker.entry.worker, is_silent=True)
        crashed_s = asyncio.get_running_loop().time()
        await asyncio.sleep(FIRST_DOUBT_S)
        await _replace_scheduler(site)
        while not log.lines("task-lost"):
            await asyncio.sleep(LOOK_S)
        ages_s.append(asyncio.get_running_loop().time() - crashed_s)

    with captured_log() as log:
        run_scenario(scenario())
    (lost,) = log.lines("task-lost")
    assert lost["unrenewed_before_s"] >= FIRST_DOUBT_S - RENEWAL_S
    whole_s = lost["in_doubt_s"] + lost["unrenewed_before_s"]
    assert whole_s == pytest.approx(ages_s[0], abs=RENEWAL_S)


def test_loss_of_an_own_run_is_logged_with_the_times_of_its_worker() -> None:
    async def scenario() -> None:
        site = await start_site(seed=1)
        await site.submit((step(1, run_ms=60_000),))
        await asyncio.sleep(LISTED_S)
        worker = next(each for each in site.workers.workers.values() if each.runs)
        site.workers.crash(worker.entry.worker, is_silent=True)
        await asyncio.sleep(LONGEST_DOUBT_S)

    with captured_log() as log:
        run_scenario(scenario())
    (lost,) = log.lines("task-lost")
    assert not lost["is_adopted"]
    assert lost["in_doubt_s"] is None
    assert lost["unrenewed_before_s"] is None
    assert 0 < lost["listed_ago_s"] < lost["placed_ago_s"] < LONGEST_DOUBT_S
    assert 0 < lost["clock_age_s"] < lost["placed_ago_s"]
    assert log.lines("adopted-runs-settled") == []


def test_runs_that_workers_list_after_a_takeover_are_logged_as_settled() -> None:
    async def scenario() -> None:
        site = await start_site(seed=1)
        await site.submit((step(5, run_ms=60_000),))
        await asyncio.sleep(STARTED_S)
        await _replace_scheduler(site)
        await asyncio.sleep(STARTED_S)

    with captured_log() as log:
        run_scenario(scenario())
    first, second = log.lines("runs-adopted")
    assert (first["runs"], first["workers"]) == (0, 0)
    assert second["runs"] == 5
    (settled,) = log.lines("adopted-runs-settled")
    assert settled["listed"] == 5
    assert settled["lease_expired"] == settled["process_ended"] == 0
    assert settled["duration_s"] < STARTED_S


def test_start_without_a_reading_of_the_clock_has_no_age_in_the_metrics() -> None:
    metrics = JobMetrics()
    try:
        metrics.count_start(OrderOutcome.ACCEPTED, waited_s=0.1, clock_age_s=None)
        assert b"worker_clock_age" not in metrics.render()
        metrics.count_start(OrderOutcome.ACCEPTED, waited_s=0.1, clock_age_s=2.0)
        assert b"worker_clock_age" in metrics.render()
    finally:
        metrics.close()
