"""Upper limits divided among entry VMs, in the presence of failures."""

from __future__ import annotations

import pytest

from currantstage.coordination import StoreUnreachableError, WriteUncertainError
from currantstage.coordination.limits import (
    MAX_VM_LIST_LAG_S,
    AllotmentLimitCheck,
    AllotmentTransfer,
    ReclaimReport,
    SettlementOutcome,
    allotted_slots,
    resources_above_limit,
)
from currantstage.coordination.membership import LeaseContinuity
from currantstage.coordination.store import Transact, observer_wait_s
from currantstage.state import (
    ABSENT,
    FLEET_SCOPE,
    EntryVmRow,
    Fleet,
    IncarnationId,
    RowWrite,
    Team,
    TeamId,
    entry_vm_key,
    holder_key,
)
from tests.allotments import TEAM, WORK_S, Site
from tests.fakes import Fault, make_store_access


def held(node):
    return node.account.held_slots(TEAM)


def wait_for_quarantine(site, node):
    """Reclaim after the quarantine of every dead holder has passed."""
    node.reclaim()
    site.now_s += observer_wait_s(WORK_S + MAX_VM_LIST_LAG_S)
    node.reclaim()


def reclaim_all(site, node):
    wait_for_quarantine(site, node)
    for each in site.nodes.values():
        each.settle()
    report = node.reclaim()
    for each in site.nodes.values():
        each.settle()
    return report


def test_first_settlements_divide_the_limit():
    nodes = Site().start_all(4)
    assert [held(node) for node in nodes] == [2, 2, 2, 2]


def test_nothing_starts_before_the_table_has_confirmed():
    site = Site()
    node = site.start("e0")
    assert not node.acquire()
    node.settle()
    assert node.acquire()


def test_a_limit_of_one_is_usable_in_full_from_any_of_eight_entry_vms():
    site = Site({TEAM: 1})
    nodes = site.start_all(8)
    for node in nodes:
        for _ in range(4):
            if node.acquire():
                break
            node.request_slots()
            site.deliver_all()
            site.now_s += 0.05
        assert node.account.running_slots(TEAM) == 1
        assert site.running() == 1
        node.release()


def test_a_contended_slot_alternates_between_holders():
    site = Site({TEAM: 1})
    first, second = site.start_all(2)
    served = {first: 0, second: 0}
    for _ in range(200):
        for node in (first, second):
            if node.acquire():
                served[node] += 1
            node.request_slots()
        site.deliver_all()
        assert site.running() <= 1
        for node in (first, second):
            if node.account.running_slots(TEAM):
                node.release()
        site.deliver_all()
        site.now_s += 0.05
    assert min(served.values()) >= 50


def test_idle_slots_are_rebalanced_before_a_disconnection():
    site = Site()
    nodes = site.start_all(4)
    for _ in range(4):
        for node in nodes:
            node.rebalance()
        site.deliver_all()
        site.now_s += 2.0
    assert [held(node) for node in nodes] == [2, 2, 2, 2]


def send_some_slots(site, sender, receiver):
    """Let `sender` send some slots; return the transfer, not yet delivered."""
    for _ in range(held(receiver) + 1):
        receiver.acquire()
    receiver.request_slots()
    while not isinstance(site.network[-1][2], AllotmentTransfer):
        site.deliver()
    return site.network[-1]


def test_a_lost_transfer_is_resent_and_a_duplicate_counts_once():
    site = Site()
    sender, receiver = site.start_all(2)
    transfer = send_some_slots(site, sender, receiver)
    moved = transfer[2].sent_slots[TEAM]
    before = held(sender), held(receiver)
    site.network.clear()
    assert sum(before) == 8 - moved
    sender.resend_transfers()
    assert site.network == [transfer]
    site.network *= 3
    site.deliver_all()
    assert (held(sender), held(receiver)) == (before[0], before[1] + moved)
    sender.resend_transfers()
    assert not site.network


def test_reordered_transfers_end_with_the_same_totals():
    site = Site({TEAM: 64})
    sender, receiver = site.start_all(2)
    for _ in range(32):
        assert sender.acquire()
    transfers = []
    for _ in range(3):
        sender.release()
        send_some_slots(site, sender, receiver)
        transfers.append(site.network.pop())
        site.network.clear()
        site.now_s += 3
    assert held(sender) + held(receiver) < 64
    site.network[:] = [transfers[2], transfers[0], transfers[1]]
    site.deliver_all()
    assert held(sender) + held(receiver) == 64


def test_a_restarted_receiver_rejects_transfers_to_its_earlier_incarnation():
    site = Site()
    sender, receiver = site.start_all(2)
    send_some_slots(site, sender, receiver)
    restarted = site.start("e1", start=2)
    restarted.settle()
    site.deliver_all()
    assert held(restarted) == 0


@pytest.mark.parametrize("is_delivered", [True, False])
def test_crash_of_the_sender_neither_loses_nor_duplicates_slots(is_delivered):
    """The table still shows the slots that the dead sender had transferred."""
    site = Site()
    sender, receiver = site.start_all(2)
    send_some_slots(site, sender, receiver)
    if is_delivered:
        site.deliver_all()
    late = list(site.network)
    site.drop_vm(sender.peer.entry_vm)
    reclaim_all(site, receiver)
    site.network += late
    site.deliver_all()
    assert site.held_or_free() == 8


@pytest.mark.parametrize("is_delivered", [True, False])
def test_crash_of_the_receiver_neither_loses_nor_duplicates_slots(is_delivered):
    site = Site()
    sender, receiver = site.start_all(2)
    send_some_slots(site, sender, receiver)
    if is_delivered:
        site.deliver_all()
    site.drop_vm(receiver.peer.entry_vm)
    reclaim_all(site, sender)
    site.deliver_all()
    assert site.held_or_free() == 8


def test_two_peers_that_crash_after_a_transfer_are_reclaimed_together():
    site = Site()
    sender, receiver, third = site.start_all(3)
    send_some_slots(site, sender, receiver)
    site.deliver_all()
    site.drop_vm(sender.peer.entry_vm)
    site.drop_vm(receiver.peer.entry_vm)
    reclaim_all(site, third)
    assert site.held_or_free() == 8


def retire_sender_after_transfer(site):
    """Let a dead sender be retired while a live receiver has slots from it."""
    sender, receiver, third = site.start_all(3)
    send_some_slots(site, sender, receiver)
    site.deliver_all()
    site.drop_vm(sender.peer.entry_vm)
    wait_for_quarantine(site, third)
    assert site.ledger.retired == (sender.peer.incarnation,)
    receiver.settle()
    return receiver, third


def test_a_holder_that_crashes_before_its_peer_is_reclaimed_is_counted_with_it():
    site = Site()
    receiver, third = retire_sender_after_transfer(site)
    site.drop_vm(receiver.peer.entry_vm)
    wait_for_quarantine(site, third)
    assert len(site.ledger.retired) == 2
    third.settle()
    third.reclaim()
    assert site.ledger.retired == ()
    assert site.held_or_free() == 8


def test_slots_received_from_a_reclaimed_peer_are_reclaimed_from_the_receiver():
    site = Site()
    receiver, third = retire_sender_after_transfer(site)
    third.settle()
    third.reclaim()
    assert site.ledger.retired == ()
    site.drop_vm(receiver.peer.entry_vm)
    reclaim_all(site, third)
    assert site.held_or_free() == 8


def test_no_holder_is_added_while_retired_holders_are_counted():
    site = Site()
    _, third = retire_sender_after_transfer(site)
    third.settle()
    reclaiming = third.begin_reclaim()
    call = next(reclaiming)
    while not isinstance(call, Transact):
        call = reclaiming.send(site.store.answer(call))
    late = site.start("e3")
    late.settle()
    with pytest.raises(StopIteration) as stop:
        reclaiming.send(site.store.answer(call))
    assert stop.value.value.reclaimed == ()


def test_neither_busy_slots_nor_slots_for_closed_peers_are_sent():
    site = Site()
    node, peer = site.start_all(2)
    node.account.close_peers([IncarnationId("closed")])
    assert not node.account.send(IncarnationId("closed"), TEAM, 1)
    while node.acquire():
        pass
    assert not node.account.send(peer.peer.incarnation, TEAM, 1)
    node.release()
    assert not node.account.send(peer.peer.incarnation, TEAM, 2)
    assert node.account.send(peer.peer.incarnation, TEAM, 1)


def test_a_cut_off_holder_keeps_its_slots_and_delays_reclaiming():
    site = Site()
    disconnected, dead, third = site.start_all(3)
    site.drop_vm(dead.peer.entry_vm)
    wait_for_quarantine(site, third)
    third.settle()
    report = third.reclaim()
    assert report.waiting_for == (disconnected.peer.entry_vm,)
    assert disconnected.acquire()
    disconnected.settle()
    assert third.reclaim().reclaimed == (dead.peer.incarnation,)


def test_slots_of_a_dead_holder_are_withheld_while_its_work_may_run():
    site = Site()
    dead, other = site.start_all(2)
    site.drop_vm(dead.peer.entry_vm)
    other.reclaim()
    site.now_s += WORK_S
    assert other.reclaim().retired == ()
    site.now_s += WORK_S
    assert other.reclaim().retired == (dead.peer.incarnation,)


def test_a_restart_reuses_no_slots_until_work_of_its_earlier_incarnation_has_ended():
    site = Site({TEAM: 4})
    (before,) = site.start_all(1)
    while before.acquire():
        pass
    after = site.start("e0", start=2)
    after.settle()
    after.reclaim()
    assert not after.acquire()
    reclaim_all(site, after)
    assert held(after) == 4


def test_a_holder_presumed_dead_closes_its_account():
    site = Site()
    presumed_dead, other = site.start_all(2)
    site.listed.discard(presumed_dead.peer.entry_vm)
    wait_for_quarantine(site, other)
    other.settle()
    assert other.reclaim().reclaimed == (presumed_dead.peer.incarnation,)
    assert presumed_dead.settle() is SettlementOutcome.RETIRED
    assert not presumed_dead.acquire()


def write_membership(site, node, generation=0):
    row = EntryVmRow(
        entry_vm=node.peer.entry_vm,
        incarnation=node.peer.incarnation,
        data_centre="a",
        http_address="",
        peer_address="",
        applied_generation=generation,
        config_lease_s=10.0,
    )
    key = entry_vm_key(row.entry_vm, row.incarnation)
    version = site.store.rows[key].version if key in site.store.rows else ABSENT
    write = RowWrite(key=key, expected_version=version, record=row)
    site.store.run(make_store_access(generation).transact([write]))
    site.memberships[row.incarnation] = site.store.rows[key]


def test_an_unlisted_holder_is_not_dead_while_it_renews_its_lease():
    site = Site()
    renewing, other = site.start_all(2)
    site.listed.discard(renewing.peer.entry_vm)
    for step in range(12):
        write_membership(site, renewing, step)
        site.now_s += 9.0
        assert other.reclaim() == ReclaimReport()


def test_a_holder_that_renews_while_it_is_being_retired_is_not_retired():
    site = Site()
    paused, other = site.start_all(2)
    write_membership(site, paused)
    site.listed.discard(paused.peer.entry_vm)
    for _ in range(7):
        other.reclaim()
        site.now_s += 10.0
    reclaiming = other.begin_reclaim()
    call = next(reclaiming)
    while not isinstance(call, Transact):
        call = reclaiming.send(site.store.answer(call))
    write_membership(site, paused, 1)
    with pytest.raises(StopIteration):
        reclaiming.send(site.store.answer(call))
    assert site.ledger.retired == ()


def test_a_pause_past_the_lease_requires_reading_the_ledger():
    continuity = LeaseContinuity()
    assert not continuity.is_continuous(0.0, 10.0)
    continuity.settled(10.0)
    assert continuity.is_continuous(9.0, 15.0)
    assert continuity.is_continuous(14.0, 20.0)
    # Paused; afterwards the lease is renewed before anything else happens.
    assert not continuity.is_continuous(21.0, 31.0)
    continuity.settled(31.0)
    assert continuity.is_continuous(30.0, 31.0)


def test_a_lowered_limit_removes_idle_slots_first_and_the_rest_as_work_ends():
    site = Site()
    nodes = site.start_all(2)
    busy = max(nodes, key=held)
    running = 0
    while busy.acquire():
        running += 1
    site.set_limit(2)
    for node in nodes * 3:
        node.settle()
    assert allotted_slots(site.ledger, TEAM) == max(2, running)
    assert not busy.acquire()
    while running:
        busy.release()
        running -= 1
        for node in nodes * 3:
            node.settle()
        assert allotted_slots(site.ledger, TEAM) == max(2, running)
    assert resources_above_limit(site.ledger, site.limits) == ()


def test_an_older_configuration_does_not_restore_an_old_limit():
    site = Site()
    old, new = site.start_all(2)
    old_generation, old_limits = old.generation, dict(old.limits)
    site.set_limit(2)
    new.settle()
    old.generation, old.limits = old_generation, old_limits
    old.settle()
    assert site.ledger.generation == site.generation
    assert allotted_slots(site.ledger, TEAM) < 8


def test_a_lowered_limit_is_in_force_only_once_the_total_has_fallen():
    site = Site()
    nodes = site.start_all(2)
    for node in nodes:
        while node.acquire():
            pass
    team = Team(team_id=TeamId("t"), share=1.0, upper_limit_slots=3)
    site.set_limit(3)
    fleet = Fleet(generation=site.generation, teams={team.team_id: team})
    check = AllotmentLimitCheck(make_store_access())
    assert site.store.run(check.teams_over_limit(fleet)) == ("t",)
    for running in range(8, 3, -1):
        assert site.running() == running
        assert site.store.run(check.teams_over_limit(fleet)) == ("t",)
        next(node for node in nodes if node.account.is_busy).release()
        for node in nodes * 2:
            node.settle()
    assert site.store.run(check.teams_over_limit(fleet)) == ()
    assert site.running() == 3


def test_a_late_settlement_does_not_restore_a_limit_lowered_by_an_accepted_note():
    """A settlement of the older generation is in progress while the note is checked."""
    site = Site({TEAM: 8})
    late = site.start("e0")
    settlement = late.begin_settle()
    call = next(settlement)
    while not isinstance(call, Transact):
        call = settlement.send(site.store.answer(call))
    team = Team(team_id=TeamId("t"), share=1.0, upper_limit_slots=3)
    site.set_limit(3)
    fleet = Fleet(generation=site.generation, teams={team.team_id: team})
    check = AllotmentLimitCheck(make_store_access())
    assert site.store.run(check.teams_over_limit(fleet)) == ()
    settlement.send(site.store.answer(call))
    assert allotted_slots(site.ledger, TEAM) == 3


def test_work_longer_than_the_row_states_is_refused():
    site = Site()
    (node,) = site.start_all(1)
    assert not node.account.try_acquire(TEAM, WORK_S + 1)
    assert node.account.try_acquire(TEAM, WORK_S)


def fail_writes(site, fault):
    site.store.choose_fault = lambda call: (
        fault if isinstance(call, Transact) else Fault.NONE
    )


def test_returned_slots_stay_unused_until_the_outcome_is_certain():
    site = Site()
    (node,) = site.start_all(1)
    site.set_limit(2)
    site.store.choose_fault = lambda call: (
        Fault.REPLY_LOST if isinstance(call, Transact) else Fault.REFUSED
    )
    with pytest.raises(StoreUnreachableError):
        node.settle()
    reads = iter([Fault.NONE, Fault.NONE])
    site.store.choose_fault = lambda call: (
        Fault.REPLY_LOST if isinstance(call, Transact) else next(reads, Fault.REFUSED)
    )
    with pytest.raises(WriteUncertainError):
        node.settle()
    assert held(node) == 2
    site.store.choose_fault = lambda call: Fault.NONE
    node.settle()
    assert held(node) == allotted_slots(site.ledger, TEAM) == 2


def test_writes_with_lost_responses_are_read_back():
    site = Site()
    fail_writes(site, Fault.REPLY_LOST)
    nodes = site.start_all(3)
    assert sum(map(held, nodes)) == 8
    assert site.ledger.free_slots == {}


def test_an_outage_of_the_store_stops_neither_work_nor_transfers():
    site = Site()
    sender, receiver = site.start_all(2)
    site.store.choose_fault = lambda call: Fault.REFUSED
    with pytest.raises(StoreUnreachableError):
        receiver.settle()
    send_some_slots(site, sender, receiver)
    site.deliver_all()
    assert receiver.acquire()


def test_a_planned_stop_returns_all_slots():
    site = Site()
    leaving, other = site.start_all(2)
    assert site.store.run(leaving.settlement.leave())
    other.settle()
    del site.nodes["e0"]
    other.reclaim()
    other.settle()
    assert site.held_or_free() == 8
    assert holder_key(FLEET_SCOPE, leaving.peer.incarnation) not in site.store.rows


def test_nothing_is_written_while_nothing_changes():
    site = Site()
    nodes = site.start_all(3)
    send_some_slots(site, nodes[0], nodes[1])
    site.deliver_all()
    site.store.calls.clear()
    assert [node.settle() for node in nodes] == [SettlementOutcome.UNCHANGED] * 3
    assert not any(isinstance(call, Transact) for call in site.store.calls)


def test_a_late_request_of_a_reclaimed_holder_gets_no_slots():
    """Slots sent to it would stay deducted for as long as the sender lives."""
    site = Site()
    first, requester, third = site.start_all(3)
    for _ in range(held(requester) + 1):
        requester.acquire()
    requester.request_slots()
    late = [(sender, message) for sender, _, message in site.network]
    site.network.clear()
    site.drop_vm(requester.peer.entry_vm)
    wait_for_quarantine(site, first)
    for node in (first, third, first):
        node.settle()
        node.reclaim()
    assert site.ledger.reclaims == 1
    started = site.start("e3")
    started.settle()
    site.set_limit(32)
    for node in (first, started, third):
        node.settle()
    assert started.account.idle_slots(TEAM) > 0
    for sender, message in late:
        started.handle(sender, message)
    assert not site.network
