"""End-to-end scenarios on the simulated site, with and without faults."""

from __future__ import annotations

import asyncio

from msgspec.structs import replace

from currantstage.coordination.jobs import SchedulerCapacity, SchedulerTuning
from currantstage.protocol.jobs import CallRefusal
from currantstage.standin.jobs import POOLS, SimulatedSite, build_configuration
from currantstage.state.jobs import (
    AdvicePolicy,
    ConfigurationVersion,
    JobQueue,
    JobState,
    MaintenanceWave,
    WorkerId,
)
from tests.jobs.captured_log import captured_log
from tests.jobs.site import SETTLE_S, run_scenario, start_site, step

LARGE = SchedulerCapacity(link_mbps=200.0, cpu_cores=2.0)
TWO_STEPS = (step(4), step(2, after=(0,)))


async def _submit_jobs(site: SimulatedSite, count: int, interval_s: float) -> None:
    for number in range(count):
        pool = POOLS[number % len(POOLS)]
        await site.submit(TWO_STEPS, pool, team=("east", "west")[number % 3 == 0])
        await asyncio.sleep(interval_s)


async def _partition_from_scheduler(site: SimulatedSite) -> set[str]:
    """Cut the scheduler and a busy worker off from the other daemons; return those.

    The scheduler still reaches the worker, but not the store, and it resets the
    connections of its peers.
    """
    await site.submit((step(6, run_ms=8000),))
    await asyncio.sleep(0.5)
    name = site.scheduler_name()
    assert name is not None
    worker = next(w for w in site.workers.workers.values() if w.runs)
    site.store.unreachable_for = {name}
    site.resetting_daemons = {name}
    others = set(site.daemons) - {name}
    site.workers.unreachable_pairs = {(other, worker.entry.worker) for other in others}
    return others


def _end_partition(site: SimulatedSite) -> None:
    site.store.unreachable_for = set()
    site.resetting_daemons = set()
    site.workers.unreachable_pairs = set()


def test_every_job_completes_without_faults() -> None:
    async def scenario() -> None:
        site = await start_site(seed=1)
        await _submit_jobs(site, 30, 0.2)
        await asyncio.sleep(5)
        await site.check_final()
        assert site.oracle.violations == []
        states = [await site.show(job) for job in site.oracle.submitted]
        assert states == [JobState.COMPLETED] * 30

    run_scenario(scenario())


def test_killed_scheduler_is_replaced_and_nothing_runs_twice() -> None:
    async def scenario() -> None:
        site = await start_site(seed=2)
        submitting = asyncio.create_task(_submit_jobs(site, 30, 0.2))
        for _ in range(3):
            await asyncio.sleep(1.5)
            name = site.scheduler_name()
            assert name is not None
            site.kill_daemon(name)
            await asyncio.sleep(1.5)
            assert site.scheduler_name() not in (None, name)
            await site.start_daemon(name)
        await submitting
        await asyncio.sleep(12)
        await site.check_final()
        assert site.oracle.violations == []

    run_scenario(scenario())


def test_scheduling_resumes_within_two_seconds_after_all_daemons_are_killed() -> None:
    async def scenario() -> None:
        site = await start_site(seed=3)
        job = await site.submit((step(4, run_ms=3000),))
        await asyncio.sleep(0.5)
        names = list(site.daemons)
        for name in names:
            site.kill_daemon(name)
        for name in names:
            await site.start_daemon(name)
        await asyncio.sleep(2)
        assert site.scheduler_name() is not None
        await asyncio.sleep(3)
        assert await site.show(job) is JobState.COMPLETED
        assert site.oracle.violations == []

    run_scenario(scenario())


def test_graceful_stop_hands_over_the_scheduler_lease() -> None:
    async def scenario() -> None:
        site = await start_site(seed=4)
        job = await site.submit((step(4, run_ms=1500),))
        name = site.scheduler_name()
        assert name is not None
        await site.stop_daemon(name)
        await asyncio.sleep(1.0)
        assert site.scheduler_name() not in (None, name)
        await asyncio.sleep(2.0)
        assert await site.show(job) is JobState.COMPLETED
        assert site.oracle.violations == []

    run_scenario(scenario())


def test_run_on_a_worker_whose_entry_expired_is_not_started_again() -> None:
    """A task ran twice after a takeover during a network partition.

    The partitioned worker kept running while its entry had expired, so that the new
    scheduler didn't find it in the list of workers.
    """

    async def scenario() -> None:
        site = await start_site(seed=5)
        await site.submit((step(6, run_ms=4500),))
        await asyncio.sleep(0.3)
        worker = next(w for w in site.workers.workers.values() if w.runs)
        site.workers.unreachable.add(worker.entry.worker)
        site.workers._expire(worker.entry)
        name = site.scheduler_name()
        assert name is not None
        site.kill_daemon(name)
        await asyncio.sleep(25)
        await site.check_final()
        assert site.oracle.violations == []

    run_scenario(scenario())


def test_moved_vm_gets_no_starts_while_its_entry_lingers() -> None:
    """Starts on moved VMs stayed in doubt until the worker's lease expired."""

    async def scenario() -> None:
        site = await start_site(seed=6, vms_per_pool=4, settle_s=4)
        started_s = asyncio.get_running_loop().time()
        job = await site.submit((step(6, run_ms=300),))
        while await site.show(job) is not JobState.COMPLETED:
            await asyncio.sleep(0.05)
            assert asyncio.get_running_loop().time() - started_s < 1.5
        assert site.oracle.violations == []

    run_scenario(scenario())


def test_wave_maintains_every_vm_within_its_limit() -> None:
    async def scenario() -> None:
        site = await start_site(seed=7)
        await site.submit((step(3, is_long_running=True, max_unavailable=1),))
        vms = tuple(f"m-{pool}-{number}" for pool in POOLS for number in range(3))
        wave = MaintenanceWave(number=1, vms=vms, complete_by_s=25, max_down=2)
        site.announce_wave(wave)
        await _submit_jobs(site, 20, 0.5)
        await asyncio.sleep(15)
        assert {vm for _, vm in site.vms.maintained} == set(vms)
        assert site.oracle.violations == []

    run_scenario(scenario())


def test_store_outage_delays_jobs_and_loses_none() -> None:
    async def scenario() -> None:
        site = await start_site(seed=8)
        submitting = asyncio.create_task(_submit_jobs(site, 20, 0.3))
        await asyncio.sleep(2)
        site.store.unreachable_for = {"*"}
        await asyncio.sleep(4)
        site.store.unreachable_for = set()
        await submitting
        await asyncio.sleep(10)
        await site.check_final()
        assert site.oracle.violations == []

    run_scenario(scenario())


def test_job_fails_after_its_maximum_attempts() -> None:
    async def scenario() -> None:
        site = await start_site(seed=9)
        job = await site.submit((step(2, run_ms=200),), spec="hopeless")
        await asyncio.sleep(4)
        assert await site.show(job) is JobState.FAILED
        assert site.oracle.violations == []

    run_scenario(scenario())


def test_cancelled_job_is_stopped_and_stays_cancelled() -> None:
    async def scenario() -> None:
        site = await start_site(seed=10)
        job = await site.submit((step(4, run_ms=60_000),))
        await asyncio.sleep(0.5)
        assert await site.cancel(job)
        await asyncio.sleep(1.0)
        assert all(not worker.runs for worker in site.workers.workers.values())
        assert await site.show(job) is JobState.CANCELLED
        assert site.oracle.violations == []

    run_scenario(scenario())


def test_daemon_without_store_access_accepts_jobs_through_the_scheduler() -> None:
    """Two daemons that the store refused rejected all jobs for nine seconds."""

    async def scenario() -> None:
        site = await start_site(seed=11)
        isolated = next(name for name in site.daemons if name != site.scheduler_name())
        site.store.unreachable_for = {isolated}
        await asyncio.sleep(3)
        job = await site.submit((step(2),), daemon=isolated)
        assert job in site.oracle.accepted_s
        await asyncio.sleep(2)
        assert await site.show(job) is JobState.COMPLETED
        assert site.oracle.violations == []

    run_scenario(scenario())


def test_daemon_without_store_access_follows_the_configuration() -> None:
    async def scenario() -> None:
        site = await start_site(seed=12, settle_s=3)
        isolated = next(name for name in site.daemons if name != site.scheduler_name())
        site.store.unreachable_for = {isolated}
        await asyncio.sleep(2)
        site.configure(build_configuration(version=9))
        await asyncio.sleep(4)
        assert site.daemons[isolated].follower.newer_than(ConfigurationVersion(8))

    run_scenario(scenario())


def test_scheduler_behind_a_partition_with_resets_is_not_considered_ended() -> None:
    """A task ran twice when a partition between data centres reset connections.

    The old scheduler still renews the lease of a worker on its side, which the new one
    can't reach.
    """

    async def scenario() -> None:
        site = await start_site(seed=13)
        await _partition_from_scheduler(site)
        await asyncio.sleep(7)
        _end_partition(site)
        await asyncio.sleep(20)
        await site.check_final()
        assert site.oracle.violations == []

    run_scenario(scenario())


def test_queue_with_advice_runs_only_on_allowed_workers() -> None:
    async def scenario() -> None:
        site = SimulatedSite(seed=14)
        site.tuning = SchedulerTuning(min_vms_per_pool=3)
        assert site.advice is not None
        site.advice.allowed = {WorkerId("i-parcels-1")}
        await site.start()
        _reconfigure(site, 2, _with_advice(site.configuration.queues))
        await asyncio.sleep(2)
        job = await site.submit((step(2), step(2, after=(0,))))
        seen = set()
        for _ in range(60):
            await asyncio.sleep(0.05)
            workers = site.workers.workers.values()
            seen.update(w.name for w in workers for r in w.runs if r.job == job)
        assert await site.show(job) is JobState.COMPLETED
        assert seen == {"i-parcels-1"}

    run_scenario(scenario())


def test_queue_with_advice_waits_at_a_site_without_the_service() -> None:
    async def scenario() -> None:
        site = SimulatedSite(seed=14)
        site.advice = None
        await site.start()
        queues = site.configuration.queues
        needing, other = queues[:2]
        _reconfigure(site, 2, (*_with_advice((needing,)), *queues[1:]))
        with captured_log() as log:
            await asyncio.sleep(SETTLE_S)
            waiting = await site.submit((step(2),), needing.pool)
            running = await site.submit((step(2),), other.pool)
            await asyncio.sleep(3)
            assert await site.show(waiting) is JobState.QUEUED
            assert await site.show(running) is JobState.COMPLETED
            _reconfigure(site, 3, queues)
            await asyncio.sleep(3)
            assert await site.show(waiting) is JobState.COMPLETED
        reported = [line["queues"] for line in log.lines("advice-not-configured")]
        assert reported == [[needing.queue], []]

    run_scenario(scenario())


def test_lost_advice_costs_no_more_than_the_time_in_which_it_is_due() -> None:
    """All queues with advice stood for 5 s after each lost answer."""

    async def scenario() -> None:
        site = SimulatedSite(seed=14)
        await site.start()
        _reconfigure(site, 2, _with_advice(site.configuration.queues))
        await asyncio.sleep(SETTLE_S)
        assert site.advice is not None
        site.advice.lost_answers = 1
        job = await site.submit((step(2),))
        await asyncio.sleep(3)
        assert await site.show(job) is JobState.COMPLETED

    run_scenario(scenario())


def _with_advice(queues: tuple[JobQueue, ...]) -> tuple[JobQueue, ...]:
    policy = AdvicePolicy(decide_ms=1, per_worker_ms=1, valid_ms=900)
    return tuple(replace(each, advice=policy) for each in queues)


def _reconfigure(
    site: SimulatedSite, version: int, queues: tuple[JobQueue, ...]
) -> None:
    site.configure(
        replace(
            site.configuration, version=ConfigurationVersion(version), queues=queues
        )
    )


def test_ended_jobs_are_removed_and_do_not_run_again() -> None:
    async def scenario() -> None:
        site = SimulatedSite(seed=15)
        site.tuning = SchedulerTuning(min_vms_per_pool=1, retention_ms=3000)
        await site.start()
        await asyncio.sleep(2)
        await site.submit((step(2),))
        await asyncio.sleep(15)
        tables = {name.table for name in site.store.rows}
        assert not tables & {"jobs", "progress"}
        name = site.scheduler_name()
        assert name is not None
        site.kill_daemon(name)
        await asyncio.sleep(5)
        assert site.oracle.violations == []

    run_scenario(scenario())


def test_late_orders_delay_few_jobs() -> None:
    """Load of deploy/days/late-orders.toml: a tenth of all orders arrives late.

    Jobs of 1.3 s of work are due within 4 s.
    """

    async def scenario() -> None:
        site = await start_site(seed=16)
        site.workers.late_fraction = 0.08
        site.workers.late_hold_fraction = 0.08
        durations_s = []

        async def measure_job() -> None:
            started_s = asyncio.get_running_loop().time()
            job = await site.submit(
                (step(3, run_ms=600), step(2, run_ms=600, after=(0,)))
            )
            while await site.show(job) is not JobState.COMPLETED:
                await asyncio.sleep(0.05)
            durations_s.append(asyncio.get_running_loop().time() - started_s)

        measurements = []
        for _ in range(60):
            measurements.append(asyncio.create_task(measure_job()))
            await asyncio.sleep(0.3)
        await asyncio.gather(*measurements)
        in_time = sum(each < 4.0 for each in durations_s)
        assert in_time >= 54
        assert site.oracle.violations == []

    run_scenario(scenario())


def test_superseded_scheduler_stops_at_the_first_fence() -> None:
    """A superseded scheduler sent 6,900 failing renewals in 6 s."""

    async def scenario() -> None:
        site = await start_site(seed=17)
        await site.submit((step(6, run_ms=20_000),))
        await asyncio.sleep(0.5)
        old = site.scheduler_name()
        assert old is not None
        session = site.daemons[old].ownership.session
        assert session is not None
        site.store.unreachable_for = {old}
        site.silent_daemons = {old}
        await asyncio.sleep(4.5)
        assert site.scheduler_name() != old
        assert session.has_ended

    run_scenario(scenario())


def test_isolated_daemon_refuses_at_once_with_a_safely_retryable_status() -> None:
    """Daemons of an isolated data centre responded with 504 for five seconds.

    After a 504 a caller can't safely submit the job elsewhere; after a 503 it can.
    """

    async def scenario() -> None:
        site = await start_site(seed=18)
        isolated = next(name for name in site.daemons if name != site.scheduler_name())
        site.store.unreachable_for = {isolated}
        site.silent_daemons = {isolated}
        await asyncio.sleep(5)
        assert site.daemons[isolated].is_isolated()
        started_s = asyncio.get_running_loop().time()
        refusal = await site.submit_to(site.daemons[isolated], (step(1),))
        assert refusal is CallRefusal.UNAVAILABLE
        assert asyncio.get_running_loop().time() - started_s < 0.1
        site.store.unreachable_for = set()
        site.silent_daemons = set()
        await asyncio.sleep(3)
        assert not site.daemons[isolated].is_isolated()

    run_scenario(scenario())


def test_scheduler_without_store_access_hands_over_within_a_second() -> None:
    """No task started for 2.2 s, and tasks were blocked for 10 s.

    The holder still answered its peers, so they waited until it counted as silent.
    """

    async def scenario() -> None:
        site = await start_site(seed=16)
        await site.submit((step(4, run_ms=3000),))
        await asyncio.sleep(0.5)
        name = site.scheduler_name()
        assert name is not None
        site.store.refused_for = {name}
        await asyncio.sleep(1.0)
        assert site.scheduler_name() not in (None, name)
        job = await site.submit((step(2),))
        await asyncio.sleep(1.5)
        assert await site.show(job) is JobState.COMPLETED
        site.store.refused_for = set()
        await asyncio.sleep(3)
        await site.check_final()
        assert site.oracle.violations == []

    run_scenario(scenario())


def test_new_scheduler_moves_vms_without_recent_orders_at_once() -> None:
    """Pools stayed too small for 3.4 s after a takeover."""

    async def scenario() -> None:
        site = await start_site(seed=18, settle_s=8)
        name = site.scheduler_name()
        assert name is not None
        await site.stop_daemon(name)
        await asyncio.sleep(0.5)
        assert site.scheduler_name() not in (None, name)
        await site.submit((step(200, run_ms=1000),), POOLS[0])
        await asyncio.sleep(1.5)
        moved = [f"m-spare-{number}" for number in range(3)]
        assert any(site.vms.pool_of(vm) == POOLS[0] for vm in moved)
        assert site.oracle.violations == []

    run_scenario(scenario())


def test_second_successor_waits_for_the_lease_of_a_silent_scheduler() -> None:
    """A task could run twice after two takeovers within one lease.

    The first scheduler keeps running beside a worker that the others can't reach. The
    second one knows that it has to wait for the first, but ends at once.
    """

    async def scenario() -> None:
        site = await start_site(seed=19)
        others = await _partition_from_scheduler(site)
        await asyncio.sleep(1.6)
        (second,) = (n for n in others if site.daemons[n].ownership.session)
        await site.stop_daemon(second)
        await asyncio.sleep(8)
        (third,) = others - {second}
        assert site.daemons[third].ownership.session
        _end_partition(site)
        await asyncio.sleep(20)
        await site.check_final()
        assert site.oracle.violations == []

    run_scenario(scenario())


def test_job_is_accepted_once_while_its_partition_is_unavailable() -> None:
    """Jobs whose ids began with one of four digits were refused.

    The store refused their partitions while it served the others.
    """

    async def scenario() -> None:
        site = await start_site(seed=20)
        site.store.refused_partitions = {"1"}
        job = await site.submit((step(2, run_ms=4000),))
        assert job.startswith("1")
        assert job in site.oracle.accepted_s
        await asyncio.sleep(0.5)
        assert await site.show(job) is JobState.RUNNING
        site.store.refused_partitions = set()
        assert await site.resubmit(job)
        await asyncio.sleep(0.5)
        name = site.scheduler_name()
        assert name is not None
        await site.stop_daemon(name)
        await asyncio.sleep(5)
        assert await site.show(job) is JobState.COMPLETED
        stored = [name.partition for name in site.store.rows if name.key == job]
        assert sorted(stored) == ["1", "9", "scheduler"]
        assert site.oracle.violations == []

    run_scenario(scenario())


def test_job_is_cancelled_while_its_partition_is_unavailable() -> None:
    async def scenario() -> None:
        site = await start_site(seed=21)
        site.store.refused_partitions = {"1"}
        job = await site.submit((step(2, run_ms=9000),))
        await asyncio.sleep(0.5)
        assert await site.cancel(job)
        await asyncio.sleep(1)
        assert await site.show(job) is JobState.CANCELLED
        site.store.refused_partitions = set()
        await site.check_final()
        assert site.oracle.violations == []

    run_scenario(scenario())


def test_daemon_with_the_most_capacity_takes_over_from_one_without_the_store() -> None:
    """A daemon with a slow link and processor took over, too slow for the load."""

    async def scenario(seed: int) -> None:
        site = SimulatedSite(seed, daemon_count=6)
        site.capacities = {"entry-4": LARGE, "entry-5": LARGE}
        await site.start()
        await asyncio.sleep(4)
        first = site.scheduler_name()
        assert first in site.capacities
        site.store.refused_for = {first}
        await asyncio.sleep(3)
        assert {site.scheduler_name()} == site.capacities.keys() - {first}
        assert site.oracle.violations == []

    for seed in range(5):
        run_scenario(scenario(seed))


def test_small_daemon_takes_over_if_no_larger_one_can() -> None:
    async def scenario() -> None:
        site = SimulatedSite(seed=6, daemon_count=4)
        site.capacities = {"entry-0": LARGE, "entry-1": LARGE}
        await site.start()
        await asyncio.sleep(4)
        first = site.scheduler_name()
        assert first is not None
        site.store.refused_for = {first, "entry-0", "entry-1"}
        await asyncio.sleep(3)
        assert site.scheduler_name() in {"entry-2", "entry-3"} - {first}
        assert site.oracle.violations == []

    run_scenario(scenario())
