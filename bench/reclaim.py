"""Measure how long the slots of an entry VM are unavailable after it stops or fails.

Example: python -m bench.reclaim --timeout-ms 30000
"""

from __future__ import annotations

import asyncio
import signal
import sys
import tempfile
import time
from contextlib import AsyncExitStack
from pathlib import Path
from string import Template

import click
import uvloop

from currantstage.protocol import NoteState
from currantstage.standin import PlatformStandIn, find_free_ports
from currantstage.state import (
    FLEET_SCOPE,
    EntryVmId,
    ListedVm,
    NoteId,
    VmId,
    VmLiveness,
    holder_prefix,
)
from currantstage.transport import OperatorClient

ENTRY_VMS = ("a-entry-1", "a-entry-2", "a-entry-3")
SETTINGS = Template(
    "[entry-vm]\nid = $name\ndata_centre = a\n"
    "http_address = 127.0.0.1:$http\npeer_address = 127.0.0.1:$peer\n"
    "[platform]\nurl = $platform\n[peers]\nsecret = s\n[operators]\nkey = operators\n"
)
NOTE = Template(
    "[note]\nid = first\n[add pool p]\ndata_centre = a\n"
    "[add vm v]\npool = p\nrack = r\naddress = 127.0.0.1:9\n"
    "[add queue q]\npools = p\ntimeout_ms = $timeout_ms\n"
    "[add team t]\nshare = 1\nupper_limit_slots = 9\n"
)
#: Longest time that a measurement may take, in seconds.
MAX_WAIT_S = 300.0
POLL_S = 0.05


class Site:
    """A stand-in for the platform, and daemons as separate processes."""

    def __init__(self, directory: Path) -> None:
        self._directory = directory
        self._ports = find_free_ports(1 + 2 * len(ENTRY_VMS))
        self.platform = PlatformStandIn(f"127.0.0.1:{self._ports.pop()}")
        self.processes: dict[EntryVmId, asyncio.subprocess.Process] = {}
        self.urls: dict[EntryVmId, str] = {}
        self._resources = AsyncExitStack()

    async def start(self) -> None:
        """Start the platform and all daemons."""
        self._resources.push_async_callback(self.platform.close)
        await self.platform.start()
        self.list_vms(ENTRY_VMS)
        for name in ENTRY_VMS:
            await self._start_daemon(EntryVmId(name))

    async def close(self) -> None:
        """Kill the remaining daemons and close the platform."""
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
                await process.wait()
        await self._resources.aclose()

    def list_vms(self, names: tuple[str, ...]) -> None:
        """Set the VMs that the platform lists."""
        self.platform.content.set_listing(
            ListedVm(vm_id=VmId(name), liveness=VmLiveness.LIVE) for name in names
        )

    def holder_count(self) -> int:
        """Return the number of incarnations that hold allotments of team limits."""
        return len(self.platform.content.scan(holder_prefix(FLEET_SCOPE)).rows)

    async def wait_for_holders(self, count: int) -> float:
        """Wait until there are `count` holders; return the duration in seconds."""
        started_s = time.monotonic()
        for _ in range(int(MAX_WAIT_S / POLL_S)):
            if self.holder_count() == count:
                return time.monotonic() - started_s
            await asyncio.sleep(POLL_S)
        raise TimeoutError(
            f"{self.holder_count()} holders after {MAX_WAIT_S} s, expected {count}"
        )

    async def _start_daemon(self, name: EntryVmId) -> None:
        http, peer = self._ports.pop(), self._ports.pop()
        path = self._directory / f"{name}.ini"
        path.write_text(
            SETTINGS.substitute(
                name=name, http=http, peer=peer, platform=self.platform.url
            )
        )
        self.urls[name] = f"http://127.0.0.1:{http}"
        self.processes[name] = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "currantstage", "serve", "--config", str(path)),
            stdout=asyncio.subprocess.DEVNULL,
        )


async def measure(directory: Path, timeout_ms: int) -> tuple[float, float]:
    """Return the delay after a planned stop and after a failure, in seconds."""
    site = Site(directory)
    try:
        await site.start()
        await site.wait_for_holders(len(ENTRY_VMS))
        await submit(site.urls[EntryVmId("a-entry-1")], timeout_ms)
        stopped = site.processes[EntryVmId("a-entry-3")]
        stopped.send_signal(signal.SIGTERM)
        await stopped.wait()
        planned_s = await site.wait_for_holders(2)
        site.processes[EntryVmId("a-entry-2")].kill()
        site.list_vms(ENTRY_VMS[:1])
        return planned_s, await site.wait_for_holders(1)
    finally:
        await site.close()


async def submit(url: str, timeout_ms: int) -> None:
    """Submit the note and wait for its acceptance."""
    async with OperatorClient(url, "operators") as operator:
        report = await operator.submit_note(NOTE.substitute(timeout_ms=timeout_ms))
        while report.state is NoteState.COMMITTED:
            await asyncio.sleep(POLL_S)
            report = await operator.note_status(NoteId("first"))
        assert report.state is NoteState.ACCEPTED, report


@click.command()
@click.option("--timeout-ms", default=30_000, show_default=True)
def main(timeout_ms: int) -> None:
    """Print one row of delays."""
    with tempfile.TemporaryDirectory() as directory:
        planned_s, failed_s = uvloop.run(measure(Path(directory), timeout_ms))
    click.echo("| longest timeout | after a planned stop | after a failure |")
    click.echo("|---|---|---|")
    click.echo(f"| {timeout_ms / 1000:.0f} s | {planned_s:.1f} s | {failed_s:.1f} s |")


if __name__ == "__main__":
    main()
