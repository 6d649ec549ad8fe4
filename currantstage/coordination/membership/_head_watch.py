"""When each committed generation was first heard of, for the waiting side."""

from __future__ import annotations

from typing import TYPE_CHECKING

from currantstage.coordination.store._lease_time import observer_wait_s

if TYPE_CHECKING:
    from currantstage.state import EntryVmRow, Generation

#: Generations whose first sighting is remembered.
MAX_SIGHTINGS = 256


class HeadWatch:
    """Judges on this process's clock whether a lease under an old head has lapsed.

    A renewal takes effect only while the generation that it states is the head. So
    every lease under a generation was sent for before the next one was committed,
    and has lapsed once the next one has been known for the length of the lease.
    """

    def __init__(self) -> None:
        self._first_seen_s: dict[Generation, float] = {}

    def see(self, generation: Generation, now_s: float) -> None:
        """Note that `generation` has been read as the head by now."""
        self._first_seen_s.setdefault(generation, now_s)
        if len(self._first_seen_s) > MAX_SIGHTINGS:
            del self._first_seen_s[min(self._first_seen_s)]

    def has_lapsed(self, row: EntryVmRow, now_s: float) -> bool:
        """Return whether the lease of an entry VM has certainly lapsed."""
        return self.wait_s(row, now_s) <= 0

    def wait_s(self, row: EntryVmRow, now_s: float) -> float:
        """Return the longest time for which the lease may still be held, in seconds.

        Infinite while no newer head than the row's generation has been seen.
        """
        overtaken_s = min(
            (
                seen_s
                for generation, seen_s in self._first_seen_s.items()
                if generation > row.applied_generation
            ),
            default=float("inf"),
        )
        return max(0.0, overtaken_s + observer_wait_s(row.config_lease_s) - now_s)
