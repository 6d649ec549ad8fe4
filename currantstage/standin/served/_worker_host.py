"""HTTP interface of the worker that runs on a VM, at the VM's address."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

import msgspec
from aiohttp import web
from msgspec import Struct

from currantstage.platform.messages import (
    END_KINDS,
    INSTANCE_HEADER,
    REFUSAL_REASONS,
    WireEnded,
    WireHold,
    WireHoldResponse,
    WirePace,
    WireRunning,
    WireStart,
    WireStop,
    parse_task,
)
from currantstage.standin.served._listener import PREFIX, FaultyListener
from currantstage.standin.served._store_service import json_response
from currantstage.state.jobs import (
    EndNumber,
    Fence,
    OrderOutcome,
    RenewalOrder,
    RunNumber,
    StartOrder,
    StopOrder,
    format_key,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from currantstage.standin.jobs import SimulatedWorker
    from currantstage.standin.served._faults import Fault
    from currantstage.state.jobs import EndedTask, RenewalReply, RunningTask

#: Longest wait for an end, in milliseconds.
MAX_WAIT_MS = 2000

_REASON_OF_REFUSAL = {outcome: reason for reason, outcome in REFUSAL_REASONS.items()}
_END_NAMES = {kind: name for name, kind in END_KINDS.items()}

_MessageT = TypeVar("_MessageT", bound=Struct)


class _Answer(Struct, rename="pascal", omit_defaults=True):
    clock_ms: int
    reason: str = ""
    born: int = msgspec.field(name="born", default=0)


class WorkerHost:
    """Serves the orders to the worker that runs on a VM, if there is one.

    Parameters
    ----------
    address : str
        ``IP:port``; the same for all workers that the VM runs in turn.
    is_refusing : callable
        Returns whether a fault closes the listening socket now.
    find_fault : callable
        Returns the fault that a call meets now, by whether it is an order.
    unix_offset_ms : int
        What to add to the loop's time for the Unix time.
    """

    def __init__(
        self,
        address: str,
        is_refusing: Callable[[], bool],
        find_fault: Callable[[bool], Fault | None],
        unix_offset_ms: int,
    ) -> None:
        self.worker: SimulatedWorker | None = None
        self._is_refusing = is_refusing
        self._unix_offset_ms = unix_offset_ms
        self.listener = FaultyListener(address, self._is_open, find_fault)
        router = self.listener.app.router
        router.add_post(f"{PREFIX}/run-start", self._start)
        router.add_post(f"{PREFIX}/run-stop", self._stop)
        router.add_post(f"{PREFIX}/hold", self._hold)
        router.add_post(f"{PREFIX}/pace", self._pace)

    def _is_open(self) -> bool:
        has_worker = self.worker is not None and self.worker.is_up
        return has_worker and not self._is_refusing()

    async def _start(self, request: web.Request) -> web.Response:
        worker = self._intended_worker(request)
        if worker is None:
            return web.Response(status=421)
        message = await _decode(request, WireStart)
        if message is None:
            return web.Response(status=400)
        order = StartOrder(
            worker=worker.entry,
            task=parse_task(message.task),
            run=RunNumber(message.run),
            spec=message.spec,
            fence=Fence(message.fence),
            until_ms=message.until_ms,
            checkpoint=message.checkpoint,
            ticket=message.ticket,
        )
        return self._answer(worker, worker.start(order, is_late=False))

    async def _stop(self, request: web.Request) -> web.Response:
        worker = self._intended_worker(request)
        if worker is None:
            return web.Response(status=421)
        message = await _decode(request, WireStop)
        if message is None:
            return web.Response(status=400)
        order = StopOrder(
            worker=worker.entry,
            task=parse_task(message.task),
            run=RunNumber(message.run),
            fence=Fence(message.fence),
        )
        return self._answer(worker, worker.stop(order))

    async def _pace(self, request: web.Request) -> web.Response:
        worker = self._intended_worker(request)
        if worker is None:
            return web.Response(status=421)
        if await _decode(request, WirePace) is None:
            return web.Response(status=400)
        return self._answer(worker, OrderOutcome.ACCEPTED)

    async def _hold(self, request: web.Request) -> web.Response:
        worker = self._intended_worker(request)
        if worker is None:
            return web.Response(status=421)
        message = await _decode(request, WireHold)
        if message is None:
            return web.Response(status=400)
        order = RenewalOrder(
            worker=worker.entry,
            fence=Fence(message.fence),
            seen_upto=EndNumber(message.seen_upto),
            until_ms=message.until_ms,
            wait_ms=min(message.wait_ms, MAX_WAIT_MS),
        )
        reply = await worker.hold(order)
        if isinstance(reply, OrderOutcome):
            return self._answer(worker, reply)
        return json_response(self._encode_lists(reply))

    def _intended_worker(self, request: web.Request) -> SimulatedWorker | None:
        """Return the worker that runs here, unless the call is for another one."""
        intended = request.headers.get(INSTANCE_HEADER)
        if self.worker is None or intended not in (None, self.worker.name):
            return None
        return self.worker

    def _answer(self, worker: SimulatedWorker, outcome: OrderOutcome) -> web.Response:
        reason = _REASON_OF_REFUSAL.get(outcome, "")
        answer = _Answer(worker.clock_ms(), reason, self._born_unix_ms(worker))
        return json_response(answer, status=409 if reason else 200)

    def _born_unix_ms(self, worker: SimulatedWorker) -> int:
        return worker.entry.born_ms + self._unix_offset_ms

    def _encode_lists(self, reply: RenewalReply) -> WireHoldResponse:
        return WireHoldResponse(
            clock_ms=reply.clock_ms,
            running=list(map(_encode_running, reply.running)),
            ended=list(map(_encode_ended, reply.ended)),
            born=reply.born_ms + self._unix_offset_ms,
        )


async def _decode(
    request: web.Request, message_type: type[_MessageT]
) -> _MessageT | None:
    try:
        return msgspec.json.decode(await request.read(), type=message_type)
    except msgspec.DecodeError:
        return None


def _encode_running(run: RunningTask) -> WireRunning:
    return WireRunning(
        format_key(run.task), run.run, run.checkpoint, run.percent, run.gauge
    )


def _encode_ended(end: EndedTask) -> WireEnded:
    return WireEnded(
        end.number,
        format_key(end.task),
        end.run,
        _END_NAMES[end.kind],
        end.checkpoint,
    )
