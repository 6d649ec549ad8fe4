"""How soon a change of the configuration is in force, and that no older one returns."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from currantstage.application.jobs._configuration_feed import MALFORMED_RETRY_S
from currantstage.standin.jobs import SimulatedSite, build_configuration
from currantstage.state.jobs import (
    ConfigurationVersion,
)
from tests.jobs.scripted_source import (
    ScriptedSource,
    following,
    now_s,
    version_in_force,
)
from tests.jobs.site import run_scenario, start_site

if TYPE_CHECKING:
    pass

#: Time after which an operator's change must be in force on a reachable daemon.
APPLY_S = 2.0
#: The same while the store turns a daemon away that reaches its peers.
APPLY_BY_PEERS_S = 7.0
V1, V2, V3 = (ConfigurationVersion(number) for number in (1, 2, 3))


def test_poll_lost_just_before_the_store_is_back_does_not_delay_a_change() -> None:
    async def scenario() -> None:
        source = ScriptedSource()
        async with following(source) as follower:
            source.answers_from_s = now_s() + 1.0
            await asyncio.sleep(0.9)
            source.write(V2)
            await asyncio.sleep(APPLY_S)
            assert version_in_force(follower) == V2

    run_scenario(scenario())


def test_unexpected_exception_does_not_end_the_following_of_changes() -> None:
    async def scenario() -> None:
        source = ScriptedSource()
        async with following(source) as follower:
            source.errors.append(RuntimeError("the handler is closed"))
            await asyncio.sleep(3)
            assert not source.errors
            source.write(V2)
            await asyncio.sleep(APPLY_S)
            assert version_in_force(follower) == V2

    run_scenario(scenario())


def test_configuration_that_cannot_be_decoded_does_not_confirm_the_one_before() -> None:
    """The version before it went on to count as the newest."""

    async def scenario() -> None:
        source = ScriptedSource()
        async with following(source) as follower:
            source.is_malformed = True
            source.write(V2)
            await asyncio.sleep(APPLY_S)
            malformed_s = now_s()
            await asyncio.sleep(2 * APPLY_S)
            assert follower.confirmed_s < malformed_s
            assert follower.is_outdated()
            source.is_malformed = False
            await asyncio.sleep(MALFORMED_RETRY_S)
            assert version_in_force(follower) == V2
            assert follower.confirmed_s > malformed_s

    run_scenario(scenario())


def test_start_without_the_store_takes_the_newest_version_of_the_peers() -> None:
    async def scenario(seed: int) -> None:
        site = await start_site(seed)
        behind, ahead, _ = site.daemons
        # From now on, one peer misses every change.
        await site.daemons[behind].follower.close()
        site.configure(build_configuration(V2))
        await asyncio.sleep(0.1)
        site.store.unreachable_for = {"late"}
        await site.start_daemon("late", seeds=(behind, ahead))
        follower = site.daemons["late"].follower
        while follower.current is None:
            await asyncio.sleep(0.001)
        assert version_in_force(follower) == V2

    for seed in range(6):
        run_scenario(scenario(seed))


def test_daemon_that_the_store_turns_away_finds_the_one_peer_with_a_change() -> None:
    async def scenario(seed: int) -> None:
        site = SimulatedSite(seed, daemon_count=20, vms_per_pool=1)
        await site.start()
        await asyncio.sleep(3)
        scheduler = site.scheduler_name()
        informed, asking = [name for name in site.daemons if name != scheduler][:2]
        site.store.unreachable_for = set(site.daemons) - {informed}
        # Only this peer learns of changes; the others can't pass them on.
        for name, core in site.daemons.items():
            if name not in (informed, asking):
                await core.follower.close()
        site.configure(build_configuration(V2))
        await asyncio.sleep(APPLY_BY_PEERS_S)
        assert version_in_force(site.daemons[asking].follower) == V2

    for seed in range(4):
        run_scenario(scenario(seed))


def test_change_during_a_takeover_reaches_the_new_scheduler() -> None:
    async def scenario(seed: int) -> None:
        site = await start_site(seed)
        old = site.scheduler_name()
        assert old is not None
        site.kill_daemon(old)
        loading = None
        while loading is None:
            await asyncio.sleep(0.001)
            loading = next(
                (each for each in site.daemons.values() if each.is_scheduler()), None
            )
        site.configure(build_configuration(V3))
        await asyncio.sleep(1)
        session = loading.ownership.session
        assert session is not None
        assert session.scheduler is not None
        version = session.scheduler.configuration.version
        assert version == V3

    for seed in range(3):
        run_scenario(scenario(seed))


def test_unexpected_exception_does_not_end_the_following_of_members_or_lease() -> None:
    async def scenario() -> None:
        site = await start_site(seed=1)
        old = site.scheduler_name()
        assert old is not None
        other = next(name for name in site.daemons if name != old)
        core = site.daemons[other]
        _raise_once(core.directory._repository, "read_members")
        _raise_once(core.directory._repository, "read_lease")
        await asyncio.sleep(3)
        for name in list(site.daemons):
            if name != other:
                site.kill_daemon(name)
        await site.start_daemon("late")
        await asyncio.sleep(4)
        assert "late" in core.directory.peer_addresses()
        assert site.scheduler_name() is not None

    run_scenario(scenario())


def _raise_once(target: object, method: str) -> None:
    """Let the next call of a method raise what no caller expects."""
    original = getattr(target, method)

    async def fail(*_: object) -> None:
        setattr(target, method, original)
        raise RuntimeError("the handler is closed")

    setattr(target, method, fail)
