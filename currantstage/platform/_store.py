"""Client of the platform's row store."""

from __future__ import annotations

import asyncio
import base64
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING
from urllib.parse import urlencode

from msgspec import Struct, field

from currantstage.coordination.jobs import AdaptiveTimeout
from currantstage.platform._decoding import Number
from currantstage.platform._http import (
    CallFailure,
    ConnectionGroup,
    HttpReply,
    PlatformHttp,
)
from currantstage.state.jobs import (
    Committed,
    Conflicted,
    RowCondition,
    RowName,
    RowPage,
    RowWrite,
    StoredRow,
    StoreRefused,
    StoreUnavailable,
)
from currantstage.util import UndecodableError, decode_json

if TYPE_CHECKING:
    from collections.abc import Sequence

#: Bounds of the timeout of a call, in seconds.
MIN_TIMEOUT_S = 0.9
MAX_TIMEOUT_S = 2.5
#: Maximum number of rows on one page of a read. Each page is a call of its own, with a
#: timeout of its own.
PAGE_ROWS = 200
#: Number of rows and size at which the store may end an answer.
MAX_ANSWER_ROWS = 500
MAX_ANSWER_BYTES = 1_000_000
#: Character that sorts after all characters used in keys.
AFTER_ALL_KEYS = "~"
#: Statuses of calls that can never succeed, as what they hold is wrong or too large, or
#: their table is the platform's own.
_REFUSALS = (400, 403, 413)


class WireRow(Struct):
    """Row on the wire; `Value` is base64."""

    table: str = field(name="Table")
    key: str = field(name="Key")
    partition: str = field(name="part", default="")
    value: str = field(name="Value", default="")
    version: Number = field(name="Ver", default=0)
    is_removed: bool = field(name="Deleted", default=False)


class WireRows(Struct):
    version: Number = field(name="Ver")
    rows: list[WireRow] = field(name="rows", default_factory=list)
    has_more: bool = field(name="MorePages", default=False)


class WireCommit(Struct):
    version: Number = field(name="Ver")


class WireName(Struct):
    table: str = field(name="Table")
    partition: str = field(name="part")
    key: str = field(name="Key")


class WireCondition(WireName):
    version: int = field(name="Ver")


class WirePut(WireName):
    value: str = field(name="Value")


class WireTransaction(Struct):
    conditions: list[WireCondition] = field(name="ExpectRev")
    puts: list[WirePut] = field(name="Put")
    removals: list[WireName] = field(name="Remove")


@dataclass(frozen=True, slots=True)
class _FeedAnswer:
    page: RowPage
    may_be_cut: bool


class StoreClient:
    """Calls the store over HTTP; implements `PartitionedStore`.

    Parameters
    ----------
    http : PlatformHttp
    address : str
        ``IP:port`` of the store.
    """

    def __init__(self, http: PlatformHttp, address: str) -> None:
        self._http = http
        self._base = f"http://{address}/currantstage"
        self._write_timeout = AdaptiveTimeout(MIN_TIMEOUT_S, MAX_TIMEOUT_S)
        self._read_timeout = AdaptiveTimeout(MIN_TIMEOUT_S, MAX_TIMEOUT_S)
        self._changes_timeout = AdaptiveTimeout(MIN_TIMEOUT_S, MAX_TIMEOUT_S)

    async def transact(
        self, conditions: Sequence[RowCondition], writes: Sequence[RowWrite]
    ) -> Committed | Conflicted:
        """Apply all of `writes` if every condition holds, otherwise none."""
        reply = await self._call(
            "POST",
            "rows-tx",
            self._write_timeout,
            body=_encode_transaction(conditions, writes),
        )
        if isinstance(reply, HttpReply) and reply.status == 412:
            return Conflicted(_decode(reply, WireRows)[0])
        _raise_for_failure(reply, is_write=True)
        assert isinstance(reply, HttpReply)
        try:
            return Committed(decode_json(reply.body, WireCommit).version)
        except UndecodableError as error:
            raise StoreUnavailable(str(error), is_in_doubt=True) from error

    async def read(self, table: str, partition: str, prefix: str = "") -> RowPage:
        """Return the rows of a partition whose keys begin with `prefix`."""
        rows: list[StoredRow] = []
        first = prefix
        version: int | None = None
        while True:
            query = {"Table": table, "part": partition, "Limit": str(PAGE_ROWS)}
            if first:
                query["From"] = first
            if prefix:
                query["Target"] = prefix + AFTER_ALL_KEYS
            reply = await self._call(
                "GET", f"rows-get?{urlencode(query)}", self._read_timeout
            )
            _raise_for_failure(reply, is_write=False)
            assert isinstance(reply, HttpReply)
            page, page_version, has_more = _decode(reply, WireRows)
            # Later pages may have a newer version; changes are then read from the
            # version of the first page, so that none is missed.
            version = page_version if version is None else version
            rows.extend(page)
            if not has_more or not page:
                return RowPage(tuple(rows), version)
            first = page[-1].name.key + "\x00"

    async def read_row(self, name: RowName) -> StoredRow | None:
        """Return a row, or None if it does not exist."""
        query = {"Table": name.table, "part": name.partition, "Limit": "1"}
        query |= {"From": name.key, "Target": name.key + "\x00"}
        reply = await self._call(
            "GET", f"rows-get?{urlencode(query)}", self._read_timeout
        )
        _raise_for_failure(reply, is_write=False)
        assert isinstance(reply, HttpReply)
        rows, _, _ = _decode(reply, WireRows)
        return next((each for each in rows if each.name == name), None)

    async def changes(self, table: str, after: int, wait_ms: int) -> RowPage | None:
        """Return all changes of `table`; None if that history is unavailable."""
        rows: list[StoredRow] = []
        while True:
            answer = await self._read_feed(table, after, wait_ms)
            if answer is None:
                return None
            page = answer.page
            rows.extend(page.rows)
            if not answer.may_be_cut:
                return RowPage(tuple(rows), page.version)
            after, wait_ms = _continue_after(page), 0

    async def _read_feed(
        self, table: str, after: int, wait_ms: int
    ) -> _FeedAnswer | None:
        query = {"Table": table, "After": str(after), "WaitMs": str(wait_ms)}
        reply = await self._call(
            "GET",
            f"rows-feed?{urlencode(query)}",
            self._changes_timeout,
            wait_s=wait_ms / 1000,
            group=ConnectionGroup.STORE_POLLS,
        )
        if isinstance(reply, HttpReply) and reply.status == 410:
            return None
        _raise_for_failure(reply, is_write=False)
        assert isinstance(reply, HttpReply)
        rows, version, has_more = _decode(reply, WireRows)
        is_full = len(rows) >= MAX_ANSWER_ROWS or len(reply.body) >= MAX_ANSWER_BYTES
        may_be_cut = bool(rows) and (has_more or is_full)
        return _FeedAnswer(RowPage(rows, version), may_be_cut)

    async def _call(
        self,
        method: str,
        path: str,
        adaptive_timeout: AdaptiveTimeout,
        body: WireTransaction | None = None,
        wait_s: float = 0.0,
        group: ConnectionGroup = ConnectionGroup.STORE,
    ) -> HttpReply | CallFailure:
        sent_s = time.monotonic()
        timeout_s = adaptive_timeout.timeout_s()
        try:
            reply = await self._http.call(
                method,
                f"{self._base}/{path}",
                wait_s + timeout_s,
                body=body,
                group=group,
            )
        except asyncio.CancelledError:
            adaptive_timeout.record_abandoned(time.monotonic() - sent_s - wait_s)
            raise
        if isinstance(reply, HttpReply):
            adaptive_timeout.record_response(max(0.0, reply.waited_s - wait_s))
        elif reply is CallFailure.TIMEOUT:
            adaptive_timeout.record_timeout(timeout_s)
        return reply


def _continue_after(page: RowPage) -> int:
    """Return the version after which to read what a full answer left out.

    The answer may end within a transaction, whose rows are then read once more.

    >>> rows = [StoredRow(RowName("t", "", "k"), b"", each) for each in (3, 4, 4)]
    >>> _continue_after(RowPage(tuple(rows), 9))
    3
    >>> _continue_after(RowPage(tuple(rows[1:]), 9))
    4
    """
    first, last = page.rows[0].version, page.rows[-1].version
    return last - 1 if first < last else last


def _encode_transaction(
    conditions: Sequence[RowCondition], writes: Sequence[RowWrite]
) -> WireTransaction:
    transaction = WireTransaction(
        [
            WireCondition(
                each.name.table, each.name.partition, each.name.key, each.version
            )
            for each in conditions
        ],
        [],
        [],
    )
    for write in writes:
        name = write.name
        if write.value is None:
            transaction.removals.append(WireName(name.table, name.partition, name.key))
        else:
            text = base64.b64encode(write.value).decode()
            transaction.puts.append(WirePut(name.table, name.partition, name.key, text))
    return transaction


def _raise_for_failure(reply: HttpReply | CallFailure, *, is_write: bool) -> None:
    """Raise `StoreUnavailable` unless `reply` is a success."""
    if isinstance(reply, CallFailure):
        is_in_doubt = is_write and reply is not CallFailure.REFUSED
        raise StoreUnavailable(reply.value, is_in_doubt=is_in_doubt)
    if reply.status in _REFUSALS:
        raise StoreRefused(f"store responded with status {reply.status}")
    if reply.status != 200:
        is_in_doubt = is_write and reply.status not in (429, 503)
        raise StoreUnavailable(
            f"store responded with status {reply.status}", is_in_doubt=is_in_doubt
        )


def _decode(
    reply: HttpReply, page_type: type[WireRows]
) -> tuple[tuple[StoredRow, ...], int, bool]:
    try:
        page = decode_json(reply.body, page_type)
    except UndecodableError as error:
        raise StoreUnavailable(str(error), is_in_doubt=False) from error
    return tuple(map(_decode_row, page.rows)), page.version, page.has_more


def _decode_row(row: WireRow) -> StoredRow:
    name = RowName(row.table, row.partition, row.key)
    if row.is_removed:
        return StoredRow(name, None, row.version)
    try:
        value = base64.b64decode(row.value, validate=True)
    except ValueError:
        # An empty value fails to decode where it is used.
        value = b""
    return StoredRow(name, value, row.version)
