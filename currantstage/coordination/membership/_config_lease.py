"""The configuration lease: how long an entry VM may serve keyed work."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NewType

from currantstage.coordination.store._lease_time import RENEWALS_PER_LEASE, lapse_s

#: Numbers the renewals of one process.
RenewalNumber = NewType("RenewalNumber", int)

#: Renewals whose answers may be outstanding at once.
MAX_OPEN_RENEWALS = 16


@dataclass(frozen=True, slots=True)
class Renewal:
    """A renewal that was sent.

    Parameters
    ----------
    number : RenewalNumber
    sent_s : float
        The holder's time before it was sent, in seconds.
    lease_s : float
        Length of the lease that it states, in seconds.
    """

    number: RenewalNumber
    sent_s: float
    lease_s: float


class ConfigLease:
    """The holder's side of one entry VM's configuration lease.

    The lease counts from before a renewal was sent. Sending a renewal that states a
    shorter length shortens the lease at once, since its answer may be lost while
    whoever waits for the lapse already reads the shorter length in the row.
    """

    def __init__(self) -> None:
        self._lapses_s = float("-inf")
        self._is_ended = False
        self._last = Renewal(RenewalNumber(0), float("-inf"), 0.0)
        self._confirmed = self._last
        self._open: dict[RenewalNumber, Renewal] = {}

    @property
    def lapses_s(self) -> float:
        """When the lease lapses on this process's clock, in seconds."""
        return self._lapses_s

    @property
    def is_ended(self) -> bool:
        """Whether the lease was given up for good."""
        return self._is_ended

    def is_held(self, now_s: float) -> bool:
        """Return whether the lease has not lapsed."""
        return not self._is_ended and now_s < self._lapses_s

    def is_due(self, now_s: float) -> bool:
        """Return whether it is time for the next renewal."""
        confirmed = self._confirmed
        return now_s >= confirmed.sent_s + confirmed.lease_s / RENEWALS_PER_LEASE

    def end(self) -> None:
        """Give the lease up; no renewal extends it any more."""
        self._is_ended = True

    def send(self, now_s: float, lease_s: float) -> Renewal:
        """Note that a renewal is sent now; returns it."""
        number = RenewalNumber(self._last.number + 1)
        self._last = Renewal(number, now_s, lease_s)
        self._open[number] = self._last
        self._open.pop(RenewalNumber(number - MAX_OPEN_RENEWALS), None)
        self._lapses_s = min(self._lapses_s, lapse_s(now_s, lease_s))
        return self._last

    def confirm(self, number: RenewalNumber) -> None:
        """Extend the lease by a renewal that took effect; repeating it is harmless.

        A later renewal may have taken effect as well and state a shorter length, so
        the lease extends no further than any later one allows.
        """
        if number not in self._open:
            return
        self._open = {n: each for n, each in self._open.items() if n >= number}
        end_s = min(lapse_s(each.sent_s, each.lease_s) for each in self._open.values())
        self._confirmed = self._open.pop(number)
        self._lapses_s = max(self._lapses_s, end_s)
