"""Rows that are read and then written together under a fence."""

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
    """Keeps the writes of a former holder of a duty from taking effect."""

    def guard(self, items: Sequence[TransactionItem]) -> tuple[TransactionItem, ...]:
        """Return `items` with the condition that no newer holder exists."""


class RowBatch:
    """Collects writes that state the versions at which their rows were read.

    Parameters
    ----------
    store : StoreAccess
    """

    def __init__(self, store: StoreAccess) -> None:
        self._store = store
        self._versions: dict[RowKey, RowVersion] = {}
        self._writes: list[RowWrite] = []

    def read(self, key: RowKey, expected: type[RowT]) -> Procedure[RowT | None]:
        """Return the record under `key`, or None; raises `StoreAwayError`."""
        row = yield from self._store.read(key)
        self._versions[key] = ABSENT if row is None else row.version
        if row is None:
            return None
        if not isinstance(row.record, expected):
            raise StoreContentError(f"{key} holds another kind of record")
        return row.record

    def put(self, key: RowKey, record: Record | None) -> None:
        """Write `record` under `key`, or delete it; a row not read must be absent."""
        version = self._versions.get(key, ABSENT)
        self._writes.append(RowWrite(key=key, expected_version=version, record=record))

    def commit(self, fence: Fence, *checks: TransactionItem) -> Procedure[bool]:
        """Apply all writes, and return False when a row or a check has changed.

        Raises `StoreAwayError` and `WriteUncertainError`.
        """
        items = fence.guard([*self._writes, *checks])
        outcome = yield from self._store.transact(items)
        return outcome.is_applied

    def commit_unfenced(self) -> Procedure[bool]:
        """Apply all writes to rows that only their writer's own process writes."""
        outcome = yield from self._store.transact(self._writes)
        return outcome.is_applied
