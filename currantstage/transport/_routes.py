"""HTTP routes for callers, metrics and health."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

from sanic import HTTPResponse

from currantstage.protocol import KEY_HEADER, OUTCOME_HEADER, CallerRequest
from currantstage.state import QueueId

if TYPE_CHECKING:
    from sanic import Request, Sanic

    from currantstage.protocol import CallerAnswer

_OK = 200
_STOPPING = 503
_DEFAULT_TYPE = "application/octet-stream"
_METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class CallerService(Protocol):
    """Serves callers' requests."""

    async def serve(self, request: CallerRequest) -> CallerAnswer:
        """Return the answer to `request`."""


class HealthService(Protocol):
    """Tells the platform's balancer and its monitoring how the daemon does."""

    def is_ready(self) -> bool:
        """Return whether new requests are welcome."""

    def render_metrics(self) -> bytes:
        """Return all metrics in the Prometheus text format."""


def add_caller_routes(app: Sanic[Any, Any], service: CallerService) -> None:
    """Serve callers' requests at ``POST /v1/queues/QUEUE``."""

    async def serve(request: Request, queue: str) -> HTTPResponse:
        answer = await service.serve(
            CallerRequest(
                queue=QueueId(queue),
                presented_key=request.headers.get(KEY_HEADER),
                content_type=request.headers.get("content-type", _DEFAULT_TYPE),
                body=request.body,
            )
        )
        headers = {OUTCOME_HEADER: answer.outcome.value}
        if answer.retry_after_s is not None:
            headers["retry-after"] = f"{answer.retry_after_s:.0f}"
        return HTTPResponse(
            answer.body, answer.status, headers, content_type=answer.content_type
        )

    app.add_route(serve, "/v1/queues/<queue>", methods=["POST"], name="serve")


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
