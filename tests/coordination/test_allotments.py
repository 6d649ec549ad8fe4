"""Upper limits divided among entry VMs, while things fail."""

from __future__ import annotations

import pytest

from currantstage.coordination import StoreUnreachableError, WriteUncertainError
from currantstage.coordination.limits import (
    LIST_LAG_S,
    AllotmentLimitCheck,
    AllotmentTransfer,
    ReclaimReport,
    Settled,
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
    return node.book.held_slots(TEAM)


def wait_out(site, node):
    """Let the quarantine of every dead holder pass, and reclaim."""
    node.reclaim()
    site.now_s += observer_wait_s(WORK_S + LIST_LAG_S)
    node.reclaim()


def reclaim_all(site, node):
    wait_out(site, node)
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
            node.ask()
            site.deliver_all()
            site.now_s += 0.05
        assert node.book.running_slots(TEAM) == 1
        assert site.running() == 1
        node.release()


def test_a_contended_slot_goes_round():
    site = Site({TEAM: 1})
    first, second = site.start_all(2)
    served = {first: 0, second: 0}
    for _ in range(200):
        for node in (first, second):
            if node.acquire():
                served[node] += 1
            node.ask()
        site.deliver_all()
        assert site.running() <= 1
        for node in (first, second):
            if node.book.running_slots(TEAM):
                node.release()
        site.deliver_all()
        site.now_s += 0.05
    assert min(served.values()) >= 50


def test_idle_slots_are_levelled_for_a_later_cut_off():
    site = Site()
    nodes = site.start_all(4)
    for _ in range(4):
        for node in nodes:
            node.level()
        site.deliver_all()
        site.now_s += 2.0
    assert [held(node) for node in nodes] == [2, 2, 2, 2]


def move_some(site, giver, taker):
    """Make `giver` send some slots; return the transfer, not yet delivered."""
    for _ in range(held(taker) + 1):
        taker.acquire()
    taker.ask()
    while not isinstance(site.network[-1][2], AllotmentTransfer):
        site.deliver()
    return site.network[-1]


def test_lost_transfer_is_repeated_and_a_doubled_one_counts_once():
    site = Site()
    giver, taker = site.start_all(2)
    transfer = move_some(site, giver, taker)
    moved = transfer[2].sent_slots[TEAM]
    before = held(giver), held(taker)
    site.network.clear()
    assert sum(before) == 8 - moved
    giver.repeat()
    assert site.network == [transfer]
    site.network *= 3
    site.deliver_all()
    assert (held(giver), held(taker)) == (before[0], before[1] + moved)
    giver.repeat()
    assert not site.network


def test_reordered_transfers_end_with_the_same_totals():
    site = Site({TEAM: 64})
    giver, taker = site.start_all(2)
    for _ in range(32):
        assert giver.acquire()
    transfers = []
    for _ in range(3):
        giver.release()
        move_some(site, giver, taker)
        transfers.append(site.network.pop())
        site.network.clear()
        site.now_s += 3
    assert held(giver) + held(taker) < 64
    site.network[:] = [transfers[2], transfers[0], transfers[1]]
    site.deliver_all()
    assert held(giver) + held(taker) == 64


def test_a_restarted_receiver_takes_nothing_meant_for_its_earlier_start():
    site = Site()
    giver, taker = site.start_all(2)
    move_some(site, giver, taker)
    restarted = site.start("e1", start=2)
    restarted.settle()
    site.deliver_all()
    assert held(restarted) == 0


@pytest.mark.parametrize("is_delivered", [True, False])
def test_crash_of_the_sender_loses_and_doubles_nothing(is_delivered):
    """The hazard: the table still shows what the dead sender had handed over."""
    site = Site()
    giver, taker = site.start_all(2)
    move_some(site, giver, taker)
    if is_delivered:
        site.deliver_all()
    late = list(site.network)
    site.drop_vm(giver.peer.entry_vm)
    reclaim_all(site, taker)
    site.network += late
    site.deliver_all()
    assert site.held_or_free() == 8


@pytest.mark.parametrize("is_delivered", [True, False])
def test_crash_of_the_receiver_loses_and_doubles_nothing(is_delivered):
    site = Site()
    giver, taker = site.start_all(2)
    move_some(site, giver, taker)
    if is_delivered:
        site.deliver_all()
    site.drop_vm(taker.peer.entry_vm)
    reclaim_all(site, giver)
    site.deliver_all()
    assert site.held_or_free() == 8


def test_two_that_traded_and_died_together_are_reclaimed_together():
    site = Site()
    giver, taker, third = site.start_all(3)
    move_some(site, giver, taker)
    site.deliver_all()
    site.drop_vm(giver.peer.entry_vm)
    site.drop_vm(taker.peer.entry_vm)
    reclaim_all(site, third)
    assert site.held_or_free() == 8


def trade_then_lose_giver(site):
    """Let a dead giver be retired, of which a living taker has slots."""
    giver, taker, third = site.start_all(3)
    move_some(site, giver, taker)
    site.deliver_all()
    site.drop_vm(giver.peer.entry_vm)
    wait_out(site, third)
    assert site.ledger.retired == (giver.peer.incarnation,)
    taker.settle()
    return taker, third


def test_a_holder_that_dies_before_another_is_reclaimed_is_counted_with_it():
    site = Site()
    taker, third = trade_then_lose_giver(site)
    site.drop_vm(taker.peer.entry_vm)
    wait_out(site, third)
    assert len(site.ledger.retired) == 2
    third.settle()
    third.reclaim()
    assert site.ledger.retired == ()
    assert site.held_or_free() == 8


def test_a_holder_that_dies_after_another_was_reclaimed_has_what_it_got_from_it():
    site = Site()
    taker, third = trade_then_lose_giver(site)
    third.settle()
    third.reclaim()
    assert site.ledger.retired == ()
    site.drop_vm(taker.peer.entry_vm)
    reclaim_all(site, third)
    assert site.held_or_free() == 8


def test_no_holder_appears_while_the_retired_are_being_counted():
    site = Site()
    _, third = trade_then_lose_giver(site)
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


def test_neither_busy_slots_nor_those_of_a_closed_trade_are_sent():
    site = Site()
    node, peer = site.start_all(2)
    node.book.close_peers([IncarnationId("closed")])
    assert not node.book.send(IncarnationId("closed"), TEAM, 1)
    while node.acquire():
        pass
    assert not node.book.send(peer.peer.incarnation, TEAM, 1)
    node.release()
    assert not node.book.send(peer.peer.incarnation, TEAM, 2)
    assert node.book.send(peer.peer.incarnation, TEAM, 1)


def test_a_cut_off_holder_keeps_its_slots_and_delays_reclaiming():
    site = Site()
    cut_off, dead, third = site.start_all(3)
    site.drop_vm(dead.peer.entry_vm)
    wait_out(site, third)
    third.settle()
    report = third.reclaim()
    assert report.waiting_for == (cut_off.peer.entry_vm,)
    assert cut_off.acquire()
    cut_off.settle()
    assert third.reclaim().reclaimed == (dead.peer.incarnation,)


def test_slots_of_the_dead_stay_away_while_their_work_may_run():
    site = Site()
    dead, other = site.start_all(2)
    site.drop_vm(dead.peer.entry_vm)
    other.reclaim()
    site.now_s += WORK_S
    assert other.reclaim().retired == ()
    site.now_s += WORK_S
    assert other.reclaim().retired == (dead.peer.incarnation,)


def test_a_restart_reuses_nothing_until_the_work_of_its_earlier_start_has_ended():
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


def test_a_holder_taken_for_dead_shuts_its_book():
    site = Site()
    zombie, other = site.start_all(2)
    site.listed.discard(zombie.peer.entry_vm)
    wait_out(site, other)
    other.settle()
    assert other.reclaim().reclaimed == (zombie.peer.incarnation,)
    assert zombie.settle() is Settled.RETIRED
    assert not zombie.acquire()


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


def test_a_holder_that_renews_its_lease_is_not_dead_though_the_list_says_so():
    site = Site()
    renewing, other = site.start_all(2)
    site.listed.discard(renewing.peer.entry_vm)
    for step in range(12):
        write_membership(site, renewing, step)
        site.now_s += 9.0
        assert other.reclaim() == ReclaimReport()


def test_a_holder_that_renews_while_it_is_being_retired_stays():
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


def test_a_pause_past_the_lease_asks_for_a_look_at_the_ledger():
    continuity = LeaseContinuity()
    assert not continuity.is_continuous(0.0, 10.0)
    continuity.settled(10.0)
    assert continuity.is_continuous(9.0, 15.0)
    assert continuity.is_continuous(14.0, 20.0)
    # Paused; on waking the lease is renewed before anything else happens.
    assert not continuity.is_continuous(21.0, 31.0)
    continuity.settled(31.0)
    assert continuity.is_continuous(30.0, 31.0)


def test_a_lowered_limit_takes_idle_slots_first_and_the_rest_as_work_ends():
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


def test_an_older_configuration_brings_no_old_limit_back():
    site = Site()
    old, new = site.start_all(2)
    old_generation, old_limits = old.generation, dict(old.limits)
    site.set_limit(2)
    new.settle()
    old.generation, old.limits = old_generation, old_limits
    old.settle()
    assert site.ledger.generation == site.generation
    assert allotted_slots(site.ledger, TEAM) < 8


def test_a_lowered_limit_holds_only_once_the_sum_has_shrunk():
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
        next(node for node in nodes if node.book.is_busy).release()
        for node in nodes * 2:
            node.settle()
    assert site.store.run(check.teams_over_limit(fleet)) == ()
    assert site.running() == 3


def test_no_late_settlement_brings_back_what_an_accepted_note_lowered():
    """A settlement of the older generation is under way while the note is checked."""
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


def test_work_longer_than_the_row_says_is_refused():
    site = Site()
    (node,) = site.start_all(1)
    assert not node.book.try_acquire(TEAM, WORK_S + 1)
    assert node.book.try_acquire(TEAM, WORK_S)


def lose_writes(site, fault):
    site.store.choose_fault = lambda call: (
        fault if isinstance(call, Transact) else Fault.NONE
    )


def test_slots_given_back_stay_unused_until_the_outcome_is_certain():
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


def test_lost_answers_are_read_back():
    site = Site()
    lose_writes(site, Fault.REPLY_LOST)
    nodes = site.start_all(3)
    assert sum(map(held, nodes)) == 8
    assert site.ledger.free_slots == {}


def test_an_outage_of_the_store_stops_neither_work_nor_transfers():
    site = Site()
    giver, taker = site.start_all(2)
    site.store.choose_fault = lambda call: Fault.REFUSED
    with pytest.raises(StoreUnreachableError):
        taker.settle()
    move_some(site, giver, taker)
    site.deliver_all()
    assert taker.acquire()


def test_a_planned_stop_hands_everything_back():
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
    move_some(site, nodes[0], nodes[1])
    site.deliver_all()
    site.store.calls.clear()
    assert [node.settle() for node in nodes] == [Settled.UNCHANGED] * 3
    assert not any(isinstance(call, Transact) for call in site.store.calls)


def test_a_late_ask_of_a_reclaimed_holder_gets_nothing():
    """What went to it would stay deducted for as long as the giver lives."""
    site = Site()
    first, asker, third = site.start_all(3)
    for _ in range(held(asker) + 1):
        asker.acquire()
    asker.ask()
    late = [(sender, message) for sender, _, message in site.network]
    site.network.clear()
    site.drop_vm(asker.peer.entry_vm)
    wait_out(site, first)
    for node in (first, third, first):
        node.settle()
        node.reclaim()
    assert site.ledger.reclaims == 1
    started = site.start("e3")
    started.settle()
    site.set_limit(32)
    for node in (first, started, third):
        node.settle()
    assert started.book.idle_slots(TEAM) > 0
    for sender, message in late:
        started.hear(sender, message)
    assert not site.network
