"""What a scheduler that is told to stop still orders, and what it waits for."""

from __future__ import annotations

import asyncio

import pytest

from currantstage.application.jobs._lease_writer import LeaseWriter
from currantstage.coordination.jobs import HeldLease, SchedulerTuning, VmOrder
from currantstage.standin.jobs import POOLS, SimulatedSite, _workers
from currantstage.state.jobs import JobId, RowName, TaskKey, WorkerId
from tests.jobs.site import SETTLE_S, run_scenario, start_site, step

TUNING = SchedulerTuning()
_LEASE = RowName("scheduler", "scheduler", "lease")
#: Time between looks at the stored lease, in seconds.
LOOK_S = 0.001
#: Longer than a scheduler tries to release its lease, in seconds.
ENDED_S = 2.0
#: Time until a started site has given its tasks to workers that have listed them, and
#: until a stop that is decided on has been ordered, in seconds.
LISTED_S = 1.5
STOP_ORDERED_S = 0.12
#: Time in which the next scheduler starts what waits, in seconds.
PROMPT_S = 1.5
#: Latency of a call to a worker, in seconds; longer than between two writes.
SLOW_LINK_S = 0.05


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
    list_vm_order = LeaseWriter.list_vm_order

    async def release_and_list_vm(writer: LeaseWriter, order: VmOrder) -> None:
        writer.request_release()
        await list_vm_order(writer, order)

    async def scenario() -> None:
        site = await start_site(seed=1)
        await site.submit((step(200, run_ms=1000),))
        await asyncio.sleep(ENDED_S)
        assert site.vms.last_order_s == {}

    monkeypatch.setattr(LeaseWriter, "list_vm_order", release_and_list_vm)
    run_scenario(scenario())


def _running_tasks(site: SimulatedSite, job: JobId) -> set[TaskKey]:
    return {
        task for task, runs in site.oracle.running.items() if runs and task.job == job
    }


def test_end_of_a_stopped_run_is_stored_before_the_lease_is_released() -> None:
    """LOST: the next scheduler kept the run, whose worker was gone, for 7.4 s."""

    async def scenario(seed: int) -> None:
        site = SimulatedSite(seed)
        # No VM moves away, so that the task has room elsewhere.
        site.tuning = SchedulerTuning(min_vms_per_pool=3)
        await site.start()
        await asyncio.sleep(SETTLE_S)
        job = await site.submit((step(1, run_ms=0, is_long_running=True),))
        await asyncio.sleep(LISTED_S)
        name = _scheduler_name(site)
        session = site.daemons[name].ownership.session
        assert session is not None
        assert session.scheduler is not None
        record = session.scheduler.jobs.get(job)
        assert record is not None
        (run,) = record.runs()
        run.is_stopping = True
        await asyncio.sleep(STOP_ORDERED_S)
        await site.stop_daemon(name)
        site.workers.crash(run.worker, is_silent=True)
        await asyncio.sleep(PROMPT_S)
        assert len(_running_tasks(site, job)) == 1
        assert site.oracle.violations == []

    for seed in range(1, 6):
        run_scenario(scenario(seed))


def test_refusal_of_a_start_is_stored_before_the_lease_is_released(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The next scheduler kept runs that workers had refused, but not in time."""

    async def scenario(seed: int) -> None:
        site = await start_site(seed)
        name = _scheduler_name(site)
        for number in range(2):
            site.workers.crash(WorkerId(f"i-{POOLS[0]}-{number}"))
        job = await site.submit((step(3, run_ms=60_000),))
        async with asyncio.timeout(ENDED_S):
            while site.workers.starts_by_caller[name] < 3:
                await asyncio.sleep(LOOK_S)
        await site.stop_daemon(name)
        await asyncio.sleep(PROMPT_S)
        assert len(_running_tasks(site, job)) == 3
        assert site.oracle.violations == []

    monkeypatch.setattr(_workers, "ONE_WAY_LATENCY_S", SLOW_LINK_S)
    for seed in range(1, 6):
        run_scenario(scenario(seed))


def test_release_waits_for_a_worker_that_does_not_answer_for_a_short_time_only() -> (
    None
):
    async def scenario(seed: int) -> None:
        site = await start_site(seed)
        job = await site.submit((step(1, run_ms=60_000),))
        await asyncio.sleep(1)
        worker = next(each for each in site.workers.workers.values() if each.runs)
        site.workers.unreachable.add(worker.entry.worker)
        await site.cancel(job)
        started_s = asyncio.get_running_loop().time()
        await site.stop_daemon(_scheduler_name(site))
        assert asyncio.get_running_loop().time() - started_s < 0.5

    for seed in range(1, 6):
        run_scenario(scenario(seed))


def test_lease_that_is_given_up_permits_no_orders() -> None:
    held = HeldLease(TUNING, confirmed_s=0.0)
    assert held.is_valid(1.0)
    assert held.is_certainly_held(1.0)
    held.give_up()
    held.confirm(1.0)
    assert not held.is_valid(1.0)
    assert not held.is_certainly_held(1.0)
