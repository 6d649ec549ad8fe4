"""Check that a lease was held without a gap since the ledger was last read."""

from __future__ import annotations


class LeaseContinuity:
    """Blocks the use of allotments after a pause in which the lease expired.

    While the lease is held, no other entry VM declares its holder retired. Once it
    has expired, the holder must read the ledger again before it starts any work, even
    if it has renewed the lease in the meantime.
    """

    def __init__(self) -> None:
        self._until_s = float("-inf")

    def settled(self, expiry_s: float) -> None:
        """Record that the ledger was read under a lease known to expire at `expiry_s`.

        Parameters
        ----------
        expiry_s : float
            Expiry of the lease, as known before the ledger was read.
        """
        self._until_s = max(self._until_s, expiry_s)

    def is_continuous(self, now_s: float, expiry_s: float) -> bool:
        """Return whether the lease was held at each call since the ledger was read.

        Must be called at intervals shorter than the lease.

        Parameters
        ----------
        now_s : float
        expiry_s : float
            Expiry of the lease, as known at `now_s`.
        """
        if now_s >= self._until_s:
            return False
        self._until_s = max(self._until_s, expiry_s)
        return True
