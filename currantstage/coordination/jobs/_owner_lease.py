"""The scheduler's lease: who holds it, for how long, and when another may take it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from msgspec import Struct

from currantstage.state import EntryVmId, VmId
from currantstage.state.jobs import Term

if TYPE_CHECKING:
    from currantstage.coordination.jobs._tuning import SchedulerTuning

#: Most that one observation adds to the time that a lease has stood unchanged, as a
#: multiple of the interval of observations; a paused observer learns nothing by it.
MAX_STEP = 2.0
#: Holder of a lease that has been given up.
NOBODY = EntryVmId("")


class LeaseRow(Struct, frozen=True, kw_only=True):
    """What is stored of the lease.

    Parameters
    ----------
    holder : EntryVmId
        Empty once the lease has been given up.
    address : str
        Where the holder answers its peers.
    term : Term
        Rises with each holder.
    sequence : int
        Rises with each write of the holder.
    ordered_vms : tuple of VmId
        VMs that this holder, or one just before it, has ordered or is about to.
    earlier_acts_ms : int
        For how long after this write holders before this one may give orders.
    """

    holder: EntryVmId
    address: str
    term: Term
    sequence: int = 0
    ordered_vms: tuple[VmId, ...] = ()
    earlier_acts_ms: int = 0


class HolderAnswer(Enum):
    """What is known of a lease's holder from asking it.

    A refused connection is no proof that the holder is gone: a cut between the two
    may answer in its place.
    """

    UNKNOWN = "unknown"
    HOLDS = "holds"
    REFUSED = "refused"
    GONE = "gone"


class ClaimGround(Enum):
    """Why a lease may be taken."""

    HOLDER_GONE = "holder-gone"
    HOLDER_SILENT = "holder-silent"


@dataclass(frozen=True, slots=True)
class LeaseClaim:
    """The right to take a lease.

    Parameters
    ----------
    ground : ClaimGround
    holder_acts_s : float
        How much longer earlier holders may give orders, in seconds. One that is gone
        gives none; one that is merely silent may act until its lease has ended, also
        while the holder after it comes and goes.
    """

    ground: ClaimGround
    holder_acts_s: float = 0.0


class LeaseWatch:
    """Decides when the lease of another daemon may be taken.

    Parameters
    ----------
    interval_s : float
        Time between two observations.
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
            step_s = min(now_s - self._seen_s, MAX_STEP * self._interval_s)
            self._unchanged_s += step_s
        self._seen_s = now_s

    def miss(self) -> None:
        """Record a failed reading; the time around it does not count as unchanged."""
        self._seen_s = None

    def claim(
        self, row: LeaseRow | None, own: EntryVmId, answer: HolderAnswer
    ) -> LeaseClaim | None:
        """Return the claim to the lease; None if it may not be taken.

        Parameters
        ----------
        row : LeaseRow or None
            The lease as it was last observed.
        own : EntryVmId
            A lease of this daemon's own is one that an earlier start of it left.
        answer : HolderAnswer
            What the holder says when it is asked.
        """
        if row is None:
            return LeaseClaim(ClaimGround.HOLDER_GONE)
        earlier_acts_s = row.earlier_acts_ms / 1000
        if row.holder in (NOBODY, own) or answer is HolderAnswer.GONE:
            return LeaseClaim(ClaimGround.HOLDER_GONE, earlier_acts_s)
        is_refused = answer is HolderAnswer.REFUSED
        if is_refused or self._unchanged_s >= self._tuning.takeover_ms / 1000:
            # It counts its lease from before the write that was first seen then.
            lease_s = self._tuning.owner_lease_ms / 1000
            acts_s = max(earlier_acts_s, lease_s - self._unchanged_s)
            return LeaseClaim(ClaimGround.HOLDER_SILENT, acts_s)
        return None

    def is_suspect(self) -> bool:
        """Return whether the holder should be asked to give the lease up."""
        return self._unchanged_s >= self._tuning.suspect_ms / 1000


class HeldLease:
    """The lease as its holder counts it: from before it asked for each renewal.

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

    def confirm(self, sent_s: float) -> None:
        """Record that a write sent at `sent_s` was confirmed."""
        self._confirmed_s = max(self._confirmed_s, sent_s)
        self._failing_since_s = None

    def note_failure(self, sent_s: float) -> None:
        """Record that a write sent at `sent_s` was not confirmed."""
        if self._failing_since_s is None:
            self._failing_since_s = sent_s

    def is_confirmed_since(self, at_s: float) -> bool:
        """Return whether a write sent after `at_s` was confirmed."""
        return self._confirmed_s > at_s

    def is_valid(self, now_s: float) -> bool:
        """Return whether orders may still be given."""
        return now_s - self._confirmed_s < self._tuning.owner_lease_ms / 1000

    def is_fresh(self, now_s: float) -> bool:
        """Return whether no other daemon can have taken the lease yet."""
        return now_s - self._confirmed_s < self._tuning.takeover_ms / 1000

    def wants_successor(self, now_s: float) -> bool:
        """Return whether a daemon that the store answers should take over."""
        if self._failing_since_s is None:
            return False
        return now_s - self._failing_since_s >= self._tuning.hand_over_ms / 1000

    def wants_renewal(self, now_s: float) -> bool:
        """Return whether the lease is due for renewal."""
        return now_s - self._confirmed_s >= self._tuning.renewal_ms / 1000
