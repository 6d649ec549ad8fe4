"""Tell whether a lease has been held without a gap since the table was last read."""

from __future__ import annotations


class LeaseContinuity:
    """Stops the use of allotments after a pause in which the lease lapsed.

    While the lease is held, nobody declares its holder retired. Once it has lapsed,
    the holder must read the ledger again before it starts anything, also when it has
    renewed the lease in the meantime.
    """

    def __init__(self) -> None:
        self._until_s = float("-inf")

    def settled(self, lapses_s: float) -> None:
        """Note that the ledger was read after the lease was known to last so long.

        Parameters
        ----------
        lapses_s : float
            When the lease was to lapse, as known before the ledger was read.
        """
        self._until_s = max(self._until_s, lapses_s)

    def is_unbroken(self, now_s: float, lapses_s: float) -> bool:
        """Return whether the lease was held at each call since the ledger was read.

        Must be called more often than the lease lapses.

        Parameters
        ----------
        now_s : float
        lapses_s : float
            When the lease lapses as far as known now.
        """
        if now_s >= self._until_s:
            return False
        self._until_s = max(self._until_s, lapses_s)
        return True
