"""The configuration lease of an entry VM, and who may renew it."""

from __future__ import annotations

import pytest

from currantstage.coordination import StoreUnreachableError
from currantstage.coordination.membership import (
    ConfigLease,
    Configuration,
    HeadObserver,
    Membership,
)
from currantstage.coordination.notes import commit_note
from currantstage.coordination.store import (
    GetObject,
    ReadRow,
    Transact,
    observer_wait_s,
)
from currantstage.state import (
    DEFAULT_CONFIG_LEASE_S,
    FIRST_GENERATION,
    DataCentreId,
    EntryVmId,
    EntryVmRow,
    IncarnationId,
    NoteId,
    ReleaseNote,
    entry_vm_key,
)
from tests.coordination.test_note_commit import make_note
from tests.fakes import FakeClock, FakeStore, Fault, make_store_access

LEASE_S = DEFAULT_CONFIG_LEASE_S


class EntryVm:
    """The coordination parts of one entry VM, with a clock of its own."""

    def __init__(self, store, name="e1", seed=7):
        self.store = store
        self.clock = FakeClock()
        self.access = make_store_access(seed)
        self.configuration = Configuration()
        self.head_observer = HeadObserver()
        row = EntryVmRow(
            entry_vm=EntryVmId(name),
            incarnation=IncarnationId(f"start-{seed}"),
            data_centre=DataCentreId("a"),
            http_address="127.0.0.1:1",
            peer_address="127.0.0.1:2",
            applied_generation=FIRST_GENERATION,
            config_lease_s=LEASE_S,
        )
        self.membership = Membership(
            self.access, self.configuration, self.head_observer, row
        )

    def follow(self):
        return self.store.run(self.membership.follow_head(), self.clock)

    def may_serve(self):
        return self.configuration.may_serve_keyed(self.clock.now_s())


def commit(store, name, seed=1):
    store.run(commit_note(make_store_access(seed), make_note(name), name))


def set_lease(store, lease_s, seed):
    note = ReleaseNote(note_id=NoteId(f"lease-{seed}"), config_lease_s=lease_s)
    store.run(commit_note(make_store_access(seed), note, note.note_id))


def test_nothing_keyed_is_served_before_the_first_renewal():
    vm = EntryVm(FakeStore())
    assert not vm.may_serve()
    vm.follow()
    assert vm.may_serve()
    vm.clock.time_s += LEASE_S
    assert not vm.may_serve()


def test_the_lease_counts_from_before_the_renewal_was_sent():
    store = FakeStore()
    vm = EntryVm(store)
    following = vm.membership.follow_head()
    call = next(following)
    while not isinstance(call, Transact):
        call = following.send(store.answer(call, vm.clock))
    vm.clock.time_s += LEASE_S - 1
    reply = store.answer(call, vm.clock)
    with pytest.raises(StopIteration):
        following.send(reply)
    assert vm.may_serve()
    vm.clock.time_s += 1
    assert not vm.may_serve()


def test_a_renewal_delayed_past_the_next_commit_does_not_take_effect():
    store = FakeStore()
    vm = EntryVm(store)
    vm.follow()
    vm.clock.time_s += LEASE_S / 2
    following = vm.membership.follow_head()
    call = next(following)
    while not isinstance(call, Transact):
        call = following.send(store.answer(call, vm.clock))
    commit(store, "a")
    assert not store.answer(call, vm.clock).outcome.is_applied


def test_a_start_on_an_old_head_gets_no_lease():
    store = FakeStore()
    vm = EntryVm(store)
    following = vm.membership.follow_head()
    call = next(following)
    assert isinstance(call, ReadRow)
    old_head = store.answer(call, vm.clock)
    commit(store, "a")
    call = following.send(old_head)
    while not isinstance(call, Transact):
        call = following.send(store.answer(call, vm.clock))
    assert not store.answer(call, vm.clock).outcome.is_applied
    assert not vm.may_serve()


def test_a_shorter_lease_governs_as_soon_as_it_is_sent():
    lease = ConfigLease()
    lease.confirm(lease.start_renewal(0.0, 60.0).number)
    lease.start_renewal(1.0, 5.0)
    assert lease.expiry_s == 6.0


def test_a_late_answer_to_a_longer_renewal_does_not_outlast_a_shorter_one():
    lease = ConfigLease()
    long = lease.start_renewal(0.0, 60.0)
    short = lease.start_renewal(1.0, 5.0)
    lease.confirm(long.number)
    assert lease.expiry_s == 6.0
    lease.confirm(short.number)
    lease.confirm(long.number)
    assert lease.expiry_s == 6.0


def test_the_length_in_the_row_governs_until_the_note_is_applied():
    store = FakeStore()
    late, observer = EntryVm(store, "e1", 7), EntryVm(store, "e2", 8)
    set_lease(store, 60.0, 1)
    late.follow()
    set_lease(store, 2.0, 2)
    observer.follow()
    row = late.membership.row
    assert observer.head_observer.wait_s(row, 0.0) == observer_wait_s(60.0)


def test_a_peer_renews_for_an_entry_vm_that_can_not_reach_the_table():
    store = FakeStore()
    cut_off, peer = EntryVm(store, "e1", 7), EntryVm(store, "e2", 8)
    cut_off.follow()
    cut_off.clock.time_s = LEASE_S - 1
    request = cut_off.membership.request_renewal(cut_off.clock.now_s())
    outcome = store.run(peer.membership.renew_for_peer(request), peer.clock)
    cut_off.clock.time_s += 2
    cut_off.membership.handle_renewal_outcome(outcome)
    assert cut_off.may_serve()
    cut_off.clock.time_s += LEASE_S - 2
    assert not cut_off.may_serve()


def test_a_peer_does_not_renew_on_an_old_generation():
    store = FakeStore()
    cut_off, peer = EntryVm(store, "e1", 7), EntryVm(store, "e2", 8)
    cut_off.follow()
    request = cut_off.membership.request_renewal(0.0)
    commit(store, "a")
    outcome = store.run(peer.membership.renew_for_peer(request), peer.clock)
    assert (outcome.is_applied, outcome.head_generation) == (False, 1)


def test_generations_stay_and_the_lease_lapses_while_the_object_store_is_down():
    store = FakeStore()
    vm = EntryVm(store)
    vm.follow()
    commit(store, "a")
    store.choose_fault = lambda call: (
        Fault.REFUSED if isinstance(call, GetObject) else Fault.NONE
    )
    vm.clock.time_s = LEASE_S / 2
    with pytest.raises(StoreUnreachableError):
        vm.follow()
    assert vm.configuration.fleet.generation == 0
    assert vm.may_serve()
    vm.clock.time_s = LEASE_S
    assert not vm.may_serve()


def test_every_part_follows_a_fleet_before_the_row_states_it():
    store = FakeStore()
    vm = EntryVm(store)
    vm.follow()
    commit(store, "a")
    stated = []
    key = entry_vm_key(vm.membership.row.entry_vm, vm.membership.row.incarnation)
    vm.configuration.on_apply(
        lambda: stated.append(store.rows[key].record.applied_generation)
    )
    vm.follow()
    assert stated == [0]
    assert store.rows[key].record.applied_generation == 1


def test_a_slow_read_of_the_head_does_not_shorten_the_wait():
    store = FakeStore()
    late, observer = EntryVm(store, "e1", 7), EntryVm(store, "e2", 8)
    late.follow()
    commit(store, "a")
    following = observer.membership.follow_head()
    call = next(following)
    while not isinstance(call, ReadRow):
        call = following.send(store.answer(call, observer.clock))
    reply = store.answer(call, observer.clock)
    observer.clock.time_s = 5.0
    call = following.send(reply)
    with pytest.raises(StopIteration):
        while True:
            call = following.send(store.answer(call, observer.clock))
    wait_s = observer.head_observer.wait_s(late.membership.row, 5.0)
    assert wait_s == observer_wait_s(LEASE_S)
