"""Cleanup of expired rows and old generations."""

from __future__ import annotations

import currantstage.coordination.notes._cleanup as cleanup_module
from currantstage.coordination.notes import REMOVAL_DELAY_S, Acceptance, Cleanup
from currantstage.coordination.store import CIRCUIT_OPEN_S, DutyLeases, observer_wait_s
from currantstage.state import (
    DEFAULT_CONFIG_LEASE_S,
    DutyKind,
    EntryVmId,
    IncarnationId,
    NoteId,
    ObjectName,
    entry_vm_key,
    note_key,
)
from tests.coordination.test_config_lease import EntryVm, commit
from tests.fakes import FakeStore

REMOVAL_S = observer_wait_s(DEFAULT_CONFIG_LEASE_S) + REMOVAL_DELAY_S
STOPPED_KEY = entry_vm_key(EntryVmId("e1"), IncarnationId("start-7"))


class CleanupHolder:
    """An entry VM that holds the cleanup duty."""

    def __init__(self, store):
        self.vm = EntryVm(store, "e2", 8)
        row = self.vm.membership.row
        self.leases = DutyLeases(self.vm.access, row.entry_vm, row.incarnation)
        self.duty = Cleanup(self.vm.access)

    def step(self):
        vm = self.vm
        vm.store.run(self.leases.renew_or_acquire([DutyKind.CLEANUP]), vm.clock)
        grant = self.leases.grant(DutyKind.CLEANUP, vm.clock.now_s())
        vm.store.run(self.duty.step(grant), vm.clock)


def test_row_is_deleted_only_after_its_lease_and_the_removal_delay():
    store = FakeStore()
    stopped, holder = EntryVm(store, "e1", 7), CleanupHolder(store)
    stopped.follow()
    holder.step()
    holder.vm.clock.time_s += REMOVAL_S - 0.001
    holder.step()
    assert STOPPED_KEY in store.rows
    holder.vm.clock.time_s += 0.001
    holder.step()
    assert STOPPED_KEY not in store.rows


def test_resumed_entry_vm_recreates_its_row():
    store = FakeStore()
    paused, holder = EntryVm(store, "e1", 7), CleanupHolder(store)
    paused.follow()
    holder.step()
    holder.vm.clock.time_s += REMOVAL_S
    holder.step()
    paused.clock.time_s += REMOVAL_S
    assert not paused.may_serve()
    paused.follow()
    assert STOPPED_KEY in store.rows
    assert paused.may_serve()


def test_old_generations_are_deleted_with_their_note_rows(monkeypatch):
    monkeypatch.setattr(cleanup_module, "MAX_KEPT_GENERATIONS", 1)
    store = FakeStore()
    holder = CleanupHolder(store)
    for seed, name in enumerate(("a", "b", "c"), start=1):
        commit(store, name, seed)
    conflicting = ObjectName("generation/000000000001/overtaken")
    store.objects[conflicting] = store.objects[min(store.objects)]
    holder.vm.follow()
    holder.vm.clock.time_s += CIRCUIT_OPEN_S
    access = holder.vm.access
    acceptance = Acceptance(access, holder.vm.configuration, holder.vm.head_observer)
    assert store.run(acceptance.progress(3), holder.vm.clock).is_accepted
    holder.step()
    assert [int(name.split("/")[1]) for name in sorted(store.objects)] == [2, 3]
    assert note_key(NoteId("add-a")) not in store.rows
    assert note_key(NoteId("add-b")) in store.rows
