"""The platform's HTTP interface for callers: paths, headers, bodies and statuses."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec
from msgspec import Struct
from returns.result import Failure
from sanic import HTTPResponse

from currantstage.platform._decoding import DecodingError, decode_job
from currantstage.protocol.jobs import (
    STATUS_OF_REFUSAL,
    CallRefusal,
    RoutedTarget,
    access_of_method,
)
from currantstage.state.jobs import JobId, is_job_id
from currantstage.util import log_task_failure

if TYPE_CHECKING:
    from collections.abc import Callable

    from sanic import Request, Sanic

    from currantstage.protocol.jobs import AdmittedCall, JobService

KEY_HEADER = "X-Currantstage-Credential"
DEADLINE_HEADER = "X-Currantstage-Deadline-Ms"
READINESS_PATH = "/currantstage/readyz"

_UNAVAILABLE = 503


class WireState(Struct, rename="pascal"):
    state: str


class _Waiting(Struct, rename="pascal"):
    waiting: int


def add_front_routes(app: Sanic[Any, Any], calls: JobService) -> None:
    """Add routes that serve callers through `calls`."""

    async def handle(request: Request, path: str = "") -> HTTPResponse:
        try:
            response = await _handle(request, calls)
        except Exception as error:
            log_task_failure("front-call", error)
            response = _refusal_response(CallRefusal.IN_DOUBT)
        if response.status == _UNAVAILABLE:
            response.headers["retry-after"] = str(calls.retry_after_s())
        return response

    methods = ["GET", "POST", "DELETE"]
    app.add_route(handle, "/", methods=methods, name="front-root")
    app.add_route(handle, "/<path:path>", methods=methods, name="front")


def add_readiness_route(app: Sanic[Any, Any], is_ready: Callable[[], bool]) -> None:
    """Add the route by which the platform decides whether to send new connections."""

    async def handle(_: Request) -> HTTPResponse:
        return HTTPResponse("", 200 if is_ready() else 503)

    app.add_route(handle, READINESS_PATH, methods=["GET"], name="readiness")


async def _handle(request: Request, calls: JobService) -> HTTPResponse:
    host = request.headers.get("host", "").partition(":")[0].lower()
    admitted = await calls.admit(
        RoutedTarget(host, request.path),
        request.headers.get(KEY_HEADER, ""),
        _deadline_ms(request),
        access_of_method(request.method),
    )
    if isinstance(admitted, Failure):
        return _refusal_response(admitted.failure())
    call = admitted.unwrap()
    job_id = request.path[len(call.queue.path_prefix) :]
    if not job_id and request.method == "GET":
        return await _count_waiting(call, calls)
    if not is_job_id(job_id):
        return _refusal_response(CallRefusal.NO_SUCH_QUEUE)
    return await _handle_job(request, calls, call, JobId(job_id))


async def _handle_job(
    request: Request, calls: JobService, call: AdmittedCall, job: JobId
) -> HTTPResponse:
    if request.method == "POST":
        try:
            body = decode_job(request.body)
        except DecodingError:
            return _refusal_response(CallRefusal.MALFORMED)
        return _to_response(await calls.submit(call, job, body))
    if request.method == "DELETE":
        return _to_response(await calls.cancel(call, job))
    state = await calls.show(call, job)
    if isinstance(state, CallRefusal):
        return _refusal_response(state)
    return _json_response(WireState(state.value))


async def _count_waiting(call: AdmittedCall, calls: JobService) -> HTTPResponse:
    count = await calls.count_waiting(call)
    if isinstance(count, CallRefusal):
        return _refusal_response(count)
    return _json_response(_Waiting(count))


def _deadline_ms(request: Request) -> int | None:
    text = request.headers.get(DEADLINE_HEADER, "")
    return int(text) if text.isdigit() else None


def _to_response(refusal: CallRefusal | None) -> HTTPResponse:
    return (
        _json_response(msgspec.Raw(b"{}"))
        if refusal is None
        else _refusal_response(refusal)
    )


def _refusal_response(refusal: CallRefusal) -> HTTPResponse:
    return HTTPResponse("", STATUS_OF_REFUSAL[refusal])


def _json_response(body: object) -> HTTPResponse:
    return HTTPResponse(msgspec.json.encode(body), 200, content_type="application/json")
