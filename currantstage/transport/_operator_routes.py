"""HTTP routes for operators."""

from __future__ import annotations

import hmac
from functools import wraps
from typing import TYPE_CHECKING, Any, Protocol

from sanic import HTTPResponse

from currantstage.protocol import (
    JSON_CONTENT_TYPE,
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
    NoteState.CONFLICT: 409,
    NoteState.ID_TAKEN: 409,
    NoteState.COMMITTED: 202,
    NoteState.ACCEPTED: 200,
}


class OperatorService(Protocol):
    """Serves operators' calls; each raises `OperatorCallError` if it fails."""

    async def submit_note(self, text: str) -> NoteReport:
        """Commit the note in `text`, or report why it was rejected."""

    async def check_note(self, text: str) -> NoteReport:
        """Validate the note in `text` against the head, without committing it."""

    async def note_diff(self, note_id: NoteId | None) -> NoteDiff | None:
        """Return the changes made by a note, by default the newest one."""

    async def note_status(self, note_id: NoteId) -> NoteReport | None:
        """Return the progress of a note, or None if the note is not known."""

    async def fleet_in_force(self) -> Fleet:
        """Return the fleet in force at this entry VM."""


def add_operator_routes(
    app: Sanic[Any, Any], service: OperatorService, key: str
) -> None:
    """Serve operators' calls that present `key`, under ``/v1/``."""
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
        app.add_route(
            require_operator_key(handler, key), path, methods=[method], name=name
        )
    app.error_handler.add(OperatorCallError, _handle_call_error)


class FleetStatusService(Protocol):
    """Reports the status of the fleet; raises `OperatorCallError` if that fails."""

    async def fleet_status(self) -> FleetStatus:
        """Return the current status according to the platform's rows."""


class LoadService(Protocol):
    """Reports the running and waiting requests of the teams at this entry VM."""

    def load_report(self) -> LoadReport:
        """Return the loads by queue and team."""


def add_load_route(app: Sanic[Any, Any], service: LoadService, key: str) -> None:
    """Serve ``GET /v1/loads`` for calls that present `key`."""

    async def loads(_: Request) -> HTTPResponse:
        return json_response(service.load_report(), _OK)

    authenticated = require_operator_key(loads, key)
    app.add_route(authenticated, "/v1/loads", methods=["GET"], name=loads.__name__)


def add_fleet_status_route(
    app: Sanic[Any, Any], service: FleetStatusService, key: str
) -> None:
    """Serve ``GET /v1/fleet/status`` for calls that present `key`."""

    async def fleet_status(_: Request) -> HTTPResponse:
        return json_response(await service.fleet_status(), _OK)

    app.add_route(
        require_operator_key(fleet_status, key),
        "/v1/fleet/status",
        methods=["GET"],
        name=fleet_status.__name__,
    )


class _OperatorRoutes:
    """Translates HTTP requests into service calls, and reports into responses."""

    def __init__(self, service: OperatorService) -> None:
        self._service = service

    async def submit(self, request: Request) -> HTTPResponse:
        return _note_response(await self._service.submit_note(_decode_text(request)))

    async def check(self, request: Request) -> HTTPResponse:
        return _note_response(await self._service.check_note(_decode_text(request)))

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


def require_operator_key(
    handler: Callable[..., Coroutine[Any, Any, HTTPResponse]], key: str
) -> Callable[..., Coroutine[Any, Any, HTTPResponse]]:
    """Wrap `handler` so that requests without `key` are refused."""

    @wraps(handler)
    async def authenticated(request: Request, **parameters: str) -> HTTPResponse:
        presented = request.headers.get(OPERATOR_KEY_HEADER, "")
        if not hmac.compare_digest(
            presented.encode(errors="surrogatepass"), key.encode()
        ):
            return json_response(
                OperatorError(error="the operators' key is wrong"), _FORBIDDEN
            )
        return await handler(request, **parameters)

    return authenticated


async def _handle_call_error(_: Request, error: Exception) -> HTTPResponse:
    return json_response(OperatorError(error=str(error)), _UNAVAILABLE)


def _decode_text(request: Request) -> str:
    return request.body.decode("utf-8", errors="replace")


def json_response(message: Struct, status: int) -> HTTPResponse:
    return HTTPResponse(encode_message(message), status, content_type=JSON_CONTENT_TYPE)


def _note_response(report: NoteReport) -> HTTPResponse:
    return json_response(report, _STATUS_OF_NOTE_STATE[report.state])


def _diff_response(diff: NoteDiff | None) -> HTTPResponse:
    if diff is None:
        return json_response(OperatorError(error="no such note any more"), _NOT_FOUND)
    return json_response(diff, _OK)
