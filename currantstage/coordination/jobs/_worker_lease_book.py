"""Which workers a scheduler may grant leases to, as its successor knows."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec.structs import replace

from currantstage.coordination.jobs._inherited_leases import (
    RemainingLease,
    WorkerLeaseListing,
    WorkerLeaseRow,
    remaining_ms,
)
from currantstage.coordination.jobs._worker_clock import longest_lease_s

if TYPE_CHECKING:
    from collections.abc import Iterator

    from currantstage.coordination.jobs._inherited_leases import InheritedLeases
    from currantstage.coordination.jobs._owner_lease import LeaseRow
    from currantstage.coordination.jobs._tuning import SchedulerTuning
    from currantstage.coordination.jobs._worker_state import WorkerState
    from currantstage.coordination.jobs._worker_table import WorkerTable
    from currantstage.state.jobs import WorkerId

#: Sequence number before that of the first write of a term.
BEFORE_FIRST_WRITE = -1
#: Maximum number of workers that a write lists; the store accepts rows of 64 KiB.
MAX_LISTED_WORKERS = 700


class WorkerLeaseBook:
    """Keeps what is stored of the workers' leases true.

    Each write of the scheduler's lease lists the workers that are not renewed, and for
    how long their runs may go on. The next scheduler relies on that, so that none of
    them is granted a lease before a write that doesn't list it has been confirmed.

    Parameters
    ----------
    inherited : InheritedLeases
    tuning : SchedulerTuning
    """

    def __init__(self, inherited: InheritedLeases, tuning: SchedulerTuning) -> None:
        self._inherited = inherited
        self._tuning = tuning
        self._workers: WorkerTable | None = None
        #: Workers without renewal, with the sequence of the last write that lists them.
        self._not_renewed: dict[WorkerId, int] = {}

    def follow(self, workers: WorkerTable) -> None:
        """Store the leases of `workers` from the next write on."""
        self._workers = workers
        workers.inherit(self._inherited)
        workers.may_be_renewed = False
        for state in workers.states():
            self._suspend(state, BEFORE_FIRST_WRITE)

    def is_write_due(self) -> bool:
        """Return whether a worker has been heard of that may not be renewed yet."""
        if self._workers is None:
            return False
        states = map(self._workers.get, self._not_renewed)
        return any(state is not None and state.is_responsive for state in states)

    def listing(self, sequence: int, now_s: float) -> WorkerLeaseListing:
        """Return what the next write stores, and suspend the renewals that it excludes.

        If there are too many workers to list, all that are left out count as renewed,
        with the latest end of their leases, and as having late orders.
        """
        if self._workers is None:
            return self._inherited.listing(now_s)
        granted_end_s = now_s + longest_lease_s(self._tuning.worker_lease_ms)
        rows: list[WorkerLeaseRow] = []
        for state in self._workers.states():
            is_not_renewed = bool(state.runs) and not state.is_responsive
            if is_not_renewed and len(rows) < MAX_LISTED_WORKERS:
                self._suspend(state, sequence)
            if (
                is_not_renewed
                or state.lease.long_end_s > granted_end_s
                or self._has_late_orders(state, now_s)
            ):
                rows.append(self._row(state, now_s))
        rows.extend(self._inherited_rows(self._workers, now_s))
        left_out = rows[MAX_LISTED_WORKERS:]
        knows_late_orders = self._inherited.knows_late_orders(now_s)
        return WorkerLeaseListing(
            worker_leases=tuple(rows[:MAX_LISTED_WORKERS]),
            other_leases=RemainingLease.latest(each.remaining for each in left_out),
            are_others_renewed=True,
            lists_late_orders=knows_late_orders and not left_out,
        )

    def on_stored(self, lease: LeaseRow) -> None:
        """Permit the renewal of the workers that a confirmed write doesn't list."""
        if self._workers is None or not lease.are_others_renewed:
            return
        if not self._workers.may_be_renewed:
            self._workers.may_be_renewed = True
            for state in self._workers.states():
                state.may_be_renewed = state.entry.worker not in self._not_renewed
        for worker, sequence in list(self._not_renewed.items()):
            if sequence < lease.sequence:
                del self._not_renewed[worker]
                heard_of = self._workers.get(worker)
                if heard_of is not None:
                    heard_of.may_be_renewed = True

    def _inherited_rows(
        self, workers: WorkerTable, now_s: float
    ) -> Iterator[WorkerLeaseRow]:
        """Yield what is inherited of workers that were never listed in this term."""
        for row in self._inherited.rows(now_s, without=workers):
            if row.late_orders_ms or row.remaining.listed_ms:
                yield row

    def _has_late_orders(self, state: WorkerState, now_s: float) -> bool:
        """Return whether late orders would not be known by an adopted run."""
        if state.has_adoptable_run():
            return False
        return state.lease.latest_order_s(now_s, self._tuning) > now_s

    def _suspend(self, state: WorkerState, sequence: int) -> None:
        state.may_be_renewed = False
        self._not_renewed[state.entry.worker] = sequence

    def _row(self, state: WorkerState, now_s: float) -> WorkerLeaseRow:
        lease = state.lease
        row = WorkerLeaseRow(
            worker=state.entry.worker,
            remaining=RemainingLease.from_ends(state.run_ends(self._tuning), now_s),
            is_renewed=state.is_responsive,
            allows_late_orders=lease.may_have_late_orders,
        )
        if state.has_adoptable_run() and not lease.may_have_late_orders:
            return row
        latest_order_s = lease.latest_order_s(now_s, self._tuning)
        return replace(
            row,
            late_orders_ms=remaining_ms(latest_order_s, now_s),
            answered_born_ms=lease.answered_born_ms,
        )
