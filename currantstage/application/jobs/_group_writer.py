"""Group commit of rows that are written once.

A partition applies its transactions one after another. While one of them is in
progress, further rows for the partition are queued and written by the next one.
"""

from __future__ import annotations

import asyncio
from collections import defaultdict
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING

from currantstage.state.jobs import (
    Conflicted,
    RowCondition,
    RowWrite,
    StoreRefused,
    StoreUnavailable,
)
from currantstage.util import log_task_failure

if TYPE_CHECKING:
    from collections.abc import Sequence

    from currantstage.state.jobs import PartitionedStore, RowName

#: Maximum number of rows in one transaction.
MAX_ROWS = 50
#: Maximum total size of the values in one transaction, in bytes.
MAX_BYTES = 400_000


@dataclass(slots=True, eq=False)
class _PendingWrite:
    """Rows to write unless the first one exists."""

    rows: tuple[RowWrite, ...]
    done: asyncio.Future[None]

    @property
    def name(self) -> RowName:
        """Name of the first row."""
        return self.rows[0].name

    @property
    def size_bytes(self) -> int:
        """Total size of the values."""
        return sum(len(each.value or b"") for each in self.rows)


class GroupWriter:
    """Writes rows that don't exist yet, with one transaction at a time per partition.

    Parameters
    ----------
    store : PartitionedStore
    """

    def __init__(self, store: PartitionedStore) -> None:
        self._store = store
        self._pending: dict[str, list[_PendingWrite]] = defaultdict(list)
        self._writer_tasks: dict[str, asyncio.Task[None]] = {}

    async def write_if_absent(
        self, name: RowName, value: bytes, others: Sequence[RowWrite] = ()
    ) -> None:
        """Write a row unless it exists, and with it all of `others`.

        Raises `StoreUnavailable` on failure, `StoreRefused` if the rows are rejected.
        An unexpected error of the store leaves the write in doubt.
        """
        done = asyncio.get_running_loop().create_future()
        rows = (RowWrite(name, value), *others)
        self._pending[name.partition].append(_PendingWrite(rows, done))
        if name.partition not in self._writer_tasks:
            self._start_writer(name.partition)
        await done

    def _start_writer(self, partition: str) -> None:
        task = asyncio.create_task(self._write_partition(partition))
        task.add_done_callback(partial(self._on_writer_done, partition))
        self._writer_tasks[partition] = task

    async def _write_partition(self, partition: str) -> None:
        while group := self._take_group(partition):
            try:
                await self._write_group(group)
            finally:
                # Without effect unless this task is cancelled.
                _fail_all(group, "write cancelled", is_in_doubt=True)
        del self._writer_tasks[partition]

    def _on_writer_done(self, partition: str, task: asyncio.Task[None]) -> None:
        """Fail the queued writes of a writer that was cancelled."""
        if not task.cancelled():
            return
        del self._writer_tasks[partition]
        queued = self._pending.pop(partition, [])
        _fail_all(queued, "write cancelled", is_in_doubt=False)

    def _take_group(self, partition: str) -> list[_PendingWrite]:
        pending = self._pending.pop(partition, [])
        group: list[_PendingWrite] = []
        row_count = size_bytes = 0
        while pending:
            row_count += len(pending[0].rows)
            size_bytes += pending[0].size_bytes
            if group and (row_count > MAX_ROWS or size_bytes > MAX_BYTES):
                break
            group.append(pending.pop(0))
        if pending:
            self._pending[partition] = pending
        return group

    async def _write_group(self, group: list[_PendingWrite]) -> None:
        while group:
            try:
                existing = await self._transact(group)
            except StoreRefused as error:
                await self._write_refused(group, error)
                return
            except StoreUnavailable as error:
                _fail_all(group, str(error), is_in_doubt=error.is_in_doubt)
                return
            except Exception as error:
                log_task_failure(f"write to partition {group[0].name.partition}", error)
                _fail_all(group, repr(error), is_in_doubt=True)
                return
            for each in group:
                if each.name in existing and not each.done.done():
                    each.done.set_result(None)
            group = [each for each in group if each.name not in existing]

    async def _transact(self, group: list[_PendingWrite]) -> set[RowName]:
        """Write a group unless a row of it exists; return those that do now."""
        # The same row may have been queued twice; it is written once.
        rows = {each.name: each.rows for each in group}
        outcome = await self._store.transact(
            [RowCondition(name, 0) for name in rows],
            [row for each in rows.values() for row in each],
        )
        if not isinstance(outcome, Conflicted):
            return set(rows)
        existing = {row.name for row in outcome.rows if row.value is not None}
        if existing.isdisjoint(rows):
            # Another attempt would meet the same conflict.
            raise StoreUnavailable("conflict without a row", is_in_doubt=False)
        return existing

    async def _write_refused(
        self, group: list[_PendingWrite], error: StoreRefused
    ) -> None:
        """Write each row of a refused group by itself, as only some are rejected."""
        if len({each.name for each in group}) > 1:
            for each in group:
                await self._write_group([each])
            return
        for each in group:
            _fail(each, StoreRefused(str(error)))


def _fail_all(
    group: Sequence[_PendingWrite], reason: str, *, is_in_doubt: bool
) -> None:
    for each in group:
        _fail(each, StoreUnavailable(reason, is_in_doubt=is_in_doubt))


def _fail(write: _PendingWrite, error: StoreUnavailable) -> None:
    if not write.done.done():
        write.done.set_exception(error)
