"""The store's HTTP interface, on the simulated store's rows."""

from __future__ import annotations

import base64
from typing import TYPE_CHECKING

import msgspec
from aiohttp import web

from currantstage.platform.messages import (
    MAX_ANSWER_ROWS,
    WireCommit,
    WireRow,
    WireRows,
    WireTransaction,
)
from currantstage.standin.served._listener import PREFIX
from currantstage.state.jobs import (
    Conflicted,
    RowCondition,
    RowName,
    RowWrite,
    StoreRefused,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from currantstage.platform.messages import WireName
    from currantstage.standin.jobs import StoreConnection
    from currantstage.state.jobs import StoredRow

#: Tables that only the platform and its operators write.
READ_ONLY_TABLES = frozenset({"op", "servers"})
#: Longest wait of a read of changes, in milliseconds.
MAX_WAIT_MS = 30_000


class StoreService:
    """Serves the rows of a store.

    Parameters
    ----------
    rows : StoreConnection
    """

    def __init__(self, rows: StoreConnection) -> None:
        self._rows = rows

    def add_routes(self, app: web.Application) -> None:
        """Add the store's calls to `app`."""
        app.router.add_post(f"{PREFIX}/rows-tx", self._transact)
        app.router.add_get(f"{PREFIX}/rows-get", self._read)
        app.router.add_get(f"{PREFIX}/rows-feed", self._read_changes)

    async def _transact(self, request: web.Request) -> web.Response:
        try:
            call = msgspec.json.decode(await request.read(), type=WireTransaction)
        except msgspec.DecodeError:
            return web.Response(status=400)
        names = [_decode_name(each) for each in (*call.puts, *call.removals)]
        if any(name.table in READ_ONLY_TABLES for name in names):
            return web.Response(status=403)
        conditions = [
            RowCondition(_decode_name(each), each.version) for each in call.conditions
        ]
        partitions = {name.partition for name in names}
        partitions.update(each.name.partition for each in conditions)
        if len(partitions) > 1:
            return web.Response(status=400)
        writes = [
            *(
                RowWrite(_decode_name(each), base64.b64decode(each.value))
                for each in call.puts
            ),
            *(RowWrite(_decode_name(each), None) for each in call.removals),
        ]
        try:
            outcome = await self._rows.transact(conditions, writes)
        except StoreRefused:
            return web.Response(status=413)
        if isinstance(outcome, Conflicted):
            return json_response(WireRows(0, _encode_rows(outcome.rows)), status=412)
        return json_response(WireCommit(outcome.version))

    async def _read(self, request: web.Request) -> web.Response:
        query = request.query
        first, end = query.get("From", ""), query.get("Target")
        limit = min(int(query.get("Limit", MAX_ANSWER_ROWS)), MAX_ANSWER_ROWS)
        page = await self._rows.read(query["Table"], query.get("part", ""))
        found = [
            row
            for row in page.rows
            if first <= row.name.key and (end is None or row.name.key < end)
        ]
        return json_response(
            WireRows(page.version, _encode_rows(found[:limit]), len(found) > limit)
        )

    async def _read_changes(self, request: web.Request) -> web.Response:
        query = request.query
        wait_ms = min(int(query.get("WaitMs", 0)), MAX_WAIT_MS)
        page = await self._rows.changes(query["Table"], int(query["After"]), wait_ms)
        if page is None:
            return web.Response(status=410)
        rows = sorted(page.rows, key=lambda row: row.version)
        if len(rows) <= MAX_ANSWER_ROWS:
            return json_response(WireRows(page.version, _encode_rows(rows)))
        rows = rows[:MAX_ANSWER_ROWS]
        return json_response(WireRows(rows[-1].version, _encode_rows(rows), True))


def json_response(body: object, status: int = 200) -> web.Response:
    """Return a response with `body` encoded as JSON."""
    return web.Response(
        body=msgspec.json.encode(body), status=status, content_type="application/json"
    )


def _decode_name(name: WireName) -> RowName:
    return RowName(name.table, name.partition, name.key)


def _encode_rows(rows: Sequence[StoredRow]) -> list[WireRow]:
    return [
        WireRow(
            table=row.name.table,
            key=row.name.key,
            partition=row.name.partition,
            value=base64.b64encode(row.value or b"").decode(),
            version=row.version,
            is_removed=row.value is None,
        )
        for row in rows
    ]
