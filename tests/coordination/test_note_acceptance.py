"""Acceptance: every row shows the generation, or its lease has certainly lapsed."""

from __future__ import annotations

import pytest

from currantstage.coordination.notes import Acceptance
from currantstage.coordination.store import MAX_CLOCK_DRIFT, observer_wait_s
from currantstage.state import ACCEPTED_KEY, DEFAULT_CONFIG_LEASE_S, EntryVmId, TeamId
from tests.coordination.test_config_lease import EntryVm, commit
from tests.fakes import FakeStore

LEASE_S = DEFAULT_CONFIG_LEASE_S


class FixedLimits:
    """An `UpperLimitCheck` with a fixed answer."""

    def __init__(self, *teams):
        self.teams = teams

    def teams_over_limit(self, fleet):
        yield from ()
        return self.teams


def ask(vm, generation=1, limits=None):
    acceptance = Acceptance(vm.access, vm.configuration, vm.head_observer, limits)
    return vm.store.run(acceptance.progress(generation), vm.clock)


def make_late_and_prompt():
    store = FakeStore()
    late, prompt = EntryVm(store, "e1", 7), EntryVm(store, "e2", 8)
    late.follow()
    prompt.follow()
    commit(store, "a")
    prompt.follow()
    return store, late, prompt


def test_acceptance_waits_for_every_entry_vm_and_names_it():
    _, late, prompt = make_late_and_prompt()
    progress = ask(prompt)
    assert not progress.is_accepted
    assert progress.waiting_for == (EntryVmId("e1"),)
    assert progress.longest_wait_s == observer_wait_s(LEASE_S)
    late.follow()
    assert ask(prompt).is_accepted


def test_a_cut_off_entry_vm_is_waited_for_as_long_as_its_lease_and_no_longer():
    _, late, prompt = make_late_and_prompt()
    late.clock.time_s += LEASE_S
    prompt.clock.time_s += observer_wait_s(LEASE_S) - 0.001
    assert ask(prompt).waiting_for == (EntryVmId("e1"),)
    prompt.clock.time_s += 0.001
    assert ask(prompt).is_accepted
    assert not late.may_serve()


def test_the_wait_covers_a_slow_holder_and_a_fast_observer():
    _, late, prompt = make_late_and_prompt()
    duration_s = 0.0
    while not ask(prompt).is_accepted:
        duration_s += 0.01
        late.clock.time_s = duration_s * (1 - MAX_CLOCK_DRIFT)
        prompt.clock.time_s = duration_s * (1 + MAX_CLOCK_DRIFT)
    assert not late.may_serve()


def test_an_entry_vm_cut_off_before_an_earlier_note_is_not_waited_for_again():
    store, _, prompt = make_late_and_prompt()
    prompt.clock.time_s += observer_wait_s(LEASE_S)
    commit(store, "b", seed=2)
    prompt.follow()
    assert ask(prompt, 2).is_accepted


def test_acceptance_once_told_is_told_by_everybody():
    store, _, prompt = make_late_and_prompt()
    prompt.clock.time_s += observer_wait_s(LEASE_S)
    assert ask(prompt).is_accepted
    newcomer = EntryVm(store, "e3", 9)
    newcomer.follow()
    assert ask(newcomer).is_accepted
    assert store.rows[ACCEPTED_KEY].record.generation == 1


def test_acceptance_waits_until_lowered_limits_have_shrunk():
    _, late, prompt = make_late_and_prompt()
    late.follow()
    progress = ask(prompt, limits=FixedLimits(TeamId("north")))
    assert (progress.is_accepted, progress.waiting_for_teams) == (False, ("north",))
    assert ask(prompt, limits=FixedLimits()).is_accepted


def test_limits_are_not_judged_by_an_older_fleet():
    _, late, _ = make_late_and_prompt()
    assert not ask(late, limits=FixedLimits()).is_accepted


@pytest.mark.parametrize("is_second_start", [False, True])
def test_a_former_start_of_an_entry_vm_is_waited_for(is_second_start):
    store, late, prompt = make_late_and_prompt()
    if is_second_start:
        EntryVm(store, "e1", 9).follow()
    assert late.may_serve()
    assert ask(prompt).waiting_for == (EntryVmId("e1"),)
