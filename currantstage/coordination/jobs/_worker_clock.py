"""What the scheduler knows about the clock of a worker."""

from __future__ import annotations

from dataclasses import dataclass

#: Maximum fraction by which a worker's clock may run slow; it never runs fast.
MAX_SLOWNESS = 0.02
#: Added to the end of a lease for network delay, in seconds.
LEASE_MARGIN_S = 0.25
#: How long after its sending a worker carries out an order at the latest, unless it is
#: one of those that are carried out late, in milliseconds.
PROMPT_ORDER_DELAY_MS = 500
#: Age from which on a reading of a worker's clock is renewed, in seconds.
MAX_READING_AGE_S = 45.0


def longest_lease_s(lease_ms: int) -> float:
    """Return how long a lease may last on the scheduler's clock, in seconds.

    >>> round(longest_lease_s(4000), 3)
    4.332
    """
    return lease_ms / 1000 / (1 - MAX_SLOWNESS) + LEASE_MARGIN_S


@dataclass(slots=True)
class WorkerClock:
    """Bounds of a worker's clock, from its readings in the worker's replies.

    A worker measures its leases on a clock of its own. Between two readings, that clock
    has advanced by up to `MAX_SLOWNESS` less than the scheduler's, so that a lease that
    is reckoned from an old reading must allow for all the time since.

    Parameters
    ----------
    reading_ms : int
        Latest reading of the clock of its incarnation; zero if there is none.
    read_s : float
        When the reading was received, on the scheduler's clock.
    offset_s : float
        Least difference between the scheduler's clock and the worker's.
    """

    reading_ms: int = 0
    read_s: float = 0.0
    offset_s: float = float("-inf")

    def record(self, reading_ms: int, sent_s: float, now_s: float) -> float:
        """Record a reading; return when it was taken at the earliest.

        A reply is sent after its order, and may have waited unread since. As the clock
        never runs fast, the bound of an earlier reply stays valid.
        """
        self.reading_ms = reading_ms
        self.read_s = now_s
        reading_s = reading_ms / 1000
        if sent_s - reading_s > self.offset_s:
            self.offset_s = sent_s - reading_s
        return reading_s + self.offset_s

    def earliest_ms(self, now_s: float) -> int:
        """Return the least time that the worker's clock can show now.

        >>> WorkerClock(reading_ms=5000, read_s=0.0).earliest_ms(10.0)
        14800
        """
        elapsed_ms = (now_s - self.read_s) * 1000
        return int(self.reading_ms + elapsed_ms * (1 - MAX_SLOWNESS))

    def age_s(self, now_s: float) -> float | None:
        """Return the time since the latest reading; None if there is none.

        >>> WorkerClock(reading_ms=5000, read_s=2.0).age_s(10.0)
        8.0
        >>> WorkerClock().age_s(10.0) is None
        True
        """
        return now_s - self.read_s if self.reading_ms > 0 else None

    def is_outdated(self, now_s: float) -> bool:
        """Return whether a lease that is granted now would be considerably shorter."""
        age_s = self.age_s(now_s)
        return age_s is not None and age_s >= MAX_READING_AGE_S
