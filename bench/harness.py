"""A real daemon process with its stand-ins, and statistics of samples."""

from __future__ import annotations

import asyncio
import contextlib
import os
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

from currantstage.protocol import NoteState
from currantstage.standin import find_free_ports
from currantstage.state import NoteId
from currantstage.transport import OperatorCallError, OperatorClient

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable, Sequence

_SETTINGS = """
[entry-vm]
id = a-entry-1
data_centre = a
http_address = 127.0.0.1:{http}
peer_address = 127.0.0.1:{peer}
[platform]
url = http://127.0.0.1:{platform}
[peers]
secret = s
[operators]
key = operators
"""
_NOTE = """
[note]
id = first
[add pool p]
data_centre = a
[add queue q]
pools = p
access = open
max_waiting = {max_waiting}
timeout_ms = {timeout_ms}
"""
_VM = """
[add vm w{port}]
pool = p
rack = r{rack}
address = 127.0.0.1:{port}
slots = {slots}
"""
_RACK_SIZE = 4
_START_TIMEOUT_S = 20.0


@dataclass(frozen=True)
class ServingSite:
    """A daemon that serves queue ``q``, which needs no key.

    Parameters
    ----------
    daemon_pid : int
    url : str
        URL to which callers post requests.
    direct_urls : tuple of str
        URLs at which the backend servers accept the same requests.
    """

    daemon_pid: int
    url: str
    direct_urls: tuple[str, ...]

    def processor_time_s(self) -> float:
        """Return the processor time that the daemon has used, in seconds."""
        fields = Path(f"/proc/{self.daemon_pid}/stat").read_text().split()
        return (int(fields[13]) + int(fields[14])) / os.sysconf("SC_CLK_TCK")

    def resident_bytes(self) -> int:
        """Return the daemon's resident memory, in bytes."""
        pages = int(Path(f"/proc/{self.daemon_pid}/statm").read_text().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE")


@contextlib.asynccontextmanager
async def serving(
    *,
    workers: int,
    slots: int = 8,
    duration_s: float = 0.0,
    max_waiting: int = 256,
    timeout_ms: int = 30_000,
) -> AsyncIterator[ServingSite]:
    """Run the daemon and its stand-ins as separate processes."""
    http, peer, platform, *backends = find_free_ports(3 + workers)
    note = _NOTE.format(max_waiting=max_waiting, timeout_ms=timeout_ms)
    for index, port in enumerate(backends):
        note += _VM.format(port=port, rack=index // _RACK_SIZE, slots=slots)
    url = f"http://127.0.0.1:{http}"
    async with contextlib.AsyncExitStack() as resources:
        directory = resources.enter_context(tempfile.TemporaryDirectory())
        path = Path(directory) / "entry-vm.ini"
        path.write_text(_SETTINGS.format(http=http, peer=peer, platform=platform))
        stand_ins = ("bench.servers", "--platform-port", str(platform))
        options = ("--duration-s", str(duration_s), *map(str, backends))
        await spawn(resources, *stand_ins, *options)
        await wait_until_open(platform)
        daemon = await spawn(resources, "currantstage", "serve", "--config", str(path))
        await wait_until_open(http)
        await _submit(url, note)
        direct = tuple(f"http://127.0.0.1:{port}/run/q" for port in backends)
        yield ServingSite(daemon.pid, f"{url}/v1/queues/q", direct)


def quantile(samples: Sequence[float], fraction: float) -> float:
    """Return the quantile of `samples` at `fraction`."""
    ordered = sorted(samples)
    return ordered[min(int(fraction * len(ordered)), len(ordered) - 1)]


async def spawn(
    resources: contextlib.AsyncExitStack, module: str, *arguments: str
) -> asyncio.subprocess.Process:
    """Run a module as a process that is killed when `resources` is closed."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        module,
        *arguments,
        stdout=asyncio.subprocess.DEVNULL,
    )
    resources.push_async_callback(process.wait)
    resources.callback(process.kill)
    return process


async def wait_until_open(port: int) -> None:
    """Wait until a process listens on `port` of the loopback interface."""
    async with asyncio.timeout(_START_TIMEOUT_S):
        while True:
            try:
                _, writer = await asyncio.open_connection("127.0.0.1", port)
            except OSError:
                await asyncio.sleep(0.02)
                continue
            writer.close()
            return


async def _submit(url: str, note: str) -> None:
    async with OperatorClient(url, "operators") as operator:
        report = await operator.submit_note(note)
        while report.state is NoteState.COMMITTED:
            await asyncio.sleep(0.05)
            report = await operator.note_status(NoteId("first"))
    if report.state is not NoteState.ACCEPTED:
        raise OperatorCallError(
            f"note not accepted: state {report.state.value}, faults {report.faults}"
        )


async def listen(
    serve: Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]],
) -> tuple[asyncio.Server, str]:
    """Serve a free port of the loopback interface; return its ``IP:port`` too."""
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    return server, f"{host}:{port}"
