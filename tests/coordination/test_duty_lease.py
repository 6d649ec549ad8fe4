"""Duty leases: exclusive holder, fencing, takeover and release."""

from __future__ import annotations

import contextlib

import pytest

from currantstage.coordination import WriteUncertainError
from currantstage.coordination.store import (
    CIRCUIT_OPEN_S,
    DUTY_LEASE_S,
    DutyLeases,
    Transact,
    observer_wait_s,
)
from currantstage.state import (
    ABSENT,
    DataCentreId,
    DutyKind,
    EntryVmId,
    EntryVmRow,
    Generation,
    IncarnationId,
    RowKey,
    RowWrite,
)
from tests.fakes import FakeClock, FakeStore, Fault, make_store_access

DUTY = DutyKind.MAINTENANCE
EFFECT_KEY = RowKey("effect")


class Contender:
    """An entry VM with its own clock that competes for the duty."""

    def __init__(self, store, name, seed):
        self.clock = FakeClock()
        self.store = store
        self.access = make_store_access(seed)
        self.leases = DutyLeases(
            self.access, EntryVmId(name), IncarnationId(f"{name}-{seed}")
        )

    def renew_or_acquire(self):
        self.store.run(self.leases.renew_or_acquire([DUTY]), self.clock)

    def grant(self):
        return self.leases.grant(DUTY, self.clock.now_s())

    def write_effect(self, grant):
        """Write one row as part of the duty; return whether it was applied."""
        current = self.store.rows.get(EFFECT_KEY)
        record = EntryVmRow(
            entry_vm=EntryVmId("effect"),
            incarnation=IncarnationId("i"),
            data_centre=DataCentreId("a"),
            http_address="127.0.0.1:1",
            peer_address="127.0.0.1:2",
            applied_generation=Generation(grant.fencing),
            config_lease_s=10.0,
        )
        version = ABSENT if current is None else current.version
        write = RowWrite(key=EFFECT_KEY, expected_version=version, record=record)
        outcome = self.store.run(self.access.transact(grant.guard([write])), self.clock)
        return outcome.is_applied


def make_contenders():
    store = FakeStore()
    return store, Contender(store, "e1", 1), Contender(store, "e2", 2)


def test_holder_is_visible_to_other_entry_vms():
    store = FakeStore()
    first, second = Contender(store, "a", 1), Contender(store, "b", 2)
    assert second.leases.holder(DUTY) is None
    first.renew_or_acquire()
    second.renew_or_acquire()
    assert second.leases.holder(DUTY) == EntryVmId("a")


def test_only_the_first_contender_acquires_the_lease():
    _, first, second = make_contenders()
    first.renew_or_acquire()
    second.renew_or_acquire()
    assert first.grant().fencing == 1
    assert second.grant() is None


def test_renewal_extends_the_lease_without_changing_the_fence():
    _, first, _ = make_contenders()
    first.renew_or_acquire()
    before = first.grant()
    first.clock.time_s += DUTY_LEASE_S / 2
    first.renew_or_acquire()
    assert first.grant().expiry_s == before.expiry_s + DUTY_LEASE_S / 2
    assert first.write_effect(before)


def test_takeover_waits_for_the_lease_and_clock_drift():
    _, first, second = make_contenders()
    first.renew_or_acquire()
    second.renew_or_acquire()
    second.clock.time_s += observer_wait_s(DUTY_LEASE_S) - 0.001
    second.renew_or_acquire()
    assert second.grant() is None
    second.clock.time_s += 0.001
    second.renew_or_acquire()
    assert second.grant().fencing == 2


def test_slow_scan_does_not_shorten_the_wait():
    store, first, second = make_contenders()
    first.renew_or_acquire()
    procedure = second.leases.renew_or_acquire([DUTY])
    reply = store.answer(next(procedure), second.clock)
    second.clock.time_s += observer_wait_s(DUTY_LEASE_S)
    call = procedure.send(reply)
    with contextlib.suppress(StopIteration):
        while True:
            call = procedure.send(store.answer(call, second.clock))
    second.renew_or_acquire()
    assert second.grant() is None


def test_lease_counts_from_before_the_renewal_was_sent():
    store, first, _ = make_contenders()
    first.renew_or_acquire()
    procedure = first.leases.renew_or_acquire([DUTY])
    call = next(procedure)
    while not isinstance(call, Transact):
        call = procedure.send(store.answer(call, first.clock))
    reply = store.answer(call, first.clock)
    first.clock.time_s = 5.0
    with contextlib.suppress(StopIteration):
        call = procedure.send(reply)
        while True:
            call = procedure.send(store.answer(call, first.clock))
    assert first.grant().expiry_s == DUTY_LEASE_S


def test_holder_paused_beyond_its_lease_is_fenced():
    _, first, second = make_contenders()
    first.renew_or_acquire()
    stale_grant = first.grant()
    second.renew_or_acquire()
    second.clock.time_s += observer_wait_s(DUTY_LEASE_S)
    second.renew_or_acquire()
    assert second.write_effect(second.grant())
    assert not first.write_effect(stale_grant)
    first.clock.time_s += DUTY_LEASE_S
    assert first.grant() is None
    first.renew_or_acquire()
    assert first.grant() is None


def test_acquisition_with_lost_reply_is_resumed():
    store, first, second = make_contenders()
    is_disconnected = False

    def lose_replies_from_first_write(call):
        nonlocal is_disconnected
        is_disconnected = is_disconnected or isinstance(call, Transact)
        return Fault.REPLY_LOST if is_disconnected else Fault.NONE

    store.choose_fault = lose_replies_from_first_write
    with pytest.raises(WriteUncertainError):
        first.renew_or_acquire()
    assert first.grant() is None
    store.choose_fault = lambda call: Fault.NONE
    first.clock.time_s += CIRCUIT_OPEN_S
    second.renew_or_acquire()
    first.renew_or_acquire()
    assert first.grant().fencing == 1
    assert second.grant() is None


def test_released_lease_is_acquired_without_waiting():
    store, first, second = make_contenders()
    first.renew_or_acquire()
    stale_grant = first.grant()
    store.run(first.leases.release(), first.clock)
    second.renew_or_acquire()
    assert first.grant() is None
    assert second.grant().fencing == 2
    assert not first.write_effect(stale_grant)


def test_restarted_holder_waits_for_its_former_lease():
    store, first, _ = make_contenders()
    first.renew_or_acquire()
    restarted = Contender(store, "e1", 9)
    restarted.renew_or_acquire()
    assert restarted.grant() is None
    restarted.clock.time_s += observer_wait_s(DUTY_LEASE_S)
    restarted.renew_or_acquire()
    assert restarted.grant().fencing == 2
