"""The simulated store behind the platform's HTTP interface, on a loopback address."""

from __future__ import annotations

import asyncio
import base64
import random
from typing import Any

from aiohttp import web

from currantstage.standin.jobs import SimulatedStore
from currantstage.state.jobs import (
    Committed,
    RowCondition,
    RowName,
    RowWrite,
    StoredRow,
)


class ServedStore:
    """Serves a `SimulatedStore` over HTTP; a write takes `write_s` seconds."""

    def __init__(self) -> None:
        self.rows = SimulatedStore(random.Random(1))
        self.write_s = 0.0
        self.address = ""
        app = web.Application(client_max_size=2**24)
        app.router.add_post("/currantstage/rows-tx", self._transact)
        app.router.add_get("/currantstage/rows-get", self._read)
        app.router.add_get("/currantstage/rows-feed", self._changes)
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

    async def _transact(self, request: web.Request) -> web.Response:
        body = await request.json()
        conditions = [
            RowCondition(_name(each), each["Ver"]) for each in body["ExpectRev"]
        ]
        writes = [
            RowWrite(_name(each), base64.b64decode(each["Value"]))
            for each in body["Put"]
        ]
        writes += [RowWrite(_name(each), None) for each in body["Remove"]]
        await asyncio.sleep(self.write_s)
        outcome = self.rows.apply(conditions, writes)
        if isinstance(outcome, Committed):
            return web.json_response({"Ver": outcome.version})
        return self._rows_response(outcome.rows, status=412)

    async def _read(self, request: web.Request) -> web.Response:
        query = request.query
        first, end = query.get("From", ""), query.get("Target")
        rows = [
            row
            for name, row in sorted(self.rows.rows.items(), key=_by_key)
            if (name.table, name.partition) == (query["Table"], query["part"])
            and first <= name.key
            and (end is None or name.key < end)
        ]
        limit = int(query["Limit"])
        return self._rows_response(rows[:limit], MorePages=len(rows) > limit)

    async def _changes(self, request: web.Request) -> web.Response:
        table, after = request.query["Table"], int(request.query["After"])
        until_s = asyncio.get_running_loop().time() + int(request.query["WaitMs"]) / 1e3
        while True:
            rows = [
                row
                for row in self.rows.history
                if row.name.table == table and row.version > after
            ]
            left_s = until_s - asyncio.get_running_loop().time()
            if rows or left_s <= 0:
                return self._rows_response(rows)
            await self.rows.changed.wait(left_s)

    def _rows_response(
        self, rows: Any, status: int = 200, **fields: object
    ) -> web.Response:
        body = {"rows": [_encode(row) for row in rows], "Ver": self.rows.version}
        return web.json_response(body | fields, status=status)


def _name(row: dict[str, Any]) -> RowName:
    return RowName(row["Table"], row["part"], row["Key"])


def _by_key(item: tuple[RowName, StoredRow]) -> str:
    return item[0].key


def _encode(row: StoredRow) -> dict[str, object]:
    encoded: dict[str, object] = {
        "Table": row.name.table,
        "part": row.name.partition,
        "Key": row.name.key,
        "Ver": row.version,
    }
    if row.value is None:
        return encoded | {"Deleted": True}
    return encoded | {"Value": base64.b64encode(row.value).decode()}
