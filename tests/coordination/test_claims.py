"""Claims: each guard of at-most-once, one at a time."""

from __future__ import annotations

import pytest

from currantstage.coordination.claims import (
    AnswerClaim,
    Claimant,
    ClaimLedger,
    ClaimLog,
    ClaimOwners,
    ClaimRecorder,
    ClaimResolved,
    ClaimState,
    ClaimVerdict,
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
GRANTED = ClaimVerdict(ClaimState.GRANTED)


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
    recorder.adopt(store.run(refresh_owners(access, frozenset(members))))
    store.run(recorder.load())
    return recorder


def take(store, recorder, claim, live=(FIRST, SECOND)):
    effects = recorder.want(claim, frozenset(live)) or store.run(recorder.record())
    return effects[0].verdict.state


def lose_every_answer(store, procedure):
    """Let every call of a started procedure fail as uncertain; return its result."""
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
    assert take(store, recorder, make_claim("r1")) is ClaimState.GRANTED
    assert take(store, recorder, make_claim("r1")) is ClaimState.GRANTED
    assert take(store, recorder, make_claim("r2")) is ClaimState.IN_PROGRESS


def test_two_requests_that_wait_for_the_same_batch_are_told_apart():
    store = FakeStore()
    recorder = start_recorder(store)
    assert recorder.want(make_claim("r1"), frozenset()) == ()
    (refused,) = recorder.want(make_claim("r2"), frozenset())
    assert refused.verdict.state is ClaimState.IN_PROGRESS
    assert store.run(recorder.record()) == (AnswerClaim(make_claim("r1"), GRANTED),)


@pytest.mark.parametrize(
    ("settlement", "state"),
    [
        (ClaimCompleted, ClaimState.COMPLETED),
        (ClaimUncertain, ClaimState.UNKNOWN),
        (ClaimReleased, ClaimState.GRANTED),
    ],
)
def test_a_repeat_finds_the_first_outcome_at_whichever_owner(settlement, state):
    store = FakeStore()
    recorder = start_recorder(store)
    take(store, recorder, make_claim("r1"))
    fields = {"answer": None} if settlement is ClaimCompleted else {}
    end = settlement(digest=DIGEST, request_id=RequestId("r1"), **fields)
    assert recorder.settle(end, FIRST.entry_vm) == ()
    store.run(recorder.record())
    other = start_recorder(store, SECOND, (SECOND,), seed=2)
    assert take(store, other, make_claim("r2", SECOND)) is state


def test_a_claim_whose_holder_died_is_unknown_and_never_free():
    store = FakeStore()
    take(store, start_recorder(store), make_claim("r1"))
    other = start_recorder(store, SECOND, (SECOND,), seed=2)
    claim = make_claim("r2", SECOND)
    assert take(store, other, claim, live=(SECOND,)) is ClaimState.UNKNOWN


def test_a_key_with_another_content_is_refused():
    store = FakeStore()
    recorder = start_recorder(store)
    take(store, recorder, make_claim("r1"))
    claim = make_claim("r2", fingerprint="other")
    assert take(store, recorder, claim) is ClaimState.KEY_REUSED


def test_a_replaced_owner_records_nothing_and_grants_nothing():
    store = FakeStore()
    replaced = start_recorder(store)
    start_recorder(store, SECOND, (SECOND,), seed=2)
    rows = len(store.rows)
    assert take(store, replaced, make_claim("r1")) is ClaimState.UNAVAILABLE
    assert len(store.rows) == rows
    assert not replaced.is_loaded


def test_nothing_is_granted_before_the_log_is_read():
    store = FakeStore()
    recorder = start_recorder(store)
    recorder.adopt(ClaimOwners(RowVersion(99), (FIRST,) * 64))
    assert take(store, recorder, make_claim("r1")) is ClaimState.UNAVAILABLE


def test_a_store_that_is_away_refuses_the_claim():
    store = FakeStore()
    recorder = start_recorder(store)
    store.choose_fault = lambda call: Fault.REFUSED
    assert take(store, recorder, make_claim("r1")) is ClaimState.UNAVAILABLE


def test_an_uncertain_batch_distrusts_what_waits_behind_it():
    store = FakeStore()
    recorder = start_recorder(store)
    recorder.want(make_claim("r1"), frozenset())
    recording = recorder.record()
    next(recording)
    later = ClaimTaken(
        digest=ClaimDigest("1" * 32),
        fingerprint="f",
        holder=SECOND,
        request_id=RequestId("r2"),
        expires_at_s=1000.0,
    )
    assert recorder.want(later, frozenset()) == ()
    refused = {
        effect.claim.request_id for effect in lose_every_answer(store, recording)
    }
    assert refused == {"r1", "r2"}
    assert not recorder.has_waiting


def test_a_write_that_arrives_after_its_number_was_used_again_fails():
    store = FakeStore()
    recorder = start_recorder(store)
    recorder.want(make_claim("r1"), frozenset())
    recording = recorder.record()
    late = next(recording)
    assert isinstance(late, Transact)
    lose_every_answer(store, recording)
    store.clock.time_s += 10 * CIRCUIT_OPEN_S
    store.run(recorder.load())
    assert take(store, recorder, make_claim("r2")) is ClaimState.GRANTED
    assert not store.answer(late).outcome.is_applied


def test_a_late_grant_is_released_and_not_run():
    claimant = Claimant()
    owners = ClaimOwners(RowVersion(1), (FIRST,) * 64)
    claim = make_claim()
    claimant.want(claim, owners, 0.0)
    effects = claimant.tick(owners, 5.0, 0.0)
    unavailable = ClaimVerdict(ClaimState.UNAVAILABLE)
    assert ClaimResolved(claim, unavailable) in effects
    claimant.acknowledge(claim.request_id)
    released = ClaimReleased(digest=DIGEST, request_id=claim.request_id)
    assert claimant.hear(claim, GRANTED, owners, 6.0) == (
        SendSettlement(FIRST.entry_vm, released),
    )


def test_a_doubled_grant_changes_nothing():
    claimant = Claimant()
    owners = ClaimOwners(RowVersion(1), (FIRST,) * 64)
    claim = make_claim()
    claimant.want(claim, owners, 0.0)
    assert claimant.hear(claim, GRANTED, owners, 0.1)
    assert claimant.hear(claim, GRANTED, owners, 0.2) == ()


def test_only_the_holder_settles_its_claim():
    ledger = ClaimLedger()
    foreign = ClaimReleased(digest=DIGEST, request_id=RequestId("r2"))
    ledger.apply((make_claim("r1"), foreign))
    verdict = ledger.judge(make_claim("r3"), (FIRST,))
    assert verdict == ClaimVerdict(ClaimState.IN_PROGRESS)


def test_logs_of_two_owners_merge_whatever_their_order():
    released = ClaimReleased(digest=DIGEST, request_id=RequestId("r1"))
    completed = ClaimCompleted(digest=DIGEST, request_id=RequestId("r2"), answer=None)
    events = [completed, make_claim("r2"), released, make_claim("r1")]
    for order in (events, events[::-1]):
        ledger = ClaimLedger()
        ledger.apply(merge_events(order))
        verdict = ledger.judge(make_claim("r3"), ())
        assert verdict == ClaimVerdict(ClaimState.COMPLETED)


def test_a_member_that_leaves_moves_only_its_own_buckets():
    third = ClaimOwner(entry_vm=EntryVmId("c"), incarnation=IncarnationId("1"))
    before = assign_buckets([FIRST, SECOND, third])
    after = assign_buckets([FIRST, SECOND])
    assert set(before) == {FIRST, SECOND, third}
    assert all(
        new == old for old, new in zip(before, after, strict=True) if old != third
    )
    assert bucket_of(DIGEST) == 0
