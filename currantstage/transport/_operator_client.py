"""HTTP client for operators' calls, used by the command line."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

import aiohttp

from currantstage.protocol import (
    OPERATOR_KEY_HEADER,
    DecodeError,
    FleetStatus,
    LoadReport,
    Members,
    NoteDiff,
    NoteReport,
    OperatorError,
    ServiceLevelReport,
    decode,
)
from currantstage.state import Fleet
from currantstage.transport._errors import OperatorCallError, OperatorRefusedError
from currantstage.transport._http_session import HttpSession

if TYPE_CHECKING:
    from currantstage.state import NoteId

T = TypeVar("T")

#: Timeout of an operators' call, in seconds.
CALL_TIMEOUT_S = 30.0
#: Statuses whose body is an `OperatorError`; other statuses have a report as body.
_REFUSED_STATUSES = frozenset({403, 404})
_FAILURE_STATUSES = frozenset({500, 503})


class OperatorClient(HttpSession):
    """Sends operators' calls to one entry VM.

    Parameters
    ----------
    url : str
        ``http://IP:port`` of the entry VM or of the load balancer.
    key : str
        The operators' key.
    """

    def __init__(self, url: str, key: str) -> None:
        super().__init__(url, {OPERATOR_KEY_HEADER: key}, CALL_TIMEOUT_S)

    async def submit_note(self, text: str) -> NoteReport:
        """Submit the note in `text`; raises `OperatorCallError`."""
        return await self._call("POST", "/v1/notes", NoteReport, text.encode())

    async def check_note(self, text: str) -> NoteReport:
        """Validate the note in `text` against the head; raises `OperatorCallError`."""
        return await self._call("POST", "/v1/checks", NoteReport, text.encode())

    async def note_diff(self, note_id: NoteId | None) -> NoteDiff:
        """Return the changes made by a note; raises `OperatorCallError`."""
        path = "/v1/changes" if note_id is None else f"/v1/changes/{note_id}"
        return await self._call("GET", path, NoteDiff)

    async def note_status(self, note_id: NoteId) -> NoteReport:
        """Return the progress of a note; raises `OperatorCallError`."""
        return await self._call("GET", f"/v1/notes/{note_id}", NoteReport)

    async def fleet(self) -> Fleet:
        """Return the fleet in force; raises `OperatorCallError`."""
        return await self._call("GET", "/v1/fleet", Fleet)

    async def fleet_status(self) -> FleetStatus:
        """Return the status of the fleet; raises `OperatorCallError`."""
        return await self._call("GET", "/v1/fleet/status", FleetStatus)

    async def service_levels(self) -> ServiceLevelReport:
        """Return the request counts of the entry VM; raises `OperatorCallError`."""
        return await self._call("GET", "/v1/service-levels", ServiceLevelReport)

    async def loads(self) -> LoadReport:
        """Return the loads by queue and team; raises `OperatorCallError`."""
        return await self._call("GET", "/v1/loads", LoadReport)

    async def members(self) -> Members:
        """Return the entry VMs that have a row; raises `OperatorCallError`."""
        return await self._call("GET", "/v1/members", Members)

    async def _call(
        self, method: str, path: str, expected: type[T], data: bytes | None = None
    ) -> T:
        assert self._session is not None
        try:
            async with self._session.request(
                method, self._url + path, data=data
            ) as response:
                body = await response.read()
        except (aiohttp.ClientError, TimeoutError) as error:
            raise OperatorCallError(f"{self._url}: {error!r}") from error
        if response.status in _REFUSED_STATUSES:
            raise OperatorRefusedError(_error_text(body))
        if response.status in _FAILURE_STATUSES:
            raise OperatorCallError(_error_text(body))
        try:
            return decode(body, expected)
        except DecodeError as error:
            raise OperatorCallError("the answer can't be read") from error


def _error_text(body: bytes) -> str:
    try:
        return decode(body, OperatorError).error
    except DecodeError:
        return "the answer can't be read"
