"""Runs on workers that answer none of several schedulers, and when they are over."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

import pytest
from msgspec.structs import replace

from currantstage.coordination.jobs import (
    RELAY_PERMIT_S,
    InheritedLeases,
    LeaseRow,
    LeaseTakeover,
    RemainingLease,
    Scheduler,
    SchedulerTuning,
    TakeoverGround,
    WorkerLeaseBook,
    WorkerLeaseRow,
    WorkerState,
)
from currantstage.coordination.jobs._worker_clock import (
    PROMPT_ORDER_DELAY_MS,
    longest_lease_s,
)
from currantstage.coordination.jobs._worker_lease_book import MAX_LISTED_WORKERS
from currantstage.protocol.jobs import encode_row
from currantstage.standin.jobs import MAX_ROW_BYTES, build_configuration
from currantstage.state import EntryVmId
from currantstage.state.jobs import (
    BornMs,
    JobId,
    JobProgress,
    JobState,
    OrderOutcome,
    RenewalReply,
    RunningTask,
    StoredProgress,
    TaskProgress,
    Term,
    WorkerId,
)
from tests.jobs.records import (
    entry,
    listing_fields,
    placed_task,
    stored_progress,
    submission,
)
from tests.jobs.site import step

TUNING = SchedulerTuning(max_lease_ms=10_000)
WORKER = WorkerId("w")
JOB = JobId("0" * 16)
GRANTED_S = longest_lease_s(TUNING.worker_lease_ms)
LONGEST_S = longest_lease_s(TUNING.max_lease_ms)
#: How long after its last run a long-running task may be away, in seconds.
MAX_AWAY_S = 6.0
#: Tolerance of remaining durations, which are stored in whole milliseconds, in seconds.
ROUNDING_S = 0.002
PLACED = placed_task(WORKER, is_listed=True)
FIRST_ROW = LeaseRow(
    holder=EntryVmId("a"), address="a", term=Term(1), lists_late_orders=True
)


@dataclass
class StoredState:
    """What schedulers leave to the next one: the lease row, and a placed task."""

    task: TaskProgress = PLACED
    row: LeaseRow = FIRST_ROW
    is_long_running: bool = True

    def takeover(self, holder_active_s: float = 0.0) -> LeaseTakeover:
        return LeaseTakeover(
            TakeoverGround.HOLDER_ENDED,
            holder_active_s,
            worker_leases=self.row.worker_leases,
            other_leases=self.row.other_leases,
            are_others_renewed=self.row.are_others_renewed,
            lists_late_orders=self.row.lists_late_orders,
        )

    def take_over(
        self, now_s: float, born_ms: int = 1, holder_active_s: float = 0.0
    ) -> Successor:
        """Let another scheduler go on from what is stored."""
        takeover = self.takeover(holder_active_s)
        leases = InheritedLeases(takeover, now_s, TUNING)
        self.row = replace(
            self.row,
            term=Term(self.row.term + 1),
            sequence=0,
            **listing_fields(leases.listing(now_s)),
        )
        return Successor(self, leases, now_s, BornMs(born_ms))


class Successor:
    """A scheduler that has taken over, and its writes of the lease."""

    def __init__(
        self, stored: StoredState, leases: InheritedLeases, now_s: float, born: BornMs
    ) -> None:
        self._stored = stored
        self.scheduler = Scheduler(stored.row.term, build_configuration(), TUNING)
        self.scheduler.update_workers((entry(WORKER, born_ms=born),), now_s)
        spec = step(1, run_ms=0, is_long_running=stored.is_long_running)
        progress = stored_progress(JOB, stored.task)
        self.scheduler.restore(
            submission(JOB, spec), progress, False, leases, now_s, 0.0
        )
        self.book = WorkerLeaseBook(leases, TUNING)
        self.book.follow(self.scheduler.workers)

    @property
    def has_released(self) -> bool:
        record = self.scheduler.jobs.get(JOB)
        assert record is not None
        return record.runs() == []

    def sent_row(self, now_s: float) -> LeaseRow:
        """Return the next write of the lease."""
        sequence = self._stored.row.sequence + 1
        return replace(
            self._stored.row,
            sequence=sequence,
            **listing_fields(self.book.listing(sequence, now_s)),
        )

    def write(self, now_s: float) -> None:
        """Write the lease, and store the placed task as it is known now."""
        self._stored.row = self.sent_row(now_s)
        self.book.on_stored(self._stored.row)
        record = self.scheduler.jobs.get(JOB)
        assert record is not None
        (step_record,) = record.occurrences[0]
        self._stored.task = step_record.tasks[0].progress()

    def renew(
        self,
        now_s: float,
        *,
        is_answered: bool = True,
        is_running: bool = True,
        born_ms: int = 1,
    ) -> int:
        """Send a renewal; return the end of the lease that it grants, or zero."""
        order = self.scheduler.next_renewal(WORKER, now_s)
        assert order is not None
        reply: RenewalReply | OrderOutcome = OrderOutcome.UNKNOWN
        if is_answered:
            record = self.scheduler.jobs.get(JOB)
            assert record is not None
            running = tuple(
                RunningTask(run.task.key, run.number, "", 100, 0.0)
                for run in record.runs()
                if is_running
            )
            clock_ms = int(now_s * 1000) + 1
            reply = RenewalReply(clock_ms, BornMs(born_ms), running, ())
        self.scheduler.on_renewal_outcome(order, reply, now_s, now_s)
        return order.until_ms or 0

    def released_s(self, now_s: float) -> float:
        """Return when the run is released if the worker stays silent."""
        while not self.has_released:
            now_s += 0.01
            self.scheduler.tick(now_s)
        return now_s


# LOST: a task on a lost worker was kept for the longest lease after each takeover.
@pytest.mark.parametrize("holder_active_s", [0.0, 1.0])
def test_listed_run_is_kept_after_a_takeover_for_the_granted_lease_only(
    holder_active_s: float,
) -> None:
    successor = StoredState().take_over(10.0, holder_active_s=holder_active_s)
    end_s = 10.0 + holder_active_s + GRANTED_S
    assert end_s < successor.released_s(10.0) < end_s + 0.1


# LOST: each scheduler of a series counted the whole lease again.
def test_run_on_a_lost_worker_is_released_while_schedulers_end_one_after_another() -> (
    None
):
    stored = StoredState()
    lost_s = now_s = 10.0
    successor = stored.take_over(now_s)
    while not successor.has_released:
        successor.renew(now_s, is_answered=False)
        now_s += 2.0
        successor.scheduler.tick(now_s)
        successor.write(now_s)
        if not successor.has_released:
            successor = stored.take_over(now_s)
    assert now_s - lost_s <= MAX_AWAY_S


def test_scheduler_that_ends_before_it_has_loaded_passes_the_leases_on() -> None:
    stored = StoredState()
    stored.take_over(10.0)
    stored.take_over(11.0)
    released_s = stored.take_over(12.0).released_s(12.0)
    # The second one doesn't know when the first row was written, only that it was.
    assert released_s < 12.0 + GRANTED_S + ROUNDING_S + 0.1


# TWICE: a run without a list may have been started by a later incarnation.
def test_unlisted_run_is_kept_for_the_longest_lease_through_a_series() -> None:
    stored = StoredState()
    stored.task = replace(stored.task, is_listed=False)
    first = stored.take_over(10.0)
    first.write(10.5)
    second = stored.take_over(12.0)
    end_s = 10.0 + RELAY_PERMIT_S + PROMPT_ORDER_DELAY_MS / 1000 + LONGEST_S
    assert end_s <= second.released_s(12.0) < end_s + 2.0


# TWICE: an unlisted run may be carried out late by an incarnation that is known later.
def test_unlisted_run_waits_for_late_orders_once_a_restart_is_known() -> None:
    stored = StoredState()
    stored.task = replace(stored.task, is_listed=False)
    stored.take_over(10.0).write(10.5)
    second = stored.take_over(12.0, born_ms=2)
    late_s = TUNING.max_order_delay_ms / 1000 + LONGEST_S
    assert second.released_s(12.0) > 12.0 + late_s
    third = stored.take_over(13.0)
    third.scheduler.update_workers((entry(WORKER, born_ms=BornMs(2)),), 13.1)
    assert third.released_s(13.1) > 13.0 + late_s


def test_listed_run_ends_as_soon_as_its_worker_is_known_to_have_restarted() -> None:
    successor = StoredState().take_over(10.0, born_ms=2)
    successor.renew(10.1, born_ms=2, is_running=False)
    assert successor.has_released
    successor = StoredState().take_over(10.0)
    successor.scheduler.update_workers((entry(WORKER, born_ms=BornMs(2)),), 10.1)
    assert successor.has_released


def test_listed_run_is_kept_when_the_list_of_workers_is_older_than_its_listing() -> (
    None
):
    stored = StoredState()
    stored.task = replace(stored.task, born_ms=BornMs(5))
    successor = stored.take_over(10.0, born_ms=3)
    assert not successor.has_released
    successor.renew(10.1, born_ms=5)
    assert not successor.has_released


# TWICE: the next scheduler would not have known of the lease that was granted.
def test_no_lease_is_granted_before_a_write_that_says_so_is_confirmed() -> None:
    stored = StoredState()
    successor = stored.take_over(10.0)
    successor.write(10.1)
    successor.renew(10.2)
    assert successor.renew(10.3) == 0
    assert successor.book.is_write_due()
    successor.sent_row(10.4)
    assert successor.renew(10.5) == 0
    successor.write(10.6)
    assert successor.renew(10.7) > 0
    assert stored.take_over(10.8).released_s(10.8) > 10.8 + GRANTED_S


def test_worker_that_has_fallen_silent_is_not_renewed_before_it_is_stored() -> None:
    stored = StoredState()
    successor = stored.take_over(10.0)
    successor.renew(10.1)
    successor.write(10.2)
    assert successor.renew(10.3) > 0
    for tenth in range(4, 6):
        successor.renew(10 + tenth / 10, is_answered=False)
    silent_end_s = 10.5 + GRANTED_S
    # This write lists the worker; whether it is stored is not known.
    unanswered = successor.sent_row(10.6)
    successor.renew(10.7)
    assert successor.renew(10.8) == 0
    stored.row = unanswered
    third = stored.take_over(12.0)
    assert silent_end_s <= third.released_s(12.0) < silent_end_s + 2.0


# TWICE: a lease that an order for an earlier incarnation had extended was forgotten.
def test_lease_of_a_restarted_worker_is_stored_as_long_as_it_may_last() -> None:
    stored = StoredState()
    stored.task = replace(stored.task, is_listed=False)
    successor = stored.take_over(10.0, born_ms=2)
    successor.renew(10.1, born_ms=2)
    successor.write(10.2)
    assert stored.task.is_listed
    assert stored.task.born_ms == 2
    released_s = stored.take_over(10.3, born_ms=2).released_s(10.3)
    assert 10.1 + LONGEST_S <= released_s < 10.3 + LONGEST_S + 0.1


# TWICE: the long lease was forgotten with the last run on the worker.
def test_long_lease_of_a_worker_is_stored_without_runs_on_it() -> None:
    stored = StoredState()
    successor = stored.take_over(10.0, born_ms=2)
    successor.renew(10.1, born_ms=2, is_running=False)
    assert successor.has_released
    (row,) = successor.sent_row(10.2).worker_leases
    assert row.remaining.listed_ms >= int((LONGEST_S - 0.1) * 1000)
    stored.row = successor.sent_row(10.2)
    stored.task = replace(stored.task, born_ms=BornMs(2))
    assert stored.take_over(10.3, born_ms=2).released_s(10.3) >= 10.1 + LONGEST_S


# LOST: the first list of a term was taken for a reason to expect the longest lease.
def test_first_list_of_a_worker_that_no_late_order_can_reach_extends_nothing() -> None:
    successor = StoredState().take_over(10.0)
    successor.renew(10.1)
    successor.write(10.2)
    for tenth in range(3, 6):
        successor.renew(10 + tenth / 10, is_answered=False)
    assert successor.released_s(10.5) < 10.5 + GRANTED_S + 0.1


# TWICE: the daemons of former versions don't say which workers they have sent orders.
def test_any_worker_may_have_late_orders_after_a_daemon_of_a_former_version() -> None:
    takeover = LeaseTakeover(TakeoverGround.HOLDER_ENDED)
    leases = InheritedLeases(takeover, 10.0, TUNING)
    until_s = leases.late_orders_until_s(WORKER)
    assert until_s == 10.0 + RELAY_PERMIT_S + TUNING.max_order_delay_ms / 1000
    assert not leases.knows_late_orders(until_s)
    assert leases.knows_late_orders(until_s + 0.1)


def _idle_state(successor: Successor, now_s: float) -> WorkerState:
    """Let the only run end, and return the state of its worker."""
    successor.scheduler.cancel(JOB, now_s)
    state = successor.scheduler.workers.get(WORKER)
    assert state is not None
    for run in list(state.runs.values()):
        state.remove(run)
    return state


# TWICE: an order for a worker that has been idle since can reach its next incarnation.
@pytest.mark.parametrize("is_under_way", [False, True])
def test_worker_that_a_late_order_may_reach_is_stored_without_runs(
    is_under_way: bool,
) -> None:
    stored = StoredState()
    successor = stored.take_over(10.0)
    successor.renew(10.1)
    successor.write(10.2)
    if is_under_way:
        assert successor.scheduler.next_renewal(WORKER, 30.3) is not None
    else:
        successor.renew(30.3, is_answered=False)
    _idle_state(successor, 30.4)
    (row,) = successor.sent_row(30.5).worker_leases
    expected_ms = TUNING.max_order_delay_ms - (0 if is_under_way else 200)
    assert abs(row.late_orders_ms - expected_ms) <= 1
    assert successor.sent_row(30.3 + 60).worker_leases == () or is_under_way


# TWICE: late orders to a worker were forgotten once the adopted run on it had ended.
def test_late_orders_are_stored_after_an_adopted_run_has_ended() -> None:
    stored = StoredState()
    successor = stored.take_over(10.0)
    successor.renew(10.1)
    _idle_state(successor, 10.2)
    stored.row = successor.sent_row(10.3)
    (row,) = stored.row.worker_leases
    assert row.answered_born_ms == 1
    third = InheritedLeases(stored.takeover(), 12.0, TUNING)
    late_s = RELAY_PERMIT_S + TUNING.max_order_delay_ms / 1000
    assert third.late_orders_until_s(WORKER) >= 10.0 + late_s


# TWICE: a restarted worker could take an order that nobody knew of any more.
@pytest.mark.parametrize("lists_late_orders", [False, True])
@pytest.mark.parametrize("born_ms", [1, 2])
def test_first_list_extends_the_lease_only_of_an_incarnation_that_has_not_answered(
    born_ms: int, lists_late_orders: bool
) -> None:
    scheduler = Scheduler(Term(3), build_configuration(), TUNING)
    scheduler.update_workers((entry(WORKER, born_ms=BornMs(born_ms)),), 12.0)
    row = WorkerLeaseRow(
        WORKER, RemainingLease(0, 0), late_orders_ms=9000, answered_born_ms=BornMs(1)
    )
    takeover = LeaseTakeover(
        TakeoverGround.HOLDER_ENDED,
        worker_leases=(row,),
        lists_late_orders=lists_late_orders,
    )
    scheduler.workers.inherit(InheritedLeases(takeover, 12.0, TUNING))
    state = scheduler.workers.get(WORKER)
    assert state is not None
    state.record_synced(12.1, TUNING)
    has_long_lease = state.lease.listed_end_s() > 12.1 + GRANTED_S + 0.1
    assert has_long_lease == (born_ms == 2)


# TWICE: a scheduler dropped what was stored of a worker that it never saw listed.
def test_leases_of_workers_that_are_not_listed_are_passed_on() -> None:
    stored = StoredState()
    row = WorkerLeaseRow(
        WorkerId("other"), RemainingLease(5000, 5000), late_orders_ms=9000
    )
    stored.row = replace(stored.row, worker_leases=(row,))
    successor = stored.take_over(10.0)
    successor.renew(10.1)
    (passed_on,) = successor.sent_row(11.0).worker_leases
    assert passed_on.worker == WorkerId("other")
    assert passed_on.late_orders_ms == 8000
    assert successor.sent_row(30.0).worker_leases == ()


# TWICE: runs that no successor adopts hid that their worker was sent orders.
def test_worker_with_a_run_that_is_not_adopted_is_stored_for_its_late_orders() -> None:
    stored = StoredState()
    successor = stored.take_over(10.0)
    successor.renew(10.1)
    successor.write(10.2)
    assert successor.sent_row(10.3).worker_leases == ()
    successor.scheduler.cancel(JOB, 10.4)
    (row,) = successor.sent_row(10.5).worker_leases
    assert row.late_orders_ms > 0


def _large_fleet(count: int) -> tuple[Scheduler, InheritedLeases]:
    """Return a scheduler that has adopted a long-running task on each worker."""
    workers = [WorkerId(f"i-{number:012x}") for number in range(count)]
    scheduler = Scheduler(Term(2), build_configuration(), TUNING)
    born_ms = BornMs(1_796_583_113_365)
    entries = (entry(worker, born_ms=born_ms) for worker in workers)
    scheduler.update_workers(entries, 10.0)
    tasks = tuple(
        replace(PLACED, index=number, worker=worker, born_ms=born_ms)
        for number, worker in enumerate(workers)
    )
    head = JobProgress(job=JOB, state=JobState.RUNNING, tasks=tasks)
    leases = InheritedLeases(StoredState().takeover(), 10.0, TUNING)
    job = submission(JOB, step(count, run_ms=0, is_long_running=True))
    scheduler.restore(job, StoredProgress(head), False, leases, 10.0, 0.0)
    return scheduler, leases


class FleetState(Enum):
    """What is stored of the workers of a large fleet."""

    UNHEARD = "unheard"
    IDLE = "idle"
    LONG_LEASES = "long-leases"


# LOST: a row of the lease that the store refuses ends each scheduler in turn.
@pytest.mark.parametrize("fleet_state", FleetState)
def test_row_of_the_lease_fits_the_store_with_the_workers_of_a_large_fleet(
    fleet_state: FleetState,
) -> None:
    scheduler, leases = _large_fleet(1100)
    book = WorkerLeaseBook(leases, TUNING)
    book.follow(scheduler.workers)
    for state in scheduler.workers.states():
        if fleet_state is not FleetState.UNHEARD:
            state.is_synced = True
        if fleet_state is FleetState.IDLE:
            for run in list(state.runs.values()):
                state.remove(run)
        if fleet_state is FleetState.LONG_LEASES:
            state.lease.extend(10.0 + LONGEST_S)
    row = replace(FIRST_ROW, **listing_fields(book.listing(1, 10.1)))
    assert len(row.worker_leases) == MAX_LISTED_WORKERS
    assert len(encode_row(row)) < MAX_ROW_BYTES
    assert not row.lists_late_orders


# TWICE: a worker that had no place in the row counted with a lease that was too short.
def test_leases_of_workers_without_a_place_in_the_row_are_not_forgotten() -> None:
    scheduler, leases = _large_fleet(MAX_LISTED_WORKERS + 2)
    *_, last = scheduler.workers.states()
    last.lease.extend(10.0 + LONGEST_S)
    book = WorkerLeaseBook(leases, TUNING)
    book.follow(scheduler.workers)
    stored = StoredState()
    stored.row = replace(FIRST_ROW, **listing_fields(book.listing(1, 10.1)))
    book.on_stored(stored.row)
    assert last.may_be_renewed
    worker = last.entry.worker
    assert worker not in {each.worker for each in stored.row.worker_leases}
    later = InheritedLeases(stored.takeover(), 10.2, TUNING)
    assert later.ends(worker).listed_s >= 10.0 + LONGEST_S
    assert later.stored_end_s(worker) >= 10.0 + LONGEST_S
    # A scheduler that ends before it has loaded passes it on.
    stored.row = replace(FIRST_ROW, **listing_fields(later.listing(10.3)))
    third = InheritedLeases(stored.takeover(), 10.4, TUNING)
    assert third.stored_end_s(worker) >= 10.0 + LONGEST_S
    stored.row = replace(FIRST_ROW, **listing_fields(book.listing(2, 10.1)))
    much_later = InheritedLeases(stored.takeover(), 30.0, TUNING)
    assert much_later.ends(worker).listed_s >= 30.0 + GRANTED_S


# TWICE: a relay that breaks off may have been about to send the start.
def test_start_that_a_relay_may_still_send_counts_from_the_end_of_its_permit() -> None:
    successor = StoredState().take_over(10.0)
    successor.renew(10.1)
    successor.write(10.2)
    state = successor.scheduler.workers.get(WORKER)
    assert state is not None
    assert state.grant_until_ms(30.0, TUNING, RELAY_PERMIT_S) is not None
    state.lease.settle_grant(OrderOutcome.UNKNOWN, 30.1)
    late_s = RELAY_PERMIT_S + TUNING.max_order_delay_ms / 1000
    assert state.lease.latest_order_s(30.1, TUNING) == 30.0 + late_s


# TWICE: after the time of day was set back, a later incarnation has a lower birth time.
def test_restart_is_known_by_another_birth_time_and_not_by_a_later_one() -> None:
    stored = StoredState()
    stored.task = replace(stored.task, born_ms=BornMs(5), is_listed=False)
    successor = stored.take_over(10.0, born_ms=2)
    successor.renew(10.1, born_ms=2)
    state = successor.scheduler.workers.get(WORKER)
    assert state is not None
    assert state.lease.listed_end_s() >= 10.1 + LONGEST_S


# TWICE: an entry of an incarnation in between ended a run that a later one had listed.
def test_entry_that_is_older_than_the_listing_of_a_run_does_not_end_it() -> None:
    stored = StoredState()
    stored.task = replace(stored.task, born_ms=BornMs(5))
    successor = stored.take_over(10.0, born_ms=3)
    successor.scheduler.update_workers((entry(WORKER, born_ms=BornMs(4)),), 10.1)
    assert not successor.has_released
    successor.renew(10.2, born_ms=5)
    assert not successor.has_released


# TWICE: a lease was granted after the row, for runs that no successor adopts.
def test_no_lease_is_granted_for_runs_that_the_next_scheduler_does_not_adopt() -> None:
    successor = StoredState().take_over(10.0)
    successor.renew(10.1)
    successor.write(10.2)
    assert successor.renew(10.3) > 0
    successor.scheduler.cancel(JOB, 10.4)
    assert successor.renew(10.5) == 0


def test_only_long_running_tasks_have_their_listing_stored() -> None:
    stored = StoredState(is_long_running=False)
    stored.task = replace(stored.task, is_listed=False)
    successor = stored.take_over(10.0)
    successor.renew(10.1)
    successor.write(10.2)
    assert not stored.task.is_listed
