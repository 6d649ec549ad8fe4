"""Overhead of idle daemons by fleet size: processor, memory, calls and messages."""

from __future__ import annotations

import asyncio
import contextlib
import os
import sys
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING

import aiohttp
import click
import uvloop

from bench.harness import serving, spawn, wait_until_open
from currantstage.coordination.notes import check_note
from currantstage.protocol import (
    NoteState,
    decode_generation,
    encode_generation,
    encode_note,
)
from currantstage.standin import LoopbackCluster, PlatformStandIn, find_free_ports
from currantstage.state import (
    Additions,
    DataCentreId,
    Fleet,
    Key,
    KeyId,
    ListedVm,
    NoteId,
    Pool,
    PoolId,
    Queue,
    QueueId,
    RackId,
    ReleaseNote,
    StoredGeneration,
    Team,
    TeamId,
    Vm,
    VmId,
    VmLiveness,
)
from currantstage.transport import OperatorClient, PeerSockets

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

_SETTINGS = """
[entry-vm]
id = {name}
data_centre = dc0
http_address = 127.0.0.1:{http}
peer_address = 127.0.0.1:{peer}
[platform]
url = http://127.0.0.1:{platform}
[peers]
secret = s
[operators]
key = operators
"""
_SETTLE_S = 4.0
_RACK_SIZE = 4
_CALLERS = 8


@dataclass(frozen=True)
class FleetSize:
    """Size of a fleet.

    Parameters
    ----------
    vms, pools, teams, data_centres : int
    """

    vms: int
    pools: int
    teams: int
    data_centres: int


SIZES = (
    FleetSize(36, 6, 6, 3),
    FleetSize(360, 18, 24, 6),
    FleetSize(1_100, 35, 70, 11),
)


def make_note(size: FleetSize) -> ReleaseNote:
    """Return a note that creates a fleet of `size`, with one queue for each pool."""
    pools = tuple(
        Pool(
            pool_id=PoolId(f"pool{index}"),
            data_centre=DataCentreId(f"dc{index % size.data_centres}"),
        )
        for index in range(size.pools)
    )
    vms = tuple(
        Vm(
            vm_id=VmId(f"vm{index}"),
            pool=pools[index % size.pools].pool_id,
            # A rack belongs to a single data centre.
            rack=RackId(
                f"rack{index % size.pools}-{index // size.pools // _RACK_SIZE}"
            ),
            address=f"127.0.{index // 250}.{index % 250 + 1}:1",
        )
        for index in range(size.vms)
    )
    teams = tuple(
        Team(team_id=TeamId(f"team{index}"), share=1.0, upper_limit_slots=64)
        for index in range(size.teams)
    )
    return ReleaseNote(
        note_id=NoteId("first"),
        added=Additions(
            pools=pools,
            vms=vms,
            teams=teams,
            keys=tuple(
                Key(
                    key_id=KeyId(f"key{index}"),
                    team=team.team_id,
                    salt="salt",
                    digest="0" * 64,
                )
                for index, team in enumerate(teams)
            ),
            queues=tuple(
                Queue(queue_id=QueueId(f"queue{index}"), pools=(pool.pool_id,))
                for index, pool in enumerate(pools)
            ),
        ),
    )


@dataclass
class Traffic:
    """Relay that counts the traffic between the daemons and the platform.

    Parameters
    ----------
    calls : Counter
        Calls by HTTP method.
    in_bytes, out_bytes : int
        Bytes received from the platform and sent to it, headers included.
    """

    calls: Counter[str] = field(default_factory=Counter)
    in_bytes: int = 0
    out_bytes: int = 0

    async def relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, port: int
    ) -> None:
        """Relay one connection to the platform at `port`."""
        platform_reader, platform_writer = await asyncio.open_connection(
            "127.0.0.1", port
        )
        await asyncio.gather(
            self._forward(reader, platform_writer, is_out=True),
            self._forward(platform_reader, writer, is_out=False),
        )

    async def _forward(
        self, source: asyncio.StreamReader, sink: asyncio.StreamWriter, *, is_out: bool
    ) -> None:
        with contextlib.suppress(ConnectionError):
            while data := await source.read(65_536):
                if is_out:
                    self.out_bytes += len(data)
                    for method in (b"GET", b"POST", b"PUT", b"DELETE"):
                        self.calls[method.decode()] += data.count(method + b" /")
                else:
                    self.in_bytes += len(data)
                sink.write(data)
                await sink.drain()
        sink.close()


@dataclass(frozen=True)
class DaemonCost:
    """Resource use of one idle daemon.

    Parameters
    ----------
    processor_percent : float
        Percentage of one core.
    resident_mb : float
    apply_s : float
        Time from the submission of the note to its acceptance.
    """

    processor_percent: float
    resident_mb: float
    apply_s: float


@dataclass(frozen=True)
class SiteCost:
    """Resource use of idle daemons, averaged over the daemons."""

    daemon: DaemonCost
    reads_per_s: float
    writes_per_s: float
    in_bytes_per_s: float
    out_bytes_per_s: float


async def measure_site(size: FleetSize, daemons: int, duration_s: float) -> SiteCost:
    """Return the resource use of `daemons` idle processes with a fleet of `size`."""
    async with _run_site(daemons, size) as (pids, url, traffic):
        started_s = time.monotonic()
        await _submit(url, size)
        apply_s = time.monotonic() - started_s
        await asyncio.sleep(_SETTLE_S)
        before = Traffic(traffic.calls.copy(), traffic.in_bytes, traffic.out_bytes)
        used_s = [_processor_s(pid) for pid in pids]
        await asyncio.sleep(duration_s)
        used_s = [
            _processor_s(pid) - old for pid, old in zip(pids, used_s, strict=True)
        ]
        per_daemon_s = duration_s * daemons
        calls = traffic.calls - before.calls
        return SiteCost(
            DaemonCost(
                100 * sum(used_s) / per_daemon_s,
                sum(_resident_mb(pid) for pid in pids) / daemons,
                apply_s,
            ),
            reads_per_s=calls["GET"] / per_daemon_s,
            writes_per_s=(calls["POST"] + calls["PUT"]) / per_daemon_s,
            in_bytes_per_s=(traffic.in_bytes - before.in_bytes) / per_daemon_s,
            out_bytes_per_s=(traffic.out_bytes - before.out_bytes) / per_daemon_s,
        )


@contextlib.asynccontextmanager
async def _run_site(
    daemons: int, size: FleetSize
) -> AsyncIterator[tuple[list[int], str, Traffic]]:
    platform_port, relay_port, *ports = find_free_ports(2 + 2 * daemons)
    traffic = Traffic()
    async with contextlib.AsyncExitStack() as resources:
        directory = Path(resources.enter_context(tempfile.TemporaryDirectory()))
        platform = PlatformStandIn(f"127.0.0.1:{platform_port}")
        platform.content.set_listing(
            ListedVm(vm_id=vm.vm_id, liveness=VmLiveness.LIVE)
            for vm in make_note(size).added.vms
        )
        await platform.start()
        resources.push_async_callback(platform.close)
        relay = await asyncio.start_server(
            lambda reader, writer: traffic.relay(reader, writer, platform_port),
            "127.0.0.1",
            relay_port,
        )
        resources.callback(relay.close)
        pids = []
        for index in range(daemons):
            http, peer = ports[2 * index : 2 * index + 2]
            path = directory / f"{index}.ini"
            path.write_text(
                _SETTINGS.format(
                    name=f"e{index}", http=http, peer=peer, platform=relay_port
                )
            )
            process = await spawn(
                resources, "currantstage", "serve", "--config", str(path)
            )
            pids.append(process.pid)
            await wait_until_open(http)
        yield pids, f"http://127.0.0.1:{ports[0]}", traffic


async def _submit(url: str, size: FleetSize) -> None:
    async with OperatorClient(url, "operators") as operator:
        report = await operator.submit_note(encode_note(make_note(size)).decode())
        while report.state is NoteState.COMMITTED:
            await asyncio.sleep(0.05)
            report = await operator.note_status(NoteId("first"))
        if report.state is not NoteState.ACCEPTED:
            raise click.ClickException(f"{report.state.value}: {report.faults[:3]}")


async def measure_peers(per_data_centre: int, duration_s: float) -> tuple[float, float]:
    """Return the frames and bytes that an idle daemon sends to its peers per second."""
    frames = sent_bytes = 0
    original = PeerSockets.send

    def count(self: PeerSockets, receiver: object, payload: bytes) -> None:
        nonlocal frames, sent_bytes
        frames, sent_bytes = frames + 1, sent_bytes + len(payload)
        original(self, receiver, payload)  # type: ignore[arg-type]

    async with LoopbackCluster(per_data_centre) as cluster:
        async with OperatorClient(cluster.urls[0], "operators-of-the-demo") as operator:
            await operator.submit_note(cluster.note)
        await asyncio.sleep(_SETTLE_S)
        PeerSockets.send = count  # type: ignore[method-assign,assignment]
        try:
            await asyncio.sleep(duration_s)
        finally:
            PeerSockets.send = original  # type: ignore[method-assign]
        scale = duration_s * len(cluster.daemons)
        return frames / scale, sent_bytes / scale


async def measure_requests(count: int) -> tuple[float, float]:
    """Return a daemon's processor time per request in ms and its memory in MB."""
    async with (
        serving(workers=6) as site,
        aiohttp.ClientSession() as caller,
    ):
        before_s = site.processor_time_s()
        remaining = iter(range(count))

        async def send_requests() -> None:
            for _ in remaining:
                async with caller.post(site.url, data=b"x") as response:
                    await response.read()

        await asyncio.gather(*(send_requests() for _ in range(_CALLERS)))
        used_s = site.processor_time_s() - before_s
        return 1e3 * used_s / count, site.resident_bytes() / 1e6


def measure_codec(size: FleetSize, repeats: int = 5) -> tuple[int, float, float]:
    """Return the size of a generation's object, its check and its decode time.

    The size is in bytes, the times are in seconds.
    """
    note = make_note(size)
    fleet = check_note(Fleet(), note).unwrap()
    stored = StoredGeneration(note=note, fleet=fleet)
    body = encode_generation(stored)
    started_s = time.process_time()
    for _ in range(repeats):
        check_note(Fleet(), note)
    checked_s = (time.process_time() - started_s) / repeats
    started_s = time.process_time()
    for _ in range(repeats):
        decode_generation(body)
    return len(body), checked_s, (time.process_time() - started_s) / repeats


def _processor_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _resident_mb(pid: int) -> float:
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


async def _measure_all(duration_s: float) -> None:
    click.echo("| VMs | object, kB | check, ms | decode, ms |")
    click.echo("|---|---|---|---|")
    for size in SIZES:
        body_bytes, check_s, decode_s = measure_codec(size)
        click.echo(
            f"| {size.vms} | {body_bytes / 1e3:.0f} | {check_s * 1e3:.1f} "
            f"| {decode_s * 1e3:.1f} |"
        )
    click.echo(
        "\n| VMs | daemons | core, % | resident, MB | accepted, s | reads/s "
        "| writes/s | in, B/s | out, B/s |\n|---|---|---|---|---|---|---|---|---|"
    )
    runs = [(size, 1) for size in SIZES]
    runs += [(SIZES[0], daemons) for daemons in (2, 4, 8)]
    for size, daemons in runs:
        cost = await measure_site(size, daemons, duration_s)
        click.echo(
            f"| {size.vms} | {daemons} | {cost.daemon.processor_percent:.2f} "
            f"| {cost.daemon.resident_mb:.0f} | {cost.daemon.apply_s:.2f} "
            f"| {cost.reads_per_s:.2f} | {cost.writes_per_s:.2f} "
            f"| {cost.in_bytes_per_s:.0f} | {cost.out_bytes_per_s:.0f} |"
        )
    click.echo("\n| daemons | frames/s sent | B/s sent |\n|---|---|---|")
    for per_data_centre in (1, 2, 4):
        frames, sent_bytes = await measure_peers(per_data_centre, duration_s)
        click.echo(f"| {3 * per_data_centre} | {frames:.1f} | {sent_bytes:.0f} |")
    click.echo("\n| requests | processor, ms each | resident, MB |\n|---|---|---|")
    for count in (500, 1_000, 2_000):
        used_ms, resident_mb = await measure_requests(count)
        click.echo(f"| {count} | {used_ms:.2f} | {resident_mb:.0f} |")


@click.command()
@click.option("--duration-s", default=8.0, show_default=True, help="Of each run.")
def main(duration_s: float) -> None:
    """Print the resource use of daemons for several sizes of the fleet."""
    uvloop.run(_measure_all(duration_s))
    sys.stdout.flush()


if __name__ == "__main__":
    main()
