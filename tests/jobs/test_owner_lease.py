"""Takeover and validity of the scheduler's lease."""

from __future__ import annotations

import pytest

from currantstage.coordination.jobs import (
    NO_HOLDER,
    HeldLease,
    HolderAnswer,
    LeaseRow,
    LeaseTakeover,
    LeaseWatch,
    SchedulerCapacity,
    SchedulerTuning,
    StoreHealth,
    TakeoverGround,
    takeover_deference_s,
)
from currantstage.state import EntryVmId
from currantstage.state.jobs import Term

TUNING = SchedulerTuning(takeover_ms=2000, suspect_ms=700, owner_lease_ms=6000)
OWN, OTHER = EntryVmId("own"), EntryVmId("other")
ROW = LeaseRow(holder=OTHER, address="a", term=Term(4))


def _watch(until_s: float, interval_s: float = 0.4) -> LeaseWatch:
    watch = LeaseWatch(interval_s, TUNING)
    for number in range(int(until_s / interval_s) + 1):
        watch.observe(7, number * interval_s)
    return watch


def test_lease_that_nobody_holds_is_taken_at_once() -> None:
    watch = _watch(0.0)
    free = LeaseRow(holder=NO_HOLDER, address="", term=Term(4))
    for row in (None, free):
        takeover = watch.takeover(row, OWN, HolderAnswer.UNKNOWN)
        assert takeover == LeaseTakeover(
            TakeoverGround.HOLDER_ENDED,
            # Without a row, nobody has sent any order.
            lists_late_orders=row is None,
        )


def test_lease_of_an_earlier_process_of_the_same_daemon_is_taken_at_once() -> None:
    own = LeaseRow(holder=OWN, address="a", term=Term(4))
    takeover = _watch(0.0).takeover(own, OWN, HolderAnswer.UNKNOWN)
    assert takeover == LeaseTakeover(TakeoverGround.HOLDER_ENDED)


def test_silent_holder_is_waited_for() -> None:
    assert _watch(1.2).takeover(ROW, OWN, HolderAnswer.UNKNOWN) is None
    takeover = _watch(2.5).takeover(ROW, OWN, HolderAnswer.UNKNOWN)
    assert takeover is not None
    assert takeover.ground is TakeoverGround.HOLDER_SILENT
    assert takeover.holder_active_s == pytest.approx(6.0 - 2.4)


def test_refused_connection_shortens_the_wait_but_proves_nothing() -> None:
    takeover = _watch(0.8).takeover(ROW, OWN, HolderAnswer.REFUSED)
    assert takeover is not None
    assert takeover.ground is TakeoverGround.HOLDER_SILENT
    assert takeover.holder_active_s == pytest.approx(6.0 - 0.8)


def test_only_an_explicit_answer_proves_that_the_holder_has_ended() -> None:
    takeover = _watch(0.8).takeover(ROW, OWN, HolderAnswer.NOT_HOLDER)
    assert takeover == LeaseTakeover(TakeoverGround.HOLDER_ENDED, unchanged_s=0.8)


def test_holder_that_renews_and_answers_keeps_its_lease() -> None:
    watch = LeaseWatch(0.4, TUNING)
    for number in range(20):
        watch.observe(number, number * 0.4)
    assert watch.takeover(ROW, OWN, HolderAnswer.HOLDS) is None
    assert not watch.is_suspect()


def test_pause_of_the_observer_does_not_count_as_silence() -> None:
    watch = LeaseWatch(0.4, TUNING)
    watch.observe(7, 0.0)
    watch.observe(7, 60.0)
    assert watch.takeover(ROW, OWN, HolderAnswer.UNKNOWN) is None


def test_holder_counts_its_lease_from_the_sending_of_a_renewal() -> None:
    held = HeldLease(TUNING, confirmed_s=10.0)
    assert held.is_valid(15.9)
    assert not held.is_valid(16.0)
    held.confirm(sent_s=12.0)
    held.confirm(sent_s=11.0)
    assert held.is_valid(17.9)
    assert not held.is_certainly_held(14.0)


def test_time_without_a_read_does_not_count_as_unchanged() -> None:
    watch = _watch(0.4)
    watch.record_failed_read()
    watch.observe(7, 9.0)
    assert not watch.is_suspect()


def test_holder_needs_a_successor_once_its_writes_keep_failing() -> None:
    held = HeldLease(TUNING, confirmed_s=0.0)
    held.record_failure(0.1)
    held.record_failure(0.3)
    assert not held.needs_successor(0.35)
    assert held.needs_successor(0.4)


def test_confirmed_write_ends_the_need_for_a_successor() -> None:
    held = HeldLease(TUNING, confirmed_s=0.0)
    held.record_failure(0.1)
    held.confirm(0.5)
    assert not held.needs_successor(9.0)


def test_holder_that_the_store_answers_keeps_its_lease_while_writes_are_late() -> None:
    held = HeldLease(TUNING, confirmed_s=0.0)
    held.record_failure(0.1)
    assert held.needs_successor(1.0, answered_call_s=0.05)
    assert not held.needs_successor(1.0, answered_call_s=0.9)
    assert held.needs_successor(6.0, answered_call_s=5.9)


def test_holder_that_the_store_answers_no_more_needs_a_successor() -> None:
    """One answer after the failed write kept the lease for as long as it was valid."""
    held = HeldLease(TUNING, confirmed_s=0.0)
    held.record_failure(0.1)
    assert not held.needs_successor(1.9, answered_call_s=0.2)
    assert held.needs_successor(2.2, answered_call_s=0.2)


def test_late_answer_to_a_call_before_the_failed_write_keeps_no_lease() -> None:
    """Answers still under way when the store fell silent kept the lease."""
    health = StoreHealth()
    held = HeldLease(TUNING, confirmed_s=0.0)
    health.record_success(sent_s=0.05, now_s=0.2)
    held.record_failure(0.1)
    assert held.needs_successor(1.0, health.newest_answered_call_s)


def test_stored_write_without_a_response_counts_from_the_first_of_them() -> None:
    held = HeldLease(TUNING, confirmed_s=0.0)
    held.record_failure(1.0)
    held.record_failure(3.0)
    held.confirm_unanswered()
    assert held.is_valid(6.9)
    assert not held.is_valid(7.0)


def test_silent_holder_before_an_ended_one_may_still_act() -> None:
    """Two takeovers in a row, of a silent holder and then of one that has ended."""
    row = LeaseRow(holder=OTHER, address="a", term=Term(4), earlier_acts_ms=3500)
    takeover = _watch(0.0).takeover(row, OWN, HolderAnswer.NOT_HOLDER)
    assert takeover == LeaseTakeover(TakeoverGround.HOLDER_ENDED, 3.5)
    free = LeaseRow(holder=NO_HOLDER, address="", term=Term(4), earlier_acts_ms=3500)
    takeover = _watch(0.0).takeover(free, OWN, HolderAnswer.UNKNOWN)
    assert takeover == LeaseTakeover(TakeoverGround.HOLDER_ENDED, 3.5)


SMALL = SchedulerCapacity(link_mbps=4.5, cpu_cores=0.8)
LARGE = SchedulerCapacity(link_mbps=45.0, cpu_cores=3.2)
FAST_LINK = SchedulerCapacity(link_mbps=45.0, cpu_cores=0.8)
FAST_PROCESSOR = SchedulerCapacity(link_mbps=4.5, cpu_cores=3.2)
UNKNOWN = SchedulerCapacity()


@pytest.mark.parametrize(
    ("own", "peers"),
    [
        (SMALL, []),
        (SMALL, [SMALL, SMALL]),
        (SMALL, [UNKNOWN]),
        (SMALL, [FAST_LINK, FAST_PROCESSOR]),
        (LARGE, [SMALL, LARGE]),
        (UNKNOWN, [UNKNOWN]),
    ],
)
def test_lease_is_not_left_to_peers_without_more_of_what_is_scarce(
    own: SchedulerCapacity, peers: list[SchedulerCapacity]
) -> None:
    assert takeover_deference_s(own, peers) == 0.0


@pytest.mark.parametrize("own", [SMALL, FAST_LINK, FAST_PROCESSOR, UNKNOWN])
def test_lease_is_left_to_a_peer_with_more_of_what_is_scarce(
    own: SchedulerCapacity,
) -> None:
    assert takeover_deference_s(own, [SMALL, LARGE]) > 0.0
