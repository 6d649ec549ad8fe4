"""Workers that are reached over HTTP and register in the store by heartbeats."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import msgspec
from msgspec import field

from currantstage.platform.messages import WireResources, WireWorkerEntry
from currantstage.standin.jobs import SimulatedWorkers
from currantstage.standin.served._faults import Service
from currantstage.standin.served._worker_host import WorkerHost
from currantstage.state.jobs import RowName, RowWrite

if TYPE_CHECKING:
    import random

    from currantstage.standin.jobs import Oracle, SimulatedStore, SimulatedWorker
    from currantstage.standin.served._faults import FaultBoard
    from currantstage.state import PoolId
    from currantstage.state.jobs import WorkerEntry, WorkerId

WORKERS_TABLE = "servers"
#: Interval between the writes of a worker's entry, in seconds.
HEARTBEAT_S = 1.5
#: Silence after which the platform removes an entry, in seconds.
ENTRY_EXPIRY_S = 3 * HEARTBEAT_S


class _Heartbeat(WireWorkerEntry, rename="pascal"):
    """Entry with the number of the write."""

    seq: int = field(default=0)


class ServedWorkers(SimulatedWorkers):
    """Simulated workers at the addresses of their VMs.

    Entries expire while the store is out for all, as the platform allows, and are
    written again at the first heartbeat after its return.

    Parameters
    ----------
    store : SimulatedStore
    oracle : Oracle
    random : random.Random
    board : FaultBoard
    """

    def __init__(
        self,
        store: SimulatedStore,
        oracle: Oracle,
        random: random.Random,
        board: FaultBoard,
    ) -> None:
        super().__init__(store, oracle, random)
        self.hosts: dict[str, WorkerHost] = {}
        self._rows = store
        self._board = board
        self._seq = 0
        self._unix_offset_ms = int((time.time() - time.monotonic()) * 1000)
        self._written_s: dict[WorkerId, float] = {}

    def add(self, entry: WorkerEntry) -> SimulatedWorker:
        """Start a worker, and serve it at its address."""
        worker = super().add(entry)
        self.serve_address(entry)
        self.hosts[entry.address].worker = worker
        return worker

    def serve_address(self, entry: WorkerEntry) -> None:
        """Prepare to serve the workers at the address of `entry`, if there are any."""
        if entry.address not in self.hosts:
            self.hosts[entry.address] = self._build_host(entry)

    def publish(self, entry: WorkerEntry) -> None:
        """Write a worker's entry, unless the store is out."""
        if self._board.is_out_for_all(Service.STORE):
            return
        self._seq += 1
        heartbeat = _Heartbeat(
            service=entry.pool,
            address=entry.address,
            state="draining" if entry.is_draining else "ready",
            capacity=WireResources(
                entry.capacity.cpu_millicores,
                entry.capacity.memory_mb,
                entry.capacity.accelerators,
            ),
            labels=list(entry.labels),
            zone=entry.data_centre,
            born=entry.born_ms + self._unix_offset_ms,
            seq=self._seq,
        )
        name = RowName(WORKERS_TABLE, "", entry.worker)
        self._rows.apply((), (RowWrite(name, msgspec.json.encode(heartbeat)),))
        self._written_s[entry.worker] = _now_s()

    def beat(self) -> None:
        """Write the entries that are due, and remove those that have expired."""
        now_s = _now_s()
        for worker in self.workers.values():
            silent_s = now_s - self._written_s.get(worker.entry.worker, 0.0)
            if worker.is_up and silent_s >= HEARTBEAT_S:
                self.publish(worker.entry)
            if silent_s >= ENTRY_EXPIRY_S:
                self._remove_entry(worker.entry.worker)

    def update_progress(self) -> None:
        """Let the tasks stand still or go on, as the faults say."""
        for worker in self.workers.values():
            worker.set_stalled(self._board.is_stalled(worker.entry.pool))

    def _remove_entry(self, worker: WorkerId) -> None:
        name = RowName(WORKERS_TABLE, "", worker)
        if name in self._rows.rows:
            self._rows.apply((), (RowWrite(name, None),))

    def _build_host(self, entry: WorkerEntry) -> WorkerHost:
        address = entry.address

        def pool() -> PoolId:
            worker = self.hosts[address].worker
            return worker.entry.pool if worker is not None else entry.pool

        return WorkerHost(
            address,
            lambda: self._board.is_refused(Service.WORKERS, pool=pool()),
            lambda is_order: self._board.find(
                Service.WORKERS, is_order=is_order, pool=pool()
            ),
            self._unix_offset_ms,
        )


def _now_s() -> float:
    return asyncio.get_running_loop().time()
