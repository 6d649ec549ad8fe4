"""HTTP routes for callers, metrics and health."""

from __future__ import annotations

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

from currantstage.coordination.requests import Refusal, RefusalReason, Uncertain
from currantstage.protocol import OUTCOME_HEADER, parse_caller_request, to_caller_answer
from currantstage.state import QueueId

if TYPE_CHECKING:
    from sanic import Request, Sanic

    from currantstage.protocol import CallerAnswer, CallerRequest

_OK = 200
_STOPPING = 503
_INTERNAL_ERROR = 500
_METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class CallerService(Protocol):
    """Serves callers' requests."""

    async def serve(self, request: CallerRequest) -> CallerAnswer:
        """Return the answer to `request`."""


class HealthService(Protocol):
    """Reports readiness to the load balancer, and metrics to the monitoring."""

    def is_ready(self) -> bool:
        """Return whether the daemon accepts new requests."""

    def render_metrics(self) -> bytes:
        """Return all metrics in the Prometheus text format."""


def add_caller_routes(app: Sanic[Any, Any], service: CallerService) -> None:
    """Serve callers' requests at ``POST /v1/queues/QUEUE``."""

    async def serve(request: Request, queue: str) -> HTTPResponse:
        parsed = parse_caller_request(QueueId(queue), request.headers, request.body)
        if isinstance(parsed, Failure):
            answer = to_caller_answer(parsed.failure())
        else:
            answer = await service.serve(parsed.unwrap())
        return _caller_response(answer)

    app.add_route(serve, "/v1/queues/<queue>", methods=["POST"], name="serve")


def add_error_handlers(app: Sanic[Any, Any]) -> None:
    """Add the outcome of the request to all error responses.

    A request refused by sanic itself never reached a queue. Any other error is a fault
    of the daemon, and leaves open whether the request was run.
    """

    async def handle_refusal(_: Request, error: Exception) -> HTTPResponse:
        assert isinstance(error, SanicException)
        answer = to_caller_answer(Refusal(RefusalReason.MALFORMED))
        return _caller_response(replace(answer, status=error.status_code))

    async def handle_failure(_: Request, error: Exception) -> HTTPResponse:
        write_traceback()
        answer = to_caller_answer(Uncertain(f"internal error: {type(error).__name__}"))
        return _caller_response(replace(answer, status=_INTERNAL_ERROR))

    app.exception(BadRequest, PayloadTooLarge, NotFound, MethodNotAllowed)(
        handle_refusal
    )
    app.exception(Exception)(handle_failure)


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
