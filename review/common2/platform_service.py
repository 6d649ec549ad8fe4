"""Stand-ins of the platform: its row store and its service for machines.

Both run in the event loop of the script that uses them. They follow PROTOCOL.md; where
that page is silent, they behave like a sound service.
"""

from __future__ import annotations

import asyncio
import base64
import json
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

from aiohttp import web

PREFIX = "/currantstage"
#: Time that the store takes for an answer and for a transaction, in seconds.
ANSWER_S = 0.004
TRANSACTION_S = 0.008
#: How long the store keeps its history, in seconds.
HISTORY_S = 20.0
MAX_ENTRIES = 100
MAX_ROWS = 500
MAX_ANSWER_BYTES = 1_000_000
#: Tables that the system may not write to.
READ_ONLY_TABLES = ("op", "servers")
#: How long a machine is down for its upkeep and for a move, in seconds.
UPKEEP_S = 2.0
MOVE_S = 1.5

RowName = tuple[str, str, str]


def now_ms() -> int:
    """Return the steady time in milliseconds."""
    return int(time.monotonic() * 1000)


@dataclass
class Row:
    """A row, or the mark of one that has been removed."""

    name: RowName
    value: bytes | None
    version: int
    at_s: float = field(default_factory=time.monotonic)

    def on_wire(self) -> dict[str, Any]:
        """Return the row as the store sends it."""
        table, part, key = self.name
        row: dict[str, Any] = {
            "Table": table,
            "part": part,
            "Key": key,
            "Ver": self.version,
        }
        if self.value is None:
            return row | {"Deleted": True}
        return row | {"Value": base64.b64encode(self.value).decode()}


@dataclass(frozen=True)
class Transaction:
    """A transaction as it was received."""

    body: dict[str, Any]

    def puts(self, table: str) -> dict[str, Any]:
        """Return the JSON values that it puts into a table, by key."""
        return {
            put["Key"]: json.loads(base64.b64decode(put["Value"]))
            for put in self.body.get("Put", ())
            if put["Table"] == table
        }


class Store:
    """The platform's row store."""

    def __init__(self) -> None:
        self.version = 0
        self.rows: dict[RowName, Row] = {}
        self._history: list[Row] = []
        self._floor = 0
        self._changed = asyncio.Condition()
        self._locks: dict[str, asyncio.Lock] = {}
        #: Returns how late a transaction is to be done, in seconds, without an answer;
        #: None if it is done at once and answered.
        self.lateness: Callable[[Transaction], float | None] | None = None

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of the store."""
        return [
            web.post(f"{PREFIX}/rows-tx", self._transact),
            web.get(f"{PREFIX}/rows-get", self._get),
            web.get(f"{PREFIX}/rows-feed", self._feed),
            web.get(f"{PREFIX}/rows-parts", self._parts),
        ]

    async def write(self, table: str, key: str, value: object | None) -> None:
        """Write a row as the operator or a worker does."""
        self.version += 1
        encoded = None if value is None else json.dumps(value).encode()
        self._apply(("op" if table == "op" else table, "", key), encoded)
        await self._notify()

    def value(self, table: str, key: str, part: str = "") -> Any:
        """Return the JSON value of a row; None if there is none."""
        row = self.rows.get((table, part, key))
        return None if row is None or row.value is None else json.loads(row.value)

    def _apply(self, name: RowName, value: bytes | None) -> None:
        row = Row(name, value, self.version)
        if value is None:
            self.rows.pop(name, None)
        else:
            self.rows[name] = row
        self._history.append(row)
        oldest_s = time.monotonic() - HISTORY_S
        while self._history and self._history[0].at_s < oldest_s:
            self._floor = self._history.pop(0).version

    async def _notify(self) -> None:
        async with self._changed:
            self._changed.notify_all()

    def _answer(self, **fields: object) -> dict[str, object]:
        return {"Ver": self.version, "NowMs": now_ms(), **fields}

    async def _transact(self, request: web.Request) -> web.Response:
        body = await request.json()
        expected = body.get("ExpectRev") or []
        puts, removals = body.get("Put") or [], body.get("Remove") or []
        entries = [*expected, *puts, *removals]
        parts = {each.get("part", "") for each in entries}
        if len(entries) > MAX_ENTRIES or (len(parts) > 1 and not body.get("Across")):
            return web.json_response({}, status=400)
        if any(each["Table"] in READ_ONLY_TABLES for each in (*puts, *removals)):
            return web.json_response({}, status=403)
        late_s = self.lateness(Transaction(body)) if self.lateness else None
        if late_s is not None:
            # A connection on which a response is lost delivers nothing further.
            await asyncio.shield(self._transact_late(body, late_s))
            await asyncio.sleep(3600)
        status, answer = await self._perform(body)
        await asyncio.sleep(ANSWER_S)
        return web.json_response(answer, status=status)

    async def _transact_late(self, body: dict[str, Any], late_s: float) -> None:
        await asyncio.sleep(late_s)
        await self._perform(body)

    async def _perform(self, body: dict[str, Any]) -> tuple[int, dict[str, object]]:
        """Apply a transaction if its condition holds; return status and answer."""
        expected = body.get("ExpectRev") or []
        puts, removals = body.get("Put") or [], body.get("Remove") or []
        parts = {each.get("part", "") for each in (*expected, *puts, *removals)}
        async with self._locks.setdefault(min(parts, default=""), asyncio.Lock()):
            await asyncio.sleep(TRANSACTION_S)
            current = [(each, self.rows.get(_name(each))) for each in expected]
            if any((row.version if row else 0) != each["Ver"] for each, row in current):
                rows = [row.on_wire() for _, row in current if row]
                return 412, self._answer(rows=rows)
            self.version += 1
            for put in puts:
                self._apply(_name(put), base64.b64decode(put["Value"]))
            for removal in removals:
                self._apply(_name(removal), None)
            answer = self._answer()
        await self._notify()
        return 200, answer

    async def _get(self, request: web.Request) -> web.Response:
        await asyncio.sleep(ANSWER_S)
        query = request.query
        table, part = query.get("Table", ""), query.get("part", "")
        first, end = query.get("From", "").encode(), query.get("Target", "").encode()
        limit = min(int(query.get("Limit", MAX_ROWS)), MAX_ROWS)
        names = sorted(
            (name for name in self.rows if name[:2] == (table, part)),
            key=lambda name: name[2].encode(),
        )
        names = [
            name
            for name in names
            if name[2].encode() >= first and (not end or name[2].encode() < end)
        ]
        rows: list[dict[str, Any]] = []
        size = 0
        for name in names[:limit]:
            row = self.rows[name].on_wire()
            size += len(row["Value"])
            if rows and size > MAX_ANSWER_BYTES:
                break
            rows.append(row)
        more = len(rows) < len(names)
        return web.json_response(self._answer(rows=rows, MorePages=more))

    async def _parts(self, request: web.Request) -> web.Response:
        await asyncio.sleep(ANSWER_S)
        table, after = request.query.get("Table", ""), request.query.get("After", "")
        parts = sorted({name[1] for name in self.rows if name[0] == table})
        return web.json_response(
            self._answer(parts=[each for each in parts if each > after])
        )

    async def _feed(self, request: web.Request) -> web.Response:
        query = request.query
        table, after = query.get("Table", ""), int(query.get("After", 0))
        until_s = time.monotonic() + min(int(query.get("WaitMs", 0)), 30_000) / 1000
        while True:
            if after < self._floor:
                return web.json_response(self._answer(), status=410)
            newest = {
                row.name: row
                for row in self._history
                if row.version > after and row.name[0] == table
            }
            left_s = until_s - time.monotonic()
            if newest or left_s <= 0:
                break
            try:
                async with asyncio.timeout(left_s), self._changed:
                    await self._changed.wait()
            except TimeoutError:
                pass
        rows = [
            row.on_wire()
            for row in sorted(newest.values(), key=lambda row: row.version)
        ]
        answer = self._answer(rows=rows, MorePages=False)
        await asyncio.sleep(ANSWER_S)
        return web.json_response(answer)


def _name(entry: dict[str, Any]) -> RowName:
    return entry["Table"], entry.get("part", ""), entry["Key"]


@dataclass
class Machine:
    """A machine; `worker` is the id of the worker on it, empty if there is none."""

    name: str
    pool: str
    zone: str
    labels: list[str]
    capacity: dict[str, int]
    state: str = "up"
    worker: str = ""
    token: int = 0
    maintained: set[int] = field(default_factory=set)


@dataclass(frozen=True)
class MachineCall:
    """A call that orders a move or an upkeep."""

    kind: str
    machine: str
    holder: str
    token: int
    goal: object


class Machines:
    """The platform's service for machines.

    Parameters
    ----------
    on_down : callable
        Ends the worker of a machine at once.
    on_up : callable
        Starts a new worker on a machine that is up again; returns its id.
    """

    def __init__(
        self,
        on_down: Callable[[Machine], Awaitable[None]],
        on_up: Callable[[Machine], Awaitable[str]],
        log: Callable[..., None],
    ) -> None:
        self.machines: dict[str, Machine] = {}
        self.waves: dict[int, dict[str, Any]] = {}
        #: Breaches of `Cap` that have been seen.
        self.breaches: list[str] = []
        self._on_down = on_down
        self._on_up = on_up
        self._log = log
        self._tasks: set[asyncio.Task[None]] = set()
        #: Called with each accepted call before its answer.
        self.on_accepted: Callable[[MachineCall], Awaitable[None]] | None = None
        #: Called with each call before it is carried out; true to leave it unanswered.
        self.on_received: Callable[[MachineCall], Awaitable[bool]] | None = None

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of the service."""
        return [
            web.get(f"{PREFIX}/machines", self._list),
            web.post(f"{PREFIX}/machine-move", self._move),
            web.post(f"{PREFIX}/machine-upkeep", self._upkeep),
        ]

    async def close(self) -> None:
        """Stop what is going on."""
        for task in self._tasks:
            task.cancel()

    async def _list(self, _: web.Request) -> web.Response:
        await asyncio.sleep(ANSWER_S)
        rows = [
            {
                "Machine": each.name,
                "Pool": each.pool,
                "State": each.state,
                "Zone": each.zone,
                "Labels": each.labels,
                "Capacity": each.capacity,
                "Id": each.worker,
            }
            for each in self.machines.values()
        ]
        return web.json_response({"Machines": rows, "NextToken": None})

    async def _move(self, request: web.Request) -> web.Response:
        body = await request.json()
        return await self._order(request, "move", body["Machine"], body["Pool"])

    async def _upkeep(self, request: web.Request) -> web.Response:
        body = await request.json()
        return await self._order(request, "upkeep", body["Machine"], body["Wave"])

    async def _order(
        self, request: web.Request, kind: str, machine: str, goal: object
    ) -> web.Response:
        call = MachineCall(
            kind,
            machine,
            request.headers.get("X-Currantstage-Lease-Holder", ""),
            int(request.headers.get("X-Currantstage-Fencing-Token", "0")),
            goal,
        )
        if self.on_received is not None and await self.on_received(call):
            await asyncio.sleep(3600)
        status, reason = await self.carry_out(call)
        if status == 200 and self.on_accepted is not None:
            await self.on_accepted(call)
        await asyncio.sleep(ANSWER_S)
        return web.json_response({"Reason": reason} if reason else {}, status=status)

    async def carry_out(self, call: MachineCall) -> tuple[int, str]:
        """Carry out a call; return its status and the reason of a refusal."""
        status, reason = await self._carry_out(call)
        self._log(
            "machine-order",
            kind=call.kind,
            machine=call.machine,
            goal=call.goal,
            holder=call.holder,
            token=call.token,
            status=status,
            reason=reason,
        )
        return status, reason

    async def _carry_out(self, call: MachineCall) -> tuple[int, str]:
        machine = self.machines.get(call.machine)
        if machine is None:
            return 400, ""
        if call.token < machine.token:
            return 409, "fence"
        machine.token = call.token
        if call.kind == "upkeep":
            wave = self.waves.get(int(str(call.goal)))
            if wave is None or machine.name not in wave["Machines"]:
                return 409, "wave"
            if wave["Wave"] in machine.maintained:
                return 200, ""
            if machine.state != "up":
                return 409, "busy"
            self._check_cap(wave, machine)
            machine.maintained.add(wave["Wave"])
            await self._take_down(machine, "upkeep", machine.pool, UPKEEP_S)
            return 200, ""
        if machine.pool == call.goal:
            return 200, ""
        if machine.state != "up":
            return 409, "busy"
        await self._take_down(machine, "moving", str(call.goal), MOVE_S)
        return 200, ""

    def _check_cap(self, wave: dict[str, Any], machine: Machine) -> None:
        down = [
            each.name
            for each in self.machines.values()
            if each.state == "upkeep" and each.name in wave["Machines"]
        ]
        if len(down) >= wave["Cap"]:
            self.breaches.append(
                f"the upkeep of {machine.name} begins while {', '.join(down)} of wave "
                f"{wave['Wave']} are down for theirs; Cap is {wave['Cap']}"
            )

    async def _take_down(
        self, machine: Machine, state: str, pool: str, for_s: float
    ) -> None:
        machine.state = state
        machine.pool = pool
        await self._on_down(machine)
        machine.worker = ""
        task = asyncio.create_task(self._bring_up(machine, for_s))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _bring_up(self, machine: Machine, for_s: float) -> None:
        await asyncio.sleep(for_s)
        machine.worker = await self._on_up(machine)
        machine.state = "up"
        self._log("machine-up", machine=machine.name, worker=machine.worker)
