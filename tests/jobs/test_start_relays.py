"""Start orders that other daemons send for the scheduler."""

from __future__ import annotations

import asyncio

import pytest

from currantstage.application.jobs._relay_client import RelayClient
from currantstage.application.jobs._start_relay import StartRelay
from currantstage.coordination.jobs import (
    RELAY_PERMIT_S,
    RelayTable,
    Run,
    Scheduler,
    SchedulerTuning,
    divide_starts,
)
from currantstage.protocol.jobs import (
    RelayStarts,
    StartsRelayed,
    decode_peer_query,
    encode_peer_message,
)
from currantstage.standin.jobs import LoopClock, SimulatedSite, build_configuration
from currantstage.state.jobs import (
    BornMs,
    Fence,
    JobId,
    JobState,
    OrderOutcome,
    RelayPermit,
    RenewalReply,
    Resources,
    RunNumber,
    StartOrder,
    Step,
    TaskKey,
    Term,
    WorkerId,
)
from currantstage.util import TaskSet
from tests.jobs.random_scenario import RandomScenario
from tests.jobs.records import entry, open_step, running, submission
from tests.jobs.site import SETTLE_S, run_scenario, step

#: A step of many tasks that fit on the workers of one pool together.
BURST = Step(task_count=200, resources=Resources(200, 10, 0), estimated_run_ms=300)
#: Relays all starts but those of gangs and long-running tasks.
ALL_RELAYED = SchedulerTuning(
    min_vms_per_pool=1, max_direct_starts=0, min_relayed_starts=1
)
TUNING = SchedulerTuning()
PERMIT = RelayPermit(incarnation=7, until_ms=5000)


async def _burst_site() -> tuple[SimulatedSite, str]:
    """Return a site whose scheduler has relays at hand, and the scheduler's name."""
    site = SimulatedSite(seed=1, daemon_count=4, vms_per_pool=6)
    site.tuning = SchedulerTuning(min_vms_per_pool=6)
    await site.start()
    await asyncio.sleep(SETTLE_S)
    job = await site.submit((BURST,))
    await asyncio.sleep(3)
    assert await site.show(job) is JobState.COMPLETED
    site.workers.starts_by_caller.clear()
    name = site.scheduler_name()
    assert name is not None
    return site, name


async def _check_burst(site: SimulatedSite, wait_s: float) -> None:
    job = await site.submit((BURST,))
    await asyncio.sleep(wait_s)
    assert await site.show(job) is JobState.COMPLETED
    assert site.oracle.violations == []


def test_burst_of_starts_is_not_sent_by_the_scheduler_alone() -> None:
    """All calls to workers took the scheduler's one thread, though others idled."""

    async def scenario() -> None:
        site, name = await _burst_site()
        await _check_burst(site, wait_s=3)
        starts = site.workers.starts_by_caller
        assert starts.total() == BURST.task_count
        assert starts[name] < BURST.task_count / 2
        assert len(starts) > 2

    run_scenario(scenario())


def test_few_starts_are_sent_by_the_scheduler_itself() -> None:
    async def scenario() -> None:
        site, name = await _burst_site()
        await site.submit((step(6),))
        await asyncio.sleep(2)
        assert site.workers.starts_by_caller == {name: 6}

    run_scenario(scenario())


@pytest.mark.parametrize("is_resetting", [False, True])
def test_starts_of_relays_that_do_not_answer_run_once(is_resetting: bool) -> None:
    async def scenario() -> None:
        site, name = await _burst_site()
        others = set(site.daemons) - {name}
        if is_resetting:
            site.resetting_daemons = others
        else:
            site.silent_daemons = others
        await _check_burst(site, wait_s=5)

    run_scenario(scenario())


@pytest.mark.parametrize("delay_s", [1.2 * RELAY_PERMIT_S, 2 * RELAY_PERMIT_S])
def test_relay_that_was_paused_sends_no_order_that_has_been_given_up(
    delay_s: float,
) -> None:
    async def scenario() -> None:
        site, name = await _burst_site()
        for other in set(site.daemons) - {name}:
            site.peer_delays_s[other] = delay_s
        await _check_burst(site, wait_s=5)
        assert set(site.workers.starts_by_caller) == {name}

    run_scenario(scenario())


def test_starts_go_on_while_relays_are_killed() -> None:
    async def scenario() -> None:
        site, name = await _burst_site()
        submitting = asyncio.create_task(site.submit((BURST,)))
        await asyncio.sleep(0.03)
        for other in set(site.daemons) - {name}:
            site.kill_daemon(other)
        job = await submitting
        await asyncio.sleep(5)
        assert await site.show(job) is JobState.COMPLETED
        assert site.oracle.violations == []

    run_scenario(scenario())


def test_starts_through_relays_of_a_killed_scheduler_run_once() -> None:
    async def scenario() -> None:
        site, name = await _burst_site()
        for other in set(site.daemons) - {name}:
            site.peer_delays_s[other] = RELAY_PERMIT_S / 2
        job = await site.submit((BURST,))
        await asyncio.sleep(0.1)
        site.kill_daemon(name)
        await asyncio.sleep(15)
        assert await site.show(job) is JobState.COMPLETED
        assert site.oracle.violations == []

    run_scenario(scenario())


def test_worker_that_a_relay_cannot_reach_is_not_taken_for_silent() -> None:
    async def scenario() -> None:
        site, name = await _burst_site()
        for other in set(site.daemons) - {name}:
            for worker in site.workers.workers:
                site.workers.unreachable_pairs.add((other, worker))
        job = await site.submit((BURST,))
        core = site.daemons[name]
        for _ in range(60):
            await asyncio.sleep(0.05)
            assert core.ownership.session is not None
            scheduler = core.ownership.session.scheduler
            assert scheduler is not None
            states = scheduler.workers.states()
            assert not [each for each in states if each.is_silent and each.runs]
        await asyncio.sleep(2)
        assert await site.show(job) is JobState.COMPLETED
        assert site.oracle.violations == []

    run_scenario(scenario())


@pytest.mark.parametrize("seed", range(1, 13))
def test_no_invariant_is_violated_while_starts_are_relayed(seed: int) -> None:
    scenario = RandomScenario(seed)
    scenario.site.tuning = ALL_RELAYED

    async def run() -> None:
        violations = await scenario.run()
        assert violations == [], scenario.injected_faults

    run_scenario(run())


class _Clock:
    def __init__(self, now_s: float) -> None:
        self._now_s = now_s

    def now_s(self) -> float:
        return self._now_s


class _Random:
    def getrandbits(self, count: int) -> int:
        return PERMIT.incarnation


class _Orders:
    def __init__(self) -> None:
        self.started: list[StartOrder] = []

    async def start(self, order: StartOrder) -> OrderOutcome:
        self.started.append(order)
        return OrderOutcome.ACCEPTED


def _order() -> StartOrder:
    return StartOrder(
        worker=entry("w"),
        task=TaskKey(JobId("0" * 16), 0, 1, 2),
        run=RunNumber(3),
        spec="work",
        fence=Fence(4),
        until_ms=5,
        checkpoint="c",
        ticket="t",
    )


@pytest.mark.parametrize(
    ("now_s", "permit", "is_sent"),
    [
        (4.999, PERMIT, True),
        (5.0, PERMIT, False),
        (4.0, RelayPermit(incarnation=8, until_ms=5000), False),
        (4.0, None, False),
    ],
)
def test_relay_sends_orders_only_under_a_permit_of_its_own(
    now_s: float, permit: RelayPermit | None, is_sent: bool
) -> None:
    orders = _Orders()
    relay = StartRelay(orders, _Clock(now_s), _Random())  # type: ignore[arg-type]
    query = RelayStarts(orders=(_order(),), permit=permit)
    reply = asyncio.run(relay.handle(query))
    outcome = OrderOutcome.ACCEPTED if is_sent else OrderOutcome.NOT_RELAYED
    assert reply.outcomes == (outcome,)
    assert orders.started == [_order()] * is_sent
    assert (reply.incarnation, reply.clock_ms) == (7, int(now_s * 1000))


def test_orders_to_relays_survive_their_encoding() -> None:
    query = RelayStarts(orders=(_order(),), permit=PERMIT)
    assert decode_peer_query(encode_peer_message(query)) == query


def test_permit_ends_in_time_by_a_clock_read_long_ago() -> None:
    """A relay's clock has advanced by all the time since its reading at most."""
    table = RelayTable()
    table.record_reply("p", incarnation=7, clock_ms=50_000, now_s=100.0)
    assert table.is_ready("p", now_s=109.0)
    assert not table.is_ready("p", now_s=111.0)
    permit = table.permit("p", now_s=109.0)
    latest_ms = 50_000 + (109.0 - 100.0 + RELAY_PERMIT_S) * 1000
    assert latest_ms - 200 < permit.until_ms <= latest_ms
    assert permit.incarnation == 7


def test_relay_without_an_answer_is_left_out_for_a_while() -> None:
    table = RelayTable()
    peers = [f"p-{number}" for number in range(12)]
    assert table.candidates(peers, now_s=0.0) == peers[:8]
    table.record_reply("p-1", incarnation=7, clock_ms=1000, now_s=0.0)
    table.record_failure("p-1", now_s=1.0)
    assert table.candidates(peers, now_s=2.0) == [peers[0], *peers[2:9]]
    assert table.candidates(peers, now_s=12.0) == peers[:8]
    assert not table.is_ready("p-1", now_s=12.0)


def _runs(count: int, step: Step) -> list[Run]:
    record = open_step(step)
    return [running(record, number, 0.0, f"w-{number}") for number in range(count)]


@pytest.mark.parametrize("options", [{"is_gang": True}, {"is_long_running": True}])
def test_gangs_and_long_running_tasks_are_not_relayed(options: dict[str, bool]) -> None:
    runs = _runs(20, step(20, **options))
    division = divide_starts(runs, max_direct=0, min_relayed=1, relays=["p"])
    assert division.direct == runs
    assert division.by_relay == {}


def test_starts_are_divided_between_relays_that_are_worth_it() -> None:
    runs = _runs(40, step(40))
    division = divide_starts(runs, 20, 8, ["p", "q", "r"])
    assert division.direct == runs[:20]
    assert set(division.by_relay) == {"p", "q"}
    assert sum(map(len, division.by_relay.values())) == 20
    assert divide_starts(runs, 33, 8, ["p"]).direct == runs
    assert divide_starts(runs, 20, 8, []).direct == runs
    assert divide_starts(runs, -5, 8, ["p"]).by_relay == {"p": runs}


def _silent_worker(scheduler: Scheduler, max_delay_s: float) -> float:
    """Order a start that gets no answer; return when its run is released."""
    worker = entry("w")
    scheduler.update_workers((worker,), now_s=0.0)
    renewal = scheduler.next_renewal(worker.worker, 0.0)
    assert renewal is not None
    reply = RenewalReply(clock_ms=1000, born_ms=BornMs(1), running=(), ended=())
    scheduler.on_renewal_outcome(renewal, reply, sent_s=0.0, now_s=0.1)
    # The list is older than the start, so that the lease at the start is what counts.
    now_s = 10.0
    scheduler.submit(submission(JobId("0" * 16), step(1)), now_s)
    scheduler.place(now_s, unix_ms=0)
    batch = scheduler.take_batch()
    assert batch is not None
    (run,) = scheduler.on_batch_stored(batch)
    assert scheduler.start_order(run, now_s, max_delay_s) is not None
    scheduler.on_start_outcome(run, OrderOutcome.UNKNOWN, now_s)
    worker_state = scheduler.workers.get(WorkerId("w"))
    assert worker_state is not None
    worker_state.missed_renewals = 2
    return worker_state.run_end_s(run, TUNING)


def test_run_that_a_relay_may_have_started_late_is_kept_for_longer() -> None:
    """A later incarnation grants the longest lease from when the order reaches it."""
    direct_s = _silent_worker(Scheduler(Term(1), build_configuration(), TUNING), 0.0)
    relayed_s = _silent_worker(
        Scheduler(Term(1), build_configuration(), TUNING), RELAY_PERMIT_S
    )
    assert relayed_s == pytest.approx(direct_s + RELAY_PERMIT_S)


class _Directory:
    """Directory that knows one other daemon, which answers each query."""

    def largest_peers(self) -> list[str]:
        """Return the address of that daemon."""
        return ["relay"]

    async def send_query(self, *_: object) -> StartsRelayed:
        """Return a reading of the clock, after a while."""
        await asyncio.sleep(0.01)
        return StartsRelayed(outcomes=(), incarnation=1, clock_ms=1)


def test_relay_of_an_ended_term_is_used_in_the_next_one() -> None:
    """A daemon whose clock was about to be read was never used as a relay again."""

    async def scenario() -> None:
        client = RelayClient(_Directory(), LoopClock())
        ended, later = TaskSet(), TaskSet()
        for tasks in (ended, later):
            for relay in client.unread_relays():
                tasks.spawn(client.read_clock(relay))
            if tasks is ended:
                await tasks.close()
        await asyncio.sleep(0.1)
        assert client.ready_relays() == ["relay"]

    run_scenario(scenario())
