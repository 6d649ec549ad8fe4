"""Measures for how long a row has been observed unchanged."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from currantstage.state import RowKey, RowVersion, VersionedRow


@dataclass(frozen=True, slots=True)
class _Observation:
    """A row's version, and when the row was first observed at that version."""

    version: RowVersion
    first_seen_s: float


class RowObserver:
    """Records when each row was first observed at its current version."""

    def __init__(self) -> None:
        self._observations: dict[RowKey, _Observation] = {}

    def unchanged_s(self, row: VersionedRow, now_s: float) -> float:
        """Return for how long `row` has been observed at its version, in seconds.

        `now_s` must be read after the row, or the result is too long.
        """
        seen = self._observations.get(row.key)
        if seen is None or seen.version != row.version:
            self._observations[row.key] = _Observation(row.version, now_s)
            return 0.0
        return now_s - seen.first_seen_s

    def retain_only(self, keys: Iterable[RowKey]) -> None:
        """Discard the observations of rows that are not among `keys`."""
        kept = set(keys)
        self._observations = {
            key: seen for key, seen in self._observations.items() if key in kept
        }
