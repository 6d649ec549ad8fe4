"""Measure release notes: time until in force everywhere, and calls to the platform.

    python -m bench.notes --seed 1

Daemons, platform and clients share one process and one core, so the times are upper
bounds for separate VMs.
"""

from __future__ import annotations

import asyncio
import random
import statistics
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

import click
import uvloop
from msgspec.structs import replace

from currantstage.application import Daemon
from currantstage.config import PeerSettings, PlatformSettings
from currantstage.protocol import NoteState
from currantstage.standin import (
    OPERATOR_KEY,
    LoopbackCluster,
    PlatformContent,
    PlatformMode,
    PlatformStandIn,
    find_free_ports,
)
from currantstage.state import NoteId
from currantstage.transport import OperatorClient

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from currantstage.protocol import NoteReport, WireRows, WireTransaction
    from currantstage.state import TransactionOutcome

#: Interval between two checks of the daemons, in seconds.
POLL_INTERVAL_S = 0.002
#: Time for the circuit breaker of a daemon to close again, in seconds.
RECOVERY_S = 3.0
#: Pause between two notes, so that each starts with idle daemons, in seconds.
IDLE_PAUSE_S = 0.3
IDLE_S = 20.0
NOTES_PER_DAY = 1_100
DAY_S = 86_400.0
#: Entry VMs expected within two years.
TARGET_ENTRY_VMS = 88


class CountingContent(PlatformContent):
    """Content of the platform that counts the calls."""

    def __init__(self) -> None:
        super().__init__()
        self.counts: Counter[str] = Counter()

    def read(self, key: str) -> WireRows:
        """Count the call and forward it."""
        self.counts["reads"] += 1
        return super().read(key)

    def scan(self, prefix: str) -> WireRows:
        """Count the call and forward it."""
        self.counts["reads"] += 1
        return super().scan(prefix)

    def transact(self, transaction: WireTransaction) -> TransactionOutcome:
        """Count the call and forward it."""
        self.counts["writes"] += 1
        return super().transact(transaction)

    def get_object(self, name: str) -> bytes | None:
        """Count the call and forward it."""
        self.counts["objects"] += 1
        return super().get_object(name)


@dataclass(frozen=True, slots=True)
class RollOut:
    """Durations of one roll-out since the operator's submission, in seconds."""

    in_force_s: float
    accepted_s: float


class Bench:
    """A cluster to which numbered notes are submitted."""

    def __init__(self, daemons_per_data_centre: int, source: random.Random) -> None:
        self.cluster = LoopbackCluster(daemons_per_data_centre)
        self.content = CountingContent()
        self.cluster.platform.content = self.content
        self._random = source
        self._notes = 0

    async def submit(self) -> tuple[OperatorClient, NoteReport, NoteId]:
        """Submit the next note to a random entry VM."""
        self._notes += 1
        note_id = NoteId(f"note-{self._notes}")
        text = self.cluster.note.replace("first-note", note_id)
        if self._notes > 1:
            share = 1 + self._notes % 7
            text = f"[note]\nid = {note_id}\n[change team north]\nshare = {share}\n"
        client = OperatorClient(self._random.choice(self.cluster.urls), OPERATOR_KEY)
        await client.start()
        return client, await client.submit_note(text), note_id

    async def roll_out(self, daemons: Sequence[Daemon]) -> RollOut:
        """Submit a note; wait until `daemons` have applied it and it is accepted."""
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        client, report, note_id = await self.submit()
        assert report.generation is not None, report
        while not all(daemon.generation >= report.generation for daemon in daemons):  # noqa: ASYNC110
            await asyncio.sleep(POLL_INTERVAL_S)
        in_force_s = loop.time() - started_s
        while report.state is NoteState.COMMITTED:
            await asyncio.sleep(0.02)
            report = await client.note_status(note_id)
        accepted_s = loop.time() - started_s
        await client.close()
        return RollOut(in_force_s, accepted_s)


def percentile(values: Iterable[float], percent: int) -> float:
    """Return a percentile by the nearest-rank method."""
    ordered = sorted(values)
    rank = max(0, -(-len(ordered) * percent // 100) - 1)
    return ordered[rank]


async def measure_size(per_data_centre: int, notes: int, seed: int) -> float:
    """Print one row of times and calls; return the median time until in force."""
    bench = Bench(per_data_centre, random.Random(seed))
    async with bench.cluster as cluster:
        size = len(cluster.daemons)
        await bench.roll_out(cluster.daemons)
        await asyncio.sleep(3.0)
        bench.content.counts.clear()
        await asyncio.sleep(IDLE_S)
        idle = {name: count / IDLE_S for name, count in bench.content.counts.items()}
        bench.content.counts.clear()
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        results = []
        for _ in range(notes):
            results.append(await bench.roll_out(cluster.daemons))
            await asyncio.sleep(IDLE_PAUSE_S)
        duration_s = loop.time() - started_s
        counts = bench.content.counts
    in_force = [each.in_force_s for each in results]
    accepted = [each.accepted_s for each in results]
    click.echo(
        f"| {size} | {percentile(in_force, 50):.3f} | {percentile(in_force, 99):.3f} "
        f"| {percentile(accepted, 50):.3f} | {percentile(accepted, 99):.3f} "
        + "".join(
            f"| {rate / size:.2f} | {(rate + extra) / size:.2f} "
            for rate, extra in (
                (
                    idle.get(name, 0.0),
                    (counts[name] - idle.get(name, 0.0) * duration_s)
                    / notes
                    * (NOTES_PER_DAY / DAY_S),
                )
                for name in ("reads", "writes")
            )
        )
        + "|"
    )
    return statistics.median(in_force)


async def measure_cut_off(*, keeps_peers: bool, notes: int, seed: int) -> None:
    """Print one row of acceptance times with one of four entry VMs cut off."""
    bench = Bench(1, random.Random(seed))
    http_port, peer_port, platform_port = find_free_ports(3)
    cut_off_platform = PlatformStandIn(f"127.0.0.1:{platform_port}")
    async with bench.cluster as cluster:
        cut_off_platform.content = bench.content
        await cut_off_platform.start()
        base = cluster.settings[0]
        secret = base.peers.secret if keeps_peers else "secret-of-no-peer"
        entry_vm = replace(
            base.entry_vm,
            id="cut-off",
            http_address=f"127.0.0.1:{http_port}",
            peer_address=f"127.0.0.1:{peer_port}",
        )
        cut_off_settings = replace(
            base,
            entry_vm=entry_vm,
            platform=PlatformSettings(url=cut_off_platform.url),
            peers=PeerSettings(secret=secret),
        )
        daemon = Daemon.from_config(cut_off_settings)
        await bench.roll_out(cluster.daemons)
        waits = []
        for _ in range(notes):
            await daemon.start()
            await asyncio.sleep(5.0)
            cut_off_platform.mode = PlatformMode.DOWN
            waits.append((await bench.roll_out(cluster.daemons)).accepted_s)
            cut_off_platform.mode = PlatformMode.UP
            # The daemon can delete its row only once its circuit breaker is closed.
            await asyncio.sleep(RECOVERY_S)
            await daemon.close()
            daemon = Daemon.from_config(cut_off_settings)
        await cut_off_platform.close()
    name = "the platform only" if keeps_peers else "the platform and the peers"
    click.echo(f"| {name} | {min(waits):.2f} | {max(waits):.2f} |")


async def run(sizes: Sequence[int], notes: int, cut_off_notes: int, seed: int) -> None:
    """Print all tables."""
    click.echo(
        "| entry VMs | in force p50 s | p99 s | accepted p50 s | p99 s "
        "| reads/s per entry VM, idle | at 1,100 notes a day "
        "| writes/s per entry VM, idle | at 1,100 notes a day |"
    )
    click.echo("|---" * 9 + "|")
    medians = [await measure_size(size, notes, seed) for size in sizes]
    if len(sizes) > 1:
        slope, intercept = statistics.linear_regression([3 * s for s in sizes], medians)
        at_target = intercept + slope * TARGET_ENTRY_VMS
        click.echo(
            f"slope {slope * 1000:.2f} ms per entry VM; at 88: {at_target:.2f} s"
        )
    if cut_off_notes:
        click.echo("\n| one of 4 cut off from | accepted after, least s | most s |")
        click.echo("|---" * 3 + "|")
        for keeps_peers in (True, False):
            await measure_cut_off(
                keeps_peers=keeps_peers, notes=cut_off_notes, seed=seed
            )


@click.command()
@click.option("--sizes", default="1,2,3,4", help="Daemons per data centre, of three.")
@click.option("--notes", default=40, show_default=True)
@click.option("--cut-off-notes", default=3, show_default=True)
@click.option("--seed", default=1, show_default=True)
def main(sizes: str, notes: int, cut_off_notes: int, seed: int) -> None:
    """Measure notes on loopback and print tables."""
    counts = [int(size) for size in sizes.split(",")]
    uvloop.run(run(counts, notes, cut_off_notes, seed))


if __name__ == "__main__":
    main()
