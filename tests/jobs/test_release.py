"""What a scheduler that is told to stop still orders."""

from __future__ import annotations

import asyncio

import pytest

from currantstage.application.jobs._lease_writer import LeaseWriter
from currantstage.coordination.jobs import HeldLease, SchedulerTuning
from currantstage.standin.jobs import SimulatedSite
from currantstage.state import VmId
from currantstage.state.jobs import RowName
from tests.jobs.site import run_scenario, start_site, step

TUNING = SchedulerTuning()
_LEASE = RowName("scheduler", "scheduler", "lease")
#: Time between looks at the stored lease, in seconds.
LOOK_S = 0.001
#: Longer than a scheduler tries to release its lease, in seconds.
ENDED_S = 2.0


async def _wait_until_released(site: SimulatedSite) -> float:
    """Return when the store has got the release, which its writer isn't told."""
    async with asyncio.timeout(ENDED_S):
        while b"entry-" in (site.store.rows[_LEASE].value or b""):
            await asyncio.sleep(LOOK_S)
    return asyncio.get_running_loop().time()


def _scheduler_name(site: SimulatedSite) -> str:
    name = site.scheduler_name()
    assert name is not None
    return name


def test_no_order_is_sent_once_the_lease_may_have_been_released() -> None:
    """Orders went on until the answer came, beside those of the next scheduler."""

    async def scenario(seed: int) -> None:
        site = await start_site(seed)
        await site.submit((step(12, run_ms=60_000),))
        await asyncio.sleep(1)
        name = _scheduler_name(site)
        site.store.lost_fraction = 1.0
        stopping = asyncio.create_task(site.stop_daemon(name))
        released_s = await _wait_until_released(site)
        site.store.lost_fraction = 0.0
        site.store.unreachable_for = {name}
        await stopping
        assert site.workers.last_order_s[name] <= released_s
        assert site.scheduler_name() not in (None, name)
        assert site.oracle.violations == []

    for seed in range(1, 11):
        run_scenario(scenario(seed))


def test_no_vm_is_ordered_once_the_lease_that_lists_it_is_released(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The write that released the lease also woke the order that waited for one."""
    list_vm = LeaseWriter.list_vm

    async def release_and_list_vm(
        writer: LeaseWriter, vm: VmId, *, is_upkeep: bool
    ) -> None:
        writer.request_release()
        await list_vm(writer, vm, is_upkeep=is_upkeep)

    async def scenario() -> None:
        site = await start_site(seed=1)
        await site.submit((step(200, run_ms=1000),))
        await asyncio.sleep(ENDED_S)
        assert site.vms.last_order_s == {}

    monkeypatch.setattr(LeaseWriter, "list_vm", release_and_list_vm)
    run_scenario(scenario())


def test_lease_that_is_given_up_permits_no_orders() -> None:
    held = HeldLease(TUNING, confirmed_s=0.0)
    assert held.is_valid(1.0)
    assert held.is_certainly_held(1.0)
    held.give_up()
    held.confirm(1.0)
    assert not held.is_valid(1.0)
    assert not held.is_certainly_held(1.0)
