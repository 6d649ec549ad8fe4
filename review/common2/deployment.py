"""A small deployment on loopback addresses: daemons, platform, workers and clients.

The daemons are processes of their own, started with the command of the deploy file and
with settings that are filled in from its template.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Self

import aiohttp
from aiohttp import web
from platform_service import Machine, Machines, Store
from workers import HEARTBEAT_S, Gangs, Worker

ROOT = Path(__file__).resolve().parents[2]
METRICS_PORT = 9464
#: Range of the ports that the parts of a deployment listen on.
LISTEN_PORTS = (20_000, 32_000)
#: Time in which a daemon is ready after its start, in seconds.
START_TIMEOUT_S = 30.0
#: Delay after which a process that has ended is started again, in seconds.
RESTART_S = 0.5
#: How often a client sends a call that got no final answer, and how long it waits for
#: each answer, in seconds.
CLIENT_TRIES = 12
CLIENT_TIMEOUT_S = 3.0
#: Time after which a case is given up, in seconds.
CASE_LIMIT_S = 110.0
#: Names in the operator's first configuration.
HOST = "pule25.example"
PREFIX = "/puxa400/"
KEY = "sjnbanfqasnmgkcuyj8p"
SERVICE = "matchdesk"
SPARE = "commons"
TENANT = "mover"
ZONES = ("ga-atl", "ga-mac", "ga-sav")
#: Size of a worker of the small deployment.
CAPACITY = {"Cpu": 32000, "MemMb": 64000, "Gpu": 0}


class CaseError(Exception):
    """The case could not be run."""


def is_troubled() -> bool:
    """Return whether the disruption is to happen."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """What was sent, answered and run; written to a file as it happens."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began_s = time.monotonic()
        self.lines: list[dict[str, Any]] = []

    def log(self, event: str, **fields: Any) -> None:
        """Add a line."""
        at_s = round(time.monotonic() - self._began_s, 3)
        line = {"at_s": at_s, "event": event, **fields}
        self.lines.append(line)
        self._file.write(json.dumps(line) + "\n")
        self._file.flush()

    def of(self, event: str, **fields: Any) -> list[dict[str, Any]]:
        """Return the lines of an event that have all of `fields`."""
        return [
            line
            for line in self.lines
            if line["event"] == event
            and all(line.get(key) == value for key, value in fields.items())
        ]


def fill_in(template: str, fields: dict[str, Any]) -> str:
    """Fill in a template as the platform does, as far as the project's needs it."""

    def find(name: str) -> Any:
        value: Any = fields
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = value.get(part) if isinstance(value, dict) else None
        return value

    def section(match: re.Match[str]) -> str:
        return match[2] if find(match[1]) else ""

    def value(match: re.Match[str]) -> str:
        found = find(match[1])
        if found is None:
            return ""
        return ",".join(map(str, found)) if isinstance(found, list) else str(found)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", value, text)


def free_ip() -> str:
    """Return a loopback address with the port for metrics free."""
    for _ in range(100):
        octets = [random.randint(2, 250) for _ in range(3)]
        ip = ".".join(map(str, (127, *octets)))
        with socket.socket() as probe:
            try:
                probe.bind((ip, METRICS_PORT))
            except OSError:
                continue
            return ip
    raise CaseError("no free loopback address")


def free_port(ip: str) -> int:
    """Return a free port of an address, outside of those of outgoing connections."""
    for _ in range(100):
        port = random.randint(*LISTEN_PORTS)
        with socket.socket() as probe:
            try:
                probe.bind((ip, port))
            except OSError:
                continue
            return port
    raise CaseError("no free port")


@dataclass
class Daemon:
    """An entry VM with the project's daemon."""

    name: str
    zone: str
    ip: str
    front: str
    readiness: str
    control: str
    settings: Path
    output: Path
    process: asyncio.subprocess.Process | None = None

    @property
    def pid(self) -> int:
        """Id of its process."""
        assert self.process is not None
        return self.process.pid


class Deployment:
    """Small deployment, with one service and the spare pool.

    Parameters
    ----------
    folder : Path
        Folder of the case, for its record.
    daemons, workers, spares : int
        Number of entry VMs, of workers of the service and of machines in reserve.
    """

    def __init__(
        self, folder: Path, daemons: int = 3, workers: int = 6, spares: int = 2
    ) -> None:
        self.record = Record(folder / "record.txt")
        self.log = self.record.log
        self.store = Store()
        self.machines = Machines(self._end_worker, self._renew_worker, self.log)
        self.workers: dict[str, Worker] = {}
        self.gangs = Gangs()
        self.checkpoint_s = 0.0
        self.daemons: dict[str, Daemon] = {}
        self._counts = (daemons, workers, spares)
        self._folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._runners: list[web.AppRunner] = []
        self._session: aiohttp.ClientSession | None = None
        self._lives = 0
        self._restarts: set[asyncio.Task[None]] = set()
        self._is_closing = False
        self._addresses: dict[str, str] = {}

    async def __aenter__(self) -> Self:
        """Start everything, and wait until all daemons are ready."""
        try:
            await self._start()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        """End all processes that were started."""
        self._is_closing = True
        for task in self._restarts:
            task.cancel()
        for daemon in self.daemons.values():
            if daemon.process is not None and daemon.process.returncode is None:
                daemon.process.kill()
                await daemon.process.wait()
        for worker in tuple(self.workers.values()):
            await worker.crash()
        await self.machines.close()
        if self._session is not None:
            await self._session.close()
        for runner in self._runners:
            await runner.cleanup()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for daemon in self.daemons.values():
                shutil.copy(daemon.output, Path(keep) / f"{daemon.name}.log")
        shutil.rmtree(self._folder, ignore_errors=True)

    # What a case does.

    def labels(self, number: int) -> list[str]:
        """Return the labels of a machine: its kind and its rack."""
        return ["a", f"r1-{number // 4}"]

    def work_s(self, spec: str) -> float:
        """Return how long a task works: its `Spec` says so."""
        return float(spec.partition(":")[2] or 1.0)

    async def submit(self, job: str, steps: list[dict[str, Any]], spec: str) -> int:
        """Hand a job in; return the final status."""
        body = {"Spec": spec, "Steps": steps}
        return (await self.call("POST", job, body))[0]

    async def state(self, job: str) -> str:
        """Return a job's state; the status of the answer if there is none."""
        status, answer = await self.call("GET", job, None)
        return (
            str(answer.get("State", status))
            if isinstance(answer, dict)
            else str(status)
        )

    async def call(
        self, method: str, job: str, body: object | None
    ) -> tuple[int, object]:
        """Send a call, and again to another daemon until it has an answer."""
        assert self._session is not None
        status = 0
        for _ in range(CLIENT_TRIES):
            daemon = random.choice(list(self.daemons.values()))
            try:
                async with self._session.request(
                    method,
                    f"http://{daemon.front}{PREFIX}{job}",
                    json=body,
                    timeout=aiohttp.ClientTimeout(CLIENT_TIMEOUT_S),
                    headers={
                        "Host": HOST,
                        "X-Currantstage-Credential": KEY,
                        "X-Currantstage-Deadline-Ms": str(int(CLIENT_TIMEOUT_S * 1000)),
                    },
                ) as response:
                    status = response.status
                    text = await response.text()
                    self.log(
                        "call",
                        method=method,
                        job=job,
                        to=daemon.name,
                        status=status,
                        answer=text,
                    )
                    if status in (200, 404, 410):
                        return status, json.loads(text) if text else {}
            except (aiohttp.ClientError, TimeoutError) as error:
                self.log(
                    "call",
                    method=method,
                    job=job,
                    to=daemon.name,
                    error=type(error).__name__,
                )
            await asyncio.sleep(0.3)
        return status, {}

    def find_runs(self, job: str) -> list[tuple[Worker, str, int]]:
        """Return where tasks of a job are running, with their runs."""
        return [
            (worker, run.task, run.number)
            for worker in self.workers.values()
            for run in worker.runs.values()
            if run.task.startswith(job)
        ]

    async def wait_for(self, what: str, condition: Any, timeout_s: float) -> Any:
        """Wait until a condition holds, and return its value."""
        until_s = time.monotonic() + timeout_s
        while time.monotonic() < until_s:
            found = condition()
            if found:
                return found
            await asyncio.sleep(0.02)
        raise CaseError(f"not seen within {timeout_s} s: {what}")

    async def crash_and_return(self, worker: Worker, after_s: float) -> None:
        """Crash a worker, which is back at the same address under a new id."""
        machine = next(
            each
            for each in self.machines.machines.values()
            if each.worker == worker.name
        )
        machine.state = "down"
        await worker.crash()
        self.workers.pop(worker.name, None)
        self.spawn(self._expire_entry(worker))

        async def come_back() -> None:
            await asyncio.sleep(after_s)
            machine.worker = await self._renew_worker(machine)
            machine.state = "up"

        self.spawn(come_back())

    def scheduler(self) -> Daemon:
        """Return the daemon that holds the lease, by the address in its row."""
        lease = self.store.value("scheduler", "lease", "scheduler") or {}
        for daemon in self.daemons.values():
            if daemon.name == lease.get("holder"):
                return daemon
        raise CaseError("no daemon holds the lease")

    def kill(self, daemon: Daemon) -> None:
        """Kill a daemon; the platform starts it again after a short delay."""
        self.log("kill", daemon=daemon.name)
        daemon.process and daemon.process.kill()
        self.spawn(self._restart(daemon))

    def terminate(self, daemon: Daemon) -> None:
        """Stop a daemon as for planned work; the platform starts it again."""
        self.log("sigterm", daemon=daemon.name)
        os.kill(daemon.pid, signal.SIGTERM)
        self.spawn(self._restart(daemon))

    def pause(self, daemon: Daemon) -> None:
        """Freeze a daemon's process."""
        self.log("freeze", daemon=daemon.name)
        os.kill(daemon.pid, signal.SIGSTOP)

    def resume(self, daemon: Daemon) -> None:
        """Let a frozen daemon go on."""
        self.log("wake", daemon=daemon.name)
        os.kill(daemon.pid, signal.SIGCONT)

    async def announce_wave(
        self, number: int, machines: list[str], by_s: int, cap: int
    ) -> None:
        """Announce a wave of upkeep as the operator does."""
        wave = {"Wave": number, "Machines": machines, "CompleteByS": by_s, "Cap": cap}
        self.machines.waves[number] = wave
        self.log("wave", **wave)
        await self.store.write("op", f"wave/{number}", wave)

    # Start of the parts.

    def configuration(self) -> dict[str, Any]:
        """Return the operator's first configuration."""
        return {
            "Version": 7,
            "Routes": [
                {
                    "Name": "r-tyiikdr",
                    "Host": HOST,
                    "PathPrefix": PREFIX,
                    "Kind": "non_idempotent",
                    "TimeoutMs": 3000,
                    "TargetLatencyMs": 600,
                    "Priority": 0,
                    "Service": SERVICE,
                    "MaxAttempts": 3,
                    "Stretch": 1.6,
                    "Public": False,
                }
            ],
            "Services": [
                _service(SERVICE, spare=False),
                # Without machines in reserve the service keeps its own.
                *([_service(SPARE, spare=True)] if self._counts[2] else []),
            ],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144},
            "Tenants": [
                {
                    "Name": TENANT,
                    "ApiKeys": [KEY],
                    "Weight": 39,
                    "Cap": {"Cpu": 788015, "MemMb": 973554, "Gpu": 0},
                }
            ],
        }

    async def _start(self) -> None:
        daemons, workers, spares = self._counts
        self._session = aiohttp.ClientSession()
        store = await self.serve(self.store.routes())
        machines = await self.serve(self.machines.routes())
        await self.store.write("op", "config", self.configuration())
        for number in range(workers + spares):
            machine = Machine(
                name=f"m-{number:02d}",
                pool=SERVICE if number < workers else SPARE,
                zone=ZONES[number % len(ZONES)],
                labels=self.labels(number),
                capacity=CAPACITY,
            )
            self.machines.machines[machine.name] = machine
            if number < workers:
                machine.worker = await self._renew_worker(machine)
        for number in range(daemons):
            self._add_daemon(number)
        for daemon in self.daemons.values():
            self._write_settings(daemon, store, machines)
            await self._launch(daemon)
        await self._wait_ready()
        await self.wait_for(
            "a scheduler", lambda: self._has_scheduler(), START_TIMEOUT_S
        )
        await asyncio.sleep(2.0)

    def _has_scheduler(self) -> bool:
        lease = self.store.value("scheduler", "lease", "scheduler")
        return bool(lease and lease.get("holder"))

    async def serve(self, routes: list[web.RouteDef]) -> str:
        """Serve HTTP on a free loopback port; return its address."""
        app = web.Application(client_max_size=4 * 1024 * 1024)
        app.add_routes(routes)
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.05)
        await runner.setup()
        self._runners.append(runner)
        port = free_port("127.0.0.1")
        await web.TCPSite(runner, "127.0.0.1", port, shutdown_timeout=0.05).start()
        return f"127.0.0.1:{port}"

    def _add_daemon(self, number: int) -> None:
        ip = free_ip()
        zone = ZONES[number % len(ZONES)]
        name = f"frontend-{zone}-{number // len(ZONES) + 1}"
        ports = [free_port(ip) for _ in range(3)]
        front, readiness, control = (f"{ip}:{port}" for port in ports)
        self.daemons[name] = Daemon(
            name,
            zone,
            ip,
            front,
            readiness,
            control,
            self._folder / f"{name}.ini",
            self._folder / f"{name}.log",
        )

    def _write_settings(self, daemon: Daemon, store: str, machines: str) -> None:
        fields = {
            "Node": daemon.name,
            "Zone": daemon.zone,
            "Ip": daemon.ip,
            "Listen": {
                "Front": daemon.front,
                "Readiness": daemon.readiness,
                "Control": daemon.control,
            },
            "Limits": {"CpuShare": 0.537, "Cores": 2, "LinkMbps": 1000.0},
            "Seeds": [each.control for each in self.daemons.values()][:3],
            "platform": {"Address": store},
            "CloudApi": {"Address": machines},
            # No queue needs advice, so nothing listens there.
            "Advice": f"127.0.0.1:{free_port('127.0.0.1')}",
            "Bounds": {"ConfigApplyMs": 2000, "StopMs": 200},
        }
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        template = (ROOT / deploy["roles"]["entry"]["template"]).read_text()
        daemon.settings.write_text(fill_in(template, fields))

    async def _launch(self, daemon: Daemon) -> None:
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["entry"]["run"].split()
        kept = ("PATH", "HOME", "LANG")
        environment = {key: os.environ[key] for key in kept if key in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["CURRANTSTAGE_SETTINGS"] = str(daemon.settings)
        with daemon.output.open("ab") as output:
            daemon.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdout=output, stderr=output
            )
        self.log("daemon-start", daemon=daemon.name)

    async def _wait_ready(self) -> None:
        assert self._session is not None
        until_s = time.monotonic() + START_TIMEOUT_S
        for daemon in self.daemons.values():
            while True:
                try:
                    async with self._session.get(
                        f"http://{daemon.readiness}/currantstage/readyz"
                    ) as response:
                        if response.status == 200:
                            break
                except aiohttp.ClientError:
                    pass
                if time.monotonic() > until_s:
                    raise CaseError(f"{daemon.name} is not ready")
                await asyncio.sleep(0.1)

    async def _restart(self, daemon: Daemon) -> None:
        assert daemon.process is not None
        await daemon.process.wait()
        await asyncio.sleep(RESTART_S)
        if not self._is_closing:
            await self._launch(daemon)

    def spawn(self, work: Any) -> None:
        """Run something in the background until the end."""
        task = asyncio.create_task(work)
        self._restarts.add(task)
        task.add_done_callback(self._restarts.discard)

    async def _expire_entry(self, worker: Worker) -> None:
        await asyncio.sleep(3 * HEARTBEAT_S)
        await self.store.write("servers", worker.name, None)

    async def _end_worker(self, machine: Machine) -> None:
        worker = self.workers.pop(machine.worker, None)
        if worker is not None:
            await worker.crash()
            await self.store.write("servers", worker.name, None)

    async def _renew_worker(self, machine: Machine) -> str:
        if machine.pool == SPARE:
            return ""
        self._lives += 1
        if machine.name not in self._addresses:
            ip = "127.0.0.1"
            self._addresses[machine.name] = f"{ip}:{free_port(ip)}"
        worker = Worker(
            name=f"i-{machine.name}-{self._lives}",
            service=machine.pool,
            address=self._addresses[machine.name],
            zone=machine.zone,
            labels=machine.labels,
            capacity=machine.capacity,
            store=self.store,
            work_s=self.work_s,
            log=self.log,
            gangs=self.gangs,
            checkpoint_s=self.checkpoint_s,
        )
        self.workers[worker.name] = worker
        await worker.start()
        return worker.name


def _service(name: str, *, spare: bool) -> dict[str, Any]:
    return {
        "Name": name,
        "HealthPath": "/healthz",
        "MaxConns": 64,
        "Protocol": "h1",
        "Tls": False,
        "AdmissionCheck": False,
        "Spare": spare,
    }


def run_case(case: Callable[[], Awaitable[str | None]]) -> None:
    """Run a case, and exit with 1 if the rule was broken, 0 if it held, 2 otherwise."""

    async def run() -> str | None:
        async with asyncio.timeout(CASE_LIMIT_S):
            return await case()

    def stop(*_: object) -> None:
        # Ends the tasks, which end the processes that were started.
        raise SystemExit(2)

    signal.signal(signal.SIGTERM, stop)
    try:
        broken = asyncio.run(run())
    except Exception as error:
        print(f"could not run: {error!r}")
        sys.exit(2)
    print(f"broken: {broken}" if broken else "held")
    sys.exit(1 if broken else 0)
