"""How long a row has been seen unchanged."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from currantstage.state import RowKey, RowVersion, VersionedRow


@dataclass(frozen=True, slots=True)
class _Sighting:
    """A row's version and when it was first seen at it."""

    version: RowVersion
    first_seen_s: float


class RowObserver:
    """Remembers when each row was first seen at its present version."""

    def __init__(self) -> None:
        self._sightings: dict[RowKey, _Sighting] = {}

    def unchanged_s(self, row: VersionedRow, now_s: float) -> float:
        """Return for how long `row` has been seen at its version, in seconds.

        `now_s` has to be read after the row was, or the time comes out too long.
        """
        seen = self._sightings.get(row.key)
        if seen is None or seen.version != row.version:
            self._sightings[row.key] = _Sighting(row.version, now_s)
            return 0.0
        return now_s - seen.first_seen_s

    def forget_all_but(self, keys: Iterable[RowKey]) -> None:
        """Forget the rows that are not among `keys`."""
        kept = set(keys)
        self._sightings = {
            key: seen for key, seen in self._sightings.items() if key in kept
        }
