"""The platform's front for callers: its paths, headers, bodies and statuses."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec
from msgspec import Struct
from returns.result import Failure
from sanic import HTTPResponse

from currantstage.platform._decoding import DecodingError, decode_job
from currantstage.protocol.jobs import STATUS_OF_REFUSAL, CallRefusal
from currantstage.state.jobs import JobId, is_job_id

if TYPE_CHECKING:
    from collections.abc import Callable

    from sanic import Request, Sanic

    from currantstage.protocol.jobs import AdmittedCall, JobService
    from currantstage.transport import InFlightCounter

KEY_HEADER = "X-Currantstage-Credential"
DEADLINE_HEADER = "X-Currantstage-Deadline-Ms"
READINESS_PATH = "/currantstage/readyz"

_UNAVAILABLE = 503


class _State(Struct, rename="pascal"):
    state: str


class _Waiting(Struct, rename="pascal"):
    waiting: int


def add_front_routes(
    app: Sanic[Any, Any], calls: JobService, in_flight: InFlightCounter
) -> None:
    """Serve callers by `calls`, counted by `in_flight`."""

    async def handle(request: Request, path: str = "") -> HTTPResponse:
        with in_flight:
            response = await _handle(request, calls)
        if response.status == _UNAVAILABLE:
            response.headers["retry-after"] = str(calls.retry_after_s())
        return response

    methods = ["GET", "POST", "DELETE"]
    app.add_route(handle, "/", methods=methods, name="front-root")
    app.add_route(handle, "/<path:path>", methods=methods, name="front")


def add_readiness_route(app: Sanic[Any, Any], is_ready: Callable[[], bool]) -> None:
    """Tell the platform whether new connections are welcome."""

    async def handle(_: Request) -> HTTPResponse:
        return HTTPResponse("", 200 if is_ready() else 503)

    app.add_route(handle, READINESS_PATH, methods=["GET"], name="readiness")


async def _handle(request: Request, calls: JobService) -> HTTPResponse:
    host = request.headers.get("host", "").partition(":")[0].lower()
    routed = calls.route(host, request.path)
    if isinstance(routed, Failure):
        return _refused(routed.failure())
    queue = routed.unwrap()
    admitted = calls.admit(
        queue, request.headers.get(KEY_HEADER, ""), _deadline_ms(request)
    )
    if isinstance(admitted, Failure):
        return _refused(admitted.failure())
    call = admitted.unwrap()
    rest = request.path[len(queue.path_prefix) :]
    if not rest and request.method == "GET":
        return await _count_waiting(call, calls)
    if not is_job_id(rest):
        return _refused(CallRefusal.NO_SUCH_QUEUE)
    return await _handle_job(request, calls, call, JobId(rest))


async def _handle_job(
    request: Request, calls: JobService, call: AdmittedCall, job: JobId
) -> HTTPResponse:
    if request.method == "POST":
        try:
            body = decode_job(request.body)
        except DecodingError:
            return _refused(CallRefusal.MALFORMED)
        return _done(await calls.submit(call, job, body))
    if request.method == "DELETE":
        return _done(await calls.cancel(call, job))
    state = await calls.show(call, job)
    if isinstance(state, CallRefusal):
        return _refused(state)
    return _json(_State(state.value))


async def _count_waiting(call: AdmittedCall, calls: JobService) -> HTTPResponse:
    count = await calls.count_waiting(call)
    if isinstance(count, CallRefusal):
        return _refused(count)
    return _json(_Waiting(count))


def _deadline_ms(request: Request) -> int | None:
    text = request.headers.get(DEADLINE_HEADER, "")
    return int(text) if text.isdigit() else None


def _done(refusal: CallRefusal | None) -> HTTPResponse:
    return _json(msgspec.Raw(b"{}")) if refusal is None else _refused(refusal)


def _refused(refusal: CallRefusal) -> HTTPResponse:
    return HTTPResponse("", STATUS_OF_REFUSAL[refusal])


def _json(body: object) -> HTTPResponse:
    return HTTPResponse(msgspec.json.encode(body), 200, content_type="application/json")
