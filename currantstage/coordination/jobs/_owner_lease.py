"""The scheduler's lease: its row, its validity and its takeover."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from functools import partial
from typing import TYPE_CHECKING

from msgspec import Struct

from currantstage.coordination.jobs._inherited_leases import (
    RemainingLease,
    WorkerLeaseRow,
)
from currantstage.state import EntryVmId, VmId
from currantstage.state.jobs import Term, WorkerId

if TYPE_CHECKING:
    from collections.abc import Iterable

    from currantstage.coordination.jobs._scheduler_capacity import SchedulerCapacity
    from currantstage.coordination.jobs._tuning import SchedulerTuning

#: Maximum time that one observation adds to the time that a lease counts as unchanged,
#: as a multiple of the observation interval. Without it, an observer that was paused
#: would count its own pause as silence of the holder.
MAX_STEP_INTERVALS = 2.0
#: How long a daemon leaves the lease to daemons with more capacity, in seconds; longer
#: than the interval at which they read the lease.
DEFERENCE_S = 0.5
#: Minimum ratio of the capacities of two daemons for a difference to count.
MORE_CAPACITY_RATIO = 2.0
#: Value of `LeaseRow.holder` for a lease that has been released.
NO_HOLDER = EntryVmId("")


class ListedVmOrder(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """An order for a VM, as the lease lists it from before its sending.

    Parameters
    ----------
    vm : VmId
    worker : WorkerId
        The worker that the order ends; empty if none is known.
    age_ms : int
        How long before this write the order was last sent, at the latest; zero until
        its call has ended.
    is_upkeep : bool
        Whether it is for maintenance.
    wave : int, optional
        The wave of that maintenance; unknown in a row of an earlier version.
    is_open : bool
        Whether it may still be carried out, as far as its answers tell.
    """

    vm: VmId
    worker: WorkerId = WorkerId("")
    age_ms: int = 0
    is_upkeep: bool = False
    wave: int | None = None
    is_open: bool = False


class LeaseRow(Struct, frozen=True, kw_only=True):
    """Stored row of the lease.

    Parameters
    ----------
    holder : EntryVmId
        Empty once the lease has been released.
    address : str
        Peer address of the holder.
    term : Term
        Incremented by each new holder.
    sequence : int
        Incremented by each write of the holder.
    vm_orders : tuple of ListedVmOrder
        Orders for VMs that this holder or a recent one has sent, or is about to.
    ordered_vms, upkeep_vms : tuple of VmId
        The VMs of these orders, and of those for maintenance that may still be carried
        out, for daemons of an earlier version, whose rows have nothing else.
    earlier_acts_ms : int
        How long after this write earlier holders may still send orders.
    worker_leases : tuple of WorkerLeaseRow
        Workers with runs that this holder doesn't renew, and those whose lease may last
        longer than what is granted now.
    other_leases : RemainingLease or None
        The leases of all other workers, if they are known to end by then, or may last
        longer than what is granted now.
    are_others_renewed : bool
        Whether this holder may renew them.
    lists_late_orders : bool
        Whether `worker_leases` has all workers without runs that orders may still reach
        late. Daemons of former versions don't list them.
    """

    holder: EntryVmId
    address: str
    term: Term
    sequence: int = 0
    vm_orders: tuple[ListedVmOrder, ...] = ()
    ordered_vms: tuple[VmId, ...] = ()
    upkeep_vms: tuple[VmId, ...] = ()
    earlier_acts_ms: int = 0
    worker_leases: tuple[WorkerLeaseRow, ...] = ()
    other_leases: RemainingLease | None = None
    are_others_renewed: bool = True
    lists_late_orders: bool = False

    def all_vm_orders(self) -> tuple[ListedVmOrder, ...]:
        """Return the orders for VMs, also those in a row of an earlier version."""
        listed = {each.vm for each in self.vm_orders}
        others = {*self.ordered_vms, *self.upkeep_vms} - listed
        return self.vm_orders + tuple(
            ListedVmOrder(
                vm=vm,
                is_upkeep=vm in self.upkeep_vms,
                is_open=vm in self.upkeep_vms,
            )
            for vm in sorted(others)
        )


class HolderAnswer(Enum):
    """Result of querying the holder about the lease.

    A refused connection doesn't prove that the holder has ended: a network partition
    between the two daemons may reset connections as well.
    """

    UNKNOWN = "unknown"
    HOLDS = "holds"
    REFUSED = "refused"
    NOT_HOLDER = "gone"


class TakeoverGround(Enum):
    """Why the lease may be taken over."""

    HOLDER_ENDED = "holder-gone"
    HOLDER_SILENT = "holder-silent"


@dataclass(frozen=True, slots=True)
class LeaseTakeover:
    """Permission to take over the lease.

    Parameters
    ----------
    ground : TakeoverGround
    holder_active_s : float
        How much longer earlier holders may send orders, in seconds; what they have
        given to relays may be sent for some time after that. A holder that has
        ended sends none; one that is merely silent may act until its lease has
        expired, even if others have held the lease in the meantime.
    unchanged_s : float
        For how long the lease's row has certainly been unchanged, in seconds.
    worker_leases : tuple of WorkerLeaseRow
    other_leases : RemainingLease or None
    are_others_renewed : bool
    lists_late_orders : bool
        Leases of workers as in `LeaseRow`.
    """

    ground: TakeoverGround
    holder_active_s: float = 0.0
    unchanged_s: float = 0.0
    worker_leases: tuple[WorkerLeaseRow, ...] = ()
    other_leases: RemainingLease | None = None
    are_others_renewed: bool = True
    lists_late_orders: bool = False


def takeover_deference_s(
    own: SchedulerCapacity, peers: Iterable[SchedulerCapacity]
) -> float:
    """Return how long a daemon leaves the lease to its peers before it takes it over.

    Parameters
    ----------
    own : SchedulerCapacity
        Capacity of this daemon.
    peers : iterable of SchedulerCapacity
        Capacities of all known peers, reachable or not.

    Returns
    -------
    float
        Zero if no peer has considerably more capacity.
    """
    most_per_s = max((peer.starts_per_s() for peer in peers), default=0.0)
    has_less = own.starts_per_s() * MORE_CAPACITY_RATIO <= most_per_s
    return DEFERENCE_S if has_less and most_per_s > 0 else 0.0


class LeaseWatch:
    """Decides when the lease of another daemon may be taken over.

    Parameters
    ----------
    interval_s : float
        Observation interval.
    tuning : SchedulerTuning
    """

    def __init__(self, interval_s: float, tuning: SchedulerTuning) -> None:
        self._interval_s = interval_s
        self._tuning = tuning
        self._version = -1
        self._seen_s: float | None = None
        self._unchanged_s = 0.0

    def observe(self, version: int, now_s: float) -> None:
        """Record the version of the lease that was just read."""
        if version != self._version:
            self._version = version
            self._unchanged_s = 0.0
        elif self._seen_s is not None:
            step_s = min(now_s - self._seen_s, MAX_STEP_INTERVALS * self._interval_s)
            self._unchanged_s += step_s
        self._seen_s = now_s

    def record_failed_read(self) -> None:
        """Record a failed read; the time around it doesn't count as unchanged."""
        self._seen_s = None

    def takeover(
        self, row: LeaseRow | None, own: EntryVmId, answer: HolderAnswer
    ) -> LeaseTakeover | None:
        """Return the permission to take the lease over, or None.

        Parameters
        ----------
        row : LeaseRow or None
            The lease as last observed.
        own : EntryVmId
            Id of this daemon. A lease under this id was left by an earlier process.
        answer : HolderAnswer
            Result of querying the holder.
        """
        if row is None:
            return LeaseTakeover(TakeoverGround.HOLDER_ENDED, lists_late_orders=True)
        permit = partial(
            LeaseTakeover,
            unchanged_s=self._unchanged_s,
            worker_leases=row.worker_leases,
            other_leases=row.other_leases,
            are_others_renewed=row.are_others_renewed,
            lists_late_orders=row.lists_late_orders,
        )
        earlier_active_s = row.earlier_acts_ms / 1000
        if row.holder in (NO_HOLDER, own) or answer is HolderAnswer.NOT_HOLDER:
            return permit(TakeoverGround.HOLDER_ENDED, earlier_active_s)
        is_refused = answer is HolderAnswer.REFUSED
        if is_refused or self._unchanged_s >= self._tuning.takeover_ms / 1000:
            # The holder counts its lease from before the write that was seen first.
            lease_s = self._tuning.owner_lease_ms / 1000
            active_s = max(earlier_active_s, lease_s - self._unchanged_s)
            return permit(TakeoverGround.HOLDER_SILENT, active_s)
        return None

    def is_suspect(self) -> bool:
        """Return whether the holder should be queried about the lease."""
        return self._unchanged_s >= self._tuning.suspect_ms / 1000


class HeldLease:
    """The holder's view of its lease, which counts from the sending of each renewal.

    Parameters
    ----------
    tuning : SchedulerTuning
    confirmed_s : float
        When the write that took the lease was sent.
    """

    def __init__(self, tuning: SchedulerTuning, confirmed_s: float) -> None:
        self._tuning = tuning
        self._confirmed_s = confirmed_s
        self._failing_since_s: float | None = None
        self._is_given_up = False

    def give_up(self) -> None:
        """Record that the lease is being released, or is lost: send no more orders.

        From the sending of the write that releases it, another daemon may hold the
        lease, although the response to that write is late or lost.
        """
        self._is_given_up = True

    def confirm(self, sent_s: float) -> None:
        """Record that a write sent at `sent_s` was confirmed."""
        self._confirmed_s = max(self._confirmed_s, sent_s)
        self._failing_since_s = None

    def confirm_unanswered(self) -> None:
        """Record that a write without a response turned out to be stored.

        Which one is unknown, so the lease counts from the first of them.
        """
        if self._failing_since_s is not None:
            self.confirm(self._failing_since_s)

    def record_failure(self, sent_s: float) -> None:
        """Record that a write sent at `sent_s` was not confirmed."""
        if self._failing_since_s is None:
            self._failing_since_s = sent_s

    def is_confirmed_since(self, at_s: float) -> bool:
        """Return whether a write sent after `at_s` was confirmed."""
        return self._confirmed_s > at_s

    def is_valid(self, now_s: float) -> bool:
        """Return whether orders may still be sent."""
        if self._is_given_up:
            return False
        return now_s - self._confirmed_s < self._tuning.owner_lease_ms / 1000

    def is_certainly_held(self, now_s: float) -> bool:
        """Return whether no other daemon can have taken the lease over yet."""
        if self._is_given_up:
            return False
        return now_s - self._confirmed_s < self._tuning.takeover_ms / 1000

    def needs_successor(
        self, now_s: float, answered_call_s: float = float("-inf")
    ) -> bool:
        """Return whether a daemon that can reach the store should take over.

        While the store answers calls that the holder has sent after a failed write, it
        is merely slow or overloaded, and would be so for a successor.

        Parameters
        ----------
        now_s : float
        answered_call_s : float, optional
            When the newest of the holder's calls was sent that the store has answered.
        """
        if self._failing_since_s is None:
            return False
        is_recent = now_s - answered_call_s < self._tuning.takeover_ms / 1000
        is_answering = is_recent and answered_call_s > self._failing_since_s
        if is_answering and self.is_valid(now_s):
            return False
        return now_s - self._failing_since_s >= self._tuning.hand_over_ms / 1000

    def is_renewal_due(self, now_s: float) -> bool:
        """Return whether the lease is due for renewal."""
        return now_s - self._confirmed_s >= self._tuning.renewal_ms / 1000
