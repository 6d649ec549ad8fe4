"""Bounds of the lease under which a worker's runs go on."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from currantstage.coordination.jobs._worker_clock import longest_lease_s

if TYPE_CHECKING:
    from currantstage.coordination.jobs._tuning import SchedulerTuning

#: How long after its sending a worker carries out an order at the latest, unless it is
#: one of those that are carried out late, in milliseconds.
PROMPT_ORDER_DELAY_MS = 500


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
        When the last lease that the known incarnation may have has certainly expired.
    granted_s : float
        When the last order with a lease was sent, at the latest.
    may_have_late_orders : bool
        The worker has restarted, and the new incarnation has answered no order of its
        own yet, which would make it reject those of before.
    """

    end_s: float = 0.0
    granted_s: float = float("-inf")
    may_have_late_orders: bool = False

    def grant(
        self, now_s: float, tuning: SchedulerTuning, max_delay_s: float = 0.0
    ) -> None:
        """Record that an order with a lease is sent, now or up to `max_delay_s` later.

        The delay doesn't move the end of the lease, unless a later incarnation takes
        the order.
        """
        self.granted_s = max(self.granted_s, now_s + max_delay_s)
        end_s = now_s + longest_lease_s(tuning.worker_lease_ms)
        if end_s > self.end_s:
            self.end_s = end_s

    def extend(self, end_s: float) -> None:
        """Record that the known incarnation may have a lease until `end_s`."""
        self.end_s = max(self.end_s, end_s)

    def on_adopted(self, orders_end_s: float, tuning: SchedulerTuning) -> None:
        """Record a run of an earlier scheduler, which sends no order after that time.

        The worker may have taken an order of it that was meant for an incarnation
        before.
        """
        self.extend(orders_end_s + longest_lease_s(tuning.max_lease_ms))
        if self.may_have_late_orders:
            self.granted_s = max(self.granted_s, orders_end_s)

    def on_restart(self) -> None:
        """Record that a new incarnation is known, which has answered no order yet."""
        self.may_have_late_orders = True

    def on_first_list(self, now_s: float, tuning: SchedulerTuning) -> None:
        """Record the first list under the fence of this scheduler.

        Until then the worker may have taken orders that were meant for an earlier
        incarnation.
        """
        self.extend(now_s + longest_lease_s(tuning.max_lease_ms))
        self.may_have_late_orders = False

    def latest_end_s(self, tuning: SchedulerTuning) -> float:
        """Return when also the lease of an unknown later incarnation has expired."""
        delay_ms = PROMPT_ORDER_DELAY_MS
        if self.may_have_late_orders:
            delay_ms = tuning.max_order_delay_ms
        taken_s = self.granted_s + delay_ms / 1000
        return max(self.end_s, taken_s + longest_lease_s(tuning.max_lease_ms))
