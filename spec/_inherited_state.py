"""State of the model of inherited worker leases."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace

import z3

#: Maximum length of a lease that the incarnation grants for which the order was meant,
#: and of one that a later incarnation grants, by the slowest clock, in seconds.
ORDINARY_LEASE_S = z3.Q(408, 100)
LONGEST_LEASE_S = z3.Q(1021, 100)
#: How long after its sending a later incarnation carries out an order at the latest: in
#: general, and if the store lists that incarnation, in seconds. Both include the time
#: for which a relay may keep an order.
PROMPT_ORDER_S = z3.Q(15, 10)
LATE_ORDER_S = z3.RealVal(13)
_TRUE, _FALSE = z3.BoolVal(True), z3.BoolVal(False)
_ZERO, _NO_TIME = z3.IntVal(0), z3.RealVal(0)
#: A time before all others, in seconds.
NEVER_S = z3.RealVal(-1000)
FIRST_INCARNATION = z3.IntVal(1)
#: Phases of the task in a scheduler: it has no run, its placement is stored, it may be
#: running.
WAITING, STORED, IN_DOUBT = map(z3.IntVal, range(3))
#: What is stored of the task: nothing, its placement on the worker, or elsewhere.
UNPLACED, PLACED, ELSEWHERE = map(z3.IntVal, range(3))


@dataclass(frozen=True)
class Order:
    """An order that grants a lease and may still take effect.

    Parameters
    ----------
    is_sent : z3.BoolRef
    sent_s : z3.ArithRef
    fence : z3.ArithRef
    incarnation : z3.ArithRef
        Incarnation for which it was meant.
    """

    is_sent: z3.BoolRef
    sent_s: z3.ArithRef
    fence: z3.ArithRef
    incarnation: z3.ArithRef

    @classmethod
    def fresh(cls, label: str) -> Order:
        """Return an order of fresh constants."""
        return cls(
            is_sent=z3.Bool(f"{label}.is_sent"),
            sent_s=z3.Real(f"{label}.sent_s"),
            fence=z3.Int(f"{label}.fence"),
            incarnation=z3.Int(f"{label}.incarnation"),
        )

    @classmethod
    def none(cls) -> Order:
        """Return that there is no order."""
        return cls(_FALSE, _NO_TIME, _ZERO, _ZERO)


@dataclass(frozen=True)
class LeaseEntry:
    """What the row of the scheduler's lease says about the worker.

    Parameters
    ----------
    is_renewed : z3.BoolRef
        Whether the holder may grant the worker leases.
    listed_s, unlisted_s : z3.ArithRef
        When a run that the incarnation has listed, and any other one, has ended.
    allows_late_orders : z3.BoolRef
        Whether `unlisted_s` allows for orders that are carried out late.
    late_orders_until_s : z3.ArithRef
        Until when such orders may come.
    lists_late_orders : z3.BoolRef
        Whether `late_orders_until_s` is right; if not, it may be any time.
    answered_incarnation : z3.ArithRef
        An incarnation that has answered an order, or zero.
    """

    is_renewed: z3.BoolRef
    listed_s: z3.ArithRef
    unlisted_s: z3.ArithRef
    allows_late_orders: z3.BoolRef
    late_orders_until_s: z3.ArithRef
    lists_late_orders: z3.BoolRef
    answered_incarnation: z3.ArithRef

    @classmethod
    def fresh(cls, label: str) -> LeaseEntry:
        """Return an entry of fresh constants."""
        return cls(
            is_renewed=z3.Bool(f"{label}.is_renewed"),
            listed_s=z3.Real(f"{label}.listed_s"),
            unlisted_s=z3.Real(f"{label}.unlisted_s"),
            allows_late_orders=z3.Bool(f"{label}.allows_late_orders"),
            late_orders_until_s=z3.Real(f"{label}.late_orders_until_s"),
            lists_late_orders=z3.Bool(f"{label}.lists_late_orders"),
            answered_incarnation=z3.Int(f"{label}.answered_incarnation"),
        )

    @classmethod
    def none(cls) -> LeaseEntry:
        """Return the entry of a row that does not name the worker."""
        return cls(_TRUE, _NO_TIME, _NO_TIME, _FALSE, NEVER_S, _TRUE, _ZERO)


@dataclass(frozen=True)
class RowWrite:
    """A write without renewal of the worker that may still take effect.

    Parameters
    ----------
    is_sent : z3.BoolRef
    sent_s : z3.ArithRef
    entry : LeaseEntry
    is_listed : z3.BoolRef
        Whether it stores that an incarnation has listed the run.
    incarnation : z3.ArithRef
        That incarnation.
    """

    is_sent: z3.BoolRef
    sent_s: z3.ArithRef
    entry: LeaseEntry
    is_listed: z3.BoolRef
    incarnation: z3.ArithRef

    @classmethod
    def fresh(cls, label: str) -> RowWrite:
        """Return a write of fresh constants."""
        return cls(
            is_sent=z3.Bool(f"{label}.is_sent"),
            sent_s=z3.Real(f"{label}.sent_s"),
            entry=LeaseEntry.fresh(f"{label}.entry"),
            is_listed=z3.Bool(f"{label}.is_listed"),
            incarnation=z3.Int(f"{label}.incarnation"),
        )

    @classmethod
    def none(cls) -> RowWrite:
        """Return that there is no write."""
        return cls(_FALSE, _NO_TIME, LeaseEntry.none(), _FALSE, _ZERO)


@dataclass(frozen=True)
class Scheduler:
    """One incarnation of a daemon.

    Parameters
    ----------
    is_active, is_releasing : z3.BoolRef
        The latter once it has sent the write that releases its lease.
    term, fence : z3.ArithRef
        Zero until the daemon has held the lease.
    confirmed_s : z3.ArithRef
        When the daemon sent its last confirmed write.
    phase : z3.ArithRef
    incarnation : z3.ArithRef
        Incarnation of the worker that it knows.
    run_incarnation : z3.ArithRef
        Incarnation on which the task was placed, or that has listed the run.
    released_incarnation : z3.ArithRef
        The newest incarnation that it knew when it gave up the run.
    is_synced : z3.BoolRef
        That incarnation has listed its runs under the scheduler's fence.
    is_listed : z3.BoolRef
        `run_incarnation` has listed the run, now or to an earlier scheduler.
    is_renewal_stored : z3.BoolRef
        The scheduler has stored in its term that it renews the worker.
    is_suspended : z3.BoolRef
        It has sent a row since that does not renew the worker.
    granted_end_s, long_end_s : z3.ArithRef
        When the leases that were granted to the known incarnation have expired, and
        longer ones that it may have taken from orders for an earlier incarnation.
    unlisted_s : z3.ArithRef
        As in `LeaseEntry`.
    may_have_late_orders : z3.BoolRef
        The worker has restarted and has not listed its runs since.
    orders_end_s : z3.ArithRef
        When it or an earlier scheduler sends the last order that may be carried out
        late, unless `unlisted_s` or `late_orders_until_s` allows for it.
    late_orders_until_s : z3.ArithRef
        Until when orders for an incarnation before the known one may be carried out.
    answered_incarnation : z3.ArithRef
        The newest incarnation that is known to have answered an order, or zero.
    row_write : RowWrite
    start, grant : Order
        Start of the task, and the newest order that grants a lease.
    """

    is_active: z3.BoolRef
    is_releasing: z3.BoolRef
    term: z3.ArithRef
    fence: z3.ArithRef
    confirmed_s: z3.ArithRef
    phase: z3.ArithRef
    incarnation: z3.ArithRef
    run_incarnation: z3.ArithRef
    released_incarnation: z3.ArithRef
    is_synced: z3.BoolRef
    is_listed: z3.BoolRef
    is_renewal_stored: z3.BoolRef
    is_suspended: z3.BoolRef
    granted_end_s: z3.ArithRef
    long_end_s: z3.ArithRef
    unlisted_s: z3.ArithRef
    may_have_late_orders: z3.BoolRef
    orders_end_s: z3.ArithRef
    late_orders_until_s: z3.ArithRef
    answered_incarnation: z3.ArithRef
    row_write: RowWrite
    start: Order
    grant: Order

    @classmethod
    def fresh(cls, label: str) -> Scheduler:
        """Return a scheduler of fresh constants."""
        return cls(
            is_active=z3.Bool(f"{label}.is_active"),
            is_releasing=z3.Bool(f"{label}.is_releasing"),
            term=z3.Int(f"{label}.term"),
            fence=z3.Int(f"{label}.fence"),
            confirmed_s=z3.Real(f"{label}.confirmed_s"),
            phase=z3.Int(f"{label}.phase"),
            incarnation=z3.Int(f"{label}.incarnation"),
            run_incarnation=z3.Int(f"{label}.run_incarnation"),
            released_incarnation=z3.Int(f"{label}.released_incarnation"),
            is_synced=z3.Bool(f"{label}.is_synced"),
            is_listed=z3.Bool(f"{label}.is_listed"),
            is_renewal_stored=z3.Bool(f"{label}.is_renewal_stored"),
            is_suspended=z3.Bool(f"{label}.is_suspended"),
            granted_end_s=z3.Real(f"{label}.granted_end_s"),
            long_end_s=z3.Real(f"{label}.long_end_s"),
            unlisted_s=z3.Real(f"{label}.unlisted_s"),
            may_have_late_orders=z3.Bool(f"{label}.may_have_late_orders"),
            orders_end_s=z3.Real(f"{label}.orders_end_s"),
            late_orders_until_s=z3.Real(f"{label}.late_orders_until_s"),
            answered_incarnation=z3.Int(f"{label}.answered_incarnation"),
            row_write=RowWrite.fresh(f"{label}.row_write"),
            start=Order.fresh(f"{label}.start"),
            grant=Order.fresh(f"{label}.grant"),
        )

    @classmethod
    def initial(cls) -> Scheduler:
        """Return a daemon that has just started."""
        return cls(
            is_active=_FALSE,
            is_releasing=_FALSE,
            term=_ZERO,
            fence=_ZERO,
            confirmed_s=_NO_TIME,
            phase=WAITING,
            incarnation=_ZERO,
            run_incarnation=_ZERO,
            released_incarnation=_ZERO,
            is_synced=_FALSE,
            is_listed=_FALSE,
            is_renewal_stored=_FALSE,
            is_suspended=_FALSE,
            granted_end_s=_NO_TIME,
            long_end_s=_NO_TIME,
            unlisted_s=_NO_TIME,
            may_have_late_orders=_FALSE,
            orders_end_s=NEVER_S,
            late_orders_until_s=NEVER_S,
            answered_incarnation=_ZERO,
            row_write=RowWrite.none(),
            start=Order.none(),
            grant=Order.none(),
        )

    @property
    def orders(self) -> tuple[Order, Order]:
        """All orders that may still take effect."""
        return self.start, self.grant

    @property
    def newest_incarnation(self) -> z3.ArithRef:
        """The newest incarnation that it knows to have run."""
        return later(self.incarnation, self.run_incarnation)

    @property
    def listed_s(self) -> z3.ArithRef:
        """When the lease of the known incarnation has expired."""
        return later(self.granted_end_s, self.long_end_s)

    @property
    def all_late_orders_until_s(self) -> z3.ArithRef:
        """Until when a next incarnation may carry out orders of before."""
        return later(self.late_orders_until_s, self.orders_end_s + LATE_ORDER_S)

    @property
    def late_end_s(self) -> z3.ArithRef:
        """When the lease by an order that is carried out late has expired."""
        return self.orders_end_s + LATE_ORDER_S + LONGEST_LEASE_S


@dataclass(frozen=True)
class Worker:
    """The worker.

    Parameters
    ----------
    incarnation, listed_incarnation : z3.ArithRef
        The current one, and the one that the store lists.
    fence : z3.ArithRef
        Highest fence that the incarnation has received.
    is_running : z3.BoolRef
        It runs the task.
    until_s : z3.ArithRef
        Latest end of its lease.
    """

    incarnation: z3.ArithRef
    listed_incarnation: z3.ArithRef
    fence: z3.ArithRef
    is_running: z3.BoolRef
    until_s: z3.ArithRef

    @classmethod
    def fresh(cls, label: str) -> Worker:
        """Return a worker of fresh constants."""
        return cls(
            incarnation=z3.Int(f"{label}.incarnation"),
            listed_incarnation=z3.Int(f"{label}.listed_incarnation"),
            fence=z3.Int(f"{label}.fence"),
            is_running=z3.Bool(f"{label}.is_running"),
            until_s=z3.Real(f"{label}.until_s"),
        )


@dataclass(frozen=True)
class Placement:
    """What is stored of the task.

    Parameters
    ----------
    phase : z3.ArithRef
    incarnation : z3.ArithRef
        Incarnation on which it was placed, or that has listed the run.
    is_listed : z3.BoolRef
        Whether that incarnation has listed the run.
    released_incarnation : z3.ArithRef
        Incarnation that was known when the task was started elsewhere.
    """

    phase: z3.ArithRef
    incarnation: z3.ArithRef
    is_listed: z3.BoolRef
    released_incarnation: z3.ArithRef

    @classmethod
    def fresh(cls, label: str) -> Placement:
        """Return a placement of fresh constants."""
        return cls(
            phase=z3.Int(f"{label}.phase"),
            incarnation=z3.Int(f"{label}.incarnation"),
            is_listed=z3.Bool(f"{label}.is_listed"),
            released_incarnation=z3.Int(f"{label}.released_incarnation"),
        )


@dataclass(frozen=True)
class InheritedLeases:
    """State of the whole protocol.

    Parameters
    ----------
    now_s : z3.ArithRef
    term, written_s, earlier_orders_until_s : z3.ArithRef
        As in `Ownership`.
    is_released : z3.BoolRef
        The row names no holder.
    entry : LeaseEntry
        What the row says about the worker.
    placement : Placement
    worker : Worker
    schedulers : mapping of str to Scheduler
    """

    now_s: z3.ArithRef
    term: z3.ArithRef
    written_s: z3.ArithRef
    earlier_orders_until_s: z3.ArithRef
    is_released: z3.BoolRef
    entry: LeaseEntry
    placement: Placement
    worker: Worker
    schedulers: Mapping[str, Scheduler]

    @classmethod
    def fresh(cls, label: str, names: Iterable[str]) -> InheritedLeases:
        """Return a state of fresh constants."""
        return cls(
            now_s=z3.Real(f"{label}.now_s"),
            term=z3.Int(f"{label}.term"),
            written_s=z3.Real(f"{label}.written_s"),
            earlier_orders_until_s=z3.Real(f"{label}.earlier_orders_until_s"),
            is_released=z3.Bool(f"{label}.is_released"),
            entry=LeaseEntry.fresh(f"{label}.entry"),
            placement=Placement.fresh(f"{label}.placement"),
            worker=Worker.fresh(f"{label}.worker"),
            schedulers={name: Scheduler.fresh(f"{label}.{name}") for name in names},
        )

    @classmethod
    def initial(cls, names: Iterable[str]) -> InheritedLeases:
        """Return the state in which nothing has happened yet."""
        return cls(
            now_s=_NO_TIME,
            term=_ZERO,
            written_s=_NO_TIME,
            earlier_orders_until_s=_NO_TIME,
            is_released=_FALSE,
            entry=LeaseEntry.none(),
            placement=Placement(UNPLACED, _ZERO, _FALSE, _ZERO),
            worker=Worker(
                FIRST_INCARNATION, FIRST_INCARNATION, _ZERO, _FALSE, _NO_TIME
            ),
            schedulers=dict.fromkeys(names, Scheduler.initial()),
        )

    def with_scheduler(self, name: str, **changes: object) -> InheritedLeases:
        """Return the state with some fields of one scheduler changed."""
        changed = replace(self.schedulers[name], **changes)  # type: ignore[arg-type]
        return replace(self, schedulers={**self.schedulers, name: changed})

    def with_worker(self, **changes: object) -> InheritedLeases:
        """Return the state with some fields of the worker changed."""
        return replace(self, worker=replace(self.worker, **changes))

    def with_placement(self, **changes: object) -> InheritedLeases:
        """Return the state with some fields of the placement changed."""
        return replace(self, placement=replace(self.placement, **changes))


def later(one: z3.ArithRef, other: z3.ArithRef) -> z3.ArithRef:
    """Return the later one of two times or incarnations."""
    return z3.If(one >= other, one, other)


def earlier(one: z3.ArithRef, other: z3.ArithRef) -> z3.ArithRef:
    """Return the earlier one of two times."""
    return z3.If(one <= other, one, other)


def may_take_late(state: InheritedLeases, order: Order) -> z3.BoolRef:
    """Return whether a later incarnation than the one meant may carry out an order."""
    worker = state.worker
    is_known = worker.listed_incarnation >= worker.incarnation
    return z3.And(
        order.incarnation < worker.incarnation,
        z3.Or(
            state.now_s <= order.sent_s + PROMPT_ORDER_S,
            z3.And(is_known, state.now_s <= order.sent_s + LATE_ORDER_S),
        ),
    )
