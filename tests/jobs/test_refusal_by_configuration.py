"""Calls that a daemon would refuse by a configuration that may not be the newest."""

from __future__ import annotations

import asyncio

from msgspec.structs import replace
from returns.result import Failure, Success

from currantstage.protocol.jobs import CallRefusal, QueueTarget
from currantstage.standin.jobs import POOLS, SimulatedSite, build_configuration
from currantstage.state import QueueId, TeamId
from currantstage.state.jobs import FleetConfiguration, JobQueue, JobTeam
from tests.jobs.site import run_scenario, start_site

ADDED = QueueTarget(QueueId("added"))
KNOWN = QueueTarget(QueueId(f"q-{POOLS[0]}"))
DEADLINE_MS = 3000


def _with_added_queue_and_key() -> FleetConfiguration:
    configuration = build_configuration(2)
    queue = JobQueue(queue=ADDED.queue, host="h", path_prefix="/added/", pool=POOLS[0])
    team = JobTeam(team=TeamId("north"), keys=("key-north",))
    return replace(
        configuration,
        queues=(*configuration.queues, queue),
        teams=(*configuration.teams, team),
    )


async def _cut_off(site: SimulatedSite) -> str:
    """Cut one daemon off from the store and from all others; return its name."""
    name = next(each for each in site.daemons if each != site.scheduler_name())
    site.store.unreachable_for = {name}
    site.silent_daemons = {name}
    await asyncio.sleep(2)
    return name


def test_added_queue_or_key_is_not_refused_as_unknown_by_a_version_in_doubt() -> None:
    async def scenario() -> None:
        site = await start_site(seed=1)
        calls = site.daemons[await _cut_off(site)].calls
        site.configure(_with_added_queue_and_key())
        await asyncio.sleep(1)
        by_queue = await calls.admit(ADDED, "key-east", DEADLINE_MS)
        by_key = await calls.admit(KNOWN, "key-north", DEADLINE_MS)
        assert by_queue == by_key == Failure(CallRefusal.UNAVAILABLE)

    run_scenario(scenario())


def test_call_on_an_added_queue_is_admitted_as_soon_as_the_store_is_back() -> None:
    async def scenario() -> None:
        site = await start_site(seed=1)
        name = await _cut_off(site)
        site.configure(_with_added_queue_and_key())
        await asyncio.sleep(1)
        site.store.unreachable_for = set()
        site.silent_daemons = set()
        admitted = await site.daemons[name].calls.admit(ADDED, "key-north", DEADLINE_MS)
        assert isinstance(admitted, Success)

    run_scenario(scenario())


def test_call_on_an_added_queue_is_admitted_by_what_peers_know() -> None:
    async def scenario() -> None:
        site = await start_site(seed=1)
        name = await _cut_off(site)
        site.configure(_with_added_queue_and_key())
        await asyncio.sleep(1)
        site.silent_daemons = set()
        admitted = await site.daemons[name].calls.admit(ADDED, "key-north", DEADLINE_MS)
        assert isinstance(admitted, Success)

    run_scenario(scenario())


def test_unknown_queue_and_key_are_refused_while_the_store_answers() -> None:
    async def scenario() -> None:
        site = await start_site(seed=1)
        for core in site.daemons.values():
            by_queue = await core.calls.admit(ADDED, "key-east", DEADLINE_MS)
            by_key = await core.calls.admit(KNOWN, "key-north", DEADLINE_MS)
            assert by_queue == Failure(CallRefusal.NO_SUCH_QUEUE)
            assert by_key == Failure(CallRefusal.UNKNOWN_KEY)

    run_scenario(scenario())


def test_many_refusals_at_once_cost_one_read() -> None:
    async def scenario() -> None:
        site = await start_site(seed=1)
        core = next(iter(site.daemons.values()))
        reads = site.store.calls
        await asyncio.gather(
            *(core.calls.admit(ADDED, "key-east", DEADLINE_MS) for _ in range(200))
        )
        assert site.store.calls - reads <= 3

    run_scenario(scenario())
