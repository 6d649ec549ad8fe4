"""A token bucket that bounds retries to a fraction of what earns them."""

from __future__ import annotations


class RetryBudget:
    """Bounds retries, so that they don't worsen an outage.

    Parameters
    ----------
    max_retries : float
        Retries that may be made in a row.
    retries_per_earning : float
        Part of a retry that each call of `earn` saves.

    Examples
    --------
    >>> budget = RetryBudget(max_retries=1.0, retries_per_earning=0.5)
    >>> budget.try_spend(), budget.try_spend()
    (True, False)
    >>> budget.earn(), budget.earn(), budget.try_spend()
    (None, None, True)
    """

    def __init__(self, max_retries: float, retries_per_earning: float) -> None:
        self._max_retries = max_retries
        self._retries_per_earning = retries_per_earning
        self._retries = max_retries

    def earn(self) -> None:
        """Save a part of a retry."""
        saved = self._retries + self._retries_per_earning
        self._retries = min(saved, self._max_retries)

    def try_spend(self) -> bool:
        """Take one retry; return False when none is left."""
        if self._retries < 1:
            return False
        self._retries -= 1
        return True
