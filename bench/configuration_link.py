"""How soon a change of the configuration is in force over a link of a given rate."""

from __future__ import annotations

import asyncio
import base64
import json
import time
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs, urlsplit

import click

from bench.harness import listen
from currantstage.application.jobs._configuration import ConfigurationFollower
from currantstage.platform import OperatorRows, PlatformHttp, StoreClient
from currantstage.util import MonotonicClock

if TYPE_CHECKING:
    from currantstage.application.jobs._peer_configuration import PeerConfiguration
    from currantstage.state.jobs import ConfigurationVersion

#: Size of what one connection sends before the next one has its turn, in bytes.
PACKET_BYTES = 4096
#: Time after which a change counts as never in force, in seconds.
GIVE_UP_S = 40.0
#: Time before the change, in seconds.
SETTLE_S = 2.5


class NoPeers:
    """Peers that know nothing."""

    async def query(self, newer_than: ConfigurationVersion) -> PeerConfiguration | None:
        """Return None."""
        return None


class ThrottledStore:
    """Serves the operators' table; all connections share one link.

    Parameters
    ----------
    mbit_per_s : float
    """

    def __init__(self, mbit_per_s: float) -> None:
        self._packet_s = PACKET_BYTES * 8 / (mbit_per_s * 1e6)
        self._turn = asyncio.Lock()
        self._free_s = 0.0
        self._value = _encode_configuration(version=1, routes=10)
        self._version = 1
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[Any]] = set()
        self.sent_bytes = 0
        self.address = ""

    async def start(self) -> None:
        """Listen on a free port of the loopback interface."""
        self._server, self.address = await listen(self._serve)

    async def close(self) -> None:
        """Stop listening, and end all connections."""
        if self._server is not None:
            self._server.close()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def change(self, routes: int) -> int:
        """Write a configuration with that many routes; return the size of its row."""
        self._version += 1
        self._value = _encode_configuration(self._version, routes)
        self._changed.set()
        return len(self._value)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                await self._answer(head.split()[1].decode(), writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _answer(self, path: str, writer: asyncio.StreamWriter) -> None:
        query = parse_qs(urlsplit(path).query)
        after = int(query.get("After", ["0"])[0])
        if after >= self._version:
            self._changed.clear()
            try:
                async with asyncio.timeout(int(query["WaitMs"][0]) / 1000):
                    await self._changed.wait()
            except TimeoutError:
                pass
        row = {
            "Table": "op",
            "Key": "config",
            "Value": self._value.decode(),
            "Ver": self._version,
        }
        rows = [row] if after < self._version else []
        body = json.dumps({"rows": rows, "Ver": self._version}).encode()
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
        await self._send(head.encode() + body, writer)

    async def _send(self, data: bytes, writer: asyncio.StreamWriter) -> None:
        for first in range(0, len(data), PACKET_BYTES):
            async with self._turn:
                now_s = time.monotonic()
                self._free_s = max(self._free_s, now_s) + self._packet_s
                await asyncio.sleep(self._free_s - now_s)
            writer.write(data[first : first + PACKET_BYTES])
            await writer.drain()
            self.sent_bytes += min(PACKET_BYTES, len(data) - first)


def _encode_configuration(version: int, routes: int) -> bytes:
    configuration = {
        "Version": version,
        "Routes": [
            {
                "Name": f"r-{number:07}",
                "Host": f"host{number:05}.example",
                "PathPrefix": f"/queue{number:07}/",
                "Service": "huvo11a",
                "TimeoutMs": 3000,
                "Kind": "non_idempotent",
                "MaxAttempts": 3,
                "Stretch": 1.6,
                "TargetLatencyMs": 600,
                "Priority": 1,
            }
            for number in range(routes)
        ],
    }
    return base64.b64encode(json.dumps(configuration).encode())


async def _measure(routes: int, mbit_per_s: float) -> None:
    store = ThrottledStore(mbit_per_s)
    await store.start()
    http = PlatformHttp()
    await http.start()
    client = StoreClient(http, store.address)
    follower = ConfigurationFollower(OperatorRows(client), NoPeers(), MonotonicClock())
    await follower.start()
    await asyncio.sleep(SETTLE_S)
    sent_bytes, changed_s = store.sent_bytes, time.monotonic()
    size_bytes = store.change(routes)
    in_force_s: float | None = None
    while in_force_s is None and time.monotonic() - changed_s < GIVE_UP_S:
        await asyncio.sleep(0.01)
        if follower.current is not None and follower.current.version > 1:
            in_force_s = time.monotonic() - changed_s
    sent_mb = (store.sent_bytes - sent_bytes) / 1e6
    needed_s = size_bytes * 8 / (mbit_per_s * 1e6)
    in_force = f"{in_force_s:.2f}" if in_force_s is not None else "never"
    print(
        f"| {routes} | {size_bytes / 1e6:.2f} | {mbit_per_s:g} | {needed_s:.2f} "
        f"| {in_force} | {sent_mb:.2f} |"
    )
    await follower.close()
    await http.close()
    await store.close()


@click.command()
@click.option(
    "--case",
    "cases",
    type=(int, float),
    multiple=True,
    default=[(1640, 5.0), (1640, 2.0), (1640, 1.0), (4000, 5.0), (7000, 5.0)],
    help="Number of routes, and rate of the link in Mbit/s.",
)
def main(cases: tuple[tuple[int, float], ...]) -> None:
    """Print, for each case, when the change is in force and what was sent for it."""
    print("| routes | MB | Mbit/s | link needs, s | in force after, s | MB sent |")
    print("|---|---|---|---|---|---|")
    for routes, mbit_per_s in cases:
        asyncio.run(_measure(routes, mbit_per_s))


if __name__ == "__main__":
    main()
