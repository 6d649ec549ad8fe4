"""HTTP routes of the daemon: callers, operators, metrics and health."""

from __future__ import annotations

import hmac
import math
from typing import TYPE_CHECKING, Any, Protocol

from eliot import write_traceback
from msgspec.structs import replace
from returns.result import Failure
from sanic import HTTPResponse
from sanic.exceptions import (
    BadRequest,
    MethodNotAllowed,
    NotFound,
    PayloadTooLarge,
    SanicException,
)

from currantstage.coordination import Refusal, RefusalReason, Uncertain
from currantstage.protocol import (
    JSON_TYPE,
    OPERATOR_KEY_HEADER,
    OUTCOME_HEADER,
    NoteReport,
    NoteState,
    OperatorError,
    encode_message,
    read_caller_request,
    to_caller_answer,
)
from currantstage.state import NoteId, QueueId

if TYPE_CHECKING:
    from msgspec import Struct
    from sanic import Request, Sanic

    from currantstage.protocol import CallerAnswer, CallerRequest
    from currantstage.state import Fleet

_OK = 200
_STOPPING = 503
_INTERNAL_ERROR = 500
_METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"
_STATUS_OF_NOTE_STATE = {
    NoteState.INVALID: 422,
    NoteState.OVERTAKEN: 409,
    NoteState.ID_TAKEN: 409,
    NoteState.COMMITTED: 202,
    NoteState.ACCEPTED: 200,
}


class CallerService(Protocol):
    """Serves callers' requests."""

    async def serve(self, request: CallerRequest) -> CallerAnswer:
        """Return the answer to `request`."""


class OperatorService(Protocol):
    """Serves operators' calls; each raises `OperatorCallError` when it can't."""

    async def submit_note(self, text: str) -> NoteReport:
        """Commit the note in `text`, or say why nothing was changed."""

    async def note_status(self, note_id: NoteId) -> NoteReport | None:
        """Return how far a note has come, or None when it is not known."""

    async def fleet_in_force(self) -> Fleet:
        """Return the fleet in force at this entry VM."""


class HealthService(Protocol):
    """Tells the platform's balancer and its monitoring how the daemon does."""

    def is_ready(self) -> bool:
        """Return whether new requests are welcome."""

    def render_metrics(self) -> bytes:
        """Return all metrics in the Prometheus text format."""


def add_caller_routes(app: Sanic[Any, Any], service: CallerService) -> None:
    """Serve callers' requests at ``POST /v1/queues/QUEUE``."""

    async def serve(request: Request, queue: str) -> HTTPResponse:
        read = read_caller_request(QueueId(queue), request.headers, request.body)
        if isinstance(read, Failure):
            answer = to_caller_answer(read.failure())
        else:
            answer = await service.serve(read.unwrap())
        return _caller_response(answer)

    app.add_route(serve, "/v1/queues/<queue>", methods=["POST"], name="serve")


def add_error_answers(app: Sanic[Any, Any]) -> None:
    """Let every error carry its outcome.

    What sanic refuses by itself never reached a queue. Any other error is a fault of
    the daemon, and says nothing about how far the request came.
    """

    async def refuse(_: Request, error: Exception) -> HTTPResponse:
        assert isinstance(error, SanicException)
        answer = to_caller_answer(Refusal(RefusalReason.MALFORMED))
        return _caller_response(replace(answer, status=error.status_code))

    async def fail(_: Request, error: Exception) -> HTTPResponse:
        write_traceback()
        answer = to_caller_answer(Uncertain(f"internal error: {type(error).__name__}"))
        return _caller_response(replace(answer, status=_INTERNAL_ERROR))

    app.exception(BadRequest, PayloadTooLarge, NotFound, MethodNotAllowed)(refuse)
    app.exception(Exception)(fail)


def add_operator_routes(
    app: Sanic[Any, Any], service: OperatorService, key: str
) -> None:
    """Serve operators' calls under ``/v1/``, for those who present `key`."""

    def refuse(request: Request) -> HTTPResponse | None:
        presented = request.headers.get(OPERATOR_KEY_HEADER, "")
        if hmac.compare_digest(presented.encode(errors="surrogatepass"), key.encode()):
            return None
        return _message(OperatorError(error="the operators' key is wrong"), 403)

    async def submit(request: Request) -> HTTPResponse:
        refused = refuse(request)
        if refused is not None:
            return refused
        text = request.body.decode("utf-8", errors="replace")
        return _note_response(await service.submit_note(text))

    async def status(request: Request, note_id: str) -> HTTPResponse:
        refused = refuse(request)
        if refused is not None:
            return refused
        report = await service.note_status(NoteId(note_id))
        if report is None:
            return _message(OperatorError(error=f"no note {note_id}"), 404)
        return _note_response(report)

    async def fleet(request: Request) -> HTTPResponse:
        return refuse(request) or _message(await service.fleet_in_force(), 200)

    app.add_route(submit, "/v1/notes", methods=["POST"], name="submit_note")
    app.add_route(status, "/v1/notes/<note_id>", methods=["GET"], name="note_status")
    app.add_route(fleet, "/v1/fleet", methods=["GET"], name="fleet")


def add_health_routes(app: Sanic[Any, Any], service: HealthService) -> None:
    """Serve ``/healthz`` and ``/metrics``."""

    async def healthz(_: Request) -> HTTPResponse:
        if service.is_ready():
            return HTTPResponse("ready\n", _OK)
        return HTTPResponse("stopping\n", _STOPPING)

    async def metrics(_: Request) -> HTTPResponse:
        return HTTPResponse(service.render_metrics(), 200, content_type=_METRICS_TYPE)

    app.add_route(healthz, "/healthz", methods=["GET"], name="healthz")
    app.add_route(metrics, "/metrics", methods=["GET"], name="metrics")


def _caller_response(answer: CallerAnswer) -> HTTPResponse:
    headers = {OUTCOME_HEADER: answer.outcome.value}
    if answer.retry_after_s is not None:
        headers["retry-after"] = str(math.ceil(answer.retry_after_s))
    return HTTPResponse(
        answer.body, answer.status, headers, content_type=answer.content_type
    )


def _message(message: Struct, status: int) -> HTTPResponse:
    return HTTPResponse(encode_message(message), status, content_type=JSON_TYPE)


def _note_response(report: NoteReport) -> HTTPResponse:
    return _message(report, _STATUS_OF_NOTE_STATE[report.state])
