"""The configuration lease of an entry VM: expiry and renewal."""

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
    """The coordination objects of one entry VM, with its own clock."""

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


def test_keyed_work_requires_a_valid_lease():
    vm = EntryVm(FakeStore())
    assert not vm.may_serve()
    vm.follow()
    assert vm.may_serve()
    vm.clock.time_s += LEASE_S
    assert not vm.may_serve()


def test_lease_counts_from_before_the_renewal_was_sent():
    store = FakeStore()
    vm = EntryVm(store)
    procedure = vm.membership.follow_head()
    call = next(procedure)
    while not isinstance(call, Transact):
        call = procedure.send(store.answer(call, vm.clock))
    vm.clock.time_s += LEASE_S - 1
    reply = store.answer(call, vm.clock)
    with pytest.raises(StopIteration):
        procedure.send(reply)
    assert vm.may_serve()
    vm.clock.time_s += 1
    assert not vm.may_serve()


def test_renewal_delayed_beyond_the_next_commit_is_not_applied():
    store = FakeStore()
    vm = EntryVm(store)
    vm.follow()
    vm.clock.time_s += LEASE_S / 2
    procedure = vm.membership.follow_head()
    call = next(procedure)
    while not isinstance(call, Transact):
        call = procedure.send(store.answer(call, vm.clock))
    commit(store, "a")
    assert not store.answer(call, vm.clock).outcome.is_applied


def test_process_that_read_an_old_head_gets_no_lease():
    store = FakeStore()
    vm = EntryVm(store)
    procedure = vm.membership.follow_head()
    call = next(procedure)
    assert isinstance(call, ReadRow)
    old_head = store.answer(call, vm.clock)
    commit(store, "a")
    call = procedure.send(old_head)
    while not isinstance(call, Transact):
        call = procedure.send(store.answer(call, vm.clock))
    assert not store.answer(call, vm.clock).outcome.is_applied
    assert not vm.may_serve()


def test_shorter_lease_applies_when_its_renewal_is_sent():
    lease = ConfigLease()
    lease.confirm(lease.start_renewal(0.0, 60.0).number)
    lease.start_renewal(1.0, 5.0)
    assert lease.expiry_s == 6.0


def test_late_confirmation_does_not_extend_beyond_shorter_renewal():
    lease = ConfigLease()
    longer = lease.start_renewal(0.0, 60.0)
    shorter = lease.start_renewal(1.0, 5.0)
    lease.confirm(longer.number)
    assert lease.expiry_s == 6.0
    lease.confirm(shorter.number)
    lease.confirm(longer.number)
    assert lease.expiry_s == 6.0


def test_observer_uses_the_lease_length_in_the_row():
    store = FakeStore()
    outdated, observer = EntryVm(store, "e1", 7), EntryVm(store, "e2", 8)
    set_lease(store, 60.0, 1)
    outdated.follow()
    set_lease(store, 2.0, 2)
    observer.follow()
    row = outdated.membership.row
    assert observer.head_observer.wait_s(row, 0.0) == observer_wait_s(60.0)


def test_peer_renews_the_lease_of_a_partitioned_entry_vm():
    store = FakeStore()
    partitioned, peer = EntryVm(store, "e1", 7), EntryVm(store, "e2", 8)
    partitioned.follow()
    partitioned.clock.time_s = LEASE_S - 1
    request = partitioned.membership.request_renewal(partitioned.clock.now_s())
    outcome = store.run(peer.membership.renew_for_peer(request), peer.clock)
    partitioned.clock.time_s += 2
    partitioned.membership.handle_renewal_outcome(outcome)
    assert partitioned.may_serve()
    partitioned.clock.time_s += LEASE_S - 2
    assert not partitioned.may_serve()


def test_peer_does_not_renew_under_an_old_generation():
    store = FakeStore()
    partitioned, peer = EntryVm(store, "e1", 7), EntryVm(store, "e2", 8)
    partitioned.follow()
    request = partitioned.membership.request_renewal(0.0)
    commit(store, "a")
    outcome = store.run(peer.membership.renew_for_peer(request), peer.clock)
    assert (outcome.is_applied, outcome.head_generation) == (False, 1)


def test_lease_expires_and_generation_stays_during_object_store_outage():
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


def test_listeners_run_before_the_row_states_the_generation():
    store = FakeStore()
    vm = EntryVm(store)
    vm.follow()
    commit(store, "a")
    stated_generations = []
    key = entry_vm_key(vm.membership.row.entry_vm, vm.membership.row.incarnation)
    vm.configuration.on_apply(
        lambda: stated_generations.append(store.rows[key].record.applied_generation)
    )
    vm.follow()
    assert stated_generations == [0]
    assert store.rows[key].record.applied_generation == 1


def test_slow_read_of_the_head_does_not_shorten_the_wait():
    store = FakeStore()
    outdated, observer = EntryVm(store, "e1", 7), EntryVm(store, "e2", 8)
    outdated.follow()
    commit(store, "a")
    procedure = observer.membership.follow_head()
    call = next(procedure)
    while not isinstance(call, ReadRow):
        call = procedure.send(store.answer(call, observer.clock))
    reply = store.answer(call, observer.clock)
    observer.clock.time_s = 5.0
    call = procedure.send(reply)
    with pytest.raises(StopIteration):
        while True:
            call = procedure.send(store.answer(call, observer.clock))
    wait_s = observer.head_observer.wait_s(outdated.membership.row, 5.0)
    assert wait_s == observer_wait_s(LEASE_S)
