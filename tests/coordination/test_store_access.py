"""A transaction is applied at most once, also if its reply is lost."""

from __future__ import annotations

import pytest

from currantstage.coordination import WriteUncertainError
from currantstage.coordination.store import Transact
from currantstage.state import (
    ABSENT,
    ACCEPTED_KEY,
    AcceptedRow,
    Generation,
    RowVersion,
    RowWrite,
)
from tests.fakes import FakeStore, Fault, make_store_access


def make_write(generation: int, version: RowVersion = ABSENT) -> RowWrite:
    return RowWrite(
        key=ACCEPTED_KEY,
        expected_version=version,
        record=AcceptedRow(generation=Generation(generation)),
    )


def lose_replies(store: FakeStore, count: int) -> None:
    lost = 0

    def lose_first(call):
        nonlocal lost
        if not isinstance(call, Transact) or lost >= count:
            return Fault.NONE
        lost += 1
        return Fault.REPLY_LOST

    store.choose_fault = lose_first


@pytest.mark.parametrize("lost", [1, 2, 9])
def test_write_with_lost_reply_is_recognised(lost):
    store = FakeStore()
    lose_replies(store, lost)
    outcome = store.run(make_store_access().transact([make_write(1)]))
    assert outcome.is_applied
    assert store.rows[ACCEPTED_KEY].version == 1


def test_equal_write_of_another_attempt_is_not_recognised_as_own():
    store = FakeStore()
    store.run(make_store_access(1).transact([make_write(7)]))
    lose_replies(store, 1)
    outcome = store.run(make_store_access(2).transact([make_write(7)]))
    assert not outcome.is_applied


def test_delayed_write_is_reported_as_uncertain():
    store = FakeStore()

    def refuse_transactions(call):
        return Fault.REFUSED if isinstance(call, Transact) else Fault.NONE

    store.choose_fault = refuse_transactions
    procedure = make_store_access().transact([make_write(1)])
    call = next(procedure)
    with pytest.raises(WriteUncertainError):
        while True:
            reply = store.answer(call)
            if isinstance(call, Transact):
                # The write is still in flight when the call times out.
                reply = type(reply)(may_have_applied=True)
            call = procedure.send(reply)
