"""A small deployment: the daemons as separate processes, and clients' calls to them."""

from __future__ import annotations

import asyncio
import os
import random
import re
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
from pathlib import Path

import aiohttp
from platform_standin import Machines, Record, Site, Store, Worker

ROOT = Path(__file__).resolve().parents[2]
HOST = "jobs.example"
KEY_HEADER = "X-Currantstage-Credential"
DEADLINE_HEADER = "X-Currantstage-Deadline-Ms"
DEADLINE_MS = 3000
START_TIMEOUT_S = 20.0
#: Ports of the daemons.
FIRST_PORT, LAST_PORT = 15_000, 30_000
#: Exit statuses of a script.
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CaseError(Exception):
    """The case could not run."""


def has_trouble() -> bool:
    """Return whether the script is to make its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def new_job_id() -> str:
    """Return a job id as clients choose them."""
    return secrets.token_hex(8)


def route(name: str, service: str, **fields: object) -> dict[str, object]:
    """Return a route of a configuration; its path prefix is its name."""
    return {
        "Name": name,
        "Host": HOST,
        "PathPrefix": f"/{name}/",
        "Kind": "non_idempotent",
        "TimeoutMs": 3000,
        "TargetLatencyMs": 600,
        "Priority": 0,
        "Service": service,
        "MaxAttempts": 3,
        "Stretch": 1.6,
        "Public": False,
        **fields,
    }


def configuration(
    version: int, routes: list[dict], services: list[str], tenants: list[dict]
) -> dict[str, object]:
    """Return a configuration in full."""
    return {
        "Version": version,
        "Routes": routes,
        "Services": [
            {
                "Name": each,
                "HealthPath": "/healthz",
                "MaxConns": 64,
                "Protocol": "h1",
                "Tls": False,
                "AdmissionCheck": False,
                "Spare": False,
            }
            for each in services
        ],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144},
        "Tenants": tenants,
    }


def tenant(name: str, cpu: int = 0) -> dict[str, object]:
    """Return a tenant with one key, which is ``key-`` and its name."""
    cap = {"Cpu": cpu, "MemMb": 0, "Gpu": 0}
    return {"Name": name, "ApiKeys": [f"key-{name}"], "Weight": 10, "Cap": cap}


class Daemon:
    """One process of the system, started as `deploy/system.toml` says."""

    def __init__(self, name: str, folder: Path, store: str, machines: str) -> None:
        self.name = name
        addresses = _free_addresses(5)
        self.front, self.readiness, self.control, self._health = addresses[:4]
        self._advice = addresses[4]
        self._folder = folder
        self._store = store
        self._machines = machines
        self._process: subprocess.Popen | None = None

    def start(self, seeds: list[str]) -> None:
        """Start the process."""
        settings = self._folder / f"{self.name}.ini"
        settings.write_text(self._fill_template(seeds), encoding="utf-8")
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "CURRANTSTAGE_SETTINGS": str(settings),
        }
        with open(self._folder / f"{self.name}.log", "ab") as log:
            self._process = subprocess.Popen(
                ["python3", "-m", "currantstage", "serve"],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        assert self._process is not None
        self._process.send_signal(number)

    def is_running(self) -> bool:
        """Return whether the process has not ended."""
        return self._process is not None and self._process.poll() is None

    def end(self) -> None:
        """Kill the process, and wait for its end."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()

    def log_text(self) -> str:
        """Return what the process has logged."""
        path = self._folder / f"{self.name}.log"
        return path.read_text(encoding="utf-8", errors="replace")

    def _fill_template(self, seeds: list[str]) -> str:
        """Fill in `deploy/settings.ini` as the platform does, for this deployment."""
        values = {
            "Node": self.name,
            "Zone": "z1",
            "Listen.Control": self.control,
            "Listen.Front": self.front,
            "Listen.Readiness": self.readiness,
            "Limits.LinkMbps": "1000.0",
            "Limits.CpuShare": "0.537",
            "Limits.Cores": "2",
            "platform.Address": self._store,
            "CloudApi.Address": self._machines,
            # No queue of a script needs advice: nothing listens at this address.
            "Advice": self._advice,
            "Seeds.0": seeds[0],
            "Seeds": ",".join(seeds),
            "Bounds.StopMs": "200",
        }
        text = (ROOT / "deploy" / "settings.ini").read_text(encoding="utf-8")
        # The metrics address has a fixed port, of which this machine has only one.
        text = text.replace("{{Ip}}:9464", self._health)

        def fill_section(match: re.Match[str]) -> str:
            return match.group(2) if values.get(match.group(1)) else ""

        section = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)
        text = section.sub(fill_section, text)
        return re.sub(r"\{\{([\w.]+)\}\}", lambda each: values[each.group(1)], text)


class Deployment:
    """Store, machines, workers and daemons; everything ends with `close`."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(str(folder / "record.txt"))
        self.store = Store(self.record)
        self.site = Site(self.record, self.store)
        self.machines = Machines(self.site)
        self.daemons: list[Daemon] = []
        #: Tasks of the script that run beside it.
        self.background: list[asyncio.Task[None]] = []
        self._folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._http = aiohttp.ClientSession()

    async def start(
        self, config: dict, workers: list[tuple[str, str]], daemon_count: int = 2
    ) -> None:
        """Start everything, and wait until all daemons take requests."""
        await self.store.start()
        await self.machines.start()
        for name, service in workers:
            await self.add_worker(name, service)
        await self.configure(config)
        for number in range(daemon_count):
            self.daemons.append(
                Daemon(
                    f"entry-{number}",
                    self._folder,
                    self.store.address,
                    self.machines.address,
                )
            )
        seeds = [each.control for each in self.daemons[:3]]
        for daemon in self.daemons:
            daemon.start(seeds)
        for daemon in self.daemons:
            await self.wait_ready(daemon)
        self.record.write(f"{daemon_count} daemons are ready")

    async def add_worker(self, name: str, service: str, **fields: object) -> Worker:
        """Start a worker."""
        worker = Worker(self.site, name, service, **fields)
        await worker.start()
        self.machines.workers.append(worker)
        return worker

    async def configure(self, config: dict) -> None:
        """Write a configuration as the operator does."""
        await self.store.put("op", "config", config)
        self.record.write(f"configuration {config['Version']} is acknowledged")

    async def wait_ready(self, daemon: Daemon) -> None:
        """Wait until a daemon reports itself ready."""
        until_s = self.record.now_s() + START_TIMEOUT_S
        while self.record.now_s() < until_s:
            if not daemon.is_running():
                raise CaseError(f"{daemon.name} has ended: {daemon.log_text()[-2000:]}")
            if await self.is_ready(daemon):
                return
            await asyncio.sleep(0.1)
        raise CaseError(f"{daemon.name} is not ready")

    async def is_ready(self, daemon: Daemon) -> bool:
        """Ask a daemon whether it is ready, as the platform does."""
        url = f"http://{daemon.readiness}/currantstage/readyz"
        timeout = aiohttp.ClientTimeout(total=1.0)
        try:
            async with self._http.get(url, timeout=timeout) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False

    async def call(
        self,
        method: str,
        path: str,
        tenant_name: str,
        body: object = None,
        daemon: Daemon | None = None,
    ) -> tuple[int, object]:
        """Send one request as a client does; status 0 stands for no response."""
        target = daemon or self.daemons[0]
        headers = {
            "Host": HOST,
            KEY_HEADER: f"key-{tenant_name}",
            DEADLINE_HEADER: str(DEADLINE_MS),
        }
        status, answer = 0, None
        try:
            async with self._http.request(
                method,
                f"http://{target.front}{path}",
                json=body,
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=DEADLINE_MS / 1000),
            ) as response:
                if response.content_type == "application/json":
                    answer = await response.json()
                status = response.status
        except (aiohttp.ClientError, TimeoutError):
            pass
        sent = str(body)[:120] if body is not None else ""
        self.record.write(
            f"{method} {path} to {target.name} {sent} -> {status or 'none'} {answer}"
        )
        return status, answer

    async def submit(
        self, queue: str, tenant_name: str, steps: list[dict], job: str = ""
    ) -> str:
        """Submit a job until it is accepted; return its id."""
        job = job or new_job_id()
        body = {"Spec": "work", "Steps": steps}
        for attempt in range(5):
            daemon = self.daemons[attempt % len(self.daemons)]
            path = f"/{queue}/{job}"
            status, _ = await self.call("POST", path, tenant_name, body, daemon)
            if 200 <= status < 300:
                return job
            await asyncio.sleep(1)
        raise CaseError(f"job {job} was not accepted")

    async def state(self, queue: str, tenant_name: str, job: str) -> str:
        """Ask for a job's state, at each daemon in turn until one answers."""
        for attempt in range(6):
            daemon = self.daemons[attempt % len(self.daemons)]
            status, answer = await self.call(
                "GET", f"/{queue}/{job}", tenant_name, daemon=daemon
            )
            if status == 200:
                return answer["State"]
            if status in (404, 410):
                return str(status)
            await asyncio.sleep(0.3)
        return "none"

    async def close(self) -> None:
        """End all processes and stand-ins."""
        for daemon in self.daemons:
            daemon.end()
        await self._http.close()
        for worker in self.machines.workers:
            await worker.crash()
        await self.machines.stop()
        await self.store.stop()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(self._folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(self._folder, ignore_errors=True)


def run_case(folder: Path, case: object, timeout_s: float = 110.0) -> None:
    """Run `case` on a new deployment, and exit with the status that it returns."""
    sys.exit(asyncio.run(_run_case(folder, case, timeout_s)))


async def _run_case(folder: Path, case: object, timeout_s: float) -> int:
    deployment = Deployment(folder)
    stopped = asyncio.current_task()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.cancel)
    try:
        async with asyncio.timeout(timeout_s):
            status = await case(deployment)
    except (CaseError, TimeoutError, OSError) as error:
        deployment.record.write(f"the case could not run: {error!r}")
        status = NOT_RUN
    finally:
        await deployment.close()
    return status


def _free_addresses(count: int) -> list[str]:
    """Return free loopback addresses, of ports that no outgoing connection is given."""
    addresses: list[str] = []
    while len(addresses) < count:
        address = f"127.0.0.1:{random.randint(FIRST_PORT, LAST_PORT)}"
        if address not in addresses and _is_free(address):
            addresses.append(address)
    return addresses


def _is_free(address: str) -> bool:
    host, _, port = address.rpartition(":")
    with socket.socket() as each:
        try:
            each.bind((host, int(port)))
        except OSError:
            return False
    return True
