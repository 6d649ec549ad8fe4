"""Run the coordination layer's procedures against the platform's service."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, TypeVar

from currantstage.coordination import (
    Done,
    GetObject,
    ObjectFetched,
    Pause,
    PutObject,
    ReadRow,
    RowRead,
    RowsScanned,
    ScanRows,
    StoreFailed,
    Transact,
    Transacted,
)
from currantstage.state import StoreUnavailableError, StoreUncertainError

if TYPE_CHECKING:
    from currantstage.coordination import Procedure, StoreCall, StoreReply
    from currantstage.state import ObjectStore, TableService

T = TypeVar("T")


class ProcedureRunner:
    """Answers each call of a procedure from the platform's service.

    Parameters
    ----------
    table : TableService
    objects : ObjectStore
    """

    def __init__(self, table: TableService, objects: ObjectStore) -> None:
        self._table = table
        self._objects = objects

    async def run(self, procedure: Procedure[T]) -> T:
        """Return the procedure's result, or raise what it raises."""
        try:
            call = next(procedure)
            while True:
                call = procedure.send(await self._answer(call))
        except StopIteration as stop:
            result: T = stop.value
            return result

    async def _answer(self, call: StoreCall) -> StoreReply:
        try:
            return await self._perform(call)
        except StoreUnavailableError:
            return StoreFailed(may_have_applied=False)
        except StoreUncertainError:
            return StoreFailed(may_have_applied=True)

    async def _perform(self, call: StoreCall) -> StoreReply:
        match call:
            case ReadRow(key):
                return RowRead(await self._table.read(key))
            case ScanRows(prefix):
                return RowsScanned(tuple(await self._table.scan(prefix)))
            case Transact(attempt, writes):
                return Transacted(await self._table.transact(attempt, writes))
            case GetObject(name):
                return ObjectFetched(await self._objects.get(name))
            case PutObject(name, content):
                await self._objects.put(name, content)
                return Done()
            case Pause(duration_s):
                await asyncio.sleep(duration_s)
                return Done()
