"""Lease timing for holders and observers whose clocks drift."""

from __future__ import annotations

#: Maximum rate error of any process's monotonic clock, as a fraction.
MAX_CLOCK_DRIFT = 0.01
#: Renewals due within the length of one lease, so that one or two may fail.
RENEWALS_PER_LEASE = 3


def lease_expiry_s(renewal_sent_s: float, lease_s: float) -> float:
    """Return when a lease expires on its holder's clock, in seconds.

    Parameters
    ----------
    renewal_sent_s : float
        Time on the holder's clock just before it sent the renewal.
    lease_s : float
    """
    return renewal_sent_s + lease_s


def observer_wait_s(lease_s: float) -> float:
    """Return how long a row must be observed unchanged to prove that its lease expired.

    The holder's clock may be slow and the observer's fast, each by
    `MAX_CLOCK_DRIFT`.

    >>> round(observer_wait_s(10.0), 3)
    10.202
    """
    return lease_s * (1 + MAX_CLOCK_DRIFT) / (1 - MAX_CLOCK_DRIFT)
