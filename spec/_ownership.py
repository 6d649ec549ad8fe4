"""Successive schedulers: the lease, the fences, and where a task may run.

There is one task, and two workers on which it must never run at the same time. Time is
a real number. Schedulers count their lease from before the write that renewed it; a
worker's lease is taken as the maximum, by the slowest clock. A start order may take
effect late or never, and a scheduler that has lost the lease may remain active without
noticing.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, replace
from typing import ClassVar

import z3

from spec._engine import Step, variables

#: Daemons; each may hold the lease again after a restart.
NAMES = ("a", "b")
#: Numbers of the workers in the task's row; zero stands for none.
WORKERS = {"u": 1, "v": 2}
#: How long a scheduler is active after its last confirmed write, in seconds.
OWNER_LEASE_S = z3.RealVal(6)
#: Maximum length of a worker's lease, by the slowest clock, in seconds.
WORKER_LEASE_S = z3.Q(408, 100)
#: Number of fences in one term.
FENCES_PER_TERM = 1000
_TRUE, _FALSE = z3.BoolVal(True), z3.BoolVal(False)
_ZERO, _NO_TIME = z3.IntVal(0), z3.RealVal(0)
#: Phases of the task in a scheduler: it may be placed, its placement is decided, its
#: placement is stored, it may be running.
WAITING, DECIDED, STORED, IN_DOUBT = map(z3.IntVal, range(4))


@dataclass(frozen=True)
class StartOrder:
    """A start order in transit to a worker.

    Parameters
    ----------
    is_sent : z3.BoolRef
    fence : z3.ArithRef
    until_s : z3.ArithRef
        End of the lease that the order grants.
    """

    is_sent: z3.BoolRef
    fence: z3.ArithRef
    until_s: z3.ArithRef

    @classmethod
    def fresh(cls, label: str) -> StartOrder:
        """Return a start order of fresh constants."""
        return cls(
            is_sent=z3.Bool(f"{label}.is_sent"),
            fence=z3.Int(f"{label}.fence"),
            until_s=z3.Real(f"{label}.until_s"),
        )


@dataclass(frozen=True)
class Scheduler:
    """One incarnation of a daemon.

    Parameters
    ----------
    is_active : z3.BoolRef
    term, fence : z3.ArithRef
        Zero until the daemon has held the lease.
    confirmed_s : z3.ArithRef
        When the daemon sent its last confirmed write.
    phase, worker : z3.ArithRef
        Phase of the task as the daemon knows it, and the worker.
    run_end_s : z3.ArithRef
        When the run on the worker has certainly ended, if the worker does not respond.
    starts : mapping of str to StartOrder
    """

    is_active: z3.BoolRef
    term: z3.ArithRef
    fence: z3.ArithRef
    confirmed_s: z3.ArithRef
    phase: z3.ArithRef
    worker: z3.ArithRef
    run_end_s: z3.ArithRef
    starts: Mapping[str, StartOrder]

    @classmethod
    def fresh(cls, label: str) -> Scheduler:
        """Return a scheduler of fresh constants."""
        return cls(
            is_active=z3.Bool(f"{label}.is_active"),
            term=z3.Int(f"{label}.term"),
            fence=z3.Int(f"{label}.fence"),
            confirmed_s=z3.Real(f"{label}.confirmed_s"),
            phase=z3.Int(f"{label}.phase"),
            worker=z3.Int(f"{label}.worker"),
            run_end_s=z3.Real(f"{label}.run_end_s"),
            starts={name: StartOrder.fresh(f"{label}.to_{name}") for name in WORKERS},
        )

    @classmethod
    def initial(cls) -> Scheduler:
        """Return a daemon that has just started."""
        return cls(
            is_active=_FALSE,
            term=_ZERO,
            fence=_ZERO,
            confirmed_s=_NO_TIME,
            phase=WAITING,
            worker=_ZERO,
            run_end_s=_NO_TIME,
            starts=dict.fromkeys(WORKERS, StartOrder(_FALSE, _ZERO, _NO_TIME)),
        )


@dataclass(frozen=True)
class Worker:
    """One worker.

    Parameters
    ----------
    fence : z3.ArithRef
        Highest fence that the worker has received.
    is_running : z3.BoolRef
    until_s : z3.ArithRef
        Latest end of the worker's lease.
    """

    fence: z3.ArithRef
    is_running: z3.BoolRef
    until_s: z3.ArithRef

    @classmethod
    def fresh(cls, label: str) -> Worker:
        """Return a worker of fresh constants."""
        return cls(
            fence=z3.Int(f"{label}.fence"),
            is_running=z3.Bool(f"{label}.is_running"),
            until_s=z3.Real(f"{label}.until_s"),
        )


@dataclass(frozen=True)
class Ownership:
    """State of the whole protocol.

    Parameters
    ----------
    now_s : z3.ArithRef
    term, written_s : z3.ArithRef
        Term of the lease, and when its row was last written.
    earlier_orders_until_s : z3.ArithRef
        Until when holders before the last one may send orders, as stated by the row.
    placed : z3.ArithRef
        Number of the worker in the task's row.
    schedulers : mapping of str to Scheduler
    workers : mapping of str to Worker
    """

    now_s: z3.ArithRef
    term: z3.ArithRef
    written_s: z3.ArithRef
    earlier_orders_until_s: z3.ArithRef
    placed: z3.ArithRef
    schedulers: Mapping[str, Scheduler]
    workers: Mapping[str, Worker]

    def with_scheduler(self, name: str, **changes: object) -> Ownership:
        """Return the state with some fields of one scheduler changed."""
        changed = replace(self.schedulers[name], **changes)  # type: ignore[arg-type]
        return replace(self, schedulers={**self.schedulers, name: changed})

    def with_worker(self, name: str, **changes: object) -> Ownership:
        """Return the state with some fields of one worker changed."""
        changed = replace(self.workers[name], **changes)
        return replace(self, workers={**self.workers, name: changed})


class OwnershipModel:
    """The specification of the scheduler's lease; implements `Model`."""

    name = "ownership"
    search_depth = 17
    prefix = (
        "a takes the lease of a holder that is gone",
        "a decides to place the task on u",
        "a stores the placement on u",
        "a sends a start to u",
    )
    hints: ClassVar[Mapping[str, tuple[str, ...]]] = {
        "ask whether the holder is gone": (
            "b takes the lease of a holder that is gone",
            "time passes",
            "the start of a takes effect on u",
            "a renews the lease of u",
            "time passes",
            "b gives up the run on the unresponsive u",
        ),
        "order only under a valid lease": (
            "time passes",
            "b takes the lease of a silent holder",
            "the start of a takes effect on u",
            "a renews the lease of u",
            "time passes",
            "a renews the lease of u",
            "time passes",
            "b gives up the run on the unresponsive u",
        ),
        "wait for the rest of a silent holder's lease": (
            "the start of a takes effect on u",
            "b takes the lease of a silent holder",
            "time passes",
            "a renews the lease of u",
        ),
        "wait for holders before the last one": (
            "the start of a takes effect on u",
            "b takes the lease of a silent holder",
            "b ends",
            "b restarts",
            "b takes the lease of a holder that is gone",
            "time passes",
            "a renews the lease of u",
            "time passes",
            "b gives up the run on the unresponsive u",
        ),
        "write only under one's own lease": (
            "b takes the lease of a silent holder",
            "b learns from u that nothing runs",
            "time passes",
            "a gives up the run on the unresponsive u",
            "a decides to place the task on v",
            "a stores the placement on v",
            "a sends a start to v",
        ),
        "order only what is stored": (
            "a raises its fence",
            "a learns from u that nothing runs",
            "a decides to place the task on v",
            "a sends a start to v",
            "the start of a takes effect on v",
        ),
    }

    def fresh(self, label: str) -> Ownership:
        """Return a state of fresh constants."""
        return Ownership(
            now_s=z3.Real(f"{label}.now_s"),
            term=z3.Int(f"{label}.term"),
            written_s=z3.Real(f"{label}.written_s"),
            earlier_orders_until_s=z3.Real(f"{label}.earlier_orders_until_s"),
            placed=z3.Int(f"{label}.placed"),
            schedulers={name: Scheduler.fresh(f"{label}.{name}") for name in NAMES},
            workers={name: Worker.fresh(f"{label}.{name}") for name in WORKERS},
        )

    def is_initial(self, state: Ownership) -> z3.BoolRef:
        """Return whether nothing has happened yet."""
        start = Ownership(
            now_s=_NO_TIME,
            term=_ZERO,
            written_s=_NO_TIME,
            earlier_orders_until_s=_NO_TIME,
            placed=_ZERO,
            schedulers=dict.fromkeys(NAMES, Scheduler.initial()),
            workers=dict.fromkeys(WORKERS, Worker(_ZERO, _FALSE, _NO_TIME)),
        )
        pairs = zip(variables(state), variables(start), strict=True)
        return z3.And(*(term == value for (_, term), (_, value) in pairs))

    def safety_properties(self, state: Ownership) -> Mapping[str, z3.BoolRef]:
        """Return the safety properties."""
        running = [worker.is_running for worker in state.workers.values()]
        return {"the task never runs twice at the same time": z3.Not(z3.And(*running))}

    def lemmas(self, state: Ownership) -> Mapping[str, z3.BoolRef]:
        """Return the auxiliary invariants of the proof."""
        parts = {
            "terms, fences and times are ordered": _is_ordered,
            "starts and leases end in time": _is_bounded,
            "observers wait for a deposed scheduler": _is_expiry_wait_sufficient,
            "the row names where the task may be running": _is_placement_stored,
            "the holder knows where the task may be running": _is_holder_informed,
        }
        return {name: part(state) for name, part in parts.items()}

    def steps(self, state: Ownership, label: str) -> list[Step[Ownership]]:
        """Return all steps from `state`."""
        moment_s = z3.Real(f"{label}.moment_s")
        found = [_pass_time(state, moment_s)]
        for name in NAMES:
            found.extend(_lease_steps(state, name, moment_s))
            for worker in WORKERS:
                found.extend(_placement_steps(state, name, worker))
                found.extend(_worker_steps(state, name, worker))
        return found


def _pass_time(state: Ownership, moment_s: z3.ArithRef) -> Step[Ownership]:
    """Return the step that lets time pass; a worker stops runs when its lease ends."""
    after = replace(state, now_s=moment_s)
    for name, worker in state.workers.items():
        is_running = z3.And(worker.is_running, moment_s <= worker.until_s)
        after = after.with_worker(name, is_running=is_running)
    return Step("time passes", {}, after, when=moment_s > state.now_s)


def _lease_steps(
    state: Ownership, name: str, orders_until_s: z3.ArithRef
) -> Iterator[Step[Ownership]]:
    each = state.schedulers[name]
    holders = [
        z3.And(other.is_active, other.term == state.term)
        for other in state.schedulers.values()
    ]
    waits_for_earlier = orders_until_s >= state.earlier_orders_until_s
    is_new = z3.And(
        z3.Not(each.is_active), each.term == 0, orders_until_s >= state.now_s
    )
    yield Step(
        f"{name} takes the lease of a holder that is gone",
        {
            "ask whether the holder is gone": z3.Not(z3.Or(*holders)),
            "wait for holders before the last one": waits_for_earlier,
        },
        _with_taken_lease(state, name, orders_until_s),
        when=is_new,
    )
    yield Step(
        f"{name} takes the lease of a silent holder",
        {
            "wait for the rest of a silent holder's lease": (
                orders_until_s >= state.written_s + OWNER_LEASE_S
            ),
            "wait for holders before the last one": waits_for_earlier,
        },
        _with_taken_lease(state, name, orders_until_s),
        when=is_new,
    )
    renewed = state.with_scheduler(name, confirmed_s=state.now_s)
    yield Step(
        f"{name} renews its own lease",
        {},
        replace(renewed, written_s=state.now_s),
        when=z3.And(each.is_active, each.term == state.term),
    )
    yield Step(
        f"{name} ends",
        {},
        state.with_scheduler(name, is_active=_FALSE),
        when=each.is_active,
    )
    has_no_pending_order = z3.Not(
        z3.Or(*(start.is_sent for start in each.starts.values()))
    )
    yield Step(
        f"{name} restarts",
        {},
        replace(state, schedulers={**state.schedulers, name: Scheduler.initial()}),
        when=z3.And(z3.Not(each.is_active), each.term > 0, has_no_pending_order),
    )
    yield Step(
        f"{name} raises its fence",
        {},
        state.with_scheduler(name, fence=each.fence + 1),
        when=z3.And(each.is_active, each.fence + 1 < _fence_end(each.term)),
    )


def _with_taken_lease(
    state: Ownership, name: str, orders_until_s: z3.ArithRef
) -> Ownership:
    """Return the state after a daemon has taken the lease and read the row."""
    term = state.term + 1
    scheduler = Scheduler(
        is_active=_TRUE,
        term=term,
        fence=term * FENCES_PER_TERM,
        confirmed_s=state.now_s,
        phase=z3.If(state.placed == 0, WAITING, IN_DOUBT),
        worker=state.placed,
        run_end_s=orders_until_s + WORKER_LEASE_S,
        starts=state.schedulers[name].starts,
    )
    return replace(
        state,
        term=term,
        written_s=state.now_s,
        earlier_orders_until_s=orders_until_s,
        schedulers={**state.schedulers, name: scheduler},
    )


def _placement_steps(
    state: Ownership, name: str, worker: str
) -> Iterator[Step[Ownership]]:
    each, number = state.schedulers[name], WORKERS[worker]
    yield Step(
        f"{name} decides to place the task on {worker}",
        {},
        state.with_scheduler(name, phase=DECIDED, worker=z3.IntVal(number)),
        when=z3.And(each.is_active, each.phase == WAITING),
    )
    stored = state.with_scheduler(name, phase=STORED, confirmed_s=state.now_s)
    yield Step(
        f"{name} stores the placement on {worker}",
        {"write only under one's own lease": each.term == state.term},
        replace(stored, placed=z3.IntVal(number), written_s=state.now_s),
        when=z3.And(each.is_active, each.phase == DECIDED, each.worker == number),
    )
    until_s = state.now_s + WORKER_LEASE_S
    start = StartOrder(_TRUE, each.fence, until_s)
    yield Step(
        f"{name} sends a start to {worker}",
        {
            "order only what is stored": each.phase == STORED,
            "order only under a valid lease": _is_valid(state, each),
        },
        state.with_scheduler(
            name,
            phase=IN_DOUBT,
            run_end_s=until_s,
            starts={**each.starts, worker: start},
        ),
        when=z3.And(
            each.is_active,
            z3.Or(each.phase == STORED, each.phase == DECIDED),
            each.worker == number,
            z3.Not(each.starts[worker].is_sent),
        ),
    )
    yield Step(
        f"{name} gives up the run on the unresponsive {worker}",
        {"wait out the worker's lease": state.now_s > each.run_end_s},
        state.with_scheduler(name, phase=WAITING, worker=_ZERO),
        when=z3.And(each.is_active, each.phase == IN_DOUBT, each.worker == number),
    )


def _worker_steps(
    state: Ownership, name: str, worker: str
) -> Iterator[Step[Ownership]]:
    each, target, number = (
        state.schedulers[name],
        state.workers[worker],
        WORKERS[worker],
    )
    start = each.starts[worker]
    arrived = state.with_scheduler(
        name, starts={**each.starts, worker: replace(start, is_sent=_FALSE)}
    )
    yield Step(
        f"the start of {name} is lost on its way to {worker}",
        {},
        arrived,
        when=start.is_sent,
    )
    yield Step(
        f"the start of {name} takes effect on {worker}",
        {"reject a lower fence": start.fence >= target.fence},
        arrived.with_worker(
            worker,
            fence=_later(start.fence, target.fence),
            is_running=_TRUE,
            until_s=z3.If(
                target.is_running, _later(start.until_s, target.until_s), start.until_s
            ),
        ),
        when=z3.And(start.is_sent, state.now_s <= start.until_s),
    )
    is_reachable = z3.And(each.is_active, each.fence >= target.fence)
    until_s = state.now_s + WORKER_LEASE_S
    valid = {"order only under a valid lease": _is_valid(state, each)}
    renewed = state.with_worker(
        worker,
        fence=each.fence,
        until_s=z3.If(target.is_running, until_s, target.until_s),
    )
    is_here = z3.And(each.phase == IN_DOUBT, each.worker == number)
    yield Step(
        f"{name} renews the lease of {worker}",
        valid,
        renewed.with_scheduler(
            name,
            run_end_s=z3.If(
                z3.And(is_here, target.is_running),
                _later(each.run_end_s, until_s),
                each.run_end_s,
            ),
        ),
        when=is_reachable,
    )
    yield Step(
        f"{name} learns from {worker} that nothing runs",
        {
            **valid,
            "void one's own start first": z3.Or(
                z3.Not(start.is_sent), start.fence < each.fence
            ),
        },
        renewed.with_scheduler(name, phase=WAITING, worker=_ZERO),
        when=z3.And(is_reachable, is_here, z3.Not(target.is_running)),
    )


def _later(one: z3.ArithRef, other: z3.ArithRef) -> z3.ArithRef:
    return z3.If(one >= other, one, other)


def _fence_end(term: z3.ArithRef) -> z3.ArithRef:
    return (term + 1) * FENCES_PER_TERM


def _is_valid(state: Ownership, each: Scheduler) -> z3.BoolRef:
    return state.now_s <= each.confirmed_s + OWNER_LEASE_S


def _may_order(state: Ownership, each: Scheduler, target: Worker) -> z3.BoolRef:
    """Return whether a worker would execute an order of a scheduler now."""
    return z3.And(each.is_active, _is_valid(state, each), each.fence >= target.fence)


def _is_live(state: Ownership, start: StartOrder, target: Worker) -> z3.BoolRef:
    """Return whether a start order in transit may still take effect."""
    return z3.And(
        start.is_sent, start.fence >= target.fence, state.now_s <= start.until_s
    )


def _may_run(state: Ownership, worker: str) -> z3.BoolRef:
    """Return whether the task runs on a worker, or may start there without a write."""
    target = state.workers[worker]
    possibilities = [target.is_running]
    for each in state.schedulers.values():
        possibilities.append(_is_live(state, each.starts[worker], target))
        possibilities.append(
            z3.And(
                _may_order(state, each, target),
                each.phase == STORED,
                each.worker == WORKERS[worker],
            )
        )
    return z3.Or(*possibilities)


def _is_holder(state: Ownership, each: Scheduler) -> z3.BoolRef:
    return z3.And(each.is_active, each.term == state.term)


def _is_ordered(state: Ownership) -> z3.BoolRef:
    parts = [state.now_s >= 0, state.written_s <= state.now_s, state.term >= 0]
    parts.append(z3.And(state.placed >= 0, state.placed <= len(WORKERS)))
    for each in state.schedulers.values():
        first = each.term * FENCES_PER_TERM
        parts += [
            z3.And(each.term >= 0, each.term <= state.term),
            z3.And(each.fence >= first, each.fence < _fence_end(each.term)),
            each.confirmed_s <= state.now_s,
            z3.Implies(each.term == 0, z3.Not(each.is_active)),
            z3.Implies(_is_holder(state, each), each.confirmed_s <= state.written_s),
            z3.And(each.phase >= WAITING, each.phase <= IN_DOUBT),
            z3.Implies(each.phase != WAITING, each.worker >= 1),
            each.worker <= len(WORKERS),
        ]
        for start in each.starts.values():
            is_own = z3.And(start.fence >= first, start.fence <= each.fence)
            parts.append(z3.Implies(start.is_sent, z3.And(is_own, each.term > 0)))
        for target in state.workers.values():
            is_own = z3.And(each.term > 0, target.fence < _fence_end(each.term))
            parts.append(z3.Implies(is_own, target.fence <= each.fence))
    one, other = state.schedulers.values()
    parts.append(z3.Implies(one.term > 0, one.term != other.term))
    parts += [
        target.fence < _fence_end(state.term) for target in state.workers.values()
    ]
    return z3.And(*parts)


def _is_bounded(state: Ownership) -> z3.BoolRef:
    latest_s = state.now_s + WORKER_LEASE_S
    parts = []
    for target in state.workers.values():
        is_in_time = z3.And(state.now_s <= target.until_s, target.until_s <= latest_s)
        parts.append(z3.Implies(target.is_running, is_in_time))
    for each in state.schedulers.values():
        for start in each.starts.values():
            parts.append(z3.Implies(start.is_sent, start.until_s <= latest_s))
    return z3.And(*parts)


def _is_expiry_wait_sufficient(state: Ownership) -> z3.BoolRef:
    """Return whether the row bounds the time of orders of deposed schedulers."""
    return z3.And(
        *(
            z3.Implies(
                z3.And(each.is_active, each.term < state.term),
                each.confirmed_s + OWNER_LEASE_S <= state.earlier_orders_until_s,
            )
            for each in state.schedulers.values()
        )
    )


def _is_placement_stored(state: Ownership) -> z3.BoolRef:
    return z3.And(
        *(
            z3.Implies(_may_run(state, worker), state.placed == number)
            for worker, number in WORKERS.items()
        )
    )


def _is_holder_informed(state: Ownership) -> z3.BoolRef:
    """Return whether the holder knows where the task may run, and until when."""
    parts = []
    for name, each in state.schedulers.items():
        is_holder = _is_holder(state, each)
        is_idle = z3.Or(each.phase == WAITING, each.phase == DECIDED)
        anywhere = z3.Or(*(_may_run(state, worker) for worker in WORKERS))
        parts.append(z3.Implies(z3.And(is_holder, is_idle), z3.Not(anywhere)))
        is_placed = z3.And(is_holder, z3.Not(is_idle))
        parts.append(z3.Implies(is_placed, each.worker == state.placed))
        for worker in WORKERS:
            is_end_bounded = _is_run_end_bounded(state, name, worker)
            is_doubt = z3.And(is_holder, each.phase == IN_DOUBT)
            parts.append(z3.Implies(is_doubt, is_end_bounded))
            is_stored = z3.And(is_holder, each.phase == STORED)
            parts.append(z3.Implies(is_stored, _is_only_own(state, name, worker)))
    return z3.And(*parts)


def _is_run_end_bounded(state: Ownership, name: str, worker: str) -> z3.BoolRef:
    """Return whether the holder's wait covers every run that a worker may have."""
    run_end_s, target = state.schedulers[name].run_end_s, state.workers[worker]
    parts = [z3.Implies(target.is_running, target.until_s <= run_end_s)]
    for other_name, other in state.schedulers.items():
        start = other.starts[worker]
        is_live = _is_live(state, start, target)
        parts.append(z3.Implies(is_live, start.until_s <= run_end_s))
        if other_name != name:
            may_prolong = z3.Or(
                target.is_running,
                _is_live(state, start, target),
                z3.And(other.phase == STORED, other.worker == WORKERS[worker]),
            )
            latest_s = other.confirmed_s + OWNER_LEASE_S + WORKER_LEASE_S
            parts.append(
                z3.Implies(
                    z3.And(_may_order(state, other, target), may_prolong),
                    latest_s <= run_end_s,
                )
            )
    return z3.And(*parts)


def _is_only_own(state: Ownership, name: str, worker: str) -> z3.BoolRef:
    """Return whether only the holder's next start order can make the task run."""
    target = state.workers[worker]
    parts = [z3.Not(target.is_running)]
    for other_name, other in state.schedulers.items():
        parts.append(z3.Not(_is_live(state, other.starts[worker], target)))
        if other_name != name:
            is_stored = z3.And(other.phase == STORED, other.worker == WORKERS[worker])
            parts.append(z3.Not(z3.And(_may_order(state, other, target), is_stored)))
    return z3.And(*parts)
