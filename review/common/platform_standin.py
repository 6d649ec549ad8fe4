"""Stand-ins for the users' platform, by `PROTOCOL.md`: store, machines and workers.

All of them run in the process of the script that uses them, on loopback addresses. They
do what the pages say and no more; a script adds its disruption through the few switches
of each class.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import time
from dataclasses import dataclass, field
from pathlib import Path

from aiohttp import web

#: Limits of the store, as in the example of `DEPLOY.md` and on the page of its calls.
ROW_BYTES = 65_536
MAX_ENTRIES = 100
MAX_CALL_BYTES = 1_048_576
MAX_NAME_BYTES = 200
MAX_PAGE_ROWS = 500
TX_S = 0.008
ANSWER_S = 0.004
#: Delay of a write that is performed late, of the 1 to 6 s that the bench names.
LATE_S = 6.0
#: Bounds of the workers, as in the example of `DEPLOY.md`.
HOLD_MAX_MS = 6000
STOP_S = 0.05
HEARTBEAT_S = 1.5
UPKEEP_S = 2.0
MAX_LISTED_ENDS = 500


class Record:
    """Log of a script: what was sent, answered and run."""

    def __init__(self, path: str) -> None:
        self._path = Path(path)
        self._path.write_text("", encoding="utf-8")
        self._started_s = time.monotonic()

    def now_s(self) -> float:
        """Return the seconds since the script began."""
        return time.monotonic() - self._started_s

    def write(self, text: str) -> None:
        """Add one line."""
        with self._path.open("a", encoding="utf-8") as file:
            file.write(f"{self.now_s():8.3f} {text}\n")


class Service:
    """An HTTP service on a free loopback port."""

    def __init__(self) -> None:
        self.address = ""
        self._runner: web.AppRunner | None = None

    async def serve(self, routes: list[web.RouteDef]) -> None:
        """Start to listen, at the same address as before if there was one."""
        app = web.Application(client_max_size=4 * MAX_CALL_BYTES)
        app.add_routes(routes)
        self._runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self._runner.setup()
        port = int(self.address.rpartition(":")[2]) if self.address else 0
        site = web.TCPSite(self._runner, "127.0.0.1", port)
        await site.start()
        host, port = self._runner.addresses[0][:2]
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Stop listening, and close all connections."""
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None


class Store(Service):
    """The store: rows with versions, conditional transactions and a feed of changes."""

    def __init__(self, record: Record) -> None:
        super().__init__()
        self.rows: dict[tuple[str, str, str], tuple[str, int]] = {}
        self.version = 0
        self.refused: list[str] = []
        self._answering = asyncio.Event()
        self._answering.set()
        #: When the last late write was performed, on the clock of the record.
        self.last_late_s = float("-inf")
        self._record = record
        self._log: list[tuple[int, tuple[str, str, str]]] = []
        self._changed = asyncio.Condition()
        self._locks: dict[str, asyncio.Lock] = {}
        self._late: list[asyncio.Task] = []

    async def start(self) -> None:
        """Start to listen."""
        base = "/currantstage"
        await self.serve(
            [
                web.post(f"{base}/rows-tx", self._transact),
                web.get(f"{base}/rows-get", self._get),
                web.get(f"{base}/rows-parts", self._parts),
                web.get(f"{base}/rows-feed", self._feed),
            ]
        )

    @property
    def is_silent(self) -> bool:
        """Whether calls get no response."""
        return not self._answering.is_set()

    def fall_silent(self) -> None:
        """Give no more responses.

        Submissions of jobs are performed `LATE_S` later if their condition still holds,
        and nothing else is performed.
        """
        self._answering.clear()

    def end_silence(self) -> None:
        """Answer again."""
        self._answering.set()

    async def put(self, table: str, key: str, value: object) -> None:
        """Write a row as the operator or a worker does."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        await self._apply([(table, "", key, text)])

    async def remove(self, table: str, key: str) -> None:
        """Remove a row as the platform does."""
        await self._apply([(table, "", key, None)])

    def value(self, table: str, key: str) -> object:
        """Return the decoded value of a row of the empty part; None without it."""
        row = self.rows.get((table, "", key))
        return json.loads(base64.b64decode(row[0])) if row else None

    async def _apply(self, writes: list[tuple[str, str, str, str | None]]) -> None:
        self.version += 1
        for table, part, key, text in writes:
            name = (table, part, key)
            if text is None:
                self.rows.pop(name, None)
            else:
                self.rows[name] = (text, self.version)
            self._log.append((self.version, name))
        async with self._changed:
            self._changed.notify_all()

    async def _transact(self, request: web.Request) -> web.Response:
        body = await request.read()
        call = json.loads(body)
        conditions = call.get("ExpectRev") or []
        puts = call.get("Put") or []
        removals = call.get("Remove") or []
        fault = _find_fault(body, conditions, puts, removals)
        if fault:
            self.refused.append(fault)
            self._record.write(f"store refused a transaction with 400: {fault}")
            return web.json_response({"Reason": fault}, status=400)
        entries = conditions + puts + removals
        if any(each["Table"] in ("op", "servers") for each in puts + removals):
            return web.Response(status=403)
        if self.is_silent:
            is_late = all(each["Table"] == "jobs" for each in entries)
            return await self._leave_unanswered(
                request, conditions, puts, removals, is_late=is_late
            )
        return await self._perform(conditions, puts, removals)

    async def _leave_unanswered(
        self,
        request: web.Request,
        conditions: list,
        puts: list,
        removals: list,
        *,
        is_late: bool,
    ) -> web.Response:
        if is_late:
            names = ", ".join("/".join(_name(each)) for each in puts)
            self._record.write(f"store gets a write of {names} and is silent")

            async def perform_late() -> None:
                await asyncio.sleep(LATE_S)
                answer = await self._perform(conditions, puts, removals)
                self.last_late_s = self._record.now_s()
                self._record.write(f"store performs the late write: {answer.status}")

            self._late.append(asyncio.create_task(perform_late()))
        return await self._stay_silent(request)

    async def _stay_silent(self, request: web.Request) -> web.Response:
        """Give no response, and close the connection after the outage."""
        await self._answering.wait()
        if request.transport is not None:
            request.transport.close()
        return web.Response(status=503)

    async def _perform(
        self, conditions: list, puts: list, removals: list
    ) -> web.Response:
        entries = conditions + puts + removals
        part = entries[0].get("part", "") if entries else ""
        async with self._locks.setdefault(part, asyncio.Lock()):
            await asyncio.sleep(TX_S)
            current = [self._row(_name(each)) for each in conditions]
            expected = [each["Ver"] for each in conditions]
            if [row["Ver"] for row in current] != expected:
                found = [row for row in current if row["Ver"]]
                answer = {"rows": found, "Ver": self.version, "NowMs": _now_ms()}
                return web.json_response(answer, status=412)
            await self._apply(
                [(*_name(each), each["Value"]) for each in puts]
                + [(*_name(each), None) for each in removals]
            )
            version = self.version
        await asyncio.sleep(ANSWER_S)
        return web.json_response({"Ver": version, "NowMs": _now_ms()})

    async def _get(self, request: web.Request) -> web.Response:
        await asyncio.sleep(ANSWER_S)
        if self.is_silent:
            return await self._stay_silent(request)
        query = request.query
        first, end = query.get("From", ""), query.get("Target", "")
        limit = min(int(query.get("Limit", MAX_PAGE_ROWS)), MAX_PAGE_ROWS)
        names = sorted(
            name
            for name in self.rows
            if name[:2] == (query["Table"], query.get("part", ""))
            and name[2].encode() >= first.encode()
            and (not end or name[2].encode() < end.encode())
        )
        page, size = [], 0
        for name in names[:limit]:
            size += len(self.rows[name][0])
            if page and size > MAX_CALL_BYTES:
                break
            page.append(self._row(name))
        return web.json_response(
            {
                "rows": page,
                "MorePages": len(page) < len(names),
                "Ver": self.version,
                "NowMs": _now_ms(),
            }
        )

    async def _parts(self, request: web.Request) -> web.Response:
        parts = {name[1] for name in self.rows if name[0] == request.query["Table"]}
        return web.json_response({"parts": sorted(parts), "MorePages": False})

    async def _feed(self, request: web.Request) -> web.Response:
        if self.is_silent:
            return await self._stay_silent(request)
        table = request.query["Table"]
        after = int(request.query["After"])
        until_s = time.monotonic() + int(request.query.get("WaitMs", 0)) / 1000
        while not (names := self._names_changed(table, after)):
            left_s = until_s - time.monotonic()
            if left_s <= 0:
                break
            async with self._changed:
                try:
                    await asyncio.wait_for(self._changed.wait(), left_s)
                except TimeoutError:
                    break
        await asyncio.sleep(ANSWER_S)
        rows = []
        for name, changed in sorted(names.items(), key=lambda each: each[1]):
            row = self._row(name)
            if not row["Ver"]:
                row.update(Deleted=True, Ver=changed)
            rows.append(row)
        answer = {"rows": rows, "Ver": self.version, "NowMs": _now_ms()}
        return web.json_response(answer)

    def _names_changed(self, table: str, after: int) -> dict[tuple[str, str, str], int]:
        found = {}
        for version, name in reversed(self._log):
            if version <= after:
                break
            if name[0] == table:
                found.setdefault(name, version)
        return found

    def _row(self, name: tuple[str, str, str]) -> dict[str, object]:
        text, version = self.rows.get(name, ("", 0))
        table, part, key = name
        return {"Table": table, "part": part, "Key": key, "Value": text, "Ver": version}


def _name(entry: dict[str, str]) -> tuple[str, str, str]:
    return entry["Table"], entry.get("part", ""), entry["Key"]


def _find_fault(body: bytes, conditions: list, puts: list, removals: list) -> str:
    """Return which limit of the store a transaction exceeds; empty for none."""
    entries = conditions + puts + removals
    if len(entries) > MAX_ENTRIES:
        return f"{len(entries)} entries"
    if len(body) > MAX_CALL_BYTES:
        return f"call of {len(body)} bytes"
    if len({each.get("part", "") for each in entries}) > 1:
        return "several parts"
    for put in puts:
        size = len(base64.b64decode(put["Value"]))
        if size > ROW_BYTES:
            return f"row {put['Table']}/{put['Key']} of {size} bytes"
    return ""


def _now_ms() -> int:
    return int(time.monotonic() * 1000)


@dataclass
class TaskRun:
    """A run of a task on a worker, and its end."""

    task: str
    run: int
    worker: str
    started_s: float
    ended_s: float | None = None
    how: str = ""
    number: int = 0
    speed: float = 1.0
    work_s: float = 0.0
    updated_s: float = 0.0
    needed_s: float = 0.0
    outcome: str = "done"
    is_stopping: bool = False


@dataclass
class Work:
    """What a task does: seconds of work, and how it ends."""

    seconds: float
    outcome: str = "done"


@dataclass
class Site:
    """What all workers share: the log, every run, and what each task does."""

    record: Record
    store: Store
    runs: list[TaskRun] = field(default_factory=list)
    #: Returns the work of a run, from the task's name, the run and the worker's id.
    work: object = None

    def runs_of(self, job: str) -> list[TaskRun]:
        """Return the runs of a job's tasks, in the order of their starts."""
        return [each for each in self.runs if each.task.startswith(job)]


class Worker(Service):
    """A worker: runs what it is told to, under a fence and a lease."""

    def __init__(
        self, site: Site, name: str, service: str, cpu: int = 32_000, rack: str = "r1"
    ) -> None:
        super().__init__()
        self.site = site
        self.name = name
        self.service = service
        #: Speed of the worker's clock, which may be 2% slow.
        self.clock_rate = 1.0
        self.capacity = {"Cpu": cpu, "MemMb": 65_536, "Gpu": 0}
        self.labels = ["a", rack]
        self.running: dict[str, TaskRun] = {}
        self._tasks: list[asyncio.Task] = []
        self._is_back = asyncio.Event()
        self._begin()

    def _begin(self) -> None:
        """Begin an incarnation, which knows nothing of before."""
        self.state = "ready"
        self.born_ms = int(time.time() * 1000)
        self._ended: list[TaskRun] = []
        self._numbers = 0
        self._fence = 0
        self._until_ms = 0.0
        self._highest: dict[str, int] = {}
        self._started_s = time.monotonic()
        self._end_listed = asyncio.Event()
        self._sequence = 0

    async def start(self) -> None:
        """Start to listen, to register and to work."""
        await self.listen()
        await self._beat()
        self._tasks = [
            asyncio.create_task(self._beat_forever()),
            asyncio.create_task(self._work_forever()),
        ]

    async def listen(self) -> None:
        """Accept connections; after `stop`, a cut that refused them is over."""
        base = "/currantstage"
        await self.serve(
            [
                web.post(f"{base}/run-start", self._on_start),
                web.post(f"{base}/run-stop", self._on_stop),
                web.post(f"{base}/hold", self._on_hold),
                web.post(f"{base}/pace", self._on_pace),
                web.get("/healthz", self._on_health),
            ]
        )

    async def crash(self) -> None:
        """End at once, with everything that runs; the entry goes later."""
        for task in self._tasks:
            task.cancel()
        for run in list(self.running.values()):
            self._end(run, "crashed")
        await self.stop()

    async def go_dark(self) -> None:
        """End at once like `crash`, but as a machine that gives no sign of it.

        Connections are accepted and calls get no response, until `restart`.
        """
        await self.crash()
        self._is_back = asyncio.Event()
        await self.serve([web.route("*", "/{path:.*}", self._leave_unanswered)])

    async def _leave_unanswered(self, request: web.Request) -> web.Response:
        body = await request.text()
        self.site.record.write(f"worker {self.name} is dark: {request.path} {body}")
        await self._is_back.wait()
        if request.transport is not None:
            request.transport.close()
        return web.Response(status=503)

    async def restart(self) -> None:
        """Start again after a crash, under the same id and at the same address."""
        self._is_back.set()
        await self.stop()
        self._begin()
        await self.start()

    def clock_ms(self) -> int:
        """Return the worker's clock."""
        elapsed_s = time.monotonic() - self._started_s
        return int(elapsed_s * self.clock_rate * 1000) + 1

    async def _beat_forever(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if not self.site.store.is_silent:
                await self._beat()

    async def _beat(self) -> None:
        self._sequence += 1
        entry = {
            "Service": self.service,
            "Address": self.address,
            "Zone": "z1",
            "Version": "v1",
            "Slots": 8,
            "State": self.state,
            "ColdLeftMs": 0,
            "Capacity": self.capacity,
            "Labels": self.labels,
            "ClockMs": self.clock_ms(),
            "Seq": self._sequence,
            "born": self.born_ms,
        }
        await self.site.store.put("servers", self.name, entry)

    async def _work_forever(self) -> None:
        while True:
            await asyncio.sleep(0.01)
            now_s = time.monotonic()
            if self.running and self.clock_ms() > self._until_ms:
                for run in list(self.running.values()):
                    self._end(run, "lapsed")
            for run in list(self.running.values()):
                run.work_s += (now_s - run.updated_s) * run.speed
                run.updated_s = now_s
                if run.work_s >= run.needed_s and not run.is_stopping:
                    self._end(run, run.outcome)

    def _end(self, run: TaskRun, how: str) -> None:
        if self.running.get(run.task) is not run:
            return
        del self.running[run.task]
        self._numbers += 1
        run.number, run.how = self._numbers, how
        run.ended_s = self.site.record.now_s()
        self._ended.append(run)
        self._end_listed.set()
        self.site.record.write(
            f"worker {self.name}: {run.task} run {run.run} ended {how}"
        )

    async def _on_start(self, request: web.Request) -> web.Response:
        body = await request.json()
        if self._is_other(request):
            return web.Response(status=421)
        if not self._check_fence(body):
            return self._refuse("fence")
        task, number = body["Task"], body["Run"]
        present = self.running.get(task)
        if present is not None and present.run == number:
            return self._answer()
        if number <= self._highest.get(task, 0):
            self._extend(body.get("UntilMs"))
            return self._refuse("old")
        if body["UntilMs"] <= self.clock_ms():
            return self._refuse("late")
        self._extend(body["UntilMs"])
        if present is not None:
            self._end(present, "stopped")
        self._highest[task] = number
        work = self.site.work(task, number, self.name)
        now_s = time.monotonic()
        run = TaskRun(
            task,
            number,
            self.name,
            self.site.record.now_s(),
            updated_s=now_s,
            needed_s=work.seconds,
            outcome=work.outcome,
        )
        self.running[task] = run
        self.site.runs.append(run)
        self.site.record.write(
            f"worker {self.name}: {task} run {number} started, fence {body['Fence']}"
        )
        return self._answer()

    async def _on_stop(self, request: web.Request) -> web.Response:
        body = await request.json()
        if self._is_other(request):
            return web.Response(status=421)
        if not self._check_fence(body):
            return self._refuse("fence")
        task, number = body["Task"], body["Run"]
        self._highest[task] = max(number, self._highest.get(task, 0))
        run = self.running.get(task)
        if run is not None and run.run <= number and not run.is_stopping:
            run.is_stopping = True
            asyncio.get_running_loop().call_later(STOP_S, self._end, run, "stopped")
        return self._answer()

    async def _on_pace(self, request: web.Request) -> web.Response:
        body = await request.json()
        if self._is_other(request):
            return web.Response(status=421)
        if not self._check_fence(body):
            return self._refuse("fence")
        run = self.running.get(body["Task"])
        if run is not None and run.run == body["Run"]:
            run.speed = body["Percent"] / 100
        return self._answer()

    async def _on_hold(self, request: web.Request) -> web.Response:
        body = await request.json()
        if self._is_other(request):
            return web.Response(status=421)
        if not self._check_fence(body):
            return self._refuse("fence")
        self._extend(body.get("UntilMs"))
        self._ended = [each for each in self._ended if each.number > body["SeenUpto"]]
        wait_s = body.get("WaitMs", 0) / 1000
        if wait_s and not self._ended:
            self._end_listed.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._end_listed.wait(), wait_s)
        running = [
            [
                each.task,
                each.run,
                "",
                min(99, int(100 * each.work_s / each.needed_s)),
                0,
            ]
            for each in self.running.values()
        ]
        ended = [
            [each.number, each.task, each.run, each.how, ""]
            for each in self._ended[:MAX_LISTED_ENDS]
        ]
        return self._answer(Running=running, Ended=ended)

    async def _on_health(self, _: web.Request) -> web.Response:
        return web.Response(headers={"X-Currantstage-Instance-Id": self.name})

    def _is_other(self, request: web.Request) -> bool:
        expected = request.headers.get("X-Currantstage-Expect-Instance", self.name)
        return expected != self.name

    def _check_fence(self, body: dict) -> bool:
        if body.get("Fence", 0) < self._fence:
            return False
        self._fence = body.get("Fence", 0)
        return True

    def _extend(self, until_ms: int | None) -> None:
        if until_ms is not None:
            until_ms = min(until_ms, self.clock_ms() + HOLD_MAX_MS)
            self._until_ms = max(self._until_ms, until_ms)

    def _answer(self, **fields: object) -> web.Response:
        return web.json_response(
            {"ClockMs": self.clock_ms(), "born": self.born_ms, **fields}
        )

    def _refuse(self, reason: str) -> web.Response:
        body = {"ClockMs": self.clock_ms(), "Reason": reason, "born": self.born_ms}
        return web.json_response(body, status=409)


class Machines(Service):
    """The platform's service for machines; they are all up, and none moves."""

    def __init__(self, site: Site) -> None:
        super().__init__()
        self.workers: list[Worker] = []
        self._site = site

    async def start(self) -> None:
        """Start to listen."""
        base = "/currantstage"
        await self.serve(
            [
                web.get(f"{base}/machines", self._list),
                web.post(f"{base}/machine-move", self._refuse),
                web.post(f"{base}/machine-upkeep", self._refuse),
            ]
        )

    async def _list(self, _: web.Request) -> web.Response:
        machines = [
            {
                "Machine": f"m-{each.name}",
                "Pool": each.service,
                "State": "up",
                "Zone": "z1",
                "Labels": each.labels,
                "Capacity": each.capacity,
                "Id": each.name,
            }
            for each in self.workers
        ]
        return web.json_response({"Machines": machines, "NextToken": None})

    async def _refuse(self, request: web.Request) -> web.Response:
        self._site.record.write(f"machine order refused: {await request.text()}")
        return web.json_response({"Reason": "busy"}, status=409)
