"""Orders that were meant for a worker's earlier incarnation, and reach its next one."""

from __future__ import annotations

import asyncio

import pytest

from currantstage.application.jobs._session import CHANGES_PAUSE_S
from currantstage.coordination.jobs import (
    RELAY_PERMIT_S,
    InheritedLeases,
    LeaseTakeover,
    Run,
    Scheduler,
    SchedulerTuning,
    TakeoverGround,
)
from currantstage.coordination.jobs._worker_clock import (
    PROMPT_ORDER_DELAY_MS,
    longest_lease_s,
)
from currantstage.standin.jobs import POOLS, SimulatedSite, build_configuration
from currantstage.standin.jobs._workers import LATE_MAX_S
from currantstage.state.jobs import (
    BornMs,
    EndedTask,
    EndKind,
    EndNumber,
    JobId,
    JobState,
    OrderOutcome,
    RenewalOrder,
    RenewalReply,
    RunningTask,
    Term,
    WorkerId,
)
from tests.jobs.records import (
    entry,
    placed_task,
    start_runs,
    stored_progress,
    submission,
)
from tests.jobs.site import run_scenario, start_site, step

TUNING = SchedulerTuning()
WORKER = WorkerId("w")
JOB = JobId("0" * 16)
#: Longest lease that a worker grants on its clock, and how slow that may be.
MAX_LEASE_S = TUNING.max_lease_ms / 1000
SLOWEST_RATE = 0.98
#: Interval between renewals without an answer, in seconds.
MISS_INTERVAL_S = 0.1
#: When the worker starts again, in seconds, and what its clock showed before.
RESTART_S = 10.2
FORMER_CLOCK_MS = 500_000


class RestartedWorker:
    """A worker that starts again, and the scheduler that calls it."""

    def __init__(self) -> None:
        self.scheduler = Scheduler(Term(1), build_configuration(), TUNING)
        self.now_s = 0.0
        self.lease_end_s = 0.0
        self.running: tuple[RunningTask, ...] = ()
        self.ended: tuple[EndedTask, ...] = ()
        self.list(BornMs(1))
        self.renew()

    @property
    def has_restarted(self) -> bool:
        return self.now_s >= RESTART_S

    @property
    def born_ms(self) -> BornMs:
        return BornMs(int(RESTART_S * 1000) if self.has_restarted else 1)

    def clock_ms(self) -> int:
        if self.has_restarted:
            return int((self.now_s - RESTART_S) * 1000 * SLOWEST_RATE) + 1
        return FORMER_CLOCK_MS + int(self.now_s * 1000 * SLOWEST_RATE)

    def list(self, born_ms: BornMs) -> None:
        """Let the store list the worker."""
        self.scheduler.update_workers((entry(WORKER, born_ms=born_ms),), self.now_s)

    def take_lease(self, until_ms: int | None) -> None:
        """Extend the lease as an order asks, however old its idea of the clock is."""
        if until_ms is not None:
            clock_s = min(MAX_LEASE_S, (until_ms - self.clock_ms()) / 1000)
            self.lease_end_s = max(self.lease_end_s, self.now_s + clock_s / 0.98)

    def next_renewal(self) -> RenewalOrder:
        worker_state = self.scheduler.workers.get(WORKER)
        assert worker_state is not None
        return worker_state.next_renewal(self.now_s, TUNING)

    def miss_renewal(self) -> None:
        """Leave a renewal unanswered."""
        order = self.next_renewal()
        self.scheduler.on_renewal_outcome(
            order, OrderOutcome.UNKNOWN, self.now_s, self.now_s
        )

    def renew(self) -> RenewalOrder:
        """Answer a renewal."""
        order = self.next_renewal()
        self.take_lease(order.until_ms)
        reply = RenewalReply(self.clock_ms(), self.born_ms, self.running, self.ended)
        self.scheduler.on_renewal_outcome(order, reply, self.now_s, self.now_s)
        return order

    def start(self, outcome: OrderOutcome = OrderOutcome.ACCEPTED) -> Run:
        """Start the only task of a job, and let the worker run it."""
        self.scheduler.submit(submission(JOB, step(1, run_ms=20_000)), self.now_s)
        ((run, order),) = start_runs(self.scheduler, self.now_s, outcome)
        self.take_lease(order.until_ms)
        self.running = (RunningTask(run.task.key, run.number, "", 1, 0.0),)
        return run

    def released_s(self, run: Run) -> float:
        """Let the worker be silent, and return when the run is released."""
        while run.task.run is run:
            self.now_s += MISS_INTERVAL_S
            self.miss_renewal()
            self.scheduler.tick(self.now_s)
        return self.now_s


# TWICE: an order for the earlier incarnation gave the next one the longest lease.
@pytest.mark.parametrize("cut_after_s", [0.1, 0.6, 1.1, 1.6])
def test_run_is_kept_until_a_lease_that_was_meant_for_the_earlier_incarnation_is_over(
    cut_after_s: float,
) -> None:
    worker = RestartedWorker()
    worker.now_s = RESTART_S + 0.3
    worker.renew()
    worker.now_s += 0.02
    worker.renew()
    worker.now_s += 0.05
    run = worker.start()
    started_s = worker.now_s
    while worker.now_s + 0.5 <= started_s + cut_after_s:
        worker.now_s += 0.5
        worker.renew()
    assert worker.released_s(run) > worker.lease_end_s


# TWICE: a start was accepted by an incarnation that the scheduler didn't know of.
@pytest.mark.parametrize("is_listed", [False, True])
def test_run_that_the_next_incarnation_has_accepted_is_kept_for_its_longest_lease(
    is_listed: bool,
) -> None:
    worker = RestartedWorker()
    worker.now_s = RESTART_S + 0.3
    run = worker.start()
    worker.now_s += 0.1
    if is_listed:
        worker.list(worker.born_ms)
    assert worker.released_s(run) > worker.lease_end_s


# TWICE: an unanswered start may be carried out by the next incarnation, seconds later.
def test_start_in_doubt_is_kept_while_a_next_incarnation_may_carry_it_out() -> None:
    worker = RestartedWorker()
    worker.now_s = RESTART_S - 0.1
    run = worker.start(OrderOutcome.UNKNOWN)
    sent_s = worker.now_s
    worker.now_s = RESTART_S + 0.2
    worker.list(worker.born_ms)
    latest_s = sent_s + TUNING.max_order_delay_ms / 1000
    assert worker.released_s(run) > latest_s + MAX_LEASE_S / SLOWEST_RATE


def test_run_that_is_listed_is_released_when_its_lease_is_over() -> None:
    worker = RestartedWorker()
    worker.now_s = 5.0
    run = worker.start()
    for _ in range(8):
        worker.now_s += 0.5
        worker.renew()
    cut_s = worker.now_s
    last_order_s = cut_s + 2 * MISS_INTERVAL_S
    latest_s = last_order_s + longest_lease_s(TUNING.worker_lease_ms) + MISS_INTERVAL_S
    assert worker.lease_end_s < worker.released_s(run) <= latest_s


def test_run_is_released_at_once_when_the_next_incarnation_lists_it_not() -> None:
    worker = RestartedWorker()
    worker.now_s = RESTART_S - 0.1
    run = worker.start(OrderOutcome.UNKNOWN)
    worker.running = ()
    worker.now_s = RESTART_S + 0.2
    for _ in range(2):
        worker.now_s += 0.01
        worker.renew()
    assert run.task.run is None


# TWICE: a start that an earlier scheduler had sent was taken by the next incarnation.
@pytest.mark.parametrize("is_restart_known", [False, True])
def test_adopted_run_is_kept_for_the_longest_lease(is_restart_known: bool) -> None:
    scheduler = Scheduler(Term(2), build_configuration(), TUNING)
    born_ms = BornMs(2 if is_restart_known else 1)
    scheduler.update_workers((entry(WORKER, born_ms=born_ms),), now_s=0.0)
    progress = stored_progress(JOB, placed_task(WORKER))
    takeover = LeaseTakeover(TakeoverGround.HOLDER_SILENT, holder_active_s=2.0)
    leases = InheritedLeases(takeover, 0.0, TUNING)
    scheduler.restore(submission(JOB, step(1)), progress, False, leases, 0.0, 0.0)
    record = scheduler.jobs.get(JOB)
    assert record is not None
    # What the holder gave to a relay may be sent for as long as its permit.
    orders_end_s = takeover.holder_active_s + RELAY_PERMIT_S
    delay_ms = PROMPT_ORDER_DELAY_MS
    if is_restart_known:
        delay_ms = TUNING.max_order_delay_ms
    end_s = orders_end_s + delay_ms / 1000 + MAX_LEASE_S / SLOWEST_RATE
    scheduler.tick(end_s)
    assert len(record.runs()) == 1
    scheduler.tick(end_s + 0.5)
    assert record.runs() == []


# TWICE: the next incarnation forgot an end that nobody had read.
def test_no_renewal_after_a_missed_one_has_ends_forgotten() -> None:
    worker = RestartedWorker()
    worker.now_s = 5.0
    run = worker.start()
    end = EndedTask(EndNumber(1), run.task.key, run.number, EndKind.DONE, "")
    worker.running, worker.ended = (), (end,)
    worker.renew()
    batch = worker.scheduler.take_batch()
    assert batch is not None
    worker.scheduler.on_batch_stored(batch)
    order = worker.next_renewal()
    assert order.seen_upto == 1
    worker.now_s += 0.5
    worker.miss_renewal()
    assert worker.next_renewal().seen_upto == 0
    worker.ended = ()
    worker.renew()
    assert worker.renew().seen_upto == 1
    assert worker.next_renewal().seen_upto == 0


async def _cut_off(site: SimulatedSite, worker: WorkerId, cut_s: float) -> None:
    site.workers.unreachable.add(worker)
    await asyncio.sleep(cut_s)
    site.workers.unreachable.discard(worker)


async def _restart_and_cut(site: SimulatedSite, cut_s: float) -> None:
    """Restart workers one after the other, and cut each off soon after."""
    for worker in list(site.workers.workers):
        if not site.workers.workers[worker].is_up:
            continue
        site.workers.restart(worker)
        await asyncio.sleep(site.random.uniform(0.05, 1.5))
        await _cut_off(site, worker, cut_s)
        await asyncio.sleep(site.random.uniform(0.5, 1.5))


@pytest.mark.parametrize("late_renewals", [0.0, 0.3])
@pytest.mark.parametrize("seed", range(6))
def test_no_task_runs_twice_when_workers_restart_and_are_cut_off(
    seed: int, late_renewals: float
) -> None:
    async def scenario() -> None:
        site = await start_site(seed, settle_s=20)
        site.workers.late_hold_fraction = late_renewals
        trouble = asyncio.create_task(_restart_and_cut(site, cut_s=5.5))
        jobs = []
        for number in range(60):
            long = step(2, run_ms=9000) if number % 3 == 0 else step(3, run_ms=600)
            jobs.append(await site.submit((long,), POOLS[number % 2]))
            await asyncio.sleep(0.5)
        await trouble
        site.workers.late_hold_fraction = 0.0
        await asyncio.sleep(60)
        assert site.oracle.violations == []
        assert {await site.show(job) for job in jobs} == {JobState.COMPLETED}

    run_scenario(scenario())


# TWICE: an idle worker was called half a second after its restart had been listed.
@pytest.mark.parametrize("seed", range(4))
def test_idle_worker_is_called_as_soon_as_its_restart_is_listed(seed: int) -> None:
    async def scenario() -> None:
        site = await start_site(seed, settle_s=20 + seed / 7)
        up = (name for name, each in site.workers.workers.items() if each.is_up)
        worker = next(up)
        site.workers.restart(worker)
        await asyncio.sleep(2 * CHANGES_PAUSE_S)
        assert site.workers.workers[worker].fence > 0

    run_scenario(scenario())


# TWICE: the fence against an unanswered start is lost with its incarnation.
def test_late_start_is_not_run_by_an_incarnation_without_the_fence() -> None:
    async def scenario() -> None:
        site = await start_site(1, settle_s=20)
        site.workers.late_fraction = 1.0
        job = await site.submit((step(1, run_ms=500),))
        record = None
        while record is None or not record.runs():
            await asyncio.sleep(0.01)
            scheduler = site.daemons[site.scheduler_name() or ""].ownership.session
            assert scheduler is not None
            assert scheduler.scheduler is not None
            record = scheduler.scheduler.jobs.get(job)
        (run,) = record.runs()
        await asyncio.sleep(0.1)
        site.workers.late_fraction = 0.0
        while await site.show(job) is not JobState.COMPLETED:
            await asyncio.sleep(0.05)
        site.workers.restart(run.worker)
        await _cut_off(site, run.worker, LATE_MAX_S)
        assert site.oracle.violations == []

    run_scenario(scenario())


@pytest.mark.parametrize("seed", range(6))
def test_no_task_runs_twice_when_workers_restart_behind_a_cut_at_a_takeover(
    seed: int,
) -> None:
    async def scenario() -> None:
        site = await start_site(seed, settle_s=20)
        jobs = [
            await site.submit((step(6, run_ms=12_000),), pool)
            for pool in POOLS
            for _ in range(2)
        ]
        await asyncio.sleep(0.5)
        for worker in list(site.workers.workers)[:4]:
            site.workers.restart(worker)
            asyncio.create_task(_cut_off(site, worker, 9.0))  # noqa: RUF006
            await asyncio.sleep(site.random.uniform(0.0, 0.5))
        name = site.scheduler_name()
        assert name is not None
        site.kill_daemon(name)
        await site.start_daemon(name)
        await asyncio.sleep(60)
        assert site.oracle.violations == []
        assert {await site.show(job) for job in jobs} == {JobState.COMPLETED}

    run_scenario(scenario())
