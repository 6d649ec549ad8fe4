"""The platform's row store, in memory and with fault injection."""

from __future__ import annotations

import asyncio
from bisect import bisect_right
from operator import attrgetter
from typing import TYPE_CHECKING

from currantstage.state.jobs import (
    Committed,
    Conflicted,
    RowName,
    RowPage,
    StoredRow,
    StoreRefused,
    StoreUnavailable,
)
from currantstage.util import Notifier

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from currantstage.state.jobs import RowCondition, RowWrite

#: Maximum size of a row's value in bytes, of the entries of a call, and of its values.
MAX_ROW_BYTES = 65_536
MAX_CALL_ENTRIES = 100
MAX_CALL_BYTES = 1_000_000
#: Ratio of the size of a value in a call to its own.
BASE64_RATIO = 4 / 3
#: Latency of a call in each direction, in seconds.
ONE_WAY_LATENCY_S = 0.004
#: Timeout of a call, in seconds.
CALL_TIMEOUT_S = 0.9
#: Longest timeout of a poll, added to the time that the store waits, in seconds.
MAX_POLL_TIMEOUT_S = 2.5
#: Bounds of the delay after which a late write takes effect, in seconds.
LATE_MIN_S = 0.5
LATE_MAX_S = 6.0


class SimulatedStore:
    """Versioned rows, and the injected faults.

    Parameters
    ----------
    random : random.Random
    """

    def __init__(self, random: random.Random) -> None:
        self.random = random
        self.version = 1
        self.rows: dict[RowName, StoredRow] = {}
        #: All changes since the history was compacted, by ascending version.
        self.history: list[StoredRow] = []
        self.compacted_version = 0
        self.changed = Notifier()
        #: Number of calls that have been sent.
        self.calls = 0
        #: Maximum size of a row's value, in bytes.
        self.max_row_bytes = MAX_ROW_BYTES
        #: Callers whose calls time out; ``*`` stands for all callers.
        self.unreachable_for: set[str] = set()
        #: Callers whose polls of changes get no answer.
        self.loses_polls_of: set[str] = set()
        #: Callers whose calls are refused at once.
        self.refused_for: set[str] = set()
        #: Callers whose reads are refused at once; ``*`` stands for all callers.
        self.refuses_reads_of: set[str] = set()
        #: Whether the writes of all callers are refused, as by a store under overload.
        self.refuses_writes = False
        #: Partitions on which reads and writes are refused.
        self.refused_partitions: set[str] = set()
        #: Fraction of the writes whose answer is lost, and the fraction of these writes
        #: that take effect late.
        self.lost_fraction = 0.0
        self.late_fraction = 0.0
        #: Partitions whose writes are slow, and how long these take, in seconds; they
        #: take effect at the end of that time even if their caller no longer waits.
        self.slow_partitions: set[str] = set()
        self.slow_write_s = 0.0

    def for_caller(self, caller: str) -> StoreConnection:
        """Return the connection of `caller` to the store."""
        return StoreConnection(self, caller)

    def apply(
        self, conditions: Sequence[RowCondition], writes: Sequence[RowWrite]
    ) -> Committed | Conflicted:
        """Apply a transaction immediately."""
        current = [self._current(each.name) for each in conditions]
        if any(
            row.version != condition.version
            for row, condition in zip(current, conditions, strict=True)
        ):
            return Conflicted(tuple(row for row in current if row.version))
        self.version += 1
        for write in writes:
            row = StoredRow(write.name, write.value, self.version)
            self.history.append(row)
            if write.value is None:
                self.rows.pop(write.name, None)
            else:
                self.rows[write.name] = row
        self.changed.notify_all()
        return Committed(self.version)

    def changes_after(self, version: int, table: str) -> list[StoredRow]:
        """Return the changes of `table` after `version`, in their order."""
        first = bisect_right(self.history, version, key=attrgetter("version"))
        return [row for row in self.history[first:] if row.name.table == table]

    def compact_history(self) -> None:
        """Drop all changes, including those that watchers have not read yet."""
        self.history.clear()
        self.compacted_version = self.version

    def is_unreachable_for(self, caller: str) -> bool:
        """Return whether calls of `caller` time out now."""
        return bool(self.unreachable_for & {caller, "*"})

    def _current(self, name: RowName) -> StoredRow:
        return self.rows.get(name, StoredRow(name, None, 0))


class StoreConnection:
    """Implements `PartitionedStore` for one caller."""

    def __init__(self, store: SimulatedStore, caller: str) -> None:
        self._store = store
        self._caller = caller

    async def transact(
        self, conditions: Sequence[RowCondition], writes: Sequence[RowWrite]
    ) -> Committed | Conflicted:
        """Apply all of `writes` if every condition holds, otherwise none."""
        await self._reach(is_write=True)
        store = self._store
        if store.refuses_writes:
            raise StoreUnavailable("overloaded", is_in_doubt=False)
        for write in writes:
            self._check_partition(write.name.partition)
        self._check_sizes(conditions, writes)
        if store.random.random() < store.lost_fraction:
            await self._lose_answer(conditions, writes)
        if any(write.name.partition in store.slow_partitions for write in writes):
            outcome = await self._apply_slowly(conditions, writes)
        else:
            outcome = store.apply(conditions, writes)
        await asyncio.sleep(ONE_WAY_LATENCY_S)
        return outcome

    async def read(self, table: str, partition: str, prefix: str = "") -> RowPage:
        """Return the rows of a partition whose keys begin with `prefix`."""
        await self._reach(is_write=False)
        self._check_partition(partition)
        rows = [
            row
            for name, row in self._store.rows.items()
            if (name.table, name.partition) == (table, partition)
            and name.key.startswith(prefix)
        ]
        page = RowPage(
            tuple(sorted(rows, key=lambda row: row.name.key)), self._store.version
        )
        await asyncio.sleep(ONE_WAY_LATENCY_S)
        return page

    async def read_row(self, name: RowName) -> StoredRow | None:
        """Return a row, or None if it does not exist."""
        await self._reach(is_write=False)
        self._check_partition(name.partition)
        row = self._store.rows.get(name)
        await asyncio.sleep(ONE_WAY_LATENCY_S)
        return row

    async def changes(self, table: str, after: int, wait_ms: int) -> RowPage | None:
        """Return the changes of `table`; None if the history was compacted."""
        if self._caller in self._store.loses_polls_of:
            await asyncio.sleep(wait_ms / 1000 + MAX_POLL_TIMEOUT_S)
            raise StoreUnavailable("timeout", is_in_doubt=False)
        await self._reach(is_write=False)
        store = self._store
        loop = asyncio.get_running_loop()
        until_s = loop.time() + wait_ms / 1000
        while True:
            if after < store.compacted_version:
                return None
            rows = store.changes_after(after, table)
            left_s = until_s - loop.time()
            if rows or left_s <= 0:
                break
            await store.changed.wait(left_s)
        if store.is_unreachable_for(self._caller):
            raise StoreUnavailable("timeout", is_in_doubt=False)
        newest = {row.name: row for row in rows}
        return RowPage(tuple(newest.values()), store.version)

    def _check_partition(self, partition: str) -> None:
        if partition in self._store.refused_partitions:
            raise StoreUnavailable("partition refused", is_in_doubt=False)

    def _check_sizes(
        self, conditions: Sequence[RowCondition], writes: Sequence[RowWrite]
    ) -> None:
        sizes_bytes = [len(each.value) for each in writes if each.value is not None]
        if max(sizes_bytes, default=0) > self._store.max_row_bytes:
            raise StoreRefused("row too large")
        if len(conditions) + len(writes) > MAX_CALL_ENTRIES:
            raise StoreRefused("too many entries")
        if sum(sizes_bytes) * BASE64_RATIO > MAX_CALL_BYTES:
            raise StoreRefused("call too large")

    async def _reach(self, *, is_write: bool) -> None:
        self._store.calls += 1
        if self._caller in self._store.refused_for:
            await asyncio.sleep(ONE_WAY_LATENCY_S)
            raise StoreUnavailable("refused", is_in_doubt=False)
        if not is_write and self._store.refuses_reads_of & {self._caller, "*"}:
            await asyncio.sleep(ONE_WAY_LATENCY_S)
            raise StoreUnavailable("refused", is_in_doubt=False)
        if self._store.is_unreachable_for(self._caller):
            await asyncio.sleep(CALL_TIMEOUT_S)
            raise StoreUnavailable("timeout", is_in_doubt=is_write)
        await asyncio.sleep(ONE_WAY_LATENCY_S)

    async def _apply_slowly(
        self, conditions: Sequence[RowCondition], writes: Sequence[RowWrite]
    ) -> Committed | Conflicted:
        loop = asyncio.get_running_loop()
        outcome: asyncio.Future[Committed | Conflicted] = loop.create_future()

        def apply() -> None:
            applied = self._store.apply(conditions, writes)
            if not outcome.done():
                outcome.set_result(applied)

        loop.call_later(self._store.slow_write_s, apply)
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                return await outcome
        except TimeoutError as error:
            raise StoreUnavailable("timeout", is_in_doubt=True) from error

    async def _lose_answer(
        self, conditions: Sequence[RowCondition], writes: Sequence[RowWrite]
    ) -> None:
        store = self._store
        if store.random.random() < store.late_fraction:
            late_s = store.random.uniform(LATE_MIN_S, LATE_MAX_S)
            asyncio.get_running_loop().call_later(
                late_s, store.apply, conditions, writes
            )
        else:
            store.apply(conditions, writes)
        await asyncio.sleep(CALL_TIMEOUT_S)
        raise StoreUnavailable("timeout", is_in_doubt=True)
