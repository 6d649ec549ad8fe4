"""HTTP routes for operators."""

from __future__ import annotations

import hmac
from functools import wraps
from typing import TYPE_CHECKING, Any, Protocol

from sanic import HTTPResponse

from currantstage.protocol import (
    JSON_TYPE,
    OPERATOR_KEY_HEADER,
    FleetStatus,
    LoadReport,
    NoteDiff,
    NoteReport,
    NoteState,
    OperatorError,
    encode_message,
)
from currantstage.state import NoteId
from currantstage.transport._errors import OperatorCallError

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from msgspec import Struct
    from sanic import Request, Sanic

    from currantstage.state import Fleet

_OK = 200
_FORBIDDEN = 403
_NOT_FOUND = 404
_UNAVAILABLE = 503
_STATUS_OF_NOTE_STATE = {
    NoteState.VALID: 200,
    NoteState.INVALID: 422,
    NoteState.OVERTAKEN: 409,
    NoteState.ID_TAKEN: 409,
    NoteState.COMMITTED: 202,
    NoteState.ACCEPTED: 200,
}


class OperatorService(Protocol):
    """Serves operators' calls; each raises `OperatorCallError` when it can't."""

    async def submit_note(self, text: str) -> NoteReport:
        """Commit the note in `text`, or say why nothing was changed."""

    async def check_note(self, text: str) -> NoteReport:
        """Check the note in `text` against the head, and change nothing."""

    async def note_diff(self, note_id: NoteId | None) -> NoteDiff | None:
        """Return what a note changed, the newest one if `note_id` is None."""

    async def note_status(self, note_id: NoteId) -> NoteReport | None:
        """Return how far a note has come, or None when it is not known."""

    async def fleet_in_force(self) -> Fleet:
        """Return the fleet in force at this entry VM."""


def add_operator_routes(
    app: Sanic[Any, Any], service: OperatorService, key: str
) -> None:
    """Serve operators' calls under ``/v1/``, for those who present `key`."""
    routes = _OperatorRoutes(service)
    for handler, path, method in (
        (routes.submit, "/v1/notes", "POST"),
        (routes.status, "/v1/notes/<note_id>", "GET"),
        (routes.check, "/v1/checks", "POST"),
        (routes.newest_diff, "/v1/changes", "GET"),
        (routes.diff, "/v1/changes/<note_id>", "GET"),
        (routes.fleet, "/v1/fleet", "GET"),
    ):
        name = handler.__name__
        app.add_route(require_key(handler, key), path, methods=[method], name=name)
    app.error_handler.add(OperatorCallError, _explain)


class FleetStatusService(Protocol):
    """Tells operators how the fleet is; raises `OperatorCallError` when it can't."""

    async def fleet_status(self) -> FleetStatus:
        """Return the fleet as the platform's rows have it now."""


class LoadService(Protocol):
    """Tells what the teams run and wait for at this entry VM."""

    def load_report(self) -> LoadReport:
        """Return the loads by queue and team."""


def add_load_route(app: Sanic[Any, Any], service: LoadService, key: str) -> None:
    """Serve ``GET /v1/loads`` for those who present `key`."""

    async def loads(_: Request) -> HTTPResponse:
        return json_response(service.load_report(), _OK)

    guarded = require_key(loads, key)
    app.add_route(guarded, "/v1/loads", methods=["GET"], name=loads.__name__)


def add_fleet_status_route(
    app: Sanic[Any, Any], service: FleetStatusService, key: str
) -> None:
    """Serve ``GET /v1/fleet/status`` for those who present `key`."""

    async def fleet_status(_: Request) -> HTTPResponse:
        return json_response(await service.fleet_status(), _OK)

    app.add_route(
        require_key(fleet_status, key),
        "/v1/fleet/status",
        methods=["GET"],
        name=fleet_status.__name__,
    )


class _OperatorRoutes:
    """Turns HTTP requests into calls of the service, and reports into answers."""

    def __init__(self, service: OperatorService) -> None:
        self._service = service

    async def submit(self, request: Request) -> HTTPResponse:
        return _note_response(await self._service.submit_note(_text_of(request)))

    async def check(self, request: Request) -> HTTPResponse:
        return _note_response(await self._service.check_note(_text_of(request)))

    async def status(self, _: Request, note_id: str) -> HTTPResponse:
        report = await self._service.note_status(NoteId(note_id))
        if report is None:
            return json_response(OperatorError(error=f"no note {note_id}"), _NOT_FOUND)
        return _note_response(report)

    async def diff(self, _: Request, note_id: str) -> HTTPResponse:
        return _diff_response(await self._service.note_diff(NoteId(note_id)))

    async def newest_diff(self, _: Request) -> HTTPResponse:
        return _diff_response(await self._service.note_diff(None))

    async def fleet(self, _: Request) -> HTTPResponse:
        return json_response(await self._service.fleet_in_force(), _OK)


def require_key(
    handler: Callable[..., Coroutine[Any, Any, HTTPResponse]], key: str
) -> Callable[..., Coroutine[Any, Any, HTTPResponse]]:
    """Return `handler` for requests that present `key`, and a refusal for others."""

    @wraps(handler)
    async def guarded(request: Request, **parameters: str) -> HTTPResponse:
        presented = request.headers.get(OPERATOR_KEY_HEADER, "")
        if not hmac.compare_digest(
            presented.encode(errors="surrogatepass"), key.encode()
        ):
            return json_response(
                OperatorError(error="the operators' key is wrong"), _FORBIDDEN
            )
        return await handler(request, **parameters)

    return guarded


async def _explain(_: Request, error: Exception) -> HTTPResponse:
    return json_response(OperatorError(error=str(error)), _UNAVAILABLE)


def _text_of(request: Request) -> str:
    return request.body.decode("utf-8", errors="replace")


def json_response(message: Struct, status: int) -> HTTPResponse:
    return HTTPResponse(encode_message(message), status, content_type=JSON_TYPE)


def _note_response(report: NoteReport) -> HTTPResponse:
    return json_response(report, _STATUS_OF_NOTE_STATE[report.state])


def _diff_response(diff: NoteDiff | None) -> HTTPResponse:
    if diff is None:
        return json_response(OperatorError(error="no such note any more"), _NOT_FOUND)
    return json_response(diff, _OK)
