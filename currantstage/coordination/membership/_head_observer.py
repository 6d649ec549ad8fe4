"""Tracks when each committed generation was first read as the head."""

from __future__ import annotations

from typing import TYPE_CHECKING

from currantstage.coordination.store._lease_time import observer_wait_s

if TYPE_CHECKING:
    from currantstage.state import EntryVmRow, Generation

#: Maximum number of generations that are tracked.
MAX_TRACKED_GENERATIONS = 256


class HeadObserver:
    """Determines on this process's clock whether leases of old heads have expired.

    A renewal takes effect only while the generation that it states is the head. The
    renewal of every lease under a generation was therefore sent before the next
    generation was committed, and the lease has expired once the next generation has
    been known for the length of the lease, with an allowance for clock drift.
    """

    def __init__(self) -> None:
        self._first_seen_s: dict[Generation, float] = {}

    def record_head(self, generation: Generation, now_s: float) -> None:
        """Record that `generation` had been read as the head by `now_s`."""
        self._first_seen_s.setdefault(generation, now_s)
        if len(self._first_seen_s) > MAX_TRACKED_GENERATIONS:
            del self._first_seen_s[min(self._first_seen_s)]

    def has_expired(self, row: EntryVmRow, now_s: float) -> bool:
        """Return whether the lease of an entry VM has certainly expired."""
        return self.wait_s(row, now_s) <= 0

    def wait_s(self, row: EntryVmRow, now_s: float) -> float:
        """Return the maximum time for which the lease may still be held, in seconds.

        Infinite while no head newer than the row's generation has been observed.
        """
        superseded_s = min(
            (
                seen_s
                for generation, seen_s in self._first_seen_s.items()
                if generation > row.applied_generation
            ),
            default=float("inf"),
        )
        return max(0.0, superseded_s + observer_wait_s(row.config_lease_s) - now_s)
