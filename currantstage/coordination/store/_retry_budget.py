"""A token bucket that limits retries to a fraction of its deposits."""

from __future__ import annotations


class RetryBudget:
    """Limits retries, so that they don't worsen an outage.

    Parameters
    ----------
    max_retries : float
        Capacity of the bucket: retries that may be made in a row.
    retries_per_deposit : float
        Fraction of a retry that each call of `deposit` adds.

    Examples
    --------
    >>> budget = RetryBudget(max_retries=1.0, retries_per_deposit=0.5)
    >>> budget.try_withdraw(), budget.try_withdraw()
    (True, False)
    >>> budget.deposit(), budget.deposit(), budget.try_withdraw()
    (None, None, True)
    """

    def __init__(self, max_retries: float, retries_per_deposit: float) -> None:
        self._max_retries = max_retries
        self._retries_per_deposit = retries_per_deposit
        self._retries = max_retries

    def deposit(self) -> None:
        """Add a fraction of a retry."""
        total = self._retries + self._retries_per_deposit
        self._retries = min(total, self._max_retries)

    def try_withdraw(self) -> bool:
        """Withdraw one retry; return False when none is left."""
        if self._retries < 1:
            return False
        self._retries -= 1
        return True
