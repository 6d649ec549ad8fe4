"""Reads rows, then writes them in one transaction under a fence."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol, TypeVar

from currantstage.coordination._errors import StoreContentError
from currantstage.state import ABSENT, RowWrite

if TYPE_CHECKING:
    from collections.abc import Sequence

    from currantstage.coordination.store._procedures import Procedure
    from currantstage.coordination.store._store_access import StoreAccess
    from currantstage.state import Record, RowKey, RowVersion, TransactionItem

RowT = TypeVar("RowT")


class Fence(Protocol):
    """Prevents the writes of a former holder of a duty from taking effect."""

    def guard(self, items: Sequence[TransactionItem]) -> tuple[TransactionItem, ...]:
        """Return `items` with a check that no newer holder exists."""


class RowBatch:
    """Collects writes that are conditional on the row versions that were read.

    Parameters
    ----------
    store : StoreAccess
    """

    def __init__(self, store: StoreAccess) -> None:
        self._store = store
        self._versions: dict[RowKey, RowVersion] = {}
        self._writes: list[RowWrite] = []

    def read(self, key: RowKey, expected: type[RowT]) -> Procedure[RowT | None]:
        """Return the record under `key`, or None; raises `StoreUnreachableError`."""
        row = yield from self._store.read(key)
        self._versions[key] = ABSENT if row is None else row.version
        if row is None:
            return None
        if not isinstance(row.record, expected):
            raise StoreContentError(
                f"row {key} holds {type(row.record).__name__}, not {expected.__name__}"
            )
        return row.record

    def put(self, key: RowKey, record: Record | None) -> None:
        """Add a write of `record` under `key`, or a deletion if it is None.

        A row that was not read before is expected to be absent.
        """
        version = self._versions.get(key, ABSENT)
        self._writes.append(RowWrite(key=key, expected_version=version, record=record))

    def commit(self, fence: Fence, *checks: TransactionItem) -> Procedure[bool]:
        """Apply all writes; return False if a row or check has changed meanwhile.

        Raises `StoreUnreachableError` and `WriteUncertainError`.
        """
        items = fence.guard([*self._writes, *checks])
        outcome = yield from self._store.transact(items)
        return outcome.is_applied

    def commit_unfenced(self) -> Procedure[bool]:
        """Apply all writes; only for rows that no other process writes."""
        outcome = yield from self._store.transact(self._writes)
        return outcome.is_applied
