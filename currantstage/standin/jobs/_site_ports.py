"""Ports of a simulated site's daemons: peers, and what operators and workers write."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from currantstage.standin.jobs._virtual_loop import CURRENT_PROCESS
from currantstage.standin.jobs._workers import WORKERS_TABLE
from currantstage.state.jobs import (
    FleetConfiguration,
    MaintenanceWave,
    OperatorChanges,
    RowCondition,
    RowName,
    RowWrite,
    WorkerChanges,
    WorkerEntry,
    WorkerId,
)
from currantstage.transport import PeerFailure

if TYPE_CHECKING:
    from collections.abc import Coroutine
    from typing import Any

    from currantstage.application.jobs import JobCore
    from currantstage.protocol.jobs import PeerQuery, PeerReply
    from currantstage.standin.jobs._site import SimulatedSite
    from currantstage.standin.jobs._store import StoreConnection
    from currantstage.state.jobs import RowPage


class SitePeers:
    """Implements `PeerQueries` between the daemons of a site."""

    def __init__(self, site: SimulatedSite, caller: str) -> None:
        self._site = site
        self._caller = caller

    async def send_query(
        self, address: str, query: PeerQuery, timeout_s: float
    ) -> PeerReply | PeerFailure:
        """Return a peer's reply, or the reason why there is none."""
        await asyncio.sleep(0.0005)
        if {address, self._caller} & self._site.resetting_daemons:
            return PeerFailure.REFUSED
        if {address, self._caller} & self._site.silent_daemons:
            await asyncio.sleep(timeout_s)
            return PeerFailure.NO_REPLY
        core = self._site.daemons.get(address)
        if core is None:
            return PeerFailure.REFUSED
        handling = _spawn_in(address, self._handle(core, query, address))
        done, _ = await asyncio.wait([handling], timeout=timeout_s)
        if not done or handling.cancelled():
            return PeerFailure.NO_REPLY
        return handling.result()

    async def _handle(self, core: JobCore, query: PeerQuery, address: str) -> PeerReply:
        await asyncio.sleep(self._site.peer_delays_s.get(address, 0.0))
        return await core.query_handler.handle(query)


class SimulatedOperators:
    """Implements `OperatorSource` on the simulated store."""

    def __init__(self, store: StoreConnection) -> None:
        self._store = store

    async def read(self) -> OperatorChanges:
        """Return the configuration and the waves in force."""
        return self._to_operator_changes(await self._store.read("op", ""))

    async def changes(self, after: int, wait_ms: int) -> OperatorChanges | None:
        """Return changes after version `after`; None if the history was compacted."""
        page = await self._store.changes("op", after, wait_ms)
        return self._to_operator_changes(page) if page else None

    def decode(self, raw_configuration: bytes) -> FleetConfiguration | None:
        """Decode a configuration that a peer has forwarded."""
        return msgspec.json.decode(raw_configuration, type=FleetConfiguration)

    async def write_wave_state(self, wave: int, *, is_completed: bool) -> None:
        """Write the state of a wave for operators to read."""
        name = RowName("status", "", f"wave/{wave}")
        value = b"completed" if is_completed else b"running"
        conditions = () if is_completed else (RowCondition(name, 0),)
        await self._store.transact(conditions, (RowWrite(name, value),))

    def _to_operator_changes(self, page: RowPage) -> OperatorChanges:
        configuration = None
        raw = b""
        waves = []
        for row in page.rows:
            value = row.value or b""
            if row.name.key == "config":
                configuration = self.decode(value)
                raw = value
            else:
                waves.append(msgspec.json.decode(value, type=MaintenanceWave))
        return OperatorChanges(configuration, raw, tuple(waves), page.version)


class SimulatedWorkerEntries:
    """Implements `WorkerSource` on the simulated store."""

    def __init__(self, store: StoreConnection) -> None:
        self._store = store

    async def read(self) -> WorkerChanges:
        """Return all entries."""
        return _worker_changes(await self._store.read(WORKERS_TABLE, ""))

    async def changes(self, after: int, wait_ms: int) -> WorkerChanges | None:
        """Return changes after version `after`; None if the history was compacted."""
        page = await self._store.changes(WORKERS_TABLE, after, wait_ms)
        return _worker_changes(page) if page else None


def _spawn_in(
    process: str, work: Coroutine[Any, Any, PeerReply]
) -> asyncio.Task[PeerReply]:
    """Run `work` in a simulated process, whatever becomes of the caller."""
    token = CURRENT_PROCESS.set(process)
    try:
        return asyncio.ensure_future(work)
    finally:
        CURRENT_PROCESS.reset(token)


def _worker_changes(page: RowPage) -> WorkerChanges:
    entries = [
        msgspec.json.decode(row.value, type=WorkerEntry)
        for row in page.rows
        if row.value is not None
    ]
    removed = [WorkerId(row.name.key) for row in page.rows if row.value is None]
    return WorkerChanges(tuple(entries), tuple(removed), page.version)
