"""Group commit of rows that are written once.

A partition applies its transactions one after another. While one of them is in
progress, further rows for the partition are queued and written by the next one.
"""

from __future__ import annotations

import asyncio
from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from currantstage.state.jobs import Conflicted, RowCondition, RowWrite, StoreUnavailable

if TYPE_CHECKING:
    from currantstage.state.jobs import PartitionedStore, RowName

#: Maximum number of rows in one transaction.
MAX_ROWS = 50
#: Maximum total size of the values in one transaction, in bytes.
MAX_BYTES = 400_000


@dataclass(slots=True, eq=False)
class _PendingRow:
    name: RowName
    value: bytes
    done: asyncio.Future[None]


class GroupWriter:
    """Writes rows that don't exist yet, with one transaction at a time per partition.

    Parameters
    ----------
    store : PartitionedStore
    """

    def __init__(self, store: PartitionedStore) -> None:
        self._store = store
        self._pending: dict[str, list[_PendingRow]] = defaultdict(list)
        self._writer_tasks: dict[str, asyncio.Task[None]] = {}

    async def write_if_absent(self, name: RowName, value: bytes) -> None:
        """Write a row unless it exists; raises `StoreUnavailable` on failure."""
        done = asyncio.get_running_loop().create_future()
        self._pending[name.partition].append(_PendingRow(name, value, done))
        if name.partition not in self._writer_tasks:
            task = asyncio.create_task(self._write_partition(name.partition))
            self._writer_tasks[name.partition] = task
        await done

    async def _write_partition(self, partition: str) -> None:
        try:
            while group := self._take_group(partition):
                await self._write_group(group)
        finally:
            del self._writer_tasks[partition]

    def _take_group(self, partition: str) -> list[_PendingRow]:
        pending = self._pending.pop(partition, [])
        group: list[_PendingRow] = []
        size_bytes = 0
        while pending and len(group) < MAX_ROWS:
            size_bytes += len(pending[0].value)
            if group and size_bytes > MAX_BYTES:
                break
            group.append(pending.pop(0))
        if pending:
            self._pending[partition] = pending
        return group

    async def _write_group(self, group: list[_PendingRow]) -> None:
        while group:
            # The same row may have been queued twice; it is written once.
            rows = {each.name: each.value for each in group}
            try:
                outcome = await self._store.transact(
                    [RowCondition(name, 0) for name in rows],
                    [RowWrite(name, value) for name, value in rows.items()],
                )
            except StoreUnavailable as error:
                for each in group:
                    _fail_row(each, error)
                return
            existing = set(rows)
            if isinstance(outcome, Conflicted):
                existing = {row.name for row in outcome.rows if row.version}
            for each in group:
                if each.name in existing and not each.done.done():
                    each.done.set_result(None)
            group = [each for each in group if each.name not in existing]


def _fail_row(row: _PendingRow, error: StoreUnavailable) -> None:
    if not row.done.done():
        row.done.set_exception(
            StoreUnavailable(str(error), is_in_doubt=error.is_in_doubt)
        )
