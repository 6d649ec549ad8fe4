"""Bounds of the lease under which a worker's runs go on."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from currantstage.coordination.jobs._worker_clock import (
    PROMPT_ORDER_DELAY_MS,
    longest_lease_s,
)
from currantstage.state.jobs import BornMs, OrderOutcome

if TYPE_CHECKING:
    from currantstage.coordination.jobs._inherited_leases import (
        InheritedLeases,
        RunEnds,
    )
    from currantstage.coordination.jobs._tuning import SchedulerTuning
    from currantstage.state.jobs import WorkerId


@dataclass(slots=True)
class WorkerLease:
    """When the lease of a worker has certainly expired.

    The end of a lease is sent as a time on the worker's clock. On the incarnation whose
    clock was read, an order that is delayed or carried out late doesn't move that end.
    A later incarnation takes such an order as well, but its clock has started anew, so
    that it grants the longest lease.

    Parameters
    ----------
    end_s : float
        When the last lease that was granted to the known incarnation has certainly
        expired.
    long_end_s : float
        The same for longer leases, which it may have taken from orders for an earlier
        incarnation.
    granted_s : float
        When the last order with a lease was sent, at the latest.
    open_grants : int
        Number of orders with a lease that are under way.
    lost_grant_s : float
        When the last order with a lease was found to have no answer, or when a relay
        may have sent it at the latest.
    adopted_end_s : float
        When a run of an earlier scheduler that no list is known to have shown has
        certainly ended, unless the worker has restarted.
    earlier_orders_end_s : float
        When earlier schedulers have sent their last order.
    may_have_late_orders : bool
        The worker has restarted, and the new incarnation has answered no order of its
        own yet, which would make it reject those of before.
    late_orders_until_s : float
        Until when orders of earlier schedulers, and those for earlier incarnations, may
        be carried out by an incarnation that has answered none of its own.
    answered_born_ms : BornMs
        The newest incarnation that is known to have answered one of them; it rejects
        what was sent before.
    """

    end_s: float = 0.0
    long_end_s: float = float("-inf")
    granted_s: float = float("-inf")
    open_grants: int = 0
    lost_grant_s: float = float("-inf")
    adopted_end_s: float = float("-inf")
    earlier_orders_end_s: float = float("-inf")
    may_have_late_orders: bool = False
    late_orders_until_s: float = float("-inf")
    answered_born_ms: BornMs = BornMs(0)

    def grant(
        self, now_s: float, tuning: SchedulerTuning, max_delay_s: float = 0.0
    ) -> None:
        """Record that an order with a lease is sent, now or up to `max_delay_s` later.

        The delay doesn't move the end of the lease, unless a later incarnation takes
        the order.
        """
        self.open_grants += 1
        self.granted_s = max(self.granted_s, now_s + max_delay_s)
        end_s = now_s + longest_lease_s(tuning.worker_lease_ms)
        if end_s > self.end_s:
            self.end_s = end_s

    def settle_grant(
        self,
        outcome: OrderOutcome = OrderOutcome.ACCEPTED,
        now_s: float = float("-inf"),
    ) -> None:
        """Record that the outcome of an order with a lease is known, or never will be.

        One without an answer may be carried out late, also by a later incarnation.
        """
        self.open_grants -= 1
        if outcome is OrderOutcome.UNKNOWN:
            self.lost_grant_s = max(now_s, self.granted_s)

    def latest_order_s(self, now_s: float, tuning: SchedulerTuning) -> float:
        """Return until when a later incarnation may carry out orders of before."""
        sent_s = now_s if self.open_grants else self.lost_grant_s
        delay_s = tuning.max_order_delay_ms / 1000
        return max(self.late_orders_until_s, sent_s + delay_s)

    def extend(self, end_s: float) -> None:
        """Record that the known incarnation may have a longer lease until `end_s`."""
        self.long_end_s = max(self.long_end_s, end_s)

    def inherit(self, leases: InheritedLeases, worker: WorkerId) -> None:
        """Allow for the leases and the late orders of earlier schedulers."""
        self.on_adopted(leases.ends(worker), leases.late_orders_end_s(worker))
        self.extend(leases.stored_end_s(worker))
        self.expect_late_orders(leases.late_orders_until_s(worker))
        self.answered_born_ms = leases.answered_born_ms(worker) or self.answered_born_ms

    def on_adopted(self, ends: RunEnds, orders_end_s: float) -> None:
        """Record when the runs and the orders of earlier schedulers have ended."""
        self.end_s = max(self.end_s, ends.listed_s)
        self.adopted_end_s = max(self.adopted_end_s, ends.unlisted_s)
        self.earlier_orders_end_s = max(self.earlier_orders_end_s, orders_end_s)

    def on_restart(self, tuning: SchedulerTuning) -> None:
        """Record that a new incarnation is known, which has answered no order yet."""
        self.may_have_late_orders = True
        sent_s = max(self.granted_s, self.earlier_orders_end_s)
        self.expect_late_orders(sent_s + tuning.max_order_delay_ms / 1000)

    def expect_late_orders(self, until_s: float) -> None:
        """Record that orders for an earlier incarnation may be carried out until then.

        The next incarnation grants the longest lease for them.
        """
        self.late_orders_until_s = max(self.late_orders_until_s, until_s)

    def on_first_list(
        self, born_ms: BornMs, now_s: float, tuning: SchedulerTuning
    ) -> None:
        """Record the first list under the fence of this scheduler.

        Until then the worker may have taken orders of earlier schedulers, and orders
        that were meant for an earlier incarnation.
        """
        self.end_s = min(self.end_s, now_s + longest_lease_s(tuning.worker_lease_ms))
        if born_ms != self.answered_born_ms:
            taken_s = min(now_s, self.late_orders_until_s)
            self.extend(taken_s + longest_lease_s(tuning.max_lease_ms))
        self.answered_born_ms = born_ms
        self.may_have_late_orders = False

    def listed_end_s(self) -> float:
        """Return when the lease of the known incarnation has expired."""
        return max(self.end_s, self.long_end_s)

    def latest_end_s(self, tuning: SchedulerTuning) -> float:
        """Return when also the lease of an unknown later incarnation has expired."""
        taken_s = self.granted_s + PROMPT_ORDER_DELAY_MS / 1000
        if self.may_have_late_orders:
            sent_s = max(self.granted_s, self.earlier_orders_end_s)
            taken_s = sent_s + tuning.max_order_delay_ms / 1000
        return max(
            self.listed_end_s(),
            self.adopted_end_s,
            taken_s + longest_lease_s(tuning.max_lease_ms),
        )
