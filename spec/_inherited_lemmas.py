"""Auxiliary invariants of the model of inherited worker leases."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from itertools import combinations

import z3

from spec._inherited_state import (
    ELSEWHERE,
    IN_DOUBT,
    LATE_ORDER_S,
    LONGEST_LEASE_S,
    ORDINARY_LEASE_S,
    PLACED,
    PROMPT_ORDER_S,
    STORED,
    UNPLACED,
    WAITING,
    InheritedLeases,
    LeaseEntry,
    Order,
    Scheduler,
    later,
)
from spec._ownership import FENCES_PER_TERM, OWNER_LEASE_S

_STORED_PHASES = (UNPLACED, PLACED, ELSEWHERE)
_PHASES = (WAITING, STORED, IN_DOUBT)


def lemmas(state: InheritedLeases) -> Mapping[str, z3.BoolRef]:
    """Return the auxiliary invariants, by name."""
    parts = {
        "terms, fences and times are ordered": _is_ordered,
        "incarnations are ordered": _is_incarnation_ordered,
        "deposed schedulers order nothing after the stated time": _is_expiry_stated,
        "a row without renewal binds its holder": _is_suspension_stored,
        "the task has one start": _has_one_start,
        "a listed run is in its incarnation": _is_listed_run_bound,
        "a synced incarnation rejects earlier orders": _is_fence_in_force,
        "the stored incarnation rejects earlier orders": _is_stored_fence_in_force,
        "an incarnation that has answered rejects earlier orders": _is_answer_in_force,
        "the entry covers every lease": _is_entry_sufficient,
        "a row on its way covers every lease": _is_row_write_sufficient,
        "the holder covers every lease": _is_holder_informed,
        "a run that was given up has ended": _has_released_run_ended,
    }
    return {name: part(state) for name, part in parts.items()}


def _is_ordered(state: InheritedLeases) -> z3.BoolRef:
    worker = state.worker
    parts = [
        state.now_s >= 0,
        state.written_s <= state.now_s,
        state.term >= 0,
        worker.fence >= 0,
        worker.fence < _fence_end(state.term),
        worker.until_s <= state.now_s + LONGEST_LEASE_S,
        z3.Implies(worker.is_running, state.now_s <= worker.until_s),
        z3.Or(*(state.placement.phase == each for each in _STORED_PHASES)),
        z3.Or(state.entry.is_renewed, state.entry.listed_s >= 0),
    ]
    for each in state.schedulers.values():
        parts += _scheduler_order(state, each)
    for one, other in combinations(state.schedulers.values(), 2):
        parts.append(z3.Implies(one.term > 0, one.term != other.term))
    return z3.And(*parts)


def _scheduler_order(state: InheritedLeases, each: Scheduler) -> list[z3.BoolRef]:
    has_fences = z3.And(each.term > 0, state.worker.fence < _fence_end(each.term))
    is_current = each.term == state.term
    parts = [
        z3.And(each.term >= 0, each.term <= state.term),
        z3.And(
            each.fence >= _first_fence(each.term), each.fence < _fence_end(each.term)
        ),
        each.confirmed_s <= state.now_s,
        z3.Implies(is_current, each.confirmed_s <= state.written_s),
        z3.Implies(each.term == 0, z3.Not(each.is_active)),
        z3.Implies(has_fences, state.worker.fence <= each.fence),
        z3.Or(*(each.phase == phase for phase in _PHASES)),
        each.granted_end_s >= 0,
        each.row_write.sent_s <= state.now_s,
        each.row_write.entry.listed_s >= 0,
    ]
    for order in each.orders:
        is_own = z3.And(
            each.term > 0,
            order.fence >= _first_fence(each.term),
            order.fence <= each.fence,
            order.sent_s <= state.now_s,
            order.incarnation <= each.incarnation,
            z3.Or(each.is_synced, order.incarnation < each.incarnation),
        )
        parts.append(z3.Implies(order.is_sent, is_own))
    return parts


def _is_incarnation_ordered(state: InheritedLeases) -> z3.BoolRef:
    current = state.worker.incarnation
    parts = [
        state.worker.listed_incarnation >= 1,
        state.worker.listed_incarnation <= current,
        state.placement.released_incarnation <= current,
        state.placement.incarnation <= current,
        state.entry.answered_incarnation <= current,
    ]
    for each in state.schedulers.values():
        parts += [
            z3.And(each.incarnation >= 0, each.incarnation <= current),
            each.released_incarnation <= current,
            each.run_incarnation <= current,
            each.answered_incarnation <= current,
            each.row_write.incarnation <= current,
            each.row_write.entry.answered_incarnation <= current,
        ]
    return z3.And(*parts)


def _is_expiry_stated(state: InheritedLeases) -> z3.BoolRef:
    parts = []
    for each in state.schedulers.values():
        is_deposed = z3.And(each.is_active, each.term < state.term)
        is_stated = each.confirmed_s + OWNER_LEASE_S <= state.earlier_orders_until_s
        parts.append(
            z3.Implies(z3.And(is_deposed, z3.Not(each.is_releasing)), is_stated)
        )
        is_last = z3.And(state.is_released, each.is_active, each.term == state.term)
        parts.append(z3.Implies(is_last, each.is_releasing))
    return z3.And(*parts)


def _is_suspension_stored(state: InheritedLeases) -> z3.BoolRef:
    parts = []
    for each in state.schedulers.values():
        is_current = z3.And(each.term > 0, each.term == state.term)
        is_renewing = z3.And(each.is_renewal_stored, z3.Not(each.is_suspended))
        parts += [
            z3.Implies(
                z3.And(is_current, is_renewing, each.is_active), state.entry.is_renewed
            ),
            z3.Implies(
                each.row_write.is_sent, z3.And(each.term > 0, each.is_suspended)
            ),
            z3.Implies(each.row_write.is_sent, z3.Not(each.row_write.entry.is_renewed)),
        ]
    return z3.And(*parts)


def _has_one_start(state: InheritedLeases) -> z3.BoolRef:
    """Return whether the task runs, or its one start is left, at most once."""
    tokens, parts = [state.worker.is_running], []
    is_unplaced = state.placement.phase == UNPLACED
    for each in state.schedulers.values():
        tokens += [each.start.is_sent, each.phase == STORED]
        is_idle = z3.And(
            each.phase == WAITING,
            z3.Not(each.is_listed),
            z3.Not(each.row_write.is_sent),
        )
        is_current = z3.And(each.term > 0, each.term == state.term)
        parts.append(z3.Implies(z3.And(is_unplaced, is_current), is_idle))
    has_none = z3.And(
        z3.Not(z3.Or(*tokens)),
        z3.Not(state.placement.is_listed),
        state.placement.incarnation == 0,
    )
    return z3.And(z3.AtMost(*tokens, 1), z3.Implies(is_unplaced, has_none), *parts)


def _is_listed_run_bound(state: InheritedLeases) -> z3.BoolRef:
    """Return whether a run that was listed is in that incarnation or has ended."""
    placement = state.placement
    parts = [z3.Implies(placement.is_listed, _is_bound(state, placement.incarnation))]
    for each in state.schedulers.values():
        is_current = z3.And(each.term > 0, each.term == state.term)
        is_stored = z3.And(placement.is_listed, placement.phase == PLACED)
        is_in_doubt = z3.And(
            each.phase == IN_DOUBT,
            z3.Or(
                z3.And(each.is_synced, each.incarnation == each.run_incarnation),
                each.incarnation > each.run_incarnation,
                z3.And(is_stored, placement.incarnation == each.run_incarnation),
            ),
            _is_bound(state, each.run_incarnation),
        )
        written = each.row_write
        parts += [
            z3.Implies(z3.And(is_current, each.is_active, each.is_listed), is_in_doubt),
            z3.Implies(
                z3.And(is_current, written.is_sent, written.is_listed),
                z3.And(
                    _is_bound(state, written.incarnation),
                    written.incarnation >= placement.incarnation,
                    written.incarnation <= each.run_incarnation,
                    z3.Or(
                        z3.And(each.is_synced, each.incarnation == written.incarnation),
                        each.incarnation > written.incarnation,
                        z3.And(is_stored, placement.incarnation == written.incarnation),
                    ),
                ),
            ),
            z3.Implies(
                z3.And(is_current, placement.phase == PLACED),
                each.run_incarnation >= placement.incarnation,
            ),
            z3.Implies(
                z3.And(
                    is_current,
                    each.phase != WAITING,
                    each.run_incarnation > each.incarnation,
                ),
                each.may_have_late_orders,
            ),
            z3.Implies(
                z3.And(is_current, each.phase == STORED),
                z3.Or(
                    each.incarnation > placement.incarnation,
                    z3.And(each.is_synced, each.incarnation == placement.incarnation),
                ),
            ),
        ]
    return z3.And(*parts)


def _is_bound(state: InheritedLeases, incarnation: z3.ArithRef) -> z3.BoolRef:
    """Return whether the task can run in one incarnation only."""
    parts = [
        z3.Implies(state.worker.is_running, state.worker.incarnation == incarnation)
    ]
    for each in state.schedulers.values():
        parts.append(z3.Not(z3.Or(each.start.is_sent, each.phase == STORED)))
    return z3.And(*parts)


def _is_fence_in_force(state: InheritedLeases) -> z3.BoolRef:
    """Return whether a worker that a scheduler has synced rejects earlier orders."""
    parts = []
    for each in state.schedulers.values():
        is_known = each.incarnation == state.worker.incarnation
        is_fenced = [state.worker.fence >= _first_fence(each.term)]
        is_fenced += [z3.Not(_is_takeable_late(state, order)) for order in each.orders]
        parts.append(
            z3.Implies(
                z3.And(each.term > 0, each.is_synced, is_known), z3.And(*is_fenced)
            )
        )
    return z3.And(*parts)


def _is_stored_fence_in_force(state: InheritedLeases) -> z3.BoolRef:
    """Return whether a worker on which a run is stored rejects earlier orders."""
    placement = state.placement
    is_stored = z3.And(
        placement.phase != UNPLACED,
        placement.incarnation == state.worker.incarnation,
    )
    return z3.Implies(is_stored, _rejects_earlier_orders(state))


def _is_answer_in_force(state: InheritedLeases) -> z3.BoolRef:
    """Return whether each incarnation that is marked as such has answered an order."""
    current, marks = state.worker.incarnation, [state.entry.answered_incarnation]
    for each in state.schedulers.values():
        is_current = z3.And(each.term > 0, each.term == state.term)
        marks += [
            z3.If(is_current, each.answered_incarnation, 0),
            z3.If(
                z3.And(is_current, each.row_write.is_sent),
                each.row_write.entry.answered_incarnation,
                0,
            ),
        ]
    has_answered = z3.Or(*(mark == current for mark in marks))
    return z3.Implies(has_answered, _rejects_earlier_orders(state))


def _rejects_earlier_orders(state: InheritedLeases) -> z3.BoolRef:
    """Return whether the worker rejects all orders for earlier incarnations."""
    parts = []
    for each in state.schedulers.values():
        parts += [z3.Not(_is_takeable_late(state, order)) for order in each.orders]
        may_order_earlier = z3.And(
            each.is_active,
            each.is_synced,
            each.incarnation < state.worker.incarnation,
        )
        is_fenced = _fence_end(each.term) <= state.worker.fence
        parts.append(z3.Implies(may_order_earlier, is_fenced))
    return z3.And(*parts)


def _is_entry_sufficient(state: InheritedLeases) -> z3.BoolRef:
    """Return whether the next scheduler waits long enough by what is stored."""
    entry, placement, worker = state.entry, state.placement, state.worker
    is_ordinary = worker.until_s <= state.now_s + ORDINARY_LEASE_S
    is_long = worker.until_s <= entry.listed_s
    return z3.And(
        z3.Implies(
            z3.And(entry.is_renewed, _is_placed_here(state)),
            z3.Or(is_ordinary, is_long),
        ),
        z3.Implies(
            placement.phase == UNPLACED, _is_idle_entry_sufficient(state, entry)
        ),
        z3.Implies(
            z3.And(
                placement.phase != ELSEWHERE,
                entry.answered_incarnation == worker.incarnation,
            ),
            z3.Or(is_ordinary, is_long),
        ),
        z3.Implies(
            z3.And(z3.Not(entry.is_renewed), placement.phase != ELSEWHERE),
            _is_silence_covered(state, entry),
        ),
        z3.Implies(
            z3.And(z3.Not(entry.is_renewed), placement.phase == UNPLACED),
            _is_idle_silence_covered(state, entry),
        ),
    )


def _is_idle_silence_covered(state: InheritedLeases, entry: LeaseEntry) -> z3.BoolRef:
    """Return whether an entry without renewal covers the leases of an idle worker."""
    worker = state.worker
    return z3.And(
        z3.Or(
            worker.until_s <= entry.listed_s,
            z3.Not(entry.lists_late_orders),
            worker.until_s <= entry.late_orders_until_s + LONGEST_LEASE_S,
        ),
        z3.Implies(
            entry.answered_incarnation == worker.incarnation,
            worker.until_s <= entry.listed_s,
        ),
        _are_own_orders_covered(state, entry.listed_s),
        *(
            z3.Implies(
                _may_order_deposed(state, each),
                each.confirmed_s + OWNER_LEASE_S + ORDINARY_LEASE_S <= entry.listed_s,
            )
            for each in state.schedulers.values()
        ),
    )


def _is_idle_entry_sufficient(state: InheritedLeases, entry: LeaseEntry) -> z3.BoolRef:
    """Return whether an entry covers late orders, as no run is stored."""
    worker = state.worker
    is_lease_covered = z3.Or(
        worker.until_s <= state.now_s + ORDINARY_LEASE_S,
        worker.until_s <= entry.listed_s,
        worker.until_s <= entry.late_orders_until_s + LONGEST_LEASE_S,
    )
    are_orders_covered = _sent_by(state, entry.late_orders_until_s - LATE_ORDER_S)
    return z3.Or(
        z3.Not(entry.lists_late_orders), z3.And(is_lease_covered, *are_orders_covered)
    )


def _is_silence_covered(state: InheritedLeases, entry: LeaseEntry) -> z3.BoolRef:
    """Return whether an entry without renewal covers every lease."""
    worker, is_placed = state.worker, state.placement.phase == PLACED
    is_bound = z3.Or(
        worker.until_s <= entry.listed_s, worker.until_s <= entry.unlisted_s
    )
    is_late = z3.And(
        z3.Not(entry.allows_late_orders),
        worker.incarnation <= worker.listed_incarnation,
    )
    late_s = LATE_ORDER_S + LONGEST_LEASE_S
    is_late_allowed = z3.And(
        is_bound,
        z3.Or(
            z3.Not(entry.lists_late_orders),
            z3.And(
                z3.Or(
                    worker.until_s <= entry.listed_s,
                    worker.until_s <= entry.late_orders_until_s + LONGEST_LEASE_S,
                ),
                *_sent_by(state, entry.late_orders_until_s - LATE_ORDER_S),
            ),
        ),
        *_sent_by(state, entry.unlisted_s - late_s),
    )
    has_answered = z3.And(is_placed, entry.answered_incarnation == worker.incarnation)
    return z3.And(
        z3.Implies(
            z3.Or(_is_placed_here(state), has_answered),
            _is_listed_covered(state, entry.listed_s),
        ),
        z3.Implies(is_placed, z3.Or(is_bound, is_late)),
        z3.Implies(z3.And(is_placed, entry.allows_late_orders), is_late_allowed),
        *_sent_by(state, entry.unlisted_s - PROMPT_ORDER_S - LONGEST_LEASE_S),
    )


def _is_row_write_sufficient(state: InheritedLeases) -> z3.BoolRef:
    parts = []
    for each in state.schedulers.values():
        written = each.row_write
        is_open = z3.And(written.is_sent, each.term == state.term)
        is_listed_here = z3.And(
            written.is_listed, written.incarnation == state.worker.incarnation
        )
        is_sufficient = z3.And(
            state.placement.phase == PLACED,
            _is_silence_covered(state, written.entry),
            z3.Implies(
                is_listed_here,
                z3.And(
                    _is_listed_covered(state, written.entry.listed_s),
                    _rejects_earlier_orders(state),
                ),
            ),
        )
        parts.append(z3.Implies(is_open, is_sufficient))
    return z3.And(*parts)


def _is_holder_informed(state: InheritedLeases) -> z3.BoolRef:
    """Return whether the holder waits long enough by what it knows."""
    parts = []
    for each in state.schedulers.values():
        is_holder = z3.And(
            each.is_active,
            each.term == state.term,
            state.placement.phase != ELSEWHERE,
        )
        parts.append(z3.Implies(is_holder, _is_informed(state, each)))
    return z3.And(*parts)


def _is_informed(state: InheritedLeases, each: Scheduler) -> z3.BoolRef:
    has_unlisted_run = z3.And(state.placement.phase == PLACED, each.phase != STORED)
    late_sent_s = each.late_orders_until_s - LATE_ORDER_S
    covered_sent_s = each.unlisted_s - LATE_ORDER_S - LONGEST_LEASE_S
    return z3.And(
        _is_lease_explained(state, each),
        _is_listed_end_sufficient(state, each),
        _is_first_list_sufficient(state, each),
        z3.Implies(has_unlisted_run, _is_unlisted_covered(state, each)),
        *_sent_by(state, each.unlisted_s - PROMPT_ORDER_S - LONGEST_LEASE_S),
        *_sent_by(state, later(each.orders_end_s, late_sent_s)),
        *_sent_by(state, later(each.orders_end_s, covered_sent_s)),
    )


def _is_lease_explained(state: InheritedLeases, each: Scheduler) -> z3.BoolRef:
    """Return whether the worker's lease is of a kind that the holder counts."""
    until_s = state.worker.until_s
    is_granted = z3.And(
        until_s <= each.granted_end_s, until_s <= state.now_s + ORDINARY_LEASE_S
    )
    has_restarted = each.incarnation < state.worker.incarnation
    return z3.Or(
        is_granted,
        until_s <= each.long_end_s,
        until_s <= each.late_orders_until_s + LONGEST_LEASE_S,
        z3.And(has_restarted, until_s <= each.late_end_s),
    )


def _is_listed_end_sufficient(state: InheritedLeases, each: Scheduler) -> z3.BoolRef:
    """Return whether the holder knows when a listed run has ended."""
    until_s = state.worker.until_s
    is_synced = z3.And(each.is_synced, each.incarnation == state.worker.incarnation)
    is_adopted = z3.And(_is_placed_here(state), each.phase != STORED)
    is_covered = z3.And(
        _is_listed_covered(state, each.listed_s),
        z3.Or(until_s <= state.now_s + ORDINARY_LEASE_S, until_s <= each.long_end_s),
    )
    has_answered = each.answered_incarnation == state.worker.incarnation
    return z3.Implies(z3.Or(is_synced, is_adopted, has_answered), is_covered)


def _is_first_list_sufficient(state: InheritedLeases, each: Scheduler) -> z3.BoolRef:
    """Return whether the first list will allow for each lease that was taken late."""
    is_unread = z3.And(
        z3.Not(each.is_synced),
        z3.Not(each.may_have_late_orders),
        each.incarnation == state.worker.incarnation,
    )
    late_sent_s = each.late_orders_until_s - LATE_ORDER_S
    are_late_orders_known = z3.Or(
        _is_placed_here(state),
        _rejects_earlier_orders(state),
        z3.And(*_sent_by(state, late_sent_s)),
    )
    is_placed = state.placement.phase == PLACED
    return z3.And(
        z3.Implies(each.may_have_late_orders, late_sent_s >= each.orders_end_s),
        z3.Implies(each.is_synced, z3.Not(each.may_have_late_orders)),
        z3.Implies(is_unread, are_late_orders_known),
        z3.Implies(is_unread, _are_own_orders_covered(state, each.listed_s)),
        z3.Implies(z3.And(is_unread, is_placed), _is_placed_here(state)),
    )


def _is_placed_here(state: InheritedLeases) -> z3.BoolRef:
    """Return whether a run is stored for the current incarnation."""
    return z3.And(
        state.placement.phase == PLACED,
        state.placement.incarnation == state.worker.incarnation,
    )


def _is_unlisted_covered(state: InheritedLeases, each: Scheduler) -> z3.BoolRef:
    """Return whether a run that isn't listed ends by what the holder knows."""
    worker = state.worker
    is_late = z3.And(
        worker.incarnation <= worker.listed_incarnation,
        z3.Or(worker.incarnation > each.incarnation, each.may_have_late_orders),
        worker.until_s <= each.late_end_s,
    )
    return z3.Or(
        worker.until_s <= each.listed_s, worker.until_s <= each.unlisted_s, is_late
    )


def _sent_by(state: InheritedLeases, end_s: z3.ArithRef) -> Iterator[z3.BoolRef]:
    """Yield that orders which may still come late are sent by `end_s`."""
    for each in state.schedulers.values():
        for order in each.orders:
            is_open = z3.And(order.is_sent, state.now_s <= order.sent_s + LATE_ORDER_S)
            yield z3.Implies(is_open, order.sent_s <= end_s)
        last_s = each.confirmed_s + OWNER_LEASE_S
        yield z3.Implies(_may_order_deposed(state, each), last_s <= end_s)


def _is_listed_covered(state: InheritedLeases, listed_s: z3.ArithRef) -> z3.BoolRef:
    """Return whether the lease of the current incarnation ends by `listed_s`."""
    return z3.And(
        state.worker.until_s <= listed_s, _are_own_orders_covered(state, listed_s)
    )


def _are_own_orders_covered(
    state: InheritedLeases, listed_s: z3.ArithRef
) -> z3.BoolRef:
    """Return whether orders for the current incarnation grant no lease beyond."""
    worker = state.worker
    parts = []
    for each in state.schedulers.values():
        for order in each.orders:
            is_open = z3.And(
                order.is_sent,
                order.incarnation == worker.incarnation,
                order.fence >= worker.fence,
            )
            end_s = order.sent_s + ORDINARY_LEASE_S
            parts.append(z3.Implies(is_open, end_s <= listed_s))
        is_open = z3.And(
            _may_order_deposed(state, each), worker.fence < _fence_end(each.term)
        )
        end_s = each.confirmed_s + OWNER_LEASE_S + ORDINARY_LEASE_S
        parts.append(z3.Implies(is_open, end_s <= listed_s))
    return z3.And(*parts)


def _may_order_deposed(state: InheritedLeases, each: Scheduler) -> z3.BoolRef:
    """Return whether a deposed scheduler may send an order that grants a lease."""
    return z3.And(
        each.is_active,
        each.term < state.term,
        each.phase != WAITING,
        each.is_renewal_stored,
        z3.Not(each.is_suspended),
        z3.Not(each.is_releasing),
        state.now_s <= each.confirmed_s + OWNER_LEASE_S,
    )


def _is_takeable_late(state: InheritedLeases, order: Order) -> z3.BoolRef:
    """Return whether the worker does not reject an order for an earlier incarnation."""
    return z3.And(
        order.is_sent,
        order.incarnation < state.worker.incarnation,
        order.fence >= state.worker.fence,
    )


def _has_released_run_ended(state: InheritedLeases) -> z3.BoolRef:
    placement = state.placement
    parts = [
        z3.Implies(
            placement.phase == ELSEWHERE,
            _has_ended(state, placement.released_incarnation),
        )
    ]
    for each in state.schedulers.values():
        has_given_up = z3.And(
            each.is_active,
            each.term == state.term,
            each.phase == WAITING,
            placement.phase != UNPLACED,
        )
        parts.append(
            z3.Implies(has_given_up, _has_ended(state, each.released_incarnation))
        )
        is_moved = z3.And(
            each.term > 0, each.term == state.term, placement.phase == ELSEWHERE
        )
        parts.append(z3.Implies(is_moved, each.phase == WAITING))
    return z3.And(*parts)


def _has_ended(state: InheritedLeases, released: z3.ArithRef) -> z3.BoolRef:
    """Return whether the run neither runs nor starts up to an incarnation."""
    worker = state.worker
    parts = [z3.Not(worker.is_running)]
    for each in state.schedulers.values():
        order = each.start
        is_own = order.incarnation == worker.incarnation
        end_s = order.sent_s + z3.If(is_own, ORDINARY_LEASE_S, LATE_ORDER_S)
        parts.append(
            z3.Or(
                worker.incarnation > released,
                z3.Not(order.is_sent),
                order.fence < worker.fence,
                state.now_s > end_s,
            )
        )
        may_start = z3.And(
            each.is_active,
            each.phase == STORED,
            each.is_renewal_stored,
            z3.Not(each.is_suspended),
            z3.Not(each.is_releasing),
            state.now_s <= each.confirmed_s + OWNER_LEASE_S,
        )
        parts.append(
            z3.Or(
                worker.incarnation > released,
                z3.Not(may_start),
                _fence_end(each.term) <= worker.fence,
            )
        )
    return z3.And(*parts)


def _first_fence(term: z3.ArithRef) -> z3.ArithRef:
    return term * FENCES_PER_TERM


def _fence_end(term: z3.ArithRef) -> z3.ArithRef:
    return (term + 1) * FENCES_PER_TERM
