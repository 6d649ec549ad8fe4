"""Leases of workers as one scheduler leaves them to the next."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

from msgspec import Struct
from msgspec.structs import replace

from currantstage.coordination.jobs._start_relays import RELAY_PERMIT_S
from currantstage.coordination.jobs._worker_clock import (
    PROMPT_ORDER_DELAY_MS,
    longest_lease_s,
)
from currantstage.state.jobs import BornMs, WorkerId

if TYPE_CHECKING:
    from collections.abc import Container, Iterable

    from currantstage.coordination.jobs._owner_lease import LeaseTakeover
    from currantstage.coordination.jobs._run import Run
    from currantstage.coordination.jobs._tuning import SchedulerTuning


class RunEnds(NamedTuple):
    """When the runs on a worker have certainly ended if it stays silent.

    Parameters
    ----------
    listed_s : float
        For runs that the known incarnation of the worker has listed, in seconds.
    unlisted_s : float
        For all others, which a later incarnation may have started, in seconds.
    """

    listed_s: float
    unlisted_s: float

    def of(self, run: Run) -> float:
        """Return when `run` has ended, in seconds."""
        return self.listed_s if run.is_bound_to_incarnation else self.unlisted_s

    def latest(self, other: RunEnds) -> RunEnds:
        """Return the later one of each end."""
        return RunEnds(
            max(self.listed_s, other.listed_s), max(self.unlisted_s, other.unlisted_s)
        )


class RemainingLease(Struct, frozen=True, array_like=True):
    """How long after a write of the scheduler's lease runs on a worker may go on.

    Parameters
    ----------
    listed_ms, unlisted_ms : int
        For runs as in `RunEnds`.
    """

    listed_ms: int
    unlisted_ms: int

    @classmethod
    def from_ends(cls, ends: RunEnds, now_s: float) -> RemainingLease:
        """Return what remains of a lease at the time of a write."""
        return cls(
            listed_ms=remaining_ms(ends.listed_s, now_s),
            unlisted_ms=remaining_ms(ends.unlisted_s, now_s),
        )

    @classmethod
    def latest(cls, leases: Iterable[RemainingLease]) -> RemainingLease | None:
        """Return one that lasts as long as each of `leases`; None if there are none."""
        found = list(leases)
        if not found:
            return None
        return cls(
            listed_ms=max(each.listed_ms for each in found),
            unlisted_ms=max(each.unlisted_ms for each in found),
        )

    def ends(self, at_s: float) -> RunEnds:
        """Return the ends if the write was made by `at_s`."""
        return RunEnds(at_s + self.listed_ms / 1000, at_s + self.unlisted_ms / 1000)


class WorkerLeaseRow(Struct, frozen=True, array_like=True):
    """The lease of one worker, as it is stored with the scheduler's lease.

    Parameters
    ----------
    worker : WorkerId
    remaining : RemainingLease
    is_renewed : bool
        Whether the scheduler may grant the worker further leases after the write.
    allows_late_orders : bool
        Whether `remaining` allows for orders that an incarnation which starts later
        carries out late.
    late_orders_ms : int
        How long after the write such orders may come, if any are known.
    answered_born_ms : BornMs
        The newest incarnation that has answered an order and so rejects earlier ones.
    """

    worker: WorkerId
    remaining: RemainingLease
    is_renewed: bool = False
    allows_late_orders: bool = False
    late_orders_ms: int = 0
    answered_born_ms: BornMs = BornMs(0)


@dataclass(frozen=True, slots=True)
class WorkerLeaseListing:
    """What a write of the scheduler's lease says of the workers' leases.

    Parameters
    ----------
    worker_leases : tuple of WorkerLeaseRow
    other_leases : RemainingLease or None
    are_others_renewed : bool
    lists_late_orders : bool
        As in `LeaseRow`.
    """

    worker_leases: tuple[WorkerLeaseRow, ...] = ()
    other_leases: RemainingLease | None = None
    are_others_renewed: bool = False
    lists_late_orders: bool = True


class InheritedLeases:
    """What a scheduler knows of the workers' leases before it has heard of them.

    Parameters
    ----------
    takeover : LeaseTakeover
    taken_s : float
        When the write that took the scheduler's lease over was sent.
    tuning : SchedulerTuning
    """

    def __init__(
        self, takeover: LeaseTakeover, taken_s: float, tuning: SchedulerTuning
    ) -> None:
        #: When the lease row that was taken over had been written, at the latest.
        self._written_s = taken_s - takeover.unchanged_s
        self._granted_lease_s = longest_lease_s(tuning.worker_lease_ms)
        #: Until when earlier schedulers may send orders, without those of their relays.
        self.holders_active_until_s = taken_s + takeover.holder_active_s
        self._rows = {each.worker: each for each in takeover.worker_leases}
        self._lists_late_orders = takeover.lists_late_orders
        self._all_late_orders_until_s = (
            self.holders_active_until_s
            + RELAY_PERMIT_S
            + tuning.max_order_delay_ms / 1000
        )
        #: When also longer leases of workers without a row have ended.
        self._stored_end_s = float("-inf")
        self._other_ends = _granted_ends(self.holders_active_until_s, tuning)
        if takeover.other_leases is not None:
            ends = takeover.other_leases.ends(self._written_s)
            self._stored_end_s = ends.listed_s
            if takeover.are_others_renewed:
                ends = ends.latest(self._other_ends)
            self._other_ends = ends

    def ends(self, worker: WorkerId) -> RunEnds:
        """Return when runs on `worker` have ended unless this scheduler renews them."""
        row = self._rows.get(worker)
        if row is None:
            return self._other_ends
        ends = row.remaining.ends(self._written_s)
        return ends.latest(self._other_ends) if row.is_renewed else ends

    def stored_end_s(self, worker: WorkerId) -> float:
        """Return the end of a lease of `worker` that may be a longer one."""
        row = self._rows.get(worker)
        if row is None:
            return self._stored_end_s
        return row.remaining.ends(self._written_s).listed_s

    def unrenewed_since_s(self, worker: WorkerId) -> float | None:
        """Return when the lease of `worker` was last renewed, at the latest.

        None if an earlier scheduler may still have renewed it when it was replaced.
        """
        row = self._rows.get(worker)
        if row is None or row.is_renewed:
            return None
        return row.remaining.ends(self._written_s).listed_s - self._granted_lease_s

    def late_orders_end_s(self, worker: WorkerId) -> float:
        """Return when the last order was sent that `ends` doesn't allow to be late."""
        row = self._rows.get(worker)
        if row is not None and row.allows_late_orders and not row.is_renewed:
            return float("-inf")
        return self.holders_active_until_s + RELAY_PERMIT_S

    def late_orders_until_s(self, worker: WorkerId) -> float:
        """Return until when a worker that has restarted may carry out orders of before.

        A worker with stored runs was sent orders anyway; `late_orders_end_s` has them.
        """
        if not self._lists_late_orders:
            return self._all_late_orders_until_s
        row = self._rows.get(worker)
        if row is None or not row.late_orders_ms:
            return float("-inf")
        return self._written_s + row.late_orders_ms / 1000

    def answered_born_ms(self, worker: WorkerId) -> BornMs:
        """Return which incarnation of a worker is stored to have answered an order."""
        row = self._rows.get(worker)
        return row.answered_born_ms if row is not None else BornMs(0)

    def knows_late_orders(self, now_s: float) -> bool:
        """Return whether a worker without a row can't take a late order any more."""
        return self._lists_late_orders or now_s > self._all_late_orders_until_s

    def rows(
        self, now_s: float, without: Container[WorkerId] = ()
    ) -> tuple[WorkerLeaseRow, ...]:
        """Return what is to be stored of workers that this scheduler doesn't know.

        It knows those in `without`.
        """
        return tuple(
            self._updated(row, now_s)
            for row in self._rows.values()
            if row.worker not in without
        )

    def _updated(self, row: WorkerLeaseRow, now_s: float) -> WorkerLeaseRow:
        ends = row.remaining.ends(self._written_s)
        late_orders_until_s = self.late_orders_until_s(row.worker)
        return replace(
            row,
            remaining=RemainingLease.from_ends(ends, now_s),
            late_orders_ms=remaining_ms(late_orders_until_s, now_s),
        )

    def listing(self, now_s: float) -> WorkerLeaseListing:
        """Return what is to be stored before this scheduler has renewed any lease."""
        return WorkerLeaseListing(
            worker_leases=self.rows(now_s),
            other_leases=RemainingLease.from_ends(self._other_ends, now_s),
            lists_late_orders=self.knows_late_orders(now_s),
        )


def _granted_ends(orders_end_s: float, tuning: SchedulerTuning) -> RunEnds:
    """Return the ends on a worker that may have been granted leases until then.

    The permit of a relay delays a start, but doesn't move the end of the lease that
    it grants to the known incarnation.
    """
    return RunEnds(
        listed_s=orders_end_s + longest_lease_s(tuning.worker_lease_ms),
        unlisted_s=orders_end_s
        + RELAY_PERMIT_S
        + PROMPT_ORDER_DELAY_MS / 1000
        + longest_lease_s(tuning.max_lease_ms),
    )


def remaining_ms(end_s: float, now_s: float) -> int:
    """Return the time until `end_s`, rounded up, in milliseconds."""
    return math.ceil(max(0.0, end_s - now_s) * 1000)
