"""A store wrapper that tracks availability."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

from eliot import log_message

from currantstage.state.jobs import StoreRefused, StoreUnavailable

if TYPE_CHECKING:
    from collections.abc import Awaitable, Sequence

    from currantstage.coordination.jobs import StoreHealth
    from currantstage.state import Clock
    from currantstage.state.jobs import (
        Committed,
        Conflicted,
        PartitionedStore,
        RowCondition,
        RowName,
        RowPage,
        RowWrite,
        StoredRow,
    )

_ResultT = TypeVar("_ResultT")


class MonitoredStore:
    """Wraps a `PartitionedStore` and records the outcome of each call."""

    def __init__(
        self, store: PartitionedStore, health: StoreHealth, clock: Clock
    ) -> None:
        self._store = store
        self._health = health
        self._clock = clock
        self._unavailable_since_s: float | None = None

    async def transact(
        self, conditions: Sequence[RowCondition], writes: Sequence[RowWrite]
    ) -> Committed | Conflicted:
        """Apply all of `writes` if every condition holds, otherwise none."""
        return await self._monitor(self._store.transact(conditions, writes))

    async def read(self, table: str, partition: str, prefix: str = "") -> RowPage:
        """Return the rows of a partition whose keys begin with `prefix`."""
        return await self._monitor(self._store.read(table, partition, prefix))

    async def read_row(self, name: RowName) -> StoredRow | None:
        """Return a row, or None if it does not exist."""
        return await self._monitor(self._store.read_row(name))

    async def changes(self, table: str, after: int, wait_ms: int) -> RowPage | None:
        """Return the changes of `table`; None if that history is unavailable."""
        return await self._monitor(self._store.changes(table, after, wait_ms))

    async def _monitor(self, call: Awaitable[_ResultT]) -> _ResultT:
        sent_s = self._clock.now_s()
        try:
            result = await call
        except StoreRefused:
            self._health.record_success(sent_s, self._clock.now_s())
            raise
        except StoreUnavailable as error:
            self._health.record_failure(sent_s)
            self._log_transition(self._clock.now_s(), str(error))
            raise
        now_s = self._clock.now_s()
        self._health.record_success(sent_s, now_s)
        self._log_transition(now_s, "")
        return result

    def _log_transition(self, now_s: float, reason: str) -> None:
        """Log when the store becomes unavailable, and when it is available again."""
        is_unavailable = self._health.is_unavailable(now_s)
        if is_unavailable == (self._unavailable_since_s is not None):
            return
        if is_unavailable:
            self._unavailable_since_s = now_s
            log_message("currantstage:store-lost", reason=reason)
        elif self._unavailable_since_s is not None:
            away_s = round(now_s - self._unavailable_since_s, 3)
            self._unavailable_since_s = None
            log_message("currantstage:store-regained", away_s=away_s)
