"""How holders and observers count the time of a lease on clocks that drift."""

from __future__ import annotations

#: Bound on the error of any process's monotonic clock, as a part of the time.
MAX_CLOCK_DRIFT = 0.01
#: Renewals that are due within one lease, so that one or two may fail.
RENEWALS_PER_LEASE = 3


def lapse_s(renewal_sent_s: float, lease_s: float) -> float:
    """Return when a lease lapses on its holder's clock, in seconds.

    Parameters
    ----------
    renewal_sent_s : float
        The holder's time before it sent the renewal.
    lease_s : float
    """
    return renewal_sent_s + lease_s


def observer_wait_s(lease_s: float) -> float:
    """Return how long an observer sees a row unchanged before its lease has lapsed.

    The holder's clock may be slow and the observer's fast, each by the bound.

    >>> round(observer_wait_s(10.0), 3)
    10.202
    """
    return lease_s * (1 + MAX_CLOCK_DRIFT) / (1 - MAX_CLOCK_DRIFT)
