"""What callers get while the store answers writes later than they are waited for."""

from __future__ import annotations

import asyncio

from currantstage.standin.jobs import SimulatedSite
from currantstage.state.jobs import JobState, Term
from tests.jobs.site import run_scenario, start_site, step

SLOW_S = 1.2
SETTLED_S = 3.0


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
