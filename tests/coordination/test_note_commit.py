"""Commit of release notes: concurrent commits, lost replies, resubmission."""

from __future__ import annotations

import pytest
from returns.result import Failure, Success

from currantstage.coordination import StoreUnreachableError, WriteUncertainError
from currantstage.coordination.notes import (
    Committed,
    NoteConflict,
    NoteIdTaken,
    NoteInvalid,
    NoteItem,
    NoteVerb,
    commit_note,
)
from currantstage.coordination.store import PutObject, Transact
from currantstage.state import (
    HEAD_KEY,
    Additions,
    Generation,
    ItemKind,
    NoteId,
    ReleaseNote,
    Team,
    TeamId,
    Withdrawals,
)
from tests.fakes import FakeStore, Fault, make_store_access


def make_note(name: str) -> ReleaseNote:
    team = Team(team_id=TeamId(name), share=1.0, upper_limit_slots=4)
    return ReleaseNote(note_id=NoteId(f"add-{name}"), added=Additions(teams=(team,)))


def submit(store: FakeStore, note: ReleaseNote, seed: int = 1):
    return store.run(commit_note(make_store_access(seed), note, note.note_id))


def test_each_note_increments_the_generation():
    store = FakeStore()
    assert submit(store, make_note("a")) == Success(Committed(Generation(1)))
    assert submit(store, make_note("b"), 2) == Success(Committed(Generation(2)))
    assert store.rows[HEAD_KEY].record.generation == 2


def test_resubmission_returns_the_first_result():
    store = FakeStore()
    submit(store, make_note("a"))
    submit(store, make_note("b"), 2)
    assert submit(store, make_note("a"), 3) == Success(Committed(Generation(1)))
    assert store.rows[HEAD_KEY].record.generation == 2


def test_different_note_with_a_used_id_is_refused():
    store = FakeStore()
    submit(store, make_note("a"))
    other = commit_note(make_store_access(2), make_note("a"), "another digest")
    assert store.run(other) == Failure(NoteIdTaken(Generation(1)))


def test_invalid_note_reports_every_fault_and_changes_nothing():
    store = FakeStore()
    note = ReleaseNote(
        note_id=NoteId("bad"),
        added=Additions(
            teams=(Team(team_id=TeamId("a"), share=0.0, upper_limit_slots=-1),)
        ),
        withdrawn=Withdrawals(teams=(TeamId("ghost"),)),
    )
    refusal = submit(store, note).failure()
    assert isinstance(refusal, NoteInvalid)
    assert len(refusal.faults) == 3
    assert not store.rows
    assert not store.objects


@pytest.mark.parametrize("lost", range(1, 4))
def test_lost_reply_does_not_commit_twice(lost):
    store = FakeStore()
    seen = 0

    def lose_first(call):
        nonlocal seen
        if isinstance(call, Transact) and seen < lost:
            seen += 1
            return Fault.REPLY_LOST
        return Fault.NONE

    store.choose_fault = lose_first
    assert submit(store, make_note("a")) == Success(Committed(Generation(1)))
    assert store.rows[HEAD_KEY].record.generation == 1


def test_refused_calls_leave_no_rows():
    store = FakeStore()
    store.choose_fault = lambda call: Fault.REFUSED
    with pytest.raises(StoreUnreachableError):
        submit(store, make_note("a"))
    assert not store.rows


def test_commit_that_cannot_be_read_back_is_reported_as_uncertain():
    store = FakeStore()
    is_disconnected = False

    def disconnect_at_transaction(call):
        nonlocal is_disconnected
        if isinstance(call, Transact):
            is_disconnected = True
            return Fault.REPLY_LOST
        return Fault.REFUSED if is_disconnected else Fault.NONE

    store.choose_fault = disconnect_at_transaction
    with pytest.raises(WriteUncertainError):
        submit(store, make_note("a"))


def test_losing_concurrent_commit_reports_the_conflict():
    store = FakeStore()
    slow_commit = commit_note(make_store_access(1), make_note("slow"), "slow")
    call = next(slow_commit)
    while not isinstance(call, PutObject):
        call = slow_commit.send(store.answer(call))
    submit(store, make_note("fast"), 2)
    with pytest.raises(StopIteration) as stop:
        while True:
            call = slow_commit.send(store.answer(call))
    changed_items = (NoteItem(NoteVerb.ADD, ItemKind.TEAM, "fast"),)
    conflict = NoteConflict(Generation(1), NoteId("add-fast"), changed_items)
    assert stop.value.value == Failure(conflict)
    assert store.rows[HEAD_KEY].record.generation == 1
