"""Claims: each safeguard of at-most-once execution, tested separately."""

from __future__ import annotations

import pytest

from currantstage.coordination.claims import (
    AnswerClaim,
    ClaimDecision,
    ClaimIndex,
    ClaimLog,
    ClaimOwners,
    ClaimRecorder,
    ClaimRequester,
    ClaimResolved,
    ClaimState,
    SendSettlement,
    assign_buckets,
    bucket_of,
    merge_events,
    refresh_owners,
)
from currantstage.coordination.store import (
    CIRCUIT_OPEN_S,
    Pause,
    ReadClock,
    StoreFailed,
    Transact,
)
from currantstage.state import (
    ClaimCompleted,
    ClaimDigest,
    ClaimOwner,
    ClaimReleased,
    ClaimTaken,
    ClaimUncertain,
    EntryVmId,
    IncarnationId,
    RequestId,
    RowVersion,
)
from tests.fakes import FakeStore, Fault, make_store_access

DIGEST = ClaimDigest("0" * 32)
FIRST, SECOND = (
    ClaimOwner(entry_vm=EntryVmId(name), incarnation=IncarnationId("1"))
    for name in ("a", "b")
)
GRANTED = ClaimDecision(ClaimState.GRANTED)


def make_claim(request_id="r1", holder=FIRST, fingerprint="f"):
    return ClaimTaken(
        digest=DIGEST,
        fingerprint=fingerprint,
        holder=holder,
        request_id=RequestId(request_id),
        expires_at_s=1000.0,
    )


def start_recorder(store, owner=FIRST, members=(FIRST,), seed=1):
    access = make_store_access(seed)
    recorder = ClaimRecorder(ClaimLog(access, owner), owner)
    recorder.update_owners(store.run(refresh_owners(access, frozenset(members))))
    store.run(recorder.load())
    return recorder


def acquire_claim(store, recorder, claim, live=(FIRST, SECOND)):
    effects = recorder.request_claim(claim, frozenset(live)) or store.run(
        recorder.record()
    )
    return effects[0].decision.state


def fail_as_uncertain(store, procedure):
    """Fail every call of a started procedure as uncertain; return its result."""
    reply = StoreFailed(may_have_applied=True)
    while True:
        try:
            call = procedure.send(reply)
        except StopIteration as stop:
            return stop.value
        is_local = isinstance(call, ReadClock | Pause)
        reply = store.answer(call) if is_local else StoreFailed(may_have_applied=True)


def test_only_the_first_request_is_granted():
    store = FakeStore()
    recorder = start_recorder(store)
    assert acquire_claim(store, recorder, make_claim("r1")) is ClaimState.GRANTED
    assert acquire_claim(store, recorder, make_claim("r1")) is ClaimState.GRANTED
    assert acquire_claim(store, recorder, make_claim("r2")) is ClaimState.IN_PROGRESS


def test_only_one_of_two_requests_in_the_same_batch_is_granted():
    store = FakeStore()
    recorder = start_recorder(store)
    assert recorder.request_claim(make_claim("r1"), frozenset()) == ()
    (refused,) = recorder.request_claim(make_claim("r2"), frozenset())
    assert refused.decision.state is ClaimState.IN_PROGRESS
    assert store.run(recorder.record()) == (AnswerClaim(make_claim("r1"), GRANTED),)


@pytest.mark.parametrize(
    ("settlement", "state"),
    [
        (ClaimCompleted, ClaimState.COMPLETED),
        (ClaimUncertain, ClaimState.UNKNOWN),
        (ClaimReleased, ClaimState.GRANTED),
    ],
)
def test_a_repeated_request_gets_the_first_outcome_from_any_owner(settlement, state):
    store = FakeStore()
    recorder = start_recorder(store)
    acquire_claim(store, recorder, make_claim("r1"))
    fields = {"answer": None} if settlement is ClaimCompleted else {}
    end = settlement(digest=DIGEST, request_id=RequestId("r1"), **fields)
    assert recorder.settle(end, FIRST.entry_vm) == ()
    store.run(recorder.record())
    other = start_recorder(store, SECOND, (SECOND,), seed=2)
    assert acquire_claim(store, other, make_claim("r2", SECOND)) is state


def test_a_claim_whose_holder_crashed_is_unknown_and_never_free():
    store = FakeStore()
    acquire_claim(store, start_recorder(store), make_claim("r1"))
    other = start_recorder(store, SECOND, (SECOND,), seed=2)
    claim = make_claim("r2", SECOND)
    assert acquire_claim(store, other, claim, live=(SECOND,)) is ClaimState.UNKNOWN


def test_a_key_with_different_content_is_refused():
    store = FakeStore()
    recorder = start_recorder(store)
    acquire_claim(store, recorder, make_claim("r1"))
    claim = make_claim("r2", fingerprint="other")
    assert acquire_claim(store, recorder, claim) is ClaimState.KEY_REUSED


def test_a_replaced_owner_records_nothing_and_grants_nothing():
    store = FakeStore()
    replaced = start_recorder(store)
    start_recorder(store, SECOND, (SECOND,), seed=2)
    rows = len(store.rows)
    assert acquire_claim(store, replaced, make_claim("r1")) is ClaimState.UNAVAILABLE
    assert len(store.rows) == rows
    assert not replaced.is_loaded


def test_nothing_is_granted_before_the_log_is_read():
    store = FakeStore()
    recorder = start_recorder(store)
    recorder.update_owners(ClaimOwners(RowVersion(99), (FIRST,) * 64))
    assert acquire_claim(store, recorder, make_claim("r1")) is ClaimState.UNAVAILABLE


def test_a_claim_is_refused_while_the_store_is_unavailable():
    store = FakeStore()
    recorder = start_recorder(store)
    store.choose_fault = lambda call: Fault.REFUSED
    assert acquire_claim(store, recorder, make_claim("r1")) is ClaimState.UNAVAILABLE


def test_an_uncertain_batch_invalidates_the_events_queued_behind_it():
    store = FakeStore()
    recorder = start_recorder(store)
    recorder.request_claim(make_claim("r1"), frozenset())
    recording = recorder.record()
    next(recording)
    later = ClaimTaken(
        digest=ClaimDigest("1" * 32),
        fingerprint="f",
        holder=SECOND,
        request_id=RequestId("r2"),
        expires_at_s=1000.0,
    )
    assert recorder.request_claim(later, frozenset()) == ()
    refused = {
        effect.claim.request_id for effect in fail_as_uncertain(store, recording)
    }
    assert refused == {"r1", "r2"}
    assert not recorder.has_waiting


def test_a_late_write_fails_after_its_sequence_number_was_reused():
    store = FakeStore()
    recorder = start_recorder(store)
    recorder.request_claim(make_claim("r1"), frozenset())
    recording = recorder.record()
    late = next(recording)
    assert isinstance(late, Transact)
    fail_as_uncertain(store, recording)
    store.clock.time_s += 10 * CIRCUIT_OPEN_S
    store.run(recorder.load())
    assert acquire_claim(store, recorder, make_claim("r2")) is ClaimState.GRANTED
    assert not store.answer(late).outcome.is_applied


def test_a_late_grant_is_released_and_its_request_not_run():
    requester = ClaimRequester()
    owners = ClaimOwners(RowVersion(1), (FIRST,) * 64)
    claim = make_claim()
    requester.request_claim(claim, owners, 0.0)
    effects = requester.tick(owners, 5.0, 0.0)
    unavailable = ClaimDecision(ClaimState.UNAVAILABLE)
    assert ClaimResolved(claim, unavailable) in effects
    requester.acknowledge(claim.request_id)
    released = ClaimReleased(digest=DIGEST, request_id=claim.request_id)
    assert requester.handle_decision(claim, GRANTED, owners, 6.0) == (
        SendSettlement(FIRST.entry_vm, released),
    )


def test_a_duplicate_grant_changes_nothing():
    requester = ClaimRequester()
    owners = ClaimOwners(RowVersion(1), (FIRST,) * 64)
    claim = make_claim()
    requester.request_claim(claim, owners, 0.0)
    assert requester.handle_decision(claim, GRANTED, owners, 0.1)
    assert requester.handle_decision(claim, GRANTED, owners, 0.2) == ()


def test_only_the_holder_settles_its_claim():
    index = ClaimIndex()
    foreign = ClaimReleased(digest=DIGEST, request_id=RequestId("r2"))
    index.apply((make_claim("r1"), foreign))
    decision = index.decide(make_claim("r3"), (FIRST,))
    assert decision == ClaimDecision(ClaimState.IN_PROGRESS)


def test_logs_of_two_owners_can_be_merged_in_any_order():
    released = ClaimReleased(digest=DIGEST, request_id=RequestId("r1"))
    completed = ClaimCompleted(digest=DIGEST, request_id=RequestId("r2"), answer=None)
    events = [completed, make_claim("r2"), released, make_claim("r1")]
    for order in (events, events[::-1]):
        index = ClaimIndex()
        index.apply(merge_events(order))
        decision = index.decide(make_claim("r3"), ())
        assert decision == ClaimDecision(ClaimState.COMPLETED)


def test_only_the_buckets_of_a_leaving_member_move():
    third = ClaimOwner(entry_vm=EntryVmId("c"), incarnation=IncarnationId("1"))
    before = assign_buckets([FIRST, SECOND, third])
    after = assign_buckets([FIRST, SECOND])
    assert set(before) == {FIRST, SECOND, third}
    assert all(
        new == old for old, new in zip(before, after, strict=True) if old != third
    )
    assert bucket_of(DIGEST) == 0
