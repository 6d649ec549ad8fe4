"""Gathers rows that are written once into one transaction a partition.

A partition carries out its transactions one after another. While one of them is under
way, further rows for the partition wait and go with the next.
"""

from __future__ import annotations

import asyncio
from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from currantstage.state.jobs import Conflicted, RowCondition, RowWrite, StoreUnavailable

if TYPE_CHECKING:
    from currantstage.state.jobs import PartitionedStore, RowName

#: Most rows in one transaction.
MAX_ROWS = 50
#: Most bytes in one transaction.
MAX_BYTES = 400_000


@dataclass(slots=True, eq=False)
class _Waiting:
    name: RowName
    value: bytes
    done: asyncio.Future[None]


class GroupWriter:
    """Writes rows that do not exist yet.

    Parameters
    ----------
    store : PartitionedStore
    """

    def __init__(self, store: PartitionedStore) -> None:
        self._store = store
        self._waiting: dict[str, list[_Waiting]] = defaultdict(list)
        self._writing: dict[str, asyncio.Task[None]] = {}

    async def write_once(self, name: RowName, value: bytes) -> None:
        """Write a row unless it exists; raises `StoreUnavailable`."""
        done = asyncio.get_running_loop().create_future()
        self._waiting[name.partition].append(_Waiting(name, value, done))
        if name.partition not in self._writing:
            task = asyncio.create_task(self._write_partition(name.partition))
            self._writing[name.partition] = task
        await done

    async def _write_partition(self, partition: str) -> None:
        try:
            while group := self._take(partition):
                await self._write_group(group)
        finally:
            del self._writing[partition]

    def _take(self, partition: str) -> list[_Waiting]:
        waiting = self._waiting.pop(partition, [])
        group: list[_Waiting] = []
        size_bytes = 0
        while waiting and len(group) < MAX_ROWS:
            size_bytes += len(waiting[0].value)
            if group and size_bytes > MAX_BYTES:
                break
            group.append(waiting.pop(0))
        if waiting:
            self._waiting[partition] = waiting
        return group

    async def _write_group(self, group: list[_Waiting]) -> None:
        while group:
            # The same row may wait twice; it is written once.
            rows = {each.name: each.value for each in group}
            try:
                outcome = await self._store.transact(
                    [RowCondition(name, 0) for name in rows],
                    [RowWrite(name, value) for name, value in rows.items()],
                )
            except StoreUnavailable as error:
                for each in group:
                    _fail(each, error)
                return
            existing = set(rows)
            if isinstance(outcome, Conflicted):
                existing = {row.name for row in outcome.rows if row.version}
            for each in group:
                if each.name in existing and not each.done.done():
                    each.done.set_result(None)
            group = [each for each in group if each.name not in existing]


def _fail(waiting: _Waiting, error: StoreUnavailable) -> None:
    if not waiting.done.done():
        waiting.done.set_exception(
            StoreUnavailable(str(error), is_in_doubt=error.is_in_doubt)
        )
