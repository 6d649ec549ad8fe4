"""The simulated store behind the platform's HTTP interface, on a loopback address."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from aiohttp import web

from currantstage.standin.jobs import SimulatedStore, StoreConnection
from currantstage.standin.served._store_service import StoreService

if TYPE_CHECKING:
    from collections.abc import Sequence

    from currantstage.state.jobs import Committed, Conflicted, RowCondition, RowWrite


class ServedStore:
    """Serves a `SimulatedStore` over HTTP; a write takes `write_s` seconds."""

    def __init__(self) -> None:
        self.rows = SimulatedStore(random.Random(1))
        self.write_s = 0.0
        self.address = ""
        app = web.Application(client_max_size=2**24)
        StoreService(_SlowConnection(self)).add_routes(app)
        self._runner = web.AppRunner(app, shutdown_timeout=0.1)

    async def start(self) -> None:
        """Listen on a free loopback port."""
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", 0).start()
        host, port = self._runner.addresses[0][:2]
        self.address = f"{host}:{port}"

    async def close(self) -> None:
        """Stop listening."""
        await self._runner.cleanup()


class _SlowConnection(StoreConnection):
    """Connection whose writes take as long as the served store says."""

    def __init__(self, served: ServedStore) -> None:
        super().__init__(served.rows, "caller")
        self._served = served

    async def transact(
        self, conditions: Sequence[RowCondition], writes: Sequence[RowWrite]
    ) -> Committed | Conflicted:
        """Write after a while."""
        await asyncio.sleep(self._served.write_s)
        return await super().transact(conditions, writes)
