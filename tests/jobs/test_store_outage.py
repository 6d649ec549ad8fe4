"""How soon all jobs run again once the store is back after an outage (issue 52)."""

from __future__ import annotations

import asyncio
from enum import Enum
from typing import TYPE_CHECKING

import pytest

from currantstage.standin.jobs import POOLS
from currantstage.standin.jobs._workers import WORKERS_TABLE
from currantstage.state.jobs import RowName, RowWrite
from tests.jobs.site import run_scenario, start_site, step
from tests.jobs.standing_watch import StandingWatch

if TYPE_CHECKING:
    from currantstage.standin.jobs import SimulatedSite

SEED = 1
DAEMON_COUNT = 5
VMS_PER_POOL = 6
#: Interval between jobs, in seconds.
SUBMIT_INTERVAL_S = 0.2
#: Time of calm before an outage and of watching after it, in seconds.
BEFORE_S = 3.0
AFTER_S = 12.0
#: Time before an outage in which writes are stored, but not answered, in seconds.
LAST_WRITES_S = 0.1
#: How much longer than the others the scheduler is refused, in seconds.
LONGER_S = 2.0
#: Time for which a killed daemon is away, in seconds.
AWAY_S = 0.5
#: Longest time from the store's return until the entries of workers that have expired
#: meanwhile are back, in seconds.
ENTRY_RETURN_S = 2.0
#: Longest time that a job may stand while there is room for it, in seconds.
MAX_STANDING_S = 3.0


class Holder(Enum):
    """What becomes of the scheduler in an outage of the store."""

    ALIVE = "alive"
    KILLED = "killed"
    REFUSED_LONGER = "refused-longer"
    ALL_KILLED = "all-killed"


class Outage(Enum):
    """How the store fails."""

    REFUSED = "refused"
    SILENT = "silent"


async def _submit_for(site: SimulatedSite, duration_s: float) -> None:
    loop = asyncio.get_running_loop()
    end_s = loop.time() + duration_s
    submitting = []
    while loop.time() < end_s:
        work = step(site.random.randint(1, 4), run_ms=site.random.randint(200, 2000))
        pool = site.random.choice(POOLS)
        submitting.append(asyncio.create_task(site.submit((work,), pool)))
        await asyncio.sleep(SUBMIT_INTERVAL_S)
    await asyncio.gather(*submitting)


def _fail_store(site: SimulatedSite, outage: Outage, daemons: set[str]) -> None:
    if outage is Outage.REFUSED:
        site.store.refused_for = daemons
    else:
        site.store.unreachable_for = daemons


def _expire_entries(site: SimulatedSite) -> None:
    """Remove the entries of all workers, which write them anew."""
    loop = asyncio.get_running_loop()
    for worker in site.workers.workers.values():
        name = RowName(WORKERS_TABLE, "", worker.entry.worker)
        site.store.apply((), (RowWrite(name, None),))
        delay_s = site.random.uniform(0.0, ENTRY_RETURN_S)
        loop.call_later(delay_s, site.workers.publish, worker.entry)


async def _kill(site: SimulatedSite, names: list[str]) -> None:
    for name in names:
        site.kill_daemon(name)
    await asyncio.sleep(AWAY_S)
    for name in names:
        await site.start_daemon(name)


async def _run_outage(
    site: SimulatedSite, outage: Outage, holder: Holder, duration_s: float
) -> None:
    """Let the store fail for `duration_s`; return when it is back for most daemons."""
    name = site.scheduler_name()
    assert name is not None
    everyone = set(site.daemons)
    site.store.lost_fraction = 1.0
    await asyncio.sleep(LAST_WRITES_S)
    site.store.lost_fraction = 0.0
    _fail_store(site, outage, everyone)
    await asyncio.sleep(duration_s / 2)
    if holder is Holder.KILLED:
        await _kill(site, [name])
    elif holder is Holder.ALL_KILLED:
        await _kill(site, sorted(everyone))
    else:
        await asyncio.sleep(AWAY_S)
    await asyncio.sleep(duration_s / 2 - AWAY_S)
    refused = {name} if holder is Holder.REFUSED_LONGER else set()
    _fail_store(site, outage, refused)
    if refused:
        loop = asyncio.get_running_loop()
        loop.call_later(LONGER_S, _fail_store, site, outage, set())


# LOST: jobs stand although the store is back and workers have room for them.
@pytest.mark.parametrize("duration_s", [6.7, 9.0])
@pytest.mark.parametrize("expires_entries", [False, True])
@pytest.mark.parametrize("holder", Holder)
@pytest.mark.parametrize("outage", Outage)
def test_no_job_stands_for_long_once_the_store_is_back(
    outage: Outage,
    holder: Holder,
    duration_s: float,
    *,
    expires_entries: bool,
) -> None:
    async def scenario() -> None:
        site = await start_site(
            SEED, daemon_count=DAEMON_COUNT, vms_per_pool=VMS_PER_POOL
        )
        submitting = asyncio.create_task(
            _submit_for(site, BEFORE_S + duration_s + AFTER_S / 2)
        )
        await asyncio.sleep(BEFORE_S)
        await _run_outage(site, outage, holder, duration_s)
        if expires_entries:
            _expire_entries(site)
        watch = StandingWatch(site)
        await watch.run(AFTER_S)
        await submitting
        assert watch.longest_s < MAX_STANDING_S, watch.longest_job
        assert site.oracle.violations == []

    run_scenario(scenario())
