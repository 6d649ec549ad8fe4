"""Run the coordination layer's procedures on the platform's service."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, TypeVar

from currantstage.coordination.store import (
    ClockRead,
    DeleteObject,
    Done,
    GetObject,
    ListObjects,
    ListVms,
    ObjectFetched,
    ObjectsListed,
    Pause,
    PutObject,
    ReadClock,
    ReadRow,
    ReadUnixTime,
    RebootAnswered,
    RebootVm,
    RowRead,
    RowsScanned,
    ScanRows,
    StoreFailed,
    Transact,
    Transacted,
    VmsListed,
)
from currantstage.state import StoreUnavailableError, StoreUncertainError

if TYPE_CHECKING:
    from currantstage.coordination.store import (
        PlatformCall,
        Procedure,
        StoreCall,
        StoreReply,
    )
    from currantstage.state import (
        Clock,
        ObjectStore,
        TableService,
        VmDirectory,
        VmRebooter,
    )

T = TypeVar("T")


class ProcedureRunner:
    """Carries out the calls that procedures yield on the platform's service.

    Parameters
    ----------
    table : TableService
    objects : ObjectStore
    directory : VmDirectory
    rebooter : VmRebooter
    clock : Clock
        The monotonic clock.
    unix_clock : Clock
        The time of day.
    """

    def __init__(
        self,
        table: TableService,
        objects: ObjectStore,
        directory: VmDirectory,
        rebooter: VmRebooter,
        clock: Clock,
        unix_clock: Clock,
    ) -> None:
        self._table = table
        self._objects = objects
        self._directory = directory
        self._rebooter = rebooter
        self._clock = clock
        self._unix_clock = unix_clock

    async def run(self, procedure: Procedure[T]) -> T:
        """Run a procedure; return its result, or raise what it raises."""
        try:
            call = next(procedure)
            while True:
                call = procedure.send(await self._reply_to(call))
        except StopIteration as stop:
            result: T = stop.value
            return result

    async def _reply_to(self, call: StoreCall) -> StoreReply:
        if isinstance(call, ReadClock):
            return ClockRead(self._clock.now_s())
        if isinstance(call, ReadUnixTime):
            return ClockRead(self._unix_clock.now_s())
        if isinstance(call, Pause):
            await asyncio.sleep(call.duration_s)
            return Done()
        try:
            return await self._perform(call)
        except StoreUnavailableError:
            return StoreFailed(may_have_applied=False)
        except StoreUncertainError:
            return StoreFailed(may_have_applied=True)

    async def _perform(self, call: PlatformCall) -> StoreReply:
        match call:
            case ReadRow(key):
                return RowRead(await self._table.read(key))
            case ScanRows(prefix):
                return RowsScanned(tuple(await self._table.scan(prefix)))
            case Transact(attempt, items):
                return Transacted(await self._table.transact(attempt, items))
            case GetObject(name):
                return ObjectFetched(await self._objects.get(name))
            case PutObject(name, content):
                await self._objects.put(name, content)
                return Done()
            case ListObjects(prefix):
                return ObjectsListed(tuple(await self._objects.list_names(prefix)))
            case DeleteObject(name):
                await self._objects.delete(name)
                return Done()
            case ListVms():
                return VmsListed(tuple(await self._directory.list_vms()))
            case RebootVm(vm, ticket):
                return RebootAnswered(await self._rebooter.reboot(vm, ticket))
