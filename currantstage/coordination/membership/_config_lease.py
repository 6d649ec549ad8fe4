"""The configuration lease, under which an entry VM may serve keyed work."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NewType

from currantstage.coordination.store._lease_time import (
    RENEWALS_PER_LEASE,
    lease_expiry_s,
)

#: Sequence number of a renewal within one process.
RenewalNumber = NewType("RenewalNumber", int)

#: Maximum number of renewals that await confirmation at once.
MAX_PENDING_RENEWALS = 16


@dataclass(frozen=True, slots=True)
class Renewal:
    """A renewal that was sent.

    Parameters
    ----------
    number : RenewalNumber
    sent_s : float
        Time on the holder's clock just before it was sent, in seconds.
    lease_s : float
        Length of the lease that it requests, in seconds.
    """

    number: RenewalNumber
    sent_s: float
    lease_s: float


class ConfigLease:
    """The holder's side of one entry VM's configuration lease.

    The length of the lease counts from just before its renewal was sent. Sending a
    renewal with a shorter length shortens the lease immediately: its reply may be
    lost, while an observer that waits for the lease to expire already reads the
    shorter length from the row.
    """

    def __init__(self) -> None:
        self._expiry_s = float("-inf")
        self._is_released = False
        self._last = Renewal(RenewalNumber(0), float("-inf"), 0.0)
        self._confirmed = self._last
        self._pending: dict[RenewalNumber, Renewal] = {}

    @property
    def expiry_s(self) -> float:
        """When the lease expires on this process's clock, in seconds."""
        return self._expiry_s

    @property
    def is_released(self) -> bool:
        """Whether the lease was released, which is final."""
        return self._is_released

    def is_held(self, now_s: float) -> bool:
        """Return whether the lease is neither released nor expired."""
        return not self._is_released and now_s < self._expiry_s

    def is_due(self, now_s: float) -> bool:
        """Return whether the next renewal is due."""
        confirmed = self._confirmed
        return now_s >= confirmed.sent_s + confirmed.lease_s / RENEWALS_PER_LEASE

    def release(self) -> None:
        """Release the lease; no later renewal extends it."""
        self._is_released = True

    def start_renewal(self, now_s: float, lease_s: float) -> Renewal:
        """Record and return a renewal that is sent at `now_s`."""
        number = RenewalNumber(self._last.number + 1)
        self._last = Renewal(number, now_s, lease_s)
        self._pending[number] = self._last
        self._pending.pop(RenewalNumber(number - MAX_PENDING_RENEWALS), None)
        self._expiry_s = min(self._expiry_s, lease_expiry_s(now_s, lease_s))
        return self._last

    def confirm(self, number: RenewalNumber) -> None:
        """Extend the lease by a renewal that took effect; idempotent.

        A later renewal with a shorter length may have taken effect as well, so the
        lease is extended no further than every later renewal allows.
        """
        if number not in self._pending:
            return
        self._pending = {n: each for n, each in self._pending.items() if n >= number}
        end_s = min(
            lease_expiry_s(each.sent_s, each.lease_s) for each in self._pending.values()
        )
        self._confirmed = self._pending.pop(number)
        self._expiry_s = max(self._expiry_s, end_s)
