"""Drains, moves and maintenance of VMs, with failures at every stage."""

from __future__ import annotations

import pytest

from currantstage.coordination import StoreUnreachableError, WriteUncertainError
from currantstage.coordination.store import Transact
from currantstage.state import (
    Additions,
    Changes,
    DisruptionKind,
    PoolChange,
    PoolId,
    RebootStatus,
    VmChange,
    VmId,
    VmState,
    WaveId,
    Withdrawals,
)
from tests.fakes import Fault
from tests.fleet_harness import (
    TAKEOVER_S,
    EntryVm,
    FleetHarness,
    Holder,
    make_pool,
    make_vm,
    make_wave,
)

V1, V2, V3 = VmId("v1"), VmId("v2"), VmId("v3")
A, B = PoolId("a"), PoolId("b")


class CrashError(Exception):
    """Simulates a crash of the process at the current call."""


def make_harness(*, waves=(), **budget) -> FleetHarness:
    # Pool b has one VM, and a note may not set a budget above the pool's size.
    budget_b = {**budget, "max_unavailable": min(budget.get("max_unavailable", 1), 1)}
    pools = [make_pool("a", **budget), make_pool("b", **budget_b)]
    vms = [make_vm("v1", "a", "r1"), make_vm("v2", "a", "r2"), make_vm("v3", "b", "r1")]
    return FleetHarness(pools, vms, waves)


def move_by_note(harness: FleetHarness, vm: VmId, pool: PoolId) -> None:
    harness.submit_note(changed=Changes(vms=(VmChange(vm_id=vm, pool=pool),)))


def vm_states(harness: FleetHarness) -> dict[VmId, VmState]:
    return {vm: row.state for vm, row in harness.vms.items()}


def unavailable_vms(harness: FleetHarness, pool: PoolId) -> set[VmId]:
    budget = harness.budgets.get(pool)
    return set() if budget is None else set(budget.unavailable)


def test_added_vms_serve_in_their_pools():
    harness = make_harness()
    harness.run_cycles()
    assert set(vm_states(harness).values()) == {VmState.SERVING}
    assert harness.placement.serving == {A: (V1, V2), B: (V3,)}


def test_a_move_waits_for_the_acknowledgement_of_every_entry_vm():
    harness = make_harness()
    harness.run_cycles(2)
    first, second = harness.entry_vms
    assert first.start_request(V1)
    move_by_note(harness, V1, B)
    harness.run_cycles(5)
    row = harness.vms[V1]
    assert (row.state, row.pool) == (VmState.DRAINING, A)
    assert unavailable_vms(harness, A) == {V1}
    assert not second.start_request(V1)
    first.finish_requests()
    harness.run_cycles(2)
    row = harness.vms[V1]
    assert (row.state, row.pool, row.home) == (VmState.SERVING, B, B)
    assert not unavailable_vms(harness, A)
    assert harness.placement.serving == {A: (V2,), B: (V1, V3)}


def test_an_entry_vm_that_starts_during_a_drain_must_acknowledge_it():
    harness = make_harness()
    harness.run_cycles(2)
    move_by_note(harness, V1, B)
    harness.run_cycles()
    started_later = EntryVm(harness.store, "late", 3)
    assert not started_later.start_request(V1)
    harness.run_cycles(3)
    assert harness.vms[V1].state is VmState.DRAINING
    started_later.acknowledge()
    harness.run_cycles()
    assert harness.vms[V1].pool == B


def test_an_acknowledgement_of_an_earlier_drain_does_not_count():
    harness = make_harness()
    harness.run_cycles(2)
    entry_vm = harness.entry_vms[0]
    move_by_note(harness, V1, B)
    harness.run_cycles(2)
    assert harness.vms[V1].pool == B
    entry_vm.follow()
    entry_vm.start_request(V1)
    move_by_note(harness, V1, A)
    # The acknowledgements of the first drain are still in the table.
    for _ in range(3):
        harness.pass_time(6.0)
        harness.holder.step()
    assert (harness.vms[V1].state, harness.vms[V1].pool) == (VmState.DRAINING, B)


def test_vms_of_one_rack_are_maintained_one_at_a_time():
    vms = [make_vm(name, "a", "r1") for name in ("v1", "v2", "v3")]
    pool = make_pool("a", max_unavailable=3, max_unavailable_per_rack=1)
    harness = FleetHarness([pool], vms, [make_wave(["a"])])
    harness.store.reboot_status = lambda ticket: RebootStatus.PENDING
    harness.run_cycles(6)
    assert unavailable_vms(harness, A) == {V1}


def test_concurrent_moves_are_serialised_by_the_budget():
    harness = make_harness()
    harness.run_cycles(2)
    harness.entry_vms[0].start_request(V1)
    harness.entry_vms[0].start_request(V2)
    changes = tuple(VmChange(vm_id=vm, pool=B) for vm in (V1, V2))
    harness.submit_note(changed=Changes(vms=changes))
    harness.run_cycles(3)
    assert unavailable_vms(harness, A) == {V1}
    assert harness.vms[V2].state is VmState.SERVING
    harness.entry_vms[0].finish_requests()
    harness.run_cycles(6)
    assert harness.placement.serving == {B: (V1, V2, V3)}


def test_a_drain_that_times_out_is_abandoned_and_not_retried_at_once():
    harness = make_harness()
    harness.run_cycles(2)
    harness.entry_vms[0].start_request(V1)
    move_by_note(harness, V1, B)
    harness.run_cycles(40)
    row = harness.vms[V1]
    assert (row.state, row.pool) == (VmState.SERVING, A)
    assert not unavailable_vms(harness, A)


def test_a_withdrawn_vm_is_drained_then_removed():
    harness = make_harness()
    harness.run_cycles(2)
    harness.entry_vms[0].start_request(V1)
    harness.submit_note(withdrawn=Withdrawals(vms=(V1,)))
    harness.run_cycles(40)
    assert harness.vms[V1].state is VmState.DRAINING
    harness.entry_vms[0].finish_requests()
    harness.run_cycles(2)
    assert V1 not in harness.vms
    assert harness.placement.draining == {}


def test_withdrawal_of_a_moving_vm_overrides_the_move_and_releases_its_budget():
    harness = make_harness()
    harness.run_cycles(2)
    harness.entry_vms[0].start_request(V1)
    move_by_note(harness, V1, B)
    harness.run_cycles()
    harness.submit_note(withdrawn=Withdrawals(vms=(V1,)))
    harness.run_cycles()
    assert harness.vms[V1].disruption.kind is DisruptionKind.WITHDRAWAL
    assert not unavailable_vms(harness, A)
    harness.entry_vms[0].finish_requests()
    harness.run_cycles(2)
    assert V1 not in harness.vms


def test_a_vm_assigned_to_two_pools_in_succession_ends_in_the_last_one():
    harness = make_harness()
    harness.submit_note(added=Additions(pools=(make_pool("c"),)))
    harness.run_cycles(2)
    harness.entry_vms[0].start_request(V1)
    move_by_note(harness, V1, B)
    harness.run_cycles()
    move_by_note(harness, V1, PoolId("c"))
    harness.entry_vms[0].finish_requests()
    harness.run_cycles(6)
    assert harness.vms[V1].pool == PoolId("c")


def test_a_move_that_a_later_note_reverts_is_undone():
    harness = make_harness()
    harness.run_cycles(2)
    harness.entry_vms[0].start_request(V1)
    move_by_note(harness, V1, B)
    harness.run_cycles()
    move_by_note(harness, V1, A)
    harness.entry_vms[0].finish_requests()
    harness.run_cycles(6)
    assert (harness.vms[V1].pool, harness.vms[V1].home) == (A, A)


def test_a_vm_that_fails_while_draining_for_a_move_stays_and_counts_as_an_outage():
    harness = make_harness()
    harness.run_cycles(2)
    move_by_note(harness, V1, B)
    harness.holder.step()
    harness.fail(V1)
    harness.run_cycles(3)
    assert (harness.vms[V1].state, harness.vms[V1].pool) == (VmState.UNAVAILABLE, A)
    assert set(harness.budgets[A].outages) == {V1}
    harness.recover(V1)
    harness.run_cycles(4)
    assert harness.vms[V1].pool == B


def test_maintenance_respects_the_pool_and_rack_budgets():
    harness = make_harness(
        waves=[make_wave(["a", "b"])], max_unavailable=2, max_unavailable_per_rack=1
    )
    harness.store.reboot_status = lambda ticket: RebootStatus.PENDING
    harness.run_cycles(6)
    assert unavailable_vms(harness, A) == {V1, V2}
    assert unavailable_vms(harness, B) == {V3}
    harness.submit_note(added=Additions(vms=(make_vm("v4", "a", "r1"),)))
    harness.run_cycles(3)
    assert unavailable_vms(harness, A) == {V1, V2}


def test_outages_use_the_budget_and_the_wave_resumes_after_recovery():
    harness = make_harness(waves=[make_wave(["a"])])
    harness.run_cycles()
    harness.fail(V2)
    harness.run_cycles(6)
    assert unavailable_vms(harness, A) == {V2}
    assert not harness.store.reboots
    harness.recover(V2)
    harness.run_cycles(12)
    rounds = {vm: row.completed_rounds for vm, row in harness.vms.items()}
    assert rounds == {V1: {WaveId("w"): 1}, V2: {WaveId("w"): 1}, V3: {}}
    assert not unavailable_vms(harness, A)


def test_a_lowered_budget_rejects_an_earlier_plan():
    harness = make_harness(waves=[make_wave(["a"])])
    harness.run_cycles()
    grant = harness.holder.renew_or_acquire()
    step = harness.holder.duty.step(grant)
    call = next(step)
    while not isinstance(call, Transact):
        call = step.send(harness.store.answer(call, harness.holder.clock))
    harness.submit_note(
        changed=Changes(pools=(PoolChange(pool_id=A, max_unavailable=0),)),
    )
    with pytest.raises(StopIteration):
        while True:
            call = step.send(harness.store.answer(call, harness.holder.clock))
    assert not unavailable_vms(harness, A)


def test_a_vm_that_never_finishes_rebooting_blocks_only_its_own_budget():
    harness = make_harness(waves=[make_wave(["a", "b"])])
    harness.store.reboot_status = lambda ticket: (
        RebootStatus.PENDING if ticket.startswith("v1/") else RebootStatus.DONE
    )
    harness.run_cycles(20)
    assert harness.vms[V1].state is VmState.IN_MAINTENANCE
    assert unavailable_vms(harness, A) == {V1}
    assert harness.vms[V3].completed_rounds == {WaveId("w"): 1}
    harness.submit_note(withdrawn=Withdrawals(vms=(V1,)))
    harness.run_cycles(10)
    assert harness.vms[V2].completed_rounds == {WaveId("w"): 1}


def test_a_wave_starts_its_next_round_after_its_period():
    harness = make_harness(waves=[make_wave(["b"], period_s=1000)])
    harness.run_cycles(10)
    assert harness.vms[V3].completed_rounds == {WaveId("w"): 1}
    assert len(harness.store.reboots) == 1
    harness.pass_time(1000.0)
    harness.run_cycles(10)
    assert harness.vms[V3].completed_rounds == {WaveId("w"): 2}


def count_calls_of_complete_wave() -> int:
    harness = make_harness(waves=[make_wave(["a", "b"])])
    harness.run_cycles(15)
    return len(harness.store.calls)


@pytest.mark.parametrize("stopped_after", range(3, count_calls_of_complete_wave(), 7))
def test_a_new_holder_completes_the_work_of_one_that_crashed_at_any_call(stopped_after):
    harness = make_harness(waves=[make_wave(["a", "b"])])
    move_by_note(harness, V2, B)

    def crash(call):
        if len(harness.store.calls) >= stopped_after:
            raise CrashError
        return Fault.NONE

    harness.store.choose_fault = crash
    with pytest.raises(CrashError):
        harness.run_cycles(50)
    harness.store.choose_fault = lambda call: Fault.NONE
    harness.holder = Holder(harness.store, "h2", 12)
    harness.holder.step()
    harness.pass_time(TAKEOVER_S)
    harness.run_cycles(25)
    assert set(vm_states(harness).values()) == {VmState.SERVING}
    assert harness.vms[V2].pool == B
    assert all(row.completed_rounds for row in harness.vms.values())
    assert not unavailable_vms(harness, A)
    assert not unavailable_vms(harness, B)


def test_a_paused_holder_writes_nothing_after_another_has_taken_over():
    harness = make_harness(waves=[make_wave(["a"])])
    harness.run_cycles()
    paused_holder = harness.holder
    step = paused_holder.duty.step(paused_holder.renew_or_acquire())
    call = next(step)
    while not isinstance(call, Transact):
        call = step.send(harness.store.answer(call, paused_holder.clock))
    harness.holder = Holder(harness.store, "h2", 12)
    harness.holder.step()
    harness.pass_time(TAKEOVER_S)
    harness.holder.renew_or_acquire()
    before = dict(harness.store.rows)
    with pytest.raises(StopIteration):
        while True:
            call = step.send(harness.store.answer(call, paused_holder.clock))
    assert harness.store.rows == before


@pytest.mark.parametrize("period", range(2, 9))
def test_lost_responses_neither_repeat_nor_skip_a_step(period):
    harness = make_harness(waves=[make_wave(["a", "b"])])
    harness.run_cycles()
    transactions = 0

    def lose_response(call):
        nonlocal transactions
        if not isinstance(call, Transact):
            return Fault.NONE
        transactions += 1
        return Fault.NONE if transactions % period else Fault.REPLY_LOST

    harness.store.choose_fault = lose_response
    move_by_note(harness, V2, B)
    for _ in range(60):
        try:
            harness.run_cycles()
        except (StoreUnreachableError, WriteUncertainError):
            continue
    assert set(vm_states(harness).values()) == {VmState.SERVING}
    assert harness.vms[V2].pool == B
    assert {row.completed_rounds[WaveId("w")] for row in harness.vms.values()} == {1}
    assert len(harness.store.reboots) == 3


def test_a_vm_that_is_never_listed_counts_as_an_outage_after_the_grace_period():
    harness = make_harness()
    harness.fail(V2)
    harness.run_cycles()
    assert vm_states(harness)[V2] is VmState.SERVING
    harness.run_cycles(12)
    assert vm_states(harness)[V2] is VmState.UNAVAILABLE
    assert unavailable_vms(harness, A) == {V2}


def test_an_empty_list_is_ignored():
    harness = make_harness()
    harness.run_cycles(2)
    harness.store.vms = ()
    harness.run_cycles(20)
    assert set(vm_states(harness).values()) == {VmState.SERVING}
