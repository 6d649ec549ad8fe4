"""Successive schedulers and the leases of a worker that restarts under its id.

There is one worker, on which one task after the other is placed, until a task is
started elsewhere. The worker may restart, and its next incarnation may carry out an
order that was meant for an earlier one; it then grants the longest lease. The stored
entry of the worker's lease and the stored list of the run tell the next scheduler how
long to wait.

The guards of `OwnershipModel` (whether a lease may be taken, and what is valid) are
preconditions here. What an incarnation does that starts after a run was given up is
left out.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import replace
from typing import ClassVar

import z3

from spec._engine import Step, variables
from spec._inherited_hints import HINTS
from spec._inherited_lemmas import lemmas
from spec._inherited_state import (
    ELSEWHERE,
    IN_DOUBT,
    LATE_ORDER_S,
    LONGEST_LEASE_S,
    NEVER_S,
    ORDINARY_LEASE_S,
    PLACED,
    PROMPT_ORDER_S,
    STORED,
    UNPLACED,
    WAITING,
    InheritedLeases,
    LeaseEntry,
    Order,
    RowWrite,
    Scheduler,
    earlier,
    later,
    may_take_late,
)
from spec._ownership import FENCES_PER_TERM, OWNER_LEASE_S

#: Daemons of the proofs; each may hold the lease again after a restart.
PROOF_NAMES = ("a", "b", "c")
#: Daemons of the searches for counterexamples.
SEARCH_NAMES = ("a", "b")
_TRUE, _FALSE = z3.BoolVal(True), z3.BoolVal(False)
_ZERO = z3.IntVal(0)


class InheritedLeasesModel:
    """The specification of inherited worker leases; implements `Model`."""

    name = "inherited leases"
    search_depth = 28
    prefix = (
        "a takes the lease",
        "a stores that it renews the worker",
        "a reads the first list of the worker",
    )
    hints: ClassVar[Mapping[str, tuple[str, ...]]] = HINTS

    def __init__(self, names: tuple[str, ...] = PROOF_NAMES) -> None:
        self._names = names

    def fresh(self, label: str) -> InheritedLeases:
        """Return a state of fresh constants."""
        return InheritedLeases.fresh(label, self._names)

    def is_initial(self, state: InheritedLeases) -> z3.BoolRef:
        """Return whether nothing has happened yet."""
        pairs = zip(
            variables(state),
            variables(InheritedLeases.initial(self._names)),
            strict=True,
        )
        return z3.And(*(term == value for (_, term), (_, value) in pairs))

    def safety_properties(self, state: InheritedLeases) -> Mapping[str, z3.BoolRef]:
        """Return the safety properties."""
        runs_twice = z3.And(state.placement.phase == ELSEWHERE, state.worker.is_running)
        return {"the worker runs no task that is started elsewhere": z3.Not(runs_twice)}

    def lemmas(self, state: InheritedLeases) -> Mapping[str, z3.BoolRef]:
        """Return the auxiliary invariants of the proof."""
        return lemmas(state)

    def steps(self, state: InheritedLeases, label: str) -> list[Step[InheritedLeases]]:
        """Return all steps from `state`."""
        moment_s = z3.Real(f"{label}.moment_s")
        found = [*_world_steps(state, moment_s)]
        for name in self._names:
            found.extend(_lease_steps(state, name, moment_s, label))
            found.extend(_row_steps(state, name, moment_s, label))
            found.extend(_order_steps(state, name))
            found.extend(_knowledge_steps(state, name, moment_s, label))
            found.extend(_release_steps(state, name))
            found.extend(_effect_steps(state, name))
        return found


def _world_steps(
    state: InheritedLeases, moment_s: z3.ArithRef
) -> Iterator[Step[InheritedLeases]]:
    worker = state.worker
    is_running = z3.And(worker.is_running, moment_s <= worker.until_s)
    yield Step(
        "time passes",
        {},
        replace(state.with_worker(is_running=is_running), now_s=moment_s),
        when=moment_s > state.now_s,
    )
    yield Step(
        "the run ends",
        {},
        state.with_worker(is_running=_FALSE),
        when=worker.is_running,
    )
    yield Step(
        "the worker restarts",
        {},
        state.with_worker(
            incarnation=worker.incarnation + 1,
            fence=_ZERO,
            is_running=_FALSE,
            until_s=z3.RealVal(0),
        ),
    )
    yield Step(
        "the store lists the worker's incarnation",
        {},
        state.with_worker(listed_incarnation=worker.incarnation),
    )


def _lease_steps(
    state: InheritedLeases, name: str, orders_until_s: z3.ArithRef, label: str
) -> Iterator[Step[InheritedLeases]]:
    each = state.schedulers[name]
    has_holder = z3.Or(
        *(
            z3.And(other.is_active, other.term == state.term)
            for other in state.schedulers.values()
        )
    )
    has_ended = z3.Or(state.is_released, z3.Not(has_holder))
    # The list that the new holder reads may be out of date.
    listed = z3.Int(f"{label}.listed_incarnation")
    orders_end_s = z3.Real(f"{label}.orders_end_s")
    is_counted = z3.Or(
        _allows_late_orders(state),
        orders_end_s >= orders_until_s,
    )
    # Until when any worker may take late orders, if the row doesn't list where.
    late_until_s = z3.Real(f"{label}.late_until_s")
    is_unlisted_counted = z3.Or(
        state.entry.lists_late_orders, late_until_s >= orders_until_s + LATE_ORDER_S
    )
    yield Step(
        f"{name} takes the lease",
        {
            "count late orders from each takeover": is_counted,
            "count late orders that are not listed": is_unlisted_counted,
        },
        _with_taken_lease(
            state, name, orders_until_s, orders_end_s, late_until_s, listed
        ),
        when=z3.And(
            z3.Not(each.is_active),
            each.term == 0,
            orders_until_s >= state.now_s,
            orders_until_s >= state.earlier_orders_until_s,
            listed >= 0,
            listed <= state.worker.listed_incarnation,
            z3.Or(has_ended, orders_until_s >= state.written_s + OWNER_LEASE_S),
        ),
    )
    yield Step(
        f"{name} ends",
        {},
        state.with_scheduler(name, is_active=_FALSE),
        when=each.is_active,
    )
    pending = (each.row_write.is_sent, *(order.is_sent for order in each.orders))
    yield Step(
        f"{name} restarts",
        {},
        replace(state, schedulers={**state.schedulers, name: Scheduler.initial()}),
        when=z3.And(z3.Not(each.is_active), each.term > 0, z3.Not(z3.Or(*pending))),
    )
    yield Step(
        f"{name} raises its fence",
        {},
        state.with_scheduler(name, fence=each.fence + 1),
        when=z3.And(each.is_active, each.fence + 1 < (each.term + 1) * FENCES_PER_TERM),
    )
    yield Step(
        f"{name} sends the write that releases its lease",
        {},
        state.with_scheduler(name, is_releasing=_TRUE),
        when=_may_write(state, each),
    )
    yield Step(
        f"the release by {name} takes effect",
        {},
        replace(state, is_released=_TRUE),
        when=z3.And(each.is_releasing, each.term == state.term),
    )


def _with_taken_lease(
    state: InheritedLeases,
    name: str,
    orders_until_s: z3.ArithRef,
    orders_end_s: z3.ArithRef,
    late_until_s: z3.ArithRef,
    listed: z3.ArithRef,
) -> InheritedLeases:
    """Return the state after a daemon has taken the lease and read what is stored.

    It doesn't conclude which of two incarnations is the later one.
    """
    entry, placement = state.entry, state.placement
    is_placed = placement.phase == PLACED
    has_restarted = z3.And(is_placed, placement.incarnation != listed)
    run_incarnation = z3.If(is_placed, placement.incarnation, _ZERO)
    is_answered = entry.answered_incarnation != 0
    answered = z3.If(is_answered, entry.answered_incarnation, run_incarnation)
    ordinary_end_s = orders_until_s + ORDINARY_LEASE_S
    listed_s = _inherited_end_s(entry, entry.listed_s, ordinary_end_s)
    unlisted_s = _inherited_end_s(
        entry, entry.unlisted_s, orders_until_s + PROMPT_ORDER_S + LONGEST_LEASE_S
    )
    is_allowed = _allows_late_orders(state)
    late_orders_end_s = z3.If(is_allowed, NEVER_S, orders_end_s)
    listed_until_s = z3.If(
        entry.lists_late_orders, entry.late_orders_until_s, late_until_s
    )
    late_orders_until_s = z3.If(
        is_placed,
        later(listed_until_s, late_orders_end_s + LATE_ORDER_S),
        listed_until_s,
    )
    scheduler = replace(
        Scheduler.initial(),
        is_active=_TRUE,
        term=state.term + 1,
        fence=(state.term + 1) * FENCES_PER_TERM,
        confirmed_s=state.now_s,
        phase=z3.If(is_placed, IN_DOUBT, WAITING),
        incarnation=listed,
        run_incarnation=run_incarnation,
        released_incarnation=z3.If(
            placement.phase == ELSEWHERE, placement.released_incarnation, listed
        ),
        is_listed=z3.And(is_placed, placement.is_listed),
        granted_end_s=listed_s,
        long_end_s=entry.listed_s,
        unlisted_s=unlisted_s,
        may_have_late_orders=has_restarted,
        orders_end_s=late_orders_end_s,
        late_orders_until_s=late_orders_until_s,
        answered_incarnation=answered,
    )
    return replace(
        state,
        term=scheduler.term,
        written_s=state.now_s,
        earlier_orders_until_s=orders_until_s,
        is_released=_FALSE,
        entry=replace(
            entry,
            is_renewed=_FALSE,
            listed_s=listed_s,
            unlisted_s=unlisted_s,
            allows_late_orders=is_allowed,
        ),
        schedulers={**state.schedulers, name: scheduler},
    )


def _allows_late_orders(state: InheritedLeases) -> z3.BoolRef:
    """Return whether the stored end of a run allows for orders that come late."""
    return z3.And(
        state.placement.phase == PLACED,
        z3.Not(state.entry.is_renewed),
        state.entry.allows_late_orders,
    )


def _inherited_end_s(
    entry: LeaseEntry, stored_s: z3.ArithRef, granted_s: z3.ArithRef
) -> z3.ArithRef:
    return z3.If(entry.is_renewed, later(stored_s, granted_s), stored_s)


def _row_steps(
    state: InheritedLeases, name: str, carried_s: z3.ArithRef, label: str
) -> Iterator[Step[InheritedLeases]]:
    each, placement = state.schedulers[name], state.placement
    carried_unlisted_s = z3.Real(f"{label}.carried_unlisted_s")
    carried_late_s = z3.Real(f"{label}.carried_late_s")
    lists_late_orders = z3.Bool(f"{label}.lists_late_orders")
    carried_answered = z3.Int(f"{label}.carried_answered")
    stores_list = z3.And(z3.Bool(f"{label}.stores_list"), each.is_listed)
    is_long_carried = z3.Or(
        carried_s >= each.long_end_s,
        each.long_end_s <= state.now_s + ORDINARY_LEASE_S,
    )
    is_late_carried = z3.Or(
        z3.Not(lists_late_orders), carried_late_s >= each.all_late_orders_until_s
    )
    is_answer_carried = z3.Or(
        carried_answered == 0, carried_answered == each.answered_incarnation
    )
    entry = LeaseEntry(
        is_renewed=_TRUE,
        listed_s=carried_s,
        unlisted_s=carried_s,
        allows_late_orders=_FALSE,
        late_orders_until_s=carried_late_s,
        lists_late_orders=lists_late_orders,
        answered_incarnation=carried_answered,
    )
    written = state.with_scheduler(
        name,
        confirmed_s=state.now_s,
        is_renewal_stored=_TRUE,
        is_suspended=_FALSE,
        row_write=RowWrite.none(),
    )
    written = replace(written, written_s=state.now_s, entry=entry)
    answer_guard = {"carry only an incarnation that has answered": is_answer_carried}
    guards = {"carry the end of a longer lease": is_long_carried, **answer_guard}
    idle_guards = {**guards, "carry late orders to an idle worker": is_late_carried}
    yield Step(
        f"{name} stores that it renews the worker",
        {
            **guards,
            "carry late orders to an idle worker": z3.Or(
                placement.phase == PLACED, is_late_carried
            ),
        },
        _with_stored_list(written, stores_list, each.run_incarnation),
        when=_may_write(state, each),
    )
    placed = written.with_placement(phase=PLACED, incarnation=each.incarnation)
    yield Step(
        f"{name} stores the placement",
        guards,
        placed.with_scheduler(name, phase=STORED, run_incarnation=each.incarnation),
        when=z3.And(
            _may_write(state, each),
            each.is_synced,
            each.phase == WAITING,
            placement.phase == UNPLACED,
        ),
    )
    yield Step(
        f"{name} stores the end of the run",
        idle_guards,
        _with_next_task(written),
        when=z3.And(
            _may_write(state, each),
            each.phase == WAITING,
            placement.phase == PLACED,
            *map(_is_settled, state.schedulers.values()),
        ),
    )
    end_s = later(each.listed_s, each.unlisted_s)
    is_late_end_carried = z3.Or(
        z3.Not(each.may_have_late_orders), carried_unlisted_s >= each.late_end_s
    )
    row_write = RowWrite(
        is_sent=_TRUE,
        sent_s=state.now_s,
        entry=LeaseEntry(
            is_renewed=_FALSE,
            listed_s=carried_s,
            unlisted_s=carried_unlisted_s,
            allows_late_orders=each.may_have_late_orders,
            late_orders_until_s=carried_late_s,
            lists_late_orders=lists_late_orders,
            answered_incarnation=carried_answered,
        ),
        is_listed=stores_list,
        incarnation=each.run_incarnation,
    )
    yield Step(
        f"{name} sends a row without renewal of the worker",
        {
            "carry the end of listed runs": carried_s >= each.listed_s,
            "carry the end of other runs": carried_unlisted_s >= end_s,
            "carry the end of runs that start late": is_late_end_carried,
            "carry late orders to a silent worker": z3.Or(
                z3.Not(each.may_have_late_orders), is_late_carried
            ),
            **answer_guard,
        },
        state.with_scheduler(name, row_write=row_write, is_suspended=_TRUE),
        when=z3.And(
            _may_write(state, each),
            placement.phase == PLACED,
            each.phase != STORED,
        ),
    )
    pending = each.row_write
    stored = state.with_scheduler(
        name,
        confirmed_s=later(each.confirmed_s, pending.sent_s),
        row_write=RowWrite.none(),
    )
    stored = _with_stored_list(stored, pending.is_listed, pending.incarnation)
    yield Step(
        f"the row of {name} takes effect",
        {},
        replace(stored, written_s=state.now_s, entry=pending.entry),
        when=z3.And(
            pending.is_sent, each.term == state.term, z3.Not(state.is_released)
        ),
    )


def _is_settled(each: Scheduler) -> z3.BoolRef:
    """Return whether no start of the task is left in a scheduler, or on its way."""
    is_open = (each.phase == STORED, each.start.is_sent)
    return z3.Not(z3.Or(*is_open))


def _with_next_task(state: InheritedLeases) -> InheritedLeases:
    """Return the state after the task has ended; the next one is not placed yet."""
    return state.with_placement(
        phase=UNPLACED,
        incarnation=_ZERO,
        is_listed=_FALSE,
        released_incarnation=_ZERO,
    )


def _with_stored_list(
    state: InheritedLeases, is_stored: z3.BoolRef, incarnation: z3.ArithRef
) -> InheritedLeases:
    """Return the state after the list of a placed run may have been stored."""
    placement = state.placement
    is_new = z3.And(is_stored, placement.phase == PLACED)
    return state.with_placement(
        is_listed=z3.Or(placement.is_listed, is_new),
        incarnation=z3.If(is_new, incarnation, placement.incarnation),
    )


def _order_steps(state: InheritedLeases, name: str) -> Iterator[Step[InheritedLeases]]:
    each = state.schedulers[name]
    guards = {
        "store the renewal before the first order": each.is_renewal_stored,
        "order nothing once a row without renewal is sent": z3.Not(each.is_suspended),
        "order nothing once the release is sent": z3.Not(each.is_releasing),
    }
    is_ready = z3.And(each.is_active, each.is_synced, _is_valid(state, each))
    order = Order(_TRUE, state.now_s, each.fence, each.incarnation)
    granted = state.with_scheduler(
        name,
        granted_end_s=later(each.granted_end_s, state.now_s + ORDINARY_LEASE_S),
        unlisted_s=later(
            each.unlisted_s, state.now_s + PROMPT_ORDER_S + LONGEST_LEASE_S
        ),
        orders_end_s=later(each.orders_end_s, state.now_s),
    )
    yield Step(
        f"{name} grants the worker a lease",
        {
            **guards,
            "grant leases only where a run is stored": each.phase == IN_DOUBT,
        },
        granted.with_scheduler(name, grant=order),
        when=is_ready,
    )
    yield Step(
        f"{name} sends the start",
        guards,
        granted.with_scheduler(name, phase=IN_DOUBT, start=order),
        when=z3.And(is_ready, each.phase == STORED),
    )


def _knowledge_steps(
    state: InheritedLeases, name: str, first_end_s: z3.ArithRef, label: str
) -> Iterator[Step[InheritedLeases]]:
    each, worker = state.schedulers[name], state.worker
    ends_run = z3.And(
        z3.Bool(f"{label}.ends_run"), each.phase == IN_DOUBT, each.is_listed
    )
    for source, incarnation in (
        ("the store", worker.listed_incarnation),
        ("a reply", worker.incarnation),
    ):
        yield Step(
            f"{name} learns of a restart from {source}",
            {
                "end a listed run only with its incarnation": z3.Or(
                    z3.Not(ends_run), incarnation > each.run_incarnation
                )
            },
            _with_known_restart(state, name, incarnation, ends_run),
            when=z3.And(each.is_active, incarnation > each.incarnation),
        )
    is_reached = z3.And(
        each.is_active,
        _is_valid(state, each),
        each.fence >= worker.fence,
        each.incarnation == worker.incarnation,
    )
    is_fenced = [
        z3.Or(
            z3.Not(order.is_sent),
            order.incarnation == each.incarnation,
            order.fence < each.fence,
        )
        for order in each.orders
    ]
    taken_s = earlier(state.now_s, each.late_orders_until_s)
    has_answered = z3.Bool(f"{label}.has_answered")
    yield Step(
        f"{name} reads the first list of the worker",
        {
            "list a new incarnation under a new fence": z3.And(*is_fenced),
            "assume the longest lease where late orders are possible": z3.Or(
                has_answered, first_end_s >= taken_s + LONGEST_LEASE_S
            ),
            "rely on the answer of the same incarnation": z3.Or(
                z3.Not(has_answered), each.answered_incarnation == each.incarnation
            ),
        },
        state.with_worker(fence=each.fence).with_scheduler(
            name,
            is_synced=_TRUE,
            granted_end_s=earlier(each.granted_end_s, state.now_s + ORDINARY_LEASE_S),
            long_end_s=later(each.long_end_s, first_end_s),
            may_have_late_orders=_FALSE,
            answered_incarnation=each.incarnation,
        ),
        when=z3.And(is_reached, z3.Not(each.is_synced)),
    )
    is_in_list = z3.And(is_reached, each.is_synced, worker.is_running)
    yield Step(
        f"{name} notes that the known incarnation has the run",
        {"rely on the list of the known incarnation": is_in_list},
        state.with_scheduler(name, is_listed=_TRUE, run_incarnation=each.incarnation),
        when=z3.And(each.is_active, each.phase == IN_DOUBT),
    )
    yield Step(
        f"{name} reads that nothing runs",
        {},
        _with_run_given_up(state.with_worker(fence=each.fence), name, each.incarnation),
        when=z3.And(
            is_reached,
            each.is_synced,
            each.phase == IN_DOUBT,
            z3.Not(worker.is_running),
            z3.Or(z3.Not(each.start.is_sent), each.start.fence < each.fence),
        ),
    )


def _with_known_restart(
    state: InheritedLeases,
    name: str,
    incarnation: z3.ArithRef,
    ends_run: z3.BoolRef,
) -> InheritedLeases:
    """Return the state after a scheduler has learned of a new incarnation.

    A run that an earlier incarnation has listed ended with that one. Otherwise, it is
    kept until its bound is over or the new incarnation has listed its runs.
    """
    each = state.schedulers[name]
    return state.with_scheduler(
        name,
        incarnation=incarnation,
        released_incarnation=z3.If(ends_run, incarnation, each.released_incarnation),
        phase=z3.If(ends_run, WAITING, each.phase),
        is_synced=_FALSE,
        is_listed=z3.And(each.is_listed, z3.Not(ends_run)),
        may_have_late_orders=_TRUE,
        late_orders_until_s=each.all_late_orders_until_s,
    )


def _with_run_given_up(
    state: InheritedLeases, name: str, incarnation: z3.ArithRef
) -> InheritedLeases:
    return state.with_scheduler(
        name, phase=WAITING, is_listed=_FALSE, released_incarnation=incarnation
    )


def _release_steps(
    state: InheritedLeases, name: str
) -> Iterator[Step[InheritedLeases]]:
    each = state.schedulers[name]
    is_late_over = z3.Or(
        z3.Not(each.may_have_late_orders), state.now_s > each.late_end_s
    )
    is_unlisted_over = z3.And(
        state.now_s > each.listed_s, state.now_s > each.unlisted_s
    )
    yield Step(
        f"{name} gives up the run",
        {
            "wait out the lease of a listed run": z3.Or(
                z3.Not(each.is_listed), state.now_s > each.listed_s
            ),
            "wait out the longest lease of another run": z3.Or(
                each.is_listed, is_unlisted_over
            ),
            "wait for late orders after a restart": z3.Or(each.is_listed, is_late_over),
        },
        _with_run_given_up(state, name, each.newest_incarnation),
        when=z3.And(
            each.is_active,
            each.phase == IN_DOUBT,
            each.incarnation >= state.worker.listed_incarnation,
        ),
    )
    moved = state.with_placement(
        phase=ELSEWHERE, released_incarnation=each.released_incarnation
    )
    yield Step(
        f"{name} starts the task elsewhere",
        {},
        replace(moved, written_s=state.now_s).with_scheduler(
            name, confirmed_s=state.now_s, row_write=RowWrite.none()
        ),
        when=z3.And(
            _may_write(state, each),
            each.phase == WAITING,
            state.placement.phase == PLACED,
        ),
    )


def _effect_steps(state: InheritedLeases, name: str) -> Iterator[Step[InheritedLeases]]:
    each, worker = state.schedulers[name], state.worker
    for label, order in (("start", each.start), ("grant", each.grant)):
        arrived = state.with_scheduler(name, **{label: replace(order, is_sent=_FALSE)})
        yield Step(f"the {label} of {name} is lost", {}, arrived, when=order.is_sent)
        is_own = order.incarnation == worker.incarnation
        is_start = label == "start"
        ordinary_s = order.sent_s + ORDINARY_LEASE_S
        longest_s = state.now_s + LONGEST_LEASE_S
        until_s = later(worker.until_s, z3.If(is_own, ordinary_s, longest_s))
        is_in_time = z3.If(
            is_own,
            state.now_s <= ordinary_s,
            may_take_late(state, order),
        )
        effect = (arrived if is_start else state).with_worker(
            fence=later(order.fence, worker.fence),
            is_running=z3.Or(worker.is_running, z3.BoolVal(is_start)),
            until_s=until_s,
        )
        may_start = _may_still_start(state) if is_start else _TRUE
        yield Step(
            f"the {label} of {name} takes effect",
            {},
            effect,
            when=z3.And(
                order.is_sent, order.fence >= worker.fence, is_in_time, may_start
            ),
        )


def _may_still_start(state: InheritedLeases) -> z3.BoolRef:
    """Return whether the worker may carry out the start of a run.

    What an incarnation does that starts after the run was given up is left out.
    """
    latest = [
        z3.Implies(
            state.placement.phase == ELSEWHERE,
            state.worker.incarnation <= state.placement.released_incarnation,
        )
    ]
    for each in state.schedulers.values():
        has_given_up = z3.And(
            each.is_active, each.term == state.term, each.phase == WAITING
        )
        latest.append(
            z3.Implies(
                has_given_up, state.worker.incarnation <= each.released_incarnation
            )
        )
    return z3.And(*latest)


def _may_write(state: InheritedLeases, each: Scheduler) -> z3.BoolRef:
    return z3.And(each.is_active, each.term == state.term, z3.Not(state.is_released))


def _is_valid(state: InheritedLeases, each: Scheduler) -> z3.BoolRef:
    return state.now_s <= each.confirmed_s + OWNER_LEASE_S
