"""What callers get while the store answers writes later than they are waited for."""

from __future__ import annotations

import asyncio

from currantstage.standin.jobs import CALL_TIMEOUT_S, SimulatedSite
from currantstage.standin.jobs._store import ONE_WAY_LATENCY_S
from currantstage.state.jobs import JobState, Term
from tests.jobs.site import run_scenario, start_site, step

SLOW_S = 1.2
SETTLED_S = 3.0
#: Shorter than the timeout of a write.
PROMPT_S = 0.7
#: How much longer than its timeout a slow write takes, in seconds.
MARGIN_S = 0.05
#: Long enough for one write to be sent, and shorter than until the next one.
ONE_WRITE_S = 0.1


def _term(site: SimulatedSite, daemon: str) -> Term:
    session = site.daemons[daemon].ownership.session
    assert session is not None
    return session.lease.term


def test_lease_is_not_handed_over_while_the_store_is_only_slow() -> None:
    """The scheduler changed whenever one write was late, for all daemons alike."""

    async def scenario(seed: int) -> None:
        site = await start_site(seed)
        name = site.scheduler_name()
        assert name is not None
        term = _term(site, name)
        job = await site.submit((step(4, run_ms=1000),))
        site.store.lost_fraction = 1.0
        await asyncio.sleep(SLOW_S)
        site.store.lost_fraction = 0.0
        await asyncio.sleep(SETTLED_S)
        assert site.scheduler_name() == name
        assert _term(site, name) == term
        assert await site.show(job) is JobState.COMPLETED
        await site.check_final()
        assert site.oracle.violations == []

    for seed in range(41, 51):
        run_scenario(scenario(seed))


def test_lease_is_not_handed_over_while_the_store_refuses_every_write() -> None:
    """A store under overload refuses writes of all callers alike, and answers reads."""

    async def scenario(seed: int) -> None:
        site = await start_site(seed)
        name = site.scheduler_name()
        assert name is not None
        term = _term(site, name)
        site.store.refuses_writes = True
        await asyncio.sleep(SLOW_S)
        site.store.refuses_writes = False
        await asyncio.sleep(SETTLED_S)
        assert site.scheduler_name() == name
        assert _term(site, name) == term
        assert site.oracle.violations == []

    for seed in range(41, 51):
        run_scenario(scenario(seed))


def test_start_does_not_wait_for_the_lost_answer_of_a_stored_write() -> None:
    """Starts waited until the write had timed out and was repeated."""

    async def scenario(seed: int) -> None:
        site = await start_site(seed)
        job = await site.submit((step(4, run_ms=10),))
        site.store.lost_fraction = 1.0
        await asyncio.sleep(ONE_WRITE_S)
        site.store.lost_fraction = 0.0
        await asyncio.sleep(PROMPT_S - ONE_WRITE_S)
        assert await site.show(job) is JobState.COMPLETED
        await site.check_final()
        assert site.oracle.violations == []

    for seed in range(41, 51):
        run_scenario(scenario(seed))


async def _wait_for_a_renewal(site: SimulatedSite) -> None:
    """Wait until the lease has been renewed, so that no write is under way."""
    lease = next(name for name in site.store.rows if name.key == "lease")
    version = site.store.rows[lease].version
    while site.store.rows[lease].version == version:
        await asyncio.sleep(0.001)
    await asyncio.sleep(2 * ONE_WAY_LATENCY_S)


def _slow_down_writes_of_the_scheduler(site: SimulatedSite) -> None:
    site.store.slow_partitions = {"scheduler"}
    site.store.slow_write_s = CALL_TIMEOUT_S + MARGIN_S


def test_write_that_takes_effect_after_its_timeout_is_not_repeated_first() -> None:
    """Nothing started while writes took longer than they were waited for."""

    async def scenario(seed: int) -> None:
        site = await start_site(seed)
        await _wait_for_a_renewal(site)
        _slow_down_writes_of_the_scheduler(site)
        job = await site.submit((step(4, run_ms=1000),))
        await asyncio.sleep(CALL_TIMEOUT_S + PROMPT_S)
        assert job in site.oracle.started_jobs
        site.store.slow_partitions = set()
        await asyncio.sleep(SETTLED_S)
        assert await site.show(job) is JobState.COMPLETED
        await site.check_final()
        assert site.oracle.violations == []

    for seed in range(41, 51):
        run_scenario(scenario(seed))


def test_run_cancelled_before_its_late_write_is_seen_is_not_started() -> None:
    """A start that is known late to be stored may no longer be wanted."""

    async def scenario(seed: int) -> None:
        site = await start_site(seed)
        name = site.scheduler_name()
        assert name is not None
        session = site.daemons[name].ownership.session
        assert session is not None
        _slow_down_writes_of_the_scheduler(site)
        job = await site.submit((step(4, run_ms=1000),))
        await asyncio.sleep(ONE_WRITE_S)
        session.cancel(job)
        await asyncio.sleep(CALL_TIMEOUT_S + PROMPT_S)
        site.store.slow_partitions = set()
        await asyncio.sleep(SETTLED_S)
        assert job not in site.oracle.started_jobs

    for seed in range(41, 51):
        run_scenario(scenario(seed))
