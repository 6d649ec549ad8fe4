"""Bytes over the scheduler's network link for each start of a task and its end."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import replace
from functools import partial
from typing import TYPE_CHECKING, Any
from unittest import mock

import click
import msgspec

from bench.harness import listen
from currantstage.platform import PlatformHttp, StoreClient, WorkerClient
from currantstage.standin.jobs import POOLS, SimulatedSite, VirtualTimeLoop
from currantstage.standin.jobs._store import StoreConnection
from currantstage.standin.jobs._workers import WorkerConnections
from currantstage.state.jobs import RenewalReply, Resources, Step, format_key

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Sequence

    from currantstage.state.jobs import (
        Committed,
        Conflicted,
        OrderOutcome,
        RenewalOrder,
        RowCondition,
        RowWrite,
        StartOrder,
    )

#: Time without new jobs before and after a measurement, in seconds.
SETTLE_S = 3.0
#: Time for which jobs are submitted, in seconds.
LOAD_S = 10.0

_SCHEDULER_PARTITION = "scheduler"
_LENGTH_HEADER = "content-length:"
_TASK = Resources(1000, 1024, 0)
_RUN_MS = 500


class CallRecorder:
    """Records calls to workers and the scheduler's writes while it is entered."""

    def __init__(self) -> None:
        self.starts: list[StartOrder] = []
        self.renewals: list[tuple[RenewalOrder, RenewalReply]] = []
        self.writes: list[tuple[Sequence[RowCondition], Sequence[RowWrite]]] = []
        self._start = WorkerConnections.start
        self._hold = WorkerConnections.hold
        self._transact = StoreConnection.transact
        self._patches = (
            mock.patch.object(
                WorkerConnections, "start", lambda *call: self._record_start(*call)
            ),
            mock.patch.object(
                WorkerConnections, "hold", lambda *call: self._record_hold(*call)
            ),
            mock.patch.object(
                StoreConnection, "transact", lambda *call: self._record_write(*call)
            ),
        )

    def __enter__(self) -> CallRecorder:
        for patch in self._patches:
            patch.start()
        return self

    def __exit__(self, *_: object) -> None:
        for patch in self._patches:
            patch.stop()

    def clear(self) -> None:
        """Forget all calls."""
        for calls in (self.starts, self.renewals, self.writes):
            calls.clear()

    async def _record_start(
        self, workers: WorkerConnections, order: StartOrder
    ) -> OrderOutcome:
        self.starts.append(order)
        return await self._start(workers, order)

    async def _record_hold(
        self, workers: WorkerConnections, order: RenewalOrder
    ) -> RenewalReply | OrderOutcome:
        reply = await self._hold(workers, order)
        if isinstance(reply, RenewalReply):
            self.renewals.append((order, reply))
        return reply

    async def _record_write(
        self,
        store: StoreConnection,
        conditions: Sequence[RowCondition],
        writes: Sequence[RowWrite],
    ) -> Committed | Conflicted:
        if any(each.name.partition == _SCHEDULER_PARTITION for each in writes):
            self.writes.append((conditions, writes))
        return await self._transact(store, conditions, writes)


class ByteCounter:
    """Server that answers each call with a given body and counts all bytes."""

    def __init__(self) -> None:
        self.address = ""
        self._byte_count = 0
        self._reply = b""
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port of the loopback interface."""
        self._server, self.address = await listen(self._serve)

    async def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def count(self, call: Callable[[], Awaitable[object]], reply: object) -> int:
        """Return the bytes of one call in both directions, headers included."""
        self._reply = msgspec.json.encode(reply)
        before = self._byte_count
        await call()
        return self._byte_count - before

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                self._byte_count += await _read_request(reader)
                response = _format_response(self._reply)
                self._byte_count += len(response)
                writer.write(response)
        except asyncio.IncompleteReadError:
            writer.close()


async def _read_request(reader: asyncio.StreamReader) -> int:
    """Read one request; return its length."""
    head = await reader.readuntil(b"\r\n\r\n")
    length = 0
    for line in head.decode().lower().split("\r\n"):
        if line.startswith(_LENGTH_HEADER):
            length = int(line.removeprefix(_LENGTH_HEADER))
    await reader.readexactly(length)
    return len(head) + length


def _format_response(body: bytes) -> bytes:
    head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


@click.command()
@click.option("--vms", default=40, show_default=True, help="VMs of each pool.")
@click.option("--jobs-per-s", default=20, show_default=True)
@click.option("--tasks", default=8, show_default=True, help="Tasks of each job.")
def main(vms: int, jobs_per_s: int, tasks: int) -> None:
    """Print the bytes of a start and its end, by kind of call."""
    recorder = _record(vms, jobs_per_s, tasks)
    split = asyncio.run(_count(recorder))
    starts = len(recorder.starts)
    print("| call | calls | bytes for each start |\n|---|---|---|")
    print(f"| start | {starts} | {split['start'] / starts:.0f} |")
    print(f"| renewal | {len(recorder.renewals)} | {split['renewal'] / starts:.0f} |")
    print(f"| write | {len(recorder.writes)} | {split['write'] / starts:.0f} |")
    print(f"| all | | {split.total() / starts:.0f} |")


def _record(vms: int, jobs_per_s: int, tasks: int) -> CallRecorder:
    """Return the calls of a site under load, in virtual time."""
    loop = VirtualTimeLoop()
    with CallRecorder() as recorder:
        loop.run_until_complete(_load_site(recorder, vms, jobs_per_s, tasks))
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
    loop.close()
    return recorder


async def _load_site(
    recorder: CallRecorder, vms: int, jobs_per_s: int, tasks: int
) -> None:
    site = SimulatedSite(1, vms_per_pool=vms)
    await site.start()
    await asyncio.sleep(SETTLE_S)
    recorder.clear()
    step = Step(task_count=tasks, resources=_TASK, estimated_run_ms=_RUN_MS)
    for _ in range(int(LOAD_S * jobs_per_s)):
        await site.submit((step,), POOLS[0])
        await asyncio.sleep(1 / jobs_per_s)
    await asyncio.sleep(SETTLE_S)


async def _count(recorder: CallRecorder) -> Counter[str]:
    """Return the bytes of the recorded calls, by kind."""
    counter = ByteCounter()
    http = PlatformHttp()
    await counter.start()
    await http.start()
    workers = WorkerClient(http)
    store = StoreClient(http, counter.address)
    split: Counter[str] = Counter()
    for order in recorder.starts:
        start = replace(order, worker=_at(order.worker, counter.address))
        split["start"] += await counter.count(partial(workers.start, start), {})
    for renewal, reply in recorder.renewals:
        hold = replace(renewal, worker=_at(renewal.worker, counter.address))
        split["renewal"] += await counter.count(
            partial(workers.hold, hold), _to_lists(reply)
        )
    for call in recorder.writes:
        split["write"] += await counter.count(
            partial(store.transact, *call), {"Ver": 1000}
        )
    await http.close()
    await counter.close()
    return split


def _at(worker: Any, address: str) -> Any:
    return msgspec.structs.replace(worker, address=address)


def _to_lists(reply: RenewalReply) -> dict[str, Any]:
    """Return a reply as workers send it."""
    return {
        "ClockMs": reply.clock_ms,
        "born": reply.born_ms,
        "Running": [
            [format_key(run.task), run.run, run.checkpoint, run.percent, run.gauge]
            for run in reply.running
        ],
        "Ended": [
            [end.number, format_key(end.task), end.run, "done", end.checkpoint]
            for end in reply.ended
        ],
    }


if __name__ == "__main__":
    main()
