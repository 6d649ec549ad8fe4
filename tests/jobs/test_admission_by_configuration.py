"""Calls that a daemon would allow by a configuration that may not be the newest."""

from __future__ import annotations

import asyncio

from msgspec.structs import replace
from returns.result import Failure, Success

from currantstage.protocol.jobs import CallAccess, CallRefusal, QueueTarget
from currantstage.standin.jobs import POOLS, SimulatedSite, build_configuration
from currantstage.state import QueueId
from currantstage.state.jobs import FleetConfiguration
from tests.jobs.site import run_scenario, start_site

REMOVED = QueueTarget(QueueId(f"q-{POOLS[1]}"))
KEPT = QueueTarget(QueueId(f"q-{POOLS[0]}"))
DEADLINE_MS = 3000
#: Time after which an operator's change must be in force, in seconds.
APPLY_S = 2.0


def _without_queue_and_key() -> FleetConfiguration:
    configuration = build_configuration(2)
    return replace(
        configuration,
        queues=configuration.queues[:1],
        teams=configuration.teams[:1],
    )


async def _start_with_missed_change(
    *, reaches_peers: bool
) -> tuple[SimulatedSite, str]:
    """Return a site, and a daemon that the store doesn't tell of a change."""
    site = await start_site(seed=1)
    name = next(each for each in site.daemons if each != site.scheduler_name())
    site.store.unreachable_for = {name}
    if not reaches_peers:
        site.silent_daemons = {name}
    await site.daemons[name].follower.close()
    site.configure(_without_queue_and_key())
    await asyncio.sleep(APPLY_S + 0.1)
    return site, name


def test_removed_queue_or_key_is_not_served_by_a_version_nobody_confirms() -> None:
    """A version that nobody had confirmed for 20 s allowed calls."""

    async def scenario() -> None:
        site, name = await _start_with_missed_change(reaches_peers=False)
        calls = site.daemons[name].calls
        by_queue = await calls.admit(REMOVED, "key-east", DEADLINE_MS)
        by_key = await calls.admit(KEPT, "key-west", DEADLINE_MS)
        assert by_queue == by_key == Failure(CallRefusal.UNAVAILABLE)

    run_scenario(scenario())


def test_removed_queue_and_key_are_refused_by_what_peers_know() -> None:
    async def scenario() -> None:
        site, name = await _start_with_missed_change(reaches_peers=True)
        calls = site.daemons[name].calls
        by_queue = await calls.admit(REMOVED, "key-east", DEADLINE_MS)
        by_key = await calls.admit(KEPT, "key-west", DEADLINE_MS)
        assert by_queue == Failure(CallRefusal.NO_SUCH_QUEUE)
        assert by_key == Failure(CallRefusal.UNKNOWN_KEY)

    run_scenario(scenario())


def test_call_is_admitted_by_what_peers_know_while_the_change_is_on_its_way() -> None:
    async def scenario() -> None:
        site, name = await _start_with_missed_change(reaches_peers=True)
        admitted = await site.daemons[name].calls.admit(KEPT, "key-east", DEADLINE_MS)
        assert isinstance(admitted, Success)
        assert admitted.unwrap().configuration == 2

    run_scenario(scenario())


def test_daemon_that_is_cut_off_still_serves_reads() -> None:
    async def scenario() -> None:
        site, name = await _start_with_missed_change(reaches_peers=False)
        admitted = await site.daemons[name].calls.admit(
            KEPT, "key-east", DEADLINE_MS, CallAccess.READ
        )
        assert isinstance(admitted, Success)

    run_scenario(scenario())


def test_older_version_decides_no_more_once_a_peer_has_shown_a_newer_one() -> None:
    """A call allowed by a peer's version would be followed by one by the older own."""

    async def scenario() -> None:
        site, name = await _start_with_missed_change(reaches_peers=True)
        calls = site.daemons[name].calls
        await calls.admit(KEPT, "key-east", DEADLINE_MS)
        site.silent_daemons = {name}
        for access in CallAccess:
            admitted = await calls.admit(REMOVED, "key-east", DEADLINE_MS, access)
            assert admitted == Failure(CallRefusal.UNAVAILABLE)

    run_scenario(scenario())


def test_calls_at_a_site_in_order_are_decided_without_peers() -> None:
    async def scenario() -> None:
        site = await start_site(seed=1)
        name, *others = site.daemons
        site.silent_daemons = set(others)
        for _ in range(30):
            admitted = await site.daemons[name].calls.admit(
                KEPT, "key-east", DEADLINE_MS
            )
            assert isinstance(admitted, Success)
            await asyncio.sleep(0.11)

    run_scenario(scenario())


def test_one_confirmed_peer_among_many_decides_at_once() -> None:
    async def scenario() -> None:
        site = await start_site(seed=2, daemon_count=30, settle_s=3)
        scheduler = site.scheduler_name()
        assert scheduler is not None
        behind = [name for name in site.daemons if name != scheduler]
        for name in behind:
            await site.daemons[name].follower.close()
        site.store.unreachable_for = set(behind)
        site.configure(_without_queue_and_key())
        await asyncio.sleep(APPLY_S + 0.1)
        for name in behind:
            started_s = asyncio.get_running_loop().time()
            admitted = await site.daemons[name].calls.admit(
                KEPT, "key-east", DEADLINE_MS
            )
            assert isinstance(admitted, Success)
            assert asyncio.get_running_loop().time() - started_s < 0.25

    run_scenario(scenario())
