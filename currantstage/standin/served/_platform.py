"""The users' platform, served on loopback with faults."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from functools import partial
from typing import TYPE_CHECKING

import msgspec

from currantstage.platform.messages import WireWave
from currantstage.standin._cluster import find_free_ports
from currantstage.standin.jobs import Oracle, SimulatedStore, SimulatedVms
from currantstage.standin.served._faults import Service
from currantstage.standin.served._listener import FaultyListener
from currantstage.standin.served._served_workers import ServedWorkers
from currantstage.standin.served._site import (
    POOLS,
    SPARE_POOL,
    SiteSize,
    build_entries,
    encode_configuration,
)
from currantstage.standin.served._store_service import StoreService
from currantstage.standin.served._vm_service import VmService
from currantstage.state import EntryVmId
from currantstage.state.jobs import BornMs, MaintenanceWave, RowName, RowWrite
from currantstage.util import TaskSet

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from currantstage.standin.served._faults import Fault, FaultBoard
    from currantstage.state.jobs import FleetConfiguration

#: Interval at which faults begin and end, in seconds.
STEP_S = 0.02
_OPERATORS_TABLE = "op"


class ServedPlatform:
    """Store, service for VMs, and workers.

    The store and the service for VMs have an address for each daemon, so that a fault
    may meet the calls of one.

    Parameters
    ----------
    size : SiteSize
    board : FaultBoard
    random : random.Random
    configuration : FleetConfiguration
        For the oracle; the store has the same in the platform's own words.
    """

    def __init__(
        self,
        size: SiteSize,
        board: FaultBoard,
        random: random.Random,
        configuration: FleetConfiguration,
    ) -> None:
        self.oracle = Oracle(configuration)
        self.store = SimulatedStore(random)
        self.workers = ServedWorkers(self.store, self.oracle, random, board)
        self.vms = SimulatedVms(self.workers, self.oracle)
        self.store_addresses: dict[EntryVmId, str] = {}
        self.vm_addresses: dict[EntryVmId, str] = {}
        self._size = size
        self._board = board
        self._listeners: list[FaultyListener] = []
        self._resources = AsyncExitStack()
        self._tasks = TaskSet()
        self._started_s = 0.0

    async def start(self) -> None:
        """Write the configuration, start the workers, and serve."""
        self._started_s = _now_s()
        self._write_operator_row("config", encode_configuration())
        ports = iter(find_free_ports(self._vm_count() + 2 * self._size.daemons))
        self._add_vms([f"127.0.0.1:{next(ports)}" for _ in range(self._vm_count())])
        for number in range(self._size.daemons):
            daemon = EntryVmId(f"entry-{number}")
            self.store_addresses[daemon] = self._add_service(
                next(ports), Service.STORE, daemon, self._store_routes(daemon)
            )
            self.vm_addresses[daemon] = self._add_service(
                next(ports), Service.VMS, daemon, self._vm_routes()
            )
        self._listeners += [host.listener for host in self.workers.hosts.values()]
        for listener in self._listeners:
            self._resources.push_async_callback(listener.close)
            await listener.start()
        self._tasks.spawn(self._advance())

    def begin_run(self) -> None:
        """Measure the times of faults from now on."""
        self._started_s = _now_s()
        self._board.now_s = 0.0

    async def close(self) -> None:
        """Stop serving."""
        await self._tasks.close()
        await self._resources.aclose()

    def announce_wave(self, wave: MaintenanceWave) -> None:
        """Write a maintenance wave to the store."""
        self.vms.waves[wave.number] = wave
        message = WireWave(
            wave=wave.number,
            machines=list(wave.vms),
            complete_by_s=wave.complete_by_s,
            cap=wave.max_down,
        )
        key = f"wave/{wave.number}"
        self._write_operator_row(key, msgspec.json.encode(message))

    def _vm_count(self) -> int:
        return len(POOLS) * self._size.vms_per_pool + self._size.spare_vms

    def _add_vms(self, addresses: list[str]) -> None:
        born_ms = BornMs(int(_now_s() * 1000))
        for number, entry in enumerate(build_entries(self._size, addresses)):
            born = msgspec.structs.replace(entry, born_ms=born_ms)
            self.vms.add(f"m-{number}", born, has_worker=entry.pool != SPARE_POOL)
            self.workers.serve_address(born)

    def _store_routes(self, daemon: EntryVmId) -> Callable[[FaultyListener], None]:
        service = StoreService(self.store.for_caller(daemon))
        return lambda listener: service.add_routes(listener.app)

    def _vm_routes(self) -> Callable[[FaultyListener], None]:
        service = VmService(self.vms, (*POOLS, SPARE_POOL))
        return lambda listener: service.add_routes(listener.app)

    def _add_service(
        self,
        port: int,
        service: Service,
        daemon: EntryVmId,
        add_routes: Callable[[FaultyListener], None],
    ) -> str:
        listener = FaultyListener(
            f"127.0.0.1:{port}",
            lambda: not self._board.is_refused(service, daemon=daemon),
            partial(self._find_fault, service, daemon),
        )
        add_routes(listener)
        self._listeners.append(listener)
        return listener.address

    def _find_fault(
        self, service: Service, daemon: EntryVmId, is_order: bool
    ) -> Fault | None:
        return self._board.find(service, is_order=is_order, daemon=daemon)

    def _write_operator_row(self, key: str, value: bytes) -> None:
        name = RowName(_OPERATORS_TABLE, "", key)
        self.store.apply((), (RowWrite(name, value),))

    async def _advance(self) -> None:
        while True:
            self._board.now_s = _now_s() - self._started_s
            self.workers.beat()
            self.workers.update_progress()
            for listener in self._listeners:
                await listener.update()
            await asyncio.sleep(STEP_S)


def _now_s() -> float:
    return asyncio.get_running_loop().time()
