"""Pools, drains, moves and maintenance, with the failures that come in between."""

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
from tests.fleet_world import (
    TAKEOVER_S,
    EntryVm,
    FleetWorld,
    Holder,
    make_pool,
    make_vm,
    make_wave,
)

V1, V2, V3 = VmId("v1"), VmId("v2"), VmId("v3")
A, B = PoolId("a"), PoolId("b")


class CrashError(Exception):
    """Ends a procedure where it stands."""


def make_world(*, waves=(), **budget) -> FleetWorld:
    # Pool b has one VM, and a note may not give it a budget for more.
    budget_b = {**budget, "max_unavailable": min(budget.get("max_unavailable", 1), 1)}
    pools = [make_pool("a", **budget), make_pool("b", **budget_b)]
    vms = [make_vm("v1", "a", "r1"), make_vm("v2", "a", "r2"), make_vm("v3", "b", "r1")]
    return FleetWorld(pools, vms, waves)


def move_by_note(world: FleetWorld, vm: VmId, pool: PoolId) -> None:
    world.note(changed=Changes(vms=(VmChange(vm_id=vm, pool=pool),)))


def states(world: FleetWorld) -> dict[VmId, VmState]:
    return {vm: row.state for vm, row in world.vms.items()}


def unavailable(world: FleetWorld, pool: PoolId) -> set[VmId]:
    budget = world.budgets.get(pool)
    return set() if budget is None else set(budget.unavailable)


def test_noted_vms_serve_in_their_pools():
    world = make_world()
    world.turn()
    assert set(states(world).values()) == {VmState.SERVING}
    assert world.placement.serving == {A: (V1, V2), B: (V3,)}


def test_a_move_waits_for_every_entry_vm_and_then_changes_the_pool_once():
    world = make_world()
    world.turn(2)
    first, second = world.entry_vms
    assert first.start_request(V1)
    move_by_note(world, V1, B)
    world.turn(5)
    row = world.vms[V1]
    assert (row.state, row.pool) == (VmState.DRAINING, A)
    assert unavailable(world, A) == {V1}
    assert not second.start_request(V1)
    first.finish_requests()
    world.turn(2)
    row = world.vms[V1]
    assert (row.state, row.pool, row.home) == (VmState.SERVING, B, B)
    assert not unavailable(world, A)
    assert world.placement.serving == {A: (V2,), B: (V1, V3)}


def test_an_entry_vm_that_starts_during_a_drain_must_acknowledge_it_too():
    world = make_world()
    world.turn(2)
    move_by_note(world, V1, B)
    world.turn()
    late = EntryVm(world.store, "late", 3)
    assert not late.start_request(V1)
    world.turn(3)
    assert world.vms[V1].state is VmState.DRAINING
    late.acknowledge()
    world.turn()
    assert world.vms[V1].pool == B


def test_an_acknowledgement_of_an_earlier_drain_does_not_count():
    world = make_world()
    world.turn(2)
    entry_vm = world.entry_vms[0]
    move_by_note(world, V1, B)
    world.turn(2)
    assert world.vms[V1].pool == B
    entry_vm.follow()
    entry_vm.start_request(V1)
    move_by_note(world, V1, A)
    # The acknowledgements of the first drain are still in the table.
    for _ in range(3):
        world.pass_time(6.0)
        world.holder.step()
    assert (world.vms[V1].state, world.vms[V1].pool) == (VmState.DRAINING, B)


def test_vms_of_one_rack_go_one_after_the_other():
    vms = [make_vm(name, "a", "r1") for name in ("v1", "v2", "v3")]
    pool = make_pool("a", max_unavailable=3, max_unavailable_per_rack=1)
    world = FleetWorld([pool], vms, [make_wave(["a"])])
    world.store.reboot_status = lambda ticket: RebootStatus.PENDING
    world.turn(6)
    assert unavailable(world, A) == {V1}


def test_two_moves_at_once_wait_for_each_other_in_the_budget():
    world = make_world()
    world.turn(2)
    world.entry_vms[0].start_request(V1)
    world.entry_vms[0].start_request(V2)
    changes = tuple(VmChange(vm_id=vm, pool=B) for vm in (V1, V2))
    world.note(changed=Changes(vms=changes))
    world.turn(3)
    assert unavailable(world, A) == {V1}
    assert world.vms[V2].state is VmState.SERVING
    world.entry_vms[0].finish_requests()
    world.turn(6)
    assert world.placement.serving == {B: (V1, V2, V3)}


def test_a_drain_that_does_not_end_is_given_up_and_left_alone_for_a_while():
    world = make_world()
    world.turn(2)
    world.entry_vms[0].start_request(V1)
    move_by_note(world, V1, B)
    world.turn(40)
    row = world.vms[V1]
    assert (row.state, row.pool) == (VmState.SERVING, A)
    assert not unavailable(world, A)


def test_a_withdrawn_vm_is_drained_then_forgotten():
    world = make_world()
    world.turn(2)
    world.entry_vms[0].start_request(V1)
    world.note(withdrawn=Withdrawals(vms=(V1,)))
    world.turn(40)
    assert world.vms[V1].state is VmState.DRAINING
    world.entry_vms[0].finish_requests()
    world.turn(2)
    assert V1 not in world.vms
    assert world.placement.draining == {}


def test_a_note_that_withdraws_a_moving_vm_wins_and_gives_its_budget_back():
    world = make_world()
    world.turn(2)
    world.entry_vms[0].start_request(V1)
    move_by_note(world, V1, B)
    world.turn()
    world.note(withdrawn=Withdrawals(vms=(V1,)))
    world.turn()
    assert world.vms[V1].disruption.kind is DisruptionKind.WITHDRAWAL
    assert not unavailable(world, A)
    world.entry_vms[0].finish_requests()
    world.turn(2)
    assert V1 not in world.vms


def test_a_vm_noted_for_two_pools_in_a_row_ends_in_the_last_one():
    world = make_world()
    world.note(added=Additions(pools=(make_pool("c"),)))
    world.turn(2)
    world.entry_vms[0].start_request(V1)
    move_by_note(world, V1, B)
    world.turn()
    move_by_note(world, V1, PoolId("c"))
    world.entry_vms[0].finish_requests()
    world.turn(6)
    assert world.vms[V1].pool == PoolId("c")


def test_a_move_that_a_later_note_takes_back_is_undone():
    world = make_world()
    world.turn(2)
    world.entry_vms[0].start_request(V1)
    move_by_note(world, V1, B)
    world.turn()
    move_by_note(world, V1, A)
    world.entry_vms[0].finish_requests()
    world.turn(6)
    assert (world.vms[V1].pool, world.vms[V1].home) == (A, A)


def test_a_vm_that_dies_while_it_drains_for_a_move_stays_and_counts_as_an_outage():
    world = make_world()
    world.turn(2)
    move_by_note(world, V1, B)
    world.holder.step()
    world.fail(V1)
    world.turn(3)
    assert (world.vms[V1].state, world.vms[V1].pool) == (VmState.UNAVAILABLE, A)
    assert set(world.budgets[A].outages) == {V1}
    world.recover(V1)
    world.turn(4)
    assert world.vms[V1].pool == B


def test_maintenance_keeps_the_pool_and_rack_budgets():
    world = make_world(
        waves=[make_wave(["a", "b"])], max_unavailable=2, max_unavailable_per_rack=1
    )
    world.store.reboot_status = lambda ticket: RebootStatus.PENDING
    world.turn(6)
    assert unavailable(world, A) == {V1, V2}
    assert unavailable(world, B) == {V3}
    world.note(added=Additions(vms=(make_vm("v4", "a", "r1"),)))
    world.turn(3)
    assert unavailable(world, A) == {V1, V2}


def test_failures_use_up_the_budget_and_the_wave_goes_on_when_they_end():
    world = make_world(waves=[make_wave(["a"])])
    world.turn()
    world.fail(V2)
    world.turn(6)
    assert unavailable(world, A) == {V2}
    assert not world.store.reboots
    world.recover(V2)
    world.turn(12)
    rounds = {vm: row.completed_rounds for vm, row in world.vms.items()}
    assert rounds == {V1: {WaveId("w"): 1}, V2: {WaveId("w"): 1}, V3: {}}
    assert not unavailable(world, A)


def test_a_budget_lowered_by_a_note_stops_a_plan_made_before_it():
    world = make_world(waves=[make_wave(["a"])])
    world.turn()
    grant = world.holder.renew_or_acquire()
    step = world.holder.duty.step(grant)
    call = next(step)
    while not isinstance(call, Transact):
        call = step.send(world.store.answer(call, world.holder.clock))
    world.note(
        changed=Changes(pools=(PoolChange(pool_id=A, max_unavailable=0),)),
    )
    with pytest.raises(StopIteration):
        while True:
            call = step.send(world.store.answer(call, world.holder.clock))
    assert not unavailable(world, A)


def test_a_vm_that_never_comes_back_holds_its_budget_and_nothing_else():
    world = make_world(waves=[make_wave(["a", "b"])])
    world.store.reboot_status = lambda ticket: (
        RebootStatus.PENDING if ticket.startswith("v1/") else RebootStatus.DONE
    )
    world.turn(20)
    assert world.vms[V1].state is VmState.IN_MAINTENANCE
    assert unavailable(world, A) == {V1}
    assert world.vms[V3].completed_rounds == {WaveId("w"): 1}
    world.note(withdrawn=Withdrawals(vms=(V1,)))
    world.turn(10)
    assert world.vms[V2].completed_rounds == {WaveId("w"): 1}


def test_a_wave_begins_its_next_round_after_its_period():
    world = make_world(waves=[make_wave(["b"], period_s=1000)])
    world.turn(10)
    assert world.vms[V3].completed_rounds == {WaveId("w"): 1}
    assert len(world.store.reboots) == 1
    world.pass_time(1000.0)
    world.turn(10)
    assert world.vms[V3].completed_rounds == {WaveId("w"): 2}


def count_calls_of_a_whole_wave() -> int:
    world = make_world(waves=[make_wave(["a", "b"])])
    world.turn(15)
    return len(world.store.calls)


@pytest.mark.parametrize("stopped_after", range(3, count_calls_of_a_whole_wave(), 7))
def test_a_new_holder_finishes_what_a_dead_one_left_at_any_step(stopped_after):
    world = make_world(waves=[make_wave(["a", "b"])])
    move_by_note(world, V2, B)

    def crash(call):
        if len(world.store.calls) >= stopped_after:
            raise CrashError
        return Fault.NONE

    world.store.choose_fault = crash
    with pytest.raises(CrashError):
        world.turn(50)
    world.store.choose_fault = lambda call: Fault.NONE
    world.holder = Holder(world.store, "h2", 12)
    world.holder.step()
    world.pass_time(TAKEOVER_S)
    world.turn(25)
    assert set(states(world).values()) == {VmState.SERVING}
    assert world.vms[V2].pool == B
    assert all(row.completed_rounds for row in world.vms.values())
    assert not unavailable(world, A)
    assert not unavailable(world, B)


def test_a_holder_that_wakes_after_its_successor_changes_nothing():
    world = make_world(waves=[make_wave(["a"])])
    world.turn()
    sleeper = world.holder
    step = sleeper.duty.step(sleeper.renew_or_acquire())
    call = next(step)
    while not isinstance(call, Transact):
        call = step.send(world.store.answer(call, sleeper.clock))
    world.holder = Holder(world.store, "h2", 12)
    world.holder.step()
    world.pass_time(TAKEOVER_S)
    world.holder.renew_or_acquire()
    before = dict(world.store.rows)
    with pytest.raises(StopIteration):
        while True:
            call = step.send(world.store.answer(call, sleeper.clock))
    assert world.store.rows == before


@pytest.mark.parametrize("period", range(2, 9))
def test_lost_answers_neither_double_nor_lose_a_step(period):
    world = make_world(waves=[make_wave(["a", "b"])])
    world.turn()
    transactions = 0

    def lose_some(call):
        nonlocal transactions
        if not isinstance(call, Transact):
            return Fault.NONE
        transactions += 1
        return Fault.NONE if transactions % period else Fault.REPLY_LOST

    world.store.choose_fault = lose_some
    move_by_note(world, V2, B)
    for _ in range(60):
        try:
            world.turn()
        except (StoreUnreachableError, WriteUncertainError):
            continue
    assert set(states(world).values()) == {VmState.SERVING}
    assert world.vms[V2].pool == B
    assert {row.completed_rounds[WaveId("w")] for row in world.vms.values()} == {1}
    assert len(world.store.reboots) == 3


def test_a_vm_that_is_never_listed_counts_as_an_outage_after_a_grace():
    world = make_world()
    world.fail(V2)
    world.turn()
    assert states(world)[V2] is VmState.SERVING
    world.turn(12)
    assert states(world)[V2] is VmState.UNAVAILABLE
    assert unavailable(world, A) == {V2}


def test_an_empty_list_is_no_evidence_that_the_fleet_is_gone():
    world = make_world()
    world.turn(2)
    world.store.vms = ()
    world.turn(20)
    assert set(states(world).values()) == {VmState.SERVING}
