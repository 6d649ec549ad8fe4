"""Stand-ins of workers: each serves its orders and registers in the store."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from aiohttp import web

if TYPE_CHECKING:
    from platform_service import Store

PREFIX = "/currantstage"
HEARTBEAT_S = 1.5
#: Longest lease that a worker grants, and longest wait for an end, in seconds.
MAX_HOLD_MS = 6000
MAX_WAIT_S = 2.0
STOP_S = 0.05
#: How long a member of a gang waits for the others, in seconds.
GANG_TIMEOUT_S = 3.0
MAX_LISTED_ENDS = 500


class Gangs:
    """Members of gangs, which work only together and end together.

    All members carry the same checkpoint: those that don't are not of one gang.
    """

    def __init__(self) -> None:
        #: Number of tasks of each gang, by the name of its step.
        self.sizes: dict[str, int] = {}
        self._members: dict[tuple[str, int, str], list[tuple[Worker, TaskRun]]] = {}

    def join(self, worker: Worker, run: TaskRun) -> None:
        """Add a member; the gang begins to work once all are present."""
        members = self._members.setdefault(_gang_of(run), [])
        members.append((worker, run))
        if len(members) == self.sizes[run.task.rpartition(".")[0]]:
            for _, each in members:
                each.began_s = time.monotonic()
                each.is_working = True

    def leave(self, run: TaskRun) -> list[tuple[Worker, TaskRun]]:
        """Remove a member; return the others, which end with it."""
        members = self._members.get(_gang_of(run), [])
        members[:] = [each for each in members if each[1] is not run]
        return list(members)


def _gang_of(run: TaskRun) -> tuple[str, int, str]:
    return run.task.rpartition(".")[0], run.number, run.checkpoint


@dataclass
class TaskRun:
    """A run on a worker.

    Parameters
    ----------
    checkpoint : str
        The checkpoint that its start carried.
    resumed_s : float
        Work that the checkpoint stands for, in seconds.
    is_working : bool
        Whether it works; a member of a gang waits for the others first.
    """

    task: str
    number: int
    spec: str
    began_s: float
    work_s: float
    checkpoint: str = ""
    resumed_s: float = 0.0
    is_working: bool = True
    stopping: bool = False

    def done_s(self) -> float:
        """Return how much of the work is done, in seconds."""
        worked_s = time.monotonic() - self.began_s if self.is_working else 0.0
        return self.resumed_s + worked_s

    def percent(self) -> int:
        """Return how much of the work is done, in percent."""
        return min(99, int(100 * self.done_s() / self.work_s))

    def saved(self, every_s: float) -> str:
        """Return the newest checkpoint; empty if there is none yet."""
        saved_ms = int(self.done_s() / every_s) * int(every_s * 1000)
        return f"{saved_ms:08x}{self.task[:8]}" if saved_ms else self.checkpoint


@dataclass
class Worker:
    """One life of a worker.

    Parameters
    ----------
    work_s : callable
        Returns how long a task works, by its `Spec`.
    checkpoint_s : float
        Work between two checkpoints; zero if tasks don't checkpoint.
    """

    name: str
    service: str
    address: str
    zone: str
    labels: list[str]
    capacity: dict[str, int]
    store: Store
    work_s: Callable[[str], float]
    log: Callable[..., None]
    gangs: Gangs
    checkpoint_s: float = 0.0
    fence: int = 0
    until_ms: int = 0
    born_ms: int = field(default_factory=lambda: int(time.time() * 1000))
    began_s: float = field(default_factory=time.monotonic)
    runs: dict[str, TaskRun] = field(default_factory=dict)
    ended: list[list[Any]] = field(default_factory=list)
    highest_ended: dict[str, int] = field(default_factory=dict)
    is_up: bool = False
    #: Until when nothing reaches the worker, nor comes from it.
    cut_until_s: float = 0.0
    _last_end: int = 0
    _seq: int = 0
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)
    _runner: web.AppRunner | None = None
    _ends: asyncio.Condition = field(default_factory=asyncio.Condition)

    async def start(self) -> None:
        """Serve orders, and register."""
        app = web.Application(middlewares=[self._drop_while_cut])
        app.router.add_post(f"{PREFIX}/run-start", self._start)
        app.router.add_post(f"{PREFIX}/run-stop", self._stop)
        app.router.add_post(f"{PREFIX}/hold", self._hold)
        app.router.add_post(f"{PREFIX}/pace", self._pace)
        app.router.add_get("/healthz", self._health)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.05)
        await self._runner.setup()
        host, _, port = self.address.rpartition(":")
        await web.TCPSite(
            self._runner, host, int(port), reuse_address=True, shutdown_timeout=0.05
        ).start()
        self.is_up = True
        self._spawn(self._beat())
        self._spawn(self._watch_lease())
        self.log("worker-up", worker=self.name, address=self.address)

    async def crash(self) -> None:
        """End at once, with everything that runs."""
        if not self.is_up:
            return
        self.is_up = False
        self.log("worker-crash", worker=self.name, running=sorted(self.runs))
        runs = list(self.runs.values())
        self.runs.clear()
        for run in runs:
            await self._break_gang(run, "broken")
        for task in tuple(self._tasks):
            task.cancel()
        assert self._runner is not None
        for server in tuple(self._runner.sites):
            await server.stop()
        connections = self._runner.server.connections if self._runner.server else ()
        for connection in tuple(connections):
            if connection.transport is not None:
                connection.transport.abort()
        await self._runner.cleanup()

    def cut_off(self, for_s: float) -> None:
        """Cut the worker off from all machines and the store; it runs on."""
        self.log("worker-cut", worker=self.name, for_s=for_s, running=sorted(self.runs))
        self.cut_until_s = time.monotonic() + for_s

    def is_cut_off(self) -> bool:
        """Return whether the worker is cut off now."""
        return time.monotonic() < self.cut_until_s

    def clock_ms(self) -> int:
        """Return the time on the worker's own clock, which starts with it."""
        return 1000 + int((time.monotonic() - self.began_s) * 1000)

    def used(self, resource: str, needs: Callable[[str], int]) -> int:
        """Return what runs here need of a resource."""
        return sum(needs(run.task) for run in self.runs.values())

    async def register(self) -> None:
        """Write the worker's entry."""
        self._seq += 1
        await self.store.write(
            "servers",
            self.name,
            {
                "Service": self.service,
                "Address": self.address,
                "Zone": self.zone,
                "Version": "v1",
                "Slots": 8,
                "State": "ready",
                "ColdLeftMs": 0,
                "Capacity": self.capacity,
                "Labels": self.labels,
                "ClockMs": self.clock_ms(),
                "Seq": self._seq,
                "born": self.born_ms,
            },
        )

    def _spawn(self, work: Any) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    @web.middleware
    async def _drop_while_cut(
        self, request: web.Request, handler: Callable[..., Any]
    ) -> web.StreamResponse:
        if self.is_cut_off():
            await asyncio.sleep(3600)
        response: web.StreamResponse = await handler(request)
        if self.is_cut_off():
            await asyncio.sleep(3600)
        return response

    async def _beat(self) -> None:
        while True:
            if not self.is_cut_off():
                await self.register()
            await asyncio.sleep(HEARTBEAT_S)

    async def _watch_lease(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            if self.runs and self.clock_ms() > self.until_ms:
                for run in tuple(self.runs.values()):
                    await self._end(run, "lapsed")

    async def _end(self, run: TaskRun, how: str) -> None:
        if self.runs.get(run.task) is not run:
            return
        del self.runs[run.task]
        self._last_end += 1
        self.ended.append([self._last_end, run.task, run.number, how, self._saved(run)])
        self.highest_ended[run.task] = run.number
        self.log("run-end", worker=self.name, task=run.task, run=run.number, how=how)
        async with self._ends:
            self._ends.notify_all()
        await self._break_gang(run, "done" if how == "done" else "broken")

    async def _break_gang(self, run: TaskRun, how: str) -> None:
        """End the other members of a run's gang."""
        if self._is_gang(run.task):
            for worker, member in self.gangs.leave(run):
                await worker._end(member, how)

    def _is_gang(self, task: str) -> bool:
        return task.rpartition(".")[0] in self.gangs.sizes

    def _saved(self, run: TaskRun) -> str:
        return run.saved(self.checkpoint_s) if self.checkpoint_s else ""

    def _answer(self, status: int = 200, **fields: object) -> web.Response:
        return web.json_response(
            {"ClockMs": self.clock_ms(), "born": self.born_ms, **fields},
            status=status,
            headers={"X-Currantstage-Instance-Id": self.name},
        )

    def _refusal(
        self, request: web.Request, body: dict[str, Any]
    ) -> web.Response | None:
        intended = request.headers.get("X-Currantstage-Expect-Instance")
        if intended and intended != self.name:
            return self._answer(421)
        fence = int(body.get("Fence", 0))
        if fence < self.fence:
            return self._answer(409, Reason="fence")
        self.fence = fence
        return None

    def _grant(self, until_ms: int | None) -> None:
        if until_ms is not None:
            longest_ms = self.clock_ms() + MAX_HOLD_MS
            self.until_ms = max(self.until_ms, min(until_ms, longest_ms))

    async def _start(self, request: web.Request) -> web.Response:
        body = await request.json()
        refusal = self._refusal(request, body)
        if refusal is not None:
            return refusal
        task, number = body["Task"], body["Run"]
        running = self.runs.get(task)
        if running is not None and running.number == number:
            self._grant(body["UntilMs"])
            return self._answer()
        highest = max(self.highest_ended.get(task, 0), running.number if running else 0)
        if number <= highest:
            self._grant(body["UntilMs"])
            return self._answer(409, Reason="old")
        if body["UntilMs"] <= self.clock_ms():
            return self._answer(409, Reason="late")
        self._grant(body["UntilMs"])
        checkpoint = body.get("Checkpoint", "")
        run = TaskRun(
            task,
            number,
            body["Spec"],
            time.monotonic(),
            self.work_s(body["Spec"]),
            checkpoint,
            int(checkpoint[:8], 16) / 1000 if checkpoint else 0.0,
            is_working=not self._is_gang(task),
        )
        self.runs[task] = run
        self.log(
            "run-start",
            worker=self.name,
            task=task,
            run=number,
            fence=self.fence,
            checkpoint=checkpoint,
        )
        if self._is_gang(task):
            self.gangs.join(self, run)
        self._spawn(self._work(run))
        return self._answer()

    async def _work(self, run: TaskRun) -> None:
        until_s = time.monotonic() + GANG_TIMEOUT_S
        while not run.is_working:
            if time.monotonic() > until_s:
                await self._end(run, "alone")
                return
            await asyncio.sleep(0.02)
        await asyncio.sleep(run.work_s - run.resumed_s)
        if not run.stopping:
            await self._end(run, "done")

    async def _stop(self, request: web.Request) -> web.Response:
        body = await request.json()
        refusal = self._refusal(request, body)
        if refusal is not None:
            return refusal
        task, number = body["Task"], body["Run"]
        run = self.runs.get(task)
        if run is not None and run.number <= number:
            if not run.stopping:
                run.stopping = True
                self._spawn(self._end_stopped(run))
        else:
            self.highest_ended[task] = max(self.highest_ended.get(task, 0), number)
        return self._answer()

    async def _end_stopped(self, run: TaskRun) -> None:
        await asyncio.sleep(STOP_S)
        await self._end(run, "stopped")

    async def _pace(self, request: web.Request) -> web.Response:
        body = await request.json()
        return self._refusal(request, body) or self._answer()

    async def _health(self, _: web.Request) -> web.Response:
        return self._answer()

    async def _hold(self, request: web.Request) -> web.Response:
        body = await request.json()
        refusal = self._refusal(request, body)
        if refusal is not None:
            return refusal
        seen = body.get("SeenUpto", 0)
        self.ended = [each for each in self.ended if each[0] > seen]
        self._grant(body.get("UntilMs"))
        wait_s = min(body.get("WaitMs", 0) / 1000, MAX_WAIT_S)
        if wait_s and not self.ended:
            try:
                async with asyncio.timeout(wait_s), self._ends:
                    await self._ends.wait()
            except TimeoutError:
                pass
        running = [
            [each.task, each.number, self._saved(each), each.percent(), 1000]
            for each in self.runs.values()
        ]
        return self._answer(Running=running, Ended=self.ended[:MAX_LISTED_ENDS])
