"""Real daemons, each a process of its own with its own settings file and log."""

from __future__ import annotations

import asyncio
import signal
import sys
from typing import TYPE_CHECKING

import aiohttp

from currantstage.platform.messages import READINESS_PATH
from currantstage.standin._cluster import find_free_ports
from currantstage.standin.served._errors import TrialError

if TYPE_CHECKING:
    from pathlib import Path
    from typing import Self

    from currantstage.standin.served._platform import ServedPlatform
    from currantstage.state import EntryVmId

#: Time in which a started daemon is ready, in seconds.
START_TIMEOUT_S = 120.0
READINESS_INTERVAL_S = 0.1
#: Time after SIGTERM in which a daemon ends, in seconds; the platform then kills it.
STOP_TIMEOUT_S = 10.0
#: Timeout of a question to a daemon about itself, in seconds.
QUESTION_TIMEOUT_S = 1.0
_SCHEDULER_METRIC = "currantstage_is_scheduler"

_SETTINGS = """\
[entry-vm]
id = {daemon}
data_centre = {data_centre}
http_address = {http}
peer_address = {peer}

[callers]
front_address = {front}
readiness_address = {readiness}

[store]
address = {store}

[vms]
address = {vms}

[advice]
address = 127.0.0.1:1

[peers]
seeds = {seeds}

[serving]
balancer_notice_ms = 2300
max_drain_ms = 2000
"""


class DaemonAddresses:
    """Addresses that a daemon listens on."""

    def __init__(self) -> None:
        ports = find_free_ports(4)
        self.http, self.peer, self.front, self.readiness = (
            f"127.0.0.1:{port}" for port in ports
        )


class DaemonProcess:
    """A daemon, which may be started again after its end.

    Parameters
    ----------
    name : EntryVmId
    addresses : DaemonAddresses
    folder : Path
        Folder of the settings file and the log.
    """

    def __init__(
        self, name: EntryVmId, addresses: DaemonAddresses, folder: Path
    ) -> None:
        self.name = name
        self.addresses = addresses
        self.log_path = folder / f"{name}.log"
        #: Ends that nobody asked for, as exit statuses.
        self.unasked_ends: list[int] = []
        #: Ends after SIGTERM with a status that isn't zero.
        self.failed_stops: list[int] = []
        self._settings_path = folder / f"{name}.ini"
        self._process: asyncio.subprocess.Process | None = None
        self._is_ending = False

    @classmethod
    def build_all(cls, platform: ServedPlatform, folder: Path) -> list[Self]:
        """Write the settings of a daemon for each address of the store."""
        daemons = [
            cls(name, DaemonAddresses(), folder) for name in platform.store_addresses
        ]
        seeds = ", ".join(each.addresses.peer for each in daemons)
        for number, daemon in enumerate(daemons):
            addresses = daemon.addresses
            settings = _SETTINGS.format(
                daemon=daemon.name,
                data_centre=f"dc-{number % 3}",
                http=addresses.http,
                peer=addresses.peer,
                front=addresses.front,
                readiness=addresses.readiness,
                store=platform.store_addresses[daemon.name],
                vms=platform.vm_addresses[daemon.name],
                seeds=seeds,
            )
            daemon._settings_path.write_text(settings, encoding="utf-8")
        return daemons

    async def start(self) -> None:
        """Start the process."""
        self._is_ending = False
        with self.log_path.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "currantstage", "serve"),
                *("--config", str(self._settings_path)),
                stdout=log,
                stderr=log,
            )

    async def wait_ready(self, http: aiohttp.ClientSession) -> None:
        """Wait until the daemon takes calls; raise `TrialError` if it doesn't."""
        try:
            async with asyncio.timeout(START_TIMEOUT_S):
                while not await self._is_ready(http):
                    if self.check_running():
                        raise TrialError(f"{self.name} has ended by itself")
                    await asyncio.sleep(READINESS_INTERVAL_S)
        except TimeoutError as error:
            raise TrialError(f"{self.name} isn't ready") from error

    def check_running(self) -> bool:
        """Record the end of the process if nobody asked for it; return whether so."""
        process = self._process
        if process is None or process.returncode is None or self._is_ending:
            return False
        self._process = None
        self.unasked_ends.append(process.returncode)
        return True

    async def kill(self) -> None:
        """Kill the process."""
        await self._end(signal.SIGKILL)

    async def stop(self) -> None:
        """Ask the process to stop, and kill it if it takes too long."""
        status = await self._end(signal.SIGTERM)
        if status > 0:
            self.failed_stops.append(status)

    async def holds_scheduler_lease(self, http: aiohttp.ClientSession) -> bool:
        """Return whether the daemon says that it is the scheduler."""
        lines = (await self._ask(http, f"{self.addresses.http}/metrics")).splitlines()
        return any(
            line.startswith(_SCHEDULER_METRIC) and float(line.split()[-1]) == 1
            for line in lines
        )

    async def _end(self, end_signal: signal.Signals) -> int:
        """Send a signal, wait for the end, and return the exit status."""
        self.check_running()
        process = self._process
        if process is None:
            return 0
        self._is_ending = True
        process.send_signal(end_signal)
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                await process.wait()
        except TimeoutError:
            process.kill()
            await process.wait()
        self._process = None
        return process.returncode or 0

    async def _is_ready(self, http: aiohttp.ClientSession) -> bool:
        return bool(
            await self._ask(http, f"{self.addresses.readiness}{READINESS_PATH}")
        )

    async def _ask(self, http: aiohttp.ClientSession, target: str) -> str:
        """Return the text of a response, or nothing if there is none."""
        timeout = aiohttp.ClientTimeout(QUESTION_TIMEOUT_S)
        try:
            async with http.get(f"http://{target}", timeout=timeout) as response:
                text = await response.text()
                return text or "ok" if response.status == 200 else ""
        except (aiohttp.ClientError, TimeoutError):
            return ""
