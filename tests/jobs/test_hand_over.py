"""What becomes of a scheduler's lease whose holder can't use it (issue 52)."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from currantstage.application.jobs._load_attempts import LoadAttempts
from currantstage.coordination.jobs import SchedulerTuning
from tests.jobs.captured_log import captured_log
from tests.jobs.site import run_scenario, start_site, step

if TYPE_CHECKING:
    from collections.abc import Callable

    from currantstage.application.jobs._session import SchedulerSession
    from currantstage.standin.jobs import SimulatedSite
    from currantstage.state.jobs import JobId

#: Number of daemons of a site, one of which ends.
DAEMON_COUNT = 4
#: Interval between looks at the daemons, in seconds; shorter than any call.
LOOK_S = 0.001
#: Time in which a lease that its holder can't use has found another, in seconds.
HAND_OVER_S = 1.5
#: Time for which offers find nobody, in seconds.
UNHEARD_S = 1.5
#: Time for which no daemon can read a partition, in seconds.
UNREADABLE_S = 6.0
#: Longest time that a job may stand while there is room for it, in seconds.
MAX_STANDING_S = 3.0


def _session(site: SimulatedSite, name: str) -> SchedulerSession:
    session = site.daemons[name].ownership.session
    assert session is not None
    return session


async def _replace_scheduler(site: SimulatedSite) -> str:
    """End the scheduler; return its successor, which has not read anything yet."""
    name = site.scheduler_name()
    assert name is not None
    stopping = asyncio.create_task(site.stop_daemon(name))
    while True:
        await asyncio.sleep(LOOK_S)
        for other, core in site.daemons.items():
            if core.ownership.session is not None and other != name:
                assert core.ownership.session.scheduler is None
                await stopping
                return other


async def _wait_started(site: SimulatedSite, job: JobId) -> None:
    while job not in site.oracle.started_jobs:
        await asyncio.sleep(LOOK_S)


def _refuse_everything(site: SimulatedSite, daemon: str) -> None:
    site.store.refused_for = {daemon}


def _refuse_reads(site: SimulatedSite, daemon: str) -> None:
    site.store.refuses_reads_of = {daemon}


@pytest.mark.parametrize("refuse", [_refuse_everything, _refuse_reads])
@pytest.mark.parametrize("seed", range(4))
def test_lease_of_a_holder_that_can_not_load_goes_to_a_peer(
    seed: int, refuse: Callable[[SimulatedSite, str], None]
) -> None:
    async def scenario() -> None:
        site = await start_site(seed, daemon_count=DAEMON_COUNT)
        holder = await _replace_scheduler(site)
        term = _session(site, holder).lease.term
        refuse(site, holder)
        other = next(name for name in site.daemons if name != holder)
        async with asyncio.timeout(HAND_OVER_S):
            job = await site.submit((step(4),), daemon=other)
            await _wait_started(site, job)
        successor = site.scheduler_name()
        assert successor not in (None, holder)
        assert _session(site, successor).lease.term == term + 1
        assert site.oracle.violations == []

    run_scenario(scenario())


@pytest.mark.parametrize("link_is_silent", [False, True])
@pytest.mark.parametrize("seed", range(4))
def test_lease_of_a_holder_that_can_not_load_is_released_if_no_peer_hears_the_offer(
    seed: int, *, link_is_silent: bool
) -> None:
    async def scenario() -> None:
        site = await start_site(seed, daemon_count=DAEMON_COUNT)
        holder = await _replace_scheduler(site)
        _refuse_reads(site, holder)
        (site.silent_daemons if link_is_silent else site.resetting_daemons).add(holder)
        async with asyncio.timeout(HAND_OVER_S):
            while site.scheduler_name() is None:
                await asyncio.sleep(LOOK_S)
        assert site.scheduler_name() != holder
        assert site.oracle.violations == []

    run_scenario(scenario())


@pytest.mark.parametrize("seed", range(4))
def test_only_daemon_keeps_a_lease_whose_state_it_can_not_load(seed: int) -> None:
    async def scenario() -> None:
        site = await start_site(seed, daemon_count=2)
        holder = await _replace_scheduler(site)
        term = _session(site, holder).lease.term
        _refuse_reads(site, holder)
        await asyncio.sleep(UNHEARD_S)
        _refuse_reads(site, "")
        async with asyncio.timeout(HAND_OVER_S):
            while site.scheduler_name() is None:
                await asyncio.sleep(LOOK_S)
        assert _session(site, holder).lease.term <= term + 1
        assert site.oracle.violations == []

    run_scenario(scenario())


@pytest.mark.parametrize("seed", range(4))
def test_offer_that_comes_while_no_peer_can_read_is_repeated(seed: int) -> None:
    async def scenario() -> None:
        site = await start_site(seed, daemon_count=DAEMON_COUNT)
        holder = await _replace_scheduler(site)
        _refuse_reads(site, "*")
        await asyncio.sleep(UNHEARD_S)
        _refuse_reads(site, holder)
        async with asyncio.timeout(HAND_OVER_S):
            while site.scheduler_name() is None:
                await asyncio.sleep(LOOK_S)
        assert site.scheduler_name() != holder
        assert site.oracle.violations == []

    run_scenario(scenario())


@pytest.mark.parametrize("seed", range(4))
def test_lease_is_not_passed_around_while_no_daemon_can_load(seed: int) -> None:
    async def scenario() -> None:
        site = await start_site(seed, daemon_count=DAEMON_COUNT)
        holder = await _replace_scheduler(site)
        term = _session(site, holder).lease.term
        site.store.refused_partitions = {"5"}
        await asyncio.sleep(UNREADABLE_S)
        assert site.scheduler_name() is None
        assert _session(site, holder).lease.term == term
        site.store.refused_partitions = set()
        async with asyncio.timeout(HAND_OVER_S):
            while site.scheduler_name() is None:
                await asyncio.sleep(LOOK_S)
        assert site.scheduler_name() == holder

    run_scenario(scenario())


# LOST: one partition of jobs that can't be read keeps the jobs of all others waiting.
def test_jobs_run_while_another_partition_can_not_be_read_by_a_new_scheduler() -> None:
    async def scenario() -> None:
        site = await start_site(seed=1, daemon_count=DAEMON_COUNT)
        site.store.refused_partitions = {"5"}
        await _replace_scheduler(site)
        job = await site.submit((step(4),))
        async with asyncio.timeout(MAX_STANDING_S):
            await _wait_started(site, job)
        assert site.oracle.violations == []

    run_scenario(scenario())


def test_load_that_keeps_failing_is_logged_with_its_reason_and_duration() -> None:
    async def scenario() -> None:
        site = await start_site(seed=1, daemon_count=DAEMON_COUNT)
        await _replace_scheduler(site)
        site.store.refused_partitions = {"5"}
        await asyncio.sleep(UNREADABLE_S)

    with captured_log() as log:
        run_scenario(scenario())
    failures = log.lines("scheduler-load-failed")
    assert failures[0]["attempts"] == 1
    assert failures[-1]["reason"] == "partition refused"
    assert failures[-1]["failing_s"] == pytest.approx(UNREADABLE_S, abs=0.2)
    assert failures[-1]["attempts"] == len(failures)


def test_single_lost_answer_does_not_pass_the_lease_on() -> None:
    """Guards against a lease that goes around while a few reads have no answer."""
    attempts = LoadAttempts(SchedulerTuning(hand_over_ms=300))
    attempts.record_failure(begun_s=1.0)
    assert not attempts.needs_successor(2.0)
    attempts.record_failure(begun_s=2.0)
    assert attempts.needs_successor(3.0)
