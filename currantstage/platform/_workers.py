"""Client for orders to workers."""

from __future__ import annotations

from eliot import log_message
from msgspec import Struct, field

from currantstage.platform._decoding import Number
from currantstage.platform._http import (
    CallFailure,
    HttpReply,
    PlatformHttp,
    read_reason,
)
from currantstage.state.jobs import (
    BornMs,
    EndedTask,
    EndKind,
    EndNumber,
    JobId,
    OrderOutcome,
    PaceOrder,
    RenewalOrder,
    RenewalReply,
    RunningTask,
    RunNumber,
    StartOrder,
    StopOrder,
    TaskKey,
    format_key,
)
from currantstage.util import UndecodableError, decode_json

#: Timeout of an order in seconds, added to the wait that the order requests.
ORDER_TIMEOUT_S = 0.5
#: Maximum number of ends in one reply.
MAX_LISTED_ENDS = 500

INSTANCE_HEADER = "X-Currantstage-Expect-Instance"

REFUSAL_REASONS = {
    "fence": OrderOutcome.FENCED,
    "old": OrderOutcome.OUTDATED,
    "late": OrderOutcome.TOO_LATE,
    "room": OrderOutcome.NO_CAPACITY,
    "ticket": OrderOutcome.NO_TICKET,
}

END_KINDS = {
    "done": EndKind.DONE,
    "failed": EndKind.FAILED,
    "stopped": EndKind.STOPPED,
    "lapsed": EndKind.LEASE_EXPIRED,
    "broken": EndKind.PEER_ENDED,
    "alone": EndKind.GANG_TIMEOUT,
}


class WireStart(Struct, rename="pascal", omit_defaults=True):
    task: str
    run: int
    spec: str
    until_ms: int
    fence: int
    checkpoint: str = ""
    ticket: str = ""


class WireStop(Struct, rename="pascal"):
    task: str
    run: int
    fence: int


class WirePace(Struct, rename="pascal"):
    task: str
    run: int
    percent: int
    fence: int


class WireHold(Struct, rename="pascal", omit_defaults=True):
    fence: int
    seen_upto: int
    until_ms: int | None = None
    wait_ms: int = 0


class WireRunning(Struct, array_like=True):
    """Row of a running task; the gauge is left out where there is none."""

    task: str
    run: Number
    checkpoint: str
    percent: float
    gauge: float = 0.0


class WireEnded(Struct, array_like=True):
    number: Number
    task: str
    run: Number
    kind: str
    checkpoint: str


class WireHoldResponse(Struct, rename="pascal"):
    clock_ms: Number
    running: list[WireRunning] = field(default_factory=list)
    ended: list[WireEnded] = field(default_factory=list)
    born: Number = field(name="born", default=0)


class WorkerClient:
    """Sends orders to workers over HTTP; implements `WorkerOrders`."""

    def __init__(self, http: PlatformHttp) -> None:
        self._http = http

    async def start(self, order: StartOrder) -> OrderOutcome:
        """Start a run."""
        body = WireStart(
            task=format_key(order.task),
            run=order.run,
            spec=order.spec,
            until_ms=order.until_ms,
            fence=order.fence,
            checkpoint=order.checkpoint,
            ticket=order.ticket,
        )
        return _outcome(await self._post(order, "run-start", body))

    async def stop(self, order: StopOrder) -> OrderOutcome:
        """Stop a run."""
        body = WireStop(task=format_key(order.task), run=order.run, fence=order.fence)
        return _outcome(await self._post(order, "run-stop", body))

    async def pace(self, order: PaceOrder) -> OrderOutcome:
        """Limit the speed of a run to a percentage."""
        body = WirePace(
            task=format_key(order.task),
            run=order.run,
            percent=order.percent,
            fence=order.fence,
        )
        return _outcome(await self._post(order, "pace", body))

    async def hold(self, order: RenewalOrder) -> RenewalReply | OrderOutcome:
        """Renew a worker's lease; return its running and ended runs, or the failure."""
        body = WireHold(
            fence=order.fence,
            seen_upto=order.seen_upto,
            until_ms=order.until_ms,
            wait_ms=order.wait_ms,
        )
        reply = await self._post(
            order, "hold", body, ORDER_TIMEOUT_S + order.wait_ms / 1000
        )
        if not isinstance(reply, HttpReply) or reply.status != 200:
            return _outcome(reply)
        try:
            return _decode_hold_response(reply.body)
        except (UndecodableError, ValueError, KeyError) as error:
            log_message(
                "currantstage:worker-lists-malformed",
                worker=order.worker.worker,
                reason=str(error),
            )
            return OrderOutcome.UNKNOWN

    async def _post(
        self,
        order: StartOrder | StopOrder | PaceOrder | RenewalOrder,
        call: str,
        body: object,
        timeout_s: float = ORDER_TIMEOUT_S,
    ) -> HttpReply | CallFailure:
        return await self._http.call(
            "POST",
            f"http://{order.worker.address}/currantstage/{call}",
            timeout_s,
            body=body,
            headers={INSTANCE_HEADER: order.worker.worker},
        )


def parse_task(text: str) -> TaskKey:
    """Parse the platform's name of a task; raises `ValueError`.

    >>> parse_task("5c0e.0.1.17").number
    17
    """
    job, occurrence, step, number = text.split(".")
    return TaskKey(JobId(job), int(occurrence), int(step), int(number))


def _outcome(reply: HttpReply | CallFailure) -> OrderOutcome:
    if reply is CallFailure.REFUSED:
        return OrderOutcome.UNSENT
    if isinstance(reply, CallFailure):
        return OrderOutcome.UNKNOWN
    if reply.status == 200:
        return OrderOutcome.ACCEPTED
    if reply.status == 421:
        return OrderOutcome.OTHER_WORKER
    if reply.status in (429, 503):
        return OrderOutcome.UNHEALTHY
    if reply.status == 409:
        return REFUSAL_REASONS.get(read_reason(reply), OrderOutcome.OUTDATED)
    if reply.status == 400:
        return OrderOutcome.MALFORMED
    return OrderOutcome.UNKNOWN


def _decode_hold_response(body: bytes) -> RenewalReply:
    response = decode_json(body, WireHoldResponse)
    return RenewalReply(
        clock_ms=response.clock_ms,
        born_ms=BornMs(response.born),
        running=tuple(map(_decode_running, response.running)),
        ended=tuple(map(_decode_ended, response.ended)),
        has_more_ends=len(response.ended) >= MAX_LISTED_ENDS,
    )


def _decode_running(row: WireRunning) -> RunningTask:
    return RunningTask(
        parse_task(row.task),
        RunNumber(row.run),
        row.checkpoint,
        int(row.percent),
        row.gauge,
    )


def _decode_ended(row: WireEnded) -> EndedTask:
    return EndedTask(
        EndNumber(row.number),
        parse_task(row.task),
        RunNumber(row.run),
        END_KINDS[row.kind],
        row.checkpoint,
    )
