"""A transaction applies at most once, and its effect is recognised."""

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


def write_of(generation: int, version: RowVersion = ABSENT) -> RowWrite:
    return RowWrite(
        key=ACCEPTED_KEY,
        expected_version=version,
        record=AcceptedRow(generation=Generation(generation)),
    )


def lose_answers(store: FakeStore, count: int) -> None:
    lost = 0

    def choose(call):
        nonlocal lost
        if not isinstance(call, Transact) or lost >= count:
            return Fault.NONE
        lost += 1
        return Fault.REPLY_LOST

    store.choose_fault = choose


@pytest.mark.parametrize("lost", [1, 2, 9])
def test_an_effect_whose_answer_was_lost_is_recognised(lost):
    store = FakeStore()
    lose_answers(store, lost)
    outcome = store.run(make_store_access().transact([write_of(1)]))
    assert outcome.is_applied
    assert store.rows[ACCEPTED_KEY].version == 1


def test_the_effect_of_another_is_not_taken_for_ones_own():
    store = FakeStore()
    store.run(make_store_access(1).transact([write_of(7)]))
    lose_answers(store, 1)
    outcome = store.run(make_store_access(2).transact([write_of(7)]))
    assert not outcome.is_applied


def test_a_write_that_may_still_take_effect_is_uncertain():
    store = FakeStore()

    def delay(call):
        return Fault.REFUSED if isinstance(call, Transact) else Fault.NONE

    store.choose_fault = delay
    procedure = make_store_access().transact([write_of(1)])
    call = next(procedure)
    with pytest.raises(WriteUncertainError):
        while True:
            reply = store.answer(call)
            if isinstance(call, Transact):
                # The write is still on its way when its answer times out.
                reply = type(reply)(may_have_applied=True)
            call = procedure.send(reply)
