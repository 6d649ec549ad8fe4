"""Tests of admission, queueing, starting and load shedding in the dispatcher."""

from __future__ import annotations

import pytest
from msgspec import structs

from currantstage.coordination.requests import (
    JobSize,
    RefusalReason,
    Refuse,
    ReleaseAt,
    Start,
    Wait,
)
from currantstage.state import VmId
from tests.request_fakes import QUEUE, FakeRequestPath, make_fleet


def started(effects):
    return [each.request_id for each in effects if isinstance(each, Start)]


def refused(effects):
    return [
        (each.request_id, each.refusal.reason)
        for each in effects
        if isinstance(each, Refuse)
    ]


def fill_slots(path, count):
    """Start `count` requests and return their assignments."""
    effects = [effect for n in range(count) for effect in path.submit(f"held-{n}")]
    return [effect.assignment for effect in effects]


def test_releasing_a_slot_starts_a_waiting_request():
    path = FakeRequestPath(make_fleet(workers=1, slots=1))
    (held,) = fill_slots(path, 1)
    (waits,) = path.submit("second")
    assert waits == Wait("second", 10.0)
    assert started(path.dispatcher.finish(held, True, 1.0)) == ["second"]


def test_urgent_request_takes_precedence_within_its_team_only():
    path = FakeRequestPath(
        make_fleet(workers=1, slots=1, limits={"north": 9, "south": 9})
    )
    (held,) = fill_slots(path, 1)
    path.submit("north-1")
    path.submit("south-1", "south")
    path.submit("north-urgent", is_urgent=True)
    order = []
    for _ in range(3):
        (start,) = path.dispatcher.finish(held, True, 1.0)
        order.append(start.request_id)
        held = start.assignment
    assert order.index("north-urgent") < order.index("north-1")
    assert order.index("south-1") < 2


def test_team_at_its_limit_does_not_block_other_teams():
    path = FakeRequestPath(
        make_fleet(workers=1, slots=3, limits={"north": 1, "south": 9})
    )
    fill_slots(path, 1)
    assert not started(path.submit("north-2"))
    assert started(path.submit("south-1", "south")) == ["south-1"]


def test_full_queue_sheds_request_of_team_with_largest_backlog():
    fleet = make_fleet(
        workers=1, slots=1, limits={"north": 9, "south": 9}, max_waiting=3
    )
    path = FakeRequestPath(fleet)
    fill_slots(path, 1)
    for number in range(3):
        path.submit(f"north-{number}")
    assert refused(path.submit("north-3")) == [("north-3", RefusalReason.QUEUE_FULL)]
    effects = path.submit("south-1", "south")
    assert refused(effects) == [("north-2", RefusalReason.QUEUE_FULL)]
    assert Wait("south-1", 10.0) in effects


def test_unmeetable_deadline_is_refused_on_submission():
    path = FakeRequestPath(make_fleet(workers=1, slots=1))
    for _ in range(20):
        path.estimates.observe(QUEUE, 2.0)
    fill_slots(path, 1)
    (waits,) = path.submit("patient")
    assert isinstance(waits, Wait)
    effects = path.submit("hasty", timeout_s=3.0)
    assert refused(effects) == [("hasty", RefusalReason.DEADLINE_UNMEETABLE)]
    assert effects[0].refusal.retry_after_s >= 1.0


def test_request_that_waited_too_long_is_refused_instead_of_started():
    path = FakeRequestPath(make_fleet(workers=1, slots=1))
    (held,) = fill_slots(path, 1)
    path.submit("second")
    for _ in range(20):
        path.estimates.observe(QUEUE, 2.0)
    effects = path.dispatcher.finish(held, True, 8.5)
    assert refused(effects) == [("second", RefusalReason.DEADLINE_UNMEETABLE)]
    assert started(path.submit("third", now_s=9.0, timeout_s=1.0)) == ["third"]


def test_too_large_job_is_refused_with_the_largest_capacity():
    path = FakeRequestPath(make_fleet())
    asked = JobSize(accelerators=2, memory_mb=1)
    (refuse,) = path.submit("large", size=asked)
    assert refuse.refusal.reason is RefusalReason.JOB_TOO_LARGE
    assert refuse.refusal.shortage.asked == asked
    assert refuse.refusal.shortage.largest == JobSize(processors=16, memory_mb=32_768)


def test_jobs_with_declared_sizes_share_a_worker():
    limits = {"north": 9, "south": 9}
    path = FakeRequestPath(make_fleet(workers=1, slots=8, limits=limits))
    half = JobSize(memory_mb=16_384)
    (first,) = path.submit("a", size=half)
    assert started(path.submit("b", size=half)) == ["b"]
    assert not started(path.submit("c", size=half))
    assert not started(path.submit("behind-c"))
    assert started(path.submit("small", "south")) == ["small"]
    assert started(path.dispatcher.finish(first.assignment, True, 1.0)) == [
        "c",
        "behind-c",
    ]


def test_job_of_unknown_outcome_keeps_its_slot_until_it_cannot_be_running():
    path = FakeRequestPath(make_fleet(workers=1, slots=1, limits={"north": 1}))
    (held,) = fill_slots(path, 1)
    path.submit("second")
    (later,) = path.dispatcher.finish(held, False, 1.0)
    assert isinstance(later, ReleaseAt)
    assert later.at_s > held.request.deadline_s
    assert started(path.dispatcher.release(held, later.at_s)) == ["second"]


def test_leaving_servers_get_no_new_requests():
    path = FakeRequestPath(make_fleet(workers=2, slots=4))
    path.dispatcher.set_leaving([VmId("w0")], 0.0)
    vms = {each.vm.vm_id for each in fill_slots(path, 4)}
    assert vms == {"w1"}
    (waits,) = path.submit("fifth")
    assert isinstance(waits, Wait)
    assert started(path.dispatcher.set_leaving([], 1.0)) == ["fifth"]


def test_waiting_request_with_withdrawn_key_is_refused():
    path = FakeRequestPath(make_fleet(workers=1, slots=1))
    (held,) = fill_slots(path, 1)
    path.submit("second")
    path.configuration.apply(
        make_fleet(workers=1, slots=1, limits={"south": 1}, generation=2)
    )
    effects = path.dispatcher.finish(held, True, 1.0)
    assert refused(effects) == [("second", RefusalReason.KEY_REFUSED)]


def test_withdrawing_a_queue_refuses_its_waiting_requests():
    path = FakeRequestPath(make_fleet(workers=1, slots=1))
    fill_slots(path, 1)
    for name in ("second", "third"):
        path.submit(name)
    fleet = make_fleet(generation=2)
    path.configuration.apply(structs.replace(fleet, queues={}))
    unknown = RefusalReason.QUEUE_UNKNOWN
    effects = path.dispatcher.start_waiting(1.0)
    assert refused(effects) == [("second", unknown), ("third", unknown)]


def test_waiting_request_is_refused_after_config_lease_lapsed():
    path = FakeRequestPath(make_fleet(workers=1, slots=1))
    (held,) = fill_slots(path, 1)
    path.submit("second")
    path.configuration.lease.start_renewal(0.0, lease_s=2.0)
    effects = path.dispatcher.finish(held, True, 3.0)
    lapsed = RefusalReason.CONFIG_LEASE_EXPIRED
    assert refused(effects) == [("second", lapsed)]
    assert refused(path.submit("third", now_s=3.0)) == [("third", lapsed)]


def test_stopping_refuses_waiting_requests_but_accepts_retries():
    path = FakeRequestPath(make_fleet(workers=1, slots=1))
    (held,) = fill_slots(path, 1)
    path.submit("second")
    assert refused(path.dispatcher.stop_admission()) == [
        ("second", RefusalReason.STOPPING)
    ]
    assert refused(path.submit("third")) == [("third", RefusalReason.STOPPING)]
    path.dispatcher.finish(held, True, 1.0)
    assert started(path.dispatcher.resubmit(held.request, 1.0)) == ["held-0"]


@pytest.mark.parametrize("order", [1, -1])
def test_cancelling_many_waiting_requests_empties_the_backlog(order):
    fleet = make_fleet(workers=1, slots=1, max_waiting=10_000)
    path = FakeRequestPath(fleet)
    fill_slots(path, 1)
    names = [f"r{number}" for number in range(10_000)]
    for name in names:
        path.submit(name)
    assert path.dispatcher.waiting_count == 10_000
    for name in names[::order]:
        path.dispatcher.withdraw(name, RefusalReason.CANCELLED)
    assert path.dispatcher.waiting_count == 0
