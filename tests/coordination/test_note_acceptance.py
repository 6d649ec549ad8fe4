"""Acceptance: each row states the generation, or its lease has certainly expired."""

from __future__ import annotations

import pytest

from currantstage.coordination.notes import Acceptance
from currantstage.coordination.store import MAX_CLOCK_DRIFT, observer_wait_s
from currantstage.state import ACCEPTED_KEY, DEFAULT_CONFIG_LEASE_S, EntryVmId, TeamId
from tests.coordination.test_config_lease import EntryVm, commit
from tests.fakes import FakeStore

LEASE_S = DEFAULT_CONFIG_LEASE_S


class FixedLimits:
    """An `UpperLimitCheck` with a fixed result."""

    def __init__(self, *teams):
        self.teams = teams

    def teams_over_limit(self, fleet):
        yield from ()
        return self.teams


def fetch_progress(vm, generation=1, limits=None):
    acceptance = Acceptance(vm.access, vm.configuration, vm.head_observer, limits)
    return vm.store.run(acceptance.progress(generation), vm.clock)


def make_outdated_and_current():
    store = FakeStore()
    outdated, current = EntryVm(store, "e1", 7), EntryVm(store, "e2", 8)
    outdated.follow()
    current.follow()
    commit(store, "a")
    current.follow()
    return store, outdated, current


def test_acceptance_waits_for_and_reports_an_outdated_entry_vm():
    _, outdated, current = make_outdated_and_current()
    progress = fetch_progress(current)
    assert not progress.is_accepted
    assert progress.waiting_for == (EntryVmId("e1"),)
    assert progress.longest_wait_s == observer_wait_s(LEASE_S)
    outdated.follow()
    assert fetch_progress(current).is_accepted


def test_acceptance_waits_until_the_lease_of_a_partitioned_entry_vm_expires():
    _, outdated, current = make_outdated_and_current()
    outdated.clock.time_s += LEASE_S
    current.clock.time_s += observer_wait_s(LEASE_S) - 0.001
    assert fetch_progress(current).waiting_for == (EntryVmId("e1"),)
    current.clock.time_s += 0.001
    assert fetch_progress(current).is_accepted
    assert not outdated.may_serve()


def test_wait_covers_slow_holder_clock_and_fast_observer_clock():
    _, outdated, current = make_outdated_and_current()
    duration_s = 0.0
    while not fetch_progress(current).is_accepted:
        duration_s += 0.01
        outdated.clock.time_s = duration_s * (1 - MAX_CLOCK_DRIFT)
        current.clock.time_s = duration_s * (1 + MAX_CLOCK_DRIFT)
    assert not outdated.may_serve()


def test_lease_that_expired_under_an_earlier_note_is_not_waited_for_again():
    store, _, current = make_outdated_and_current()
    current.clock.time_s += observer_wait_s(LEASE_S)
    commit(store, "b", seed=2)
    current.follow()
    assert fetch_progress(current, 2).is_accepted


def test_recorded_acceptance_is_reported_by_every_entry_vm():
    store, _, current = make_outdated_and_current()
    current.clock.time_s += observer_wait_s(LEASE_S)
    assert fetch_progress(current).is_accepted
    new_member = EntryVm(store, "e3", 9)
    new_member.follow()
    assert fetch_progress(new_member).is_accepted
    assert store.rows[ACCEPTED_KEY].record.generation == 1


def test_acceptance_waits_for_teams_above_a_reduced_limit():
    _, outdated, current = make_outdated_and_current()
    outdated.follow()
    progress = fetch_progress(current, limits=FixedLimits(TeamId("north")))
    assert (progress.is_accepted, progress.waiting_for_teams) == (False, ("north",))
    assert fetch_progress(current, limits=FixedLimits()).is_accepted


def test_limits_are_not_checked_against_an_older_fleet():
    _, outdated, _ = make_outdated_and_current()
    assert not fetch_progress(outdated, limits=FixedLimits()).is_accepted


@pytest.mark.parametrize("is_restarted", [False, True])
def test_acceptance_waits_for_a_former_incarnation(is_restarted):
    store, outdated, current = make_outdated_and_current()
    if is_restarted:
        EntryVm(store, "e1", 9).follow()
    assert outdated.may_serve()
    assert fetch_progress(current).waiting_for == (EntryVmId("e1"),)
