"""The generation in force never decreases, and the row states it."""

from __future__ import annotations

from currantstage.coordination.membership import Configuration, HeadObserver, Membership
from currantstage.coordination.notes import commit_note
from currantstage.state import (
    DEFAULT_CONFIG_LEASE_S,
    FIRST_GENERATION,
    DataCentreId,
    EntryVmId,
    EntryVmRow,
    Fleet,
    Generation,
    IncarnationId,
    entry_vm_key,
)
from tests.coordination.test_note_commit import make_note
from tests.fakes import FakeStore, make_store_access


def make_membership(configuration, seed=7):
    row = EntryVmRow(
        entry_vm=EntryVmId("e1"),
        incarnation=IncarnationId(f"start-{seed}"),
        data_centre=DataCentreId("a"),
        http_address="127.0.0.1:1",
        peer_address="127.0.0.1:2",
        applied_generation=FIRST_GENERATION,
        config_lease_s=DEFAULT_CONFIG_LEASE_S,
    )
    return Membership(make_store_access(seed), configuration, HeadObserver(), row)


def key_of(membership):
    return entry_vm_key(membership.row.entry_vm, membership.row.incarnation)


def test_older_generation_is_ignored():
    configuration = Configuration()
    assert configuration.apply(Fleet(generation=Generation(5)))
    assert not configuration.apply(Fleet(generation=Generation(4)))
    assert configuration.fleet.generation == 5


def test_row_states_the_applied_generation():
    store = FakeStore()
    configuration = Configuration()
    membership = make_membership(configuration)
    store.run(membership.follow_head())
    store.run(commit_note(make_store_access(), make_note("a"), "a"))
    store.run(membership.follow_head())
    row = store.rows[key_of(membership)].record
    assert row.applied_generation == configuration.fleet.generation == 1


def test_leave_deletes_only_the_row_of_its_incarnation():
    store = FakeStore()
    first = make_membership(Configuration(), seed=1)
    second = make_membership(Configuration(), seed=2)
    store.run(first.follow_head())
    store.run(second.follow_head())
    store.run(first.leave())
    assert key_of(first) not in store.rows
    assert key_of(second) in store.rows
    store.run(second.leave())
    assert key_of(second) not in store.rows
