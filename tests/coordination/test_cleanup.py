"""Cleanup of dead rows and old generations."""

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

DEATH_S = observer_wait_s(DEFAULT_CONFIG_LEASE_S) + REMOVAL_DELAY_S
DEAD_KEY = entry_vm_key(EntryVmId("e1"), IncarnationId("start-7"))


class Cleaner:
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


def test_only_rows_unchanged_for_longer_than_their_lease_are_deleted():
    store = FakeStore()
    dead, cleaner = EntryVm(store, "e1", 7), Cleaner(store)
    dead.follow()
    cleaner.step()
    cleaner.vm.clock.time_s += DEATH_S - 0.001
    cleaner.step()
    assert DEAD_KEY in store.rows
    cleaner.vm.clock.time_s += 0.001
    cleaner.step()
    assert DEAD_KEY not in store.rows


def test_an_entry_vm_that_comes_back_makes_its_row_again():
    store = FakeStore()
    paused, cleaner = EntryVm(store, "e1", 7), Cleaner(store)
    paused.follow()
    cleaner.step()
    cleaner.vm.clock.time_s += DEATH_S
    cleaner.step()
    paused.clock.time_s += DEATH_S
    assert not paused.may_serve()
    paused.follow()
    assert DEAD_KEY in store.rows
    assert paused.may_serve()


def test_old_generations_go_with_their_notes_and_the_head_stays(monkeypatch):
    monkeypatch.setattr(cleanup_module, "MAX_KEPT_GENERATIONS", 1)
    store = FakeStore()
    cleaner = Cleaner(store)
    for seed, name in enumerate(("a", "b", "c"), start=1):
        commit(store, name, seed)
    overtaken = ObjectName("generation/000000000001/overtaken")
    store.objects[overtaken] = store.objects[min(store.objects)]
    cleaner.vm.follow()
    cleaner.vm.clock.time_s += CIRCUIT_OPEN_S
    access = cleaner.vm.access
    acceptance = Acceptance(access, cleaner.vm.configuration, cleaner.vm.head_observer)
    assert store.run(acceptance.progress(3), cleaner.vm.clock).is_accepted
    cleaner.step()
    assert [int(name.split("/")[1]) for name in sorted(store.objects)] == [2, 3]
    assert note_key(NoteId("add-a")) not in store.rows
    assert note_key(NoteId("add-b")) in store.rows
