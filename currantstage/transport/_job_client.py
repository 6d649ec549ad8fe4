"""Client of the HTTP API for jobs."""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp

from currantstage.protocol import DecodeError
from currantstage.protocol.jobs import JOB_KEY_HEADER, JobAnswer, decode_answer
from currantstage.transport._errors import TransportError
from currantstage.transport._http_session import HttpSession

if TYPE_CHECKING:
    from currantstage.state import QueueId
    from currantstage.state.jobs import JobId

#: Timeout of a call, in seconds.
CALL_TIMEOUT_S = 5.0


class JobCallError(TransportError):
    """A call about a job received no usable response."""


class JobClient(HttpSession):
    """Submits, shows and cancels jobs through one daemon.

    Parameters
    ----------
    url : str
        ``http://IP:port`` of the daemon.
    key : str
        The team's key; empty for a queue that is open to all.
    """

    def __init__(self, url: str, key: str) -> None:
        headers = {JOB_KEY_HEADER: key} if key else {}
        super().__init__(url, headers, CALL_TIMEOUT_S)

    async def submit(self, queue: QueueId, job: JobId, body: bytes) -> JobAnswer:
        """Submit a job; the call is idempotent."""
        return await self._call("PUT", f"{queue}/jobs/{job}", body)

    async def show(self, queue: QueueId, job: JobId) -> JobAnswer:
        """Return the state of a job."""
        return await self._call("GET", f"{queue}/jobs/{job}")

    async def cancel(self, queue: QueueId, job: JobId) -> JobAnswer:
        """Cancel a job."""
        return await self._call("DELETE", f"{queue}/jobs/{job}")

    async def count_waiting(self, queue: QueueId) -> JobAnswer:
        """Return the number of jobs in a queue that have not started a task."""
        return await self._call("GET", f"{queue}/jobs")

    async def _call(
        self, method: str, path: str, body: bytes | None = None
    ) -> JobAnswer:
        assert self._session is not None
        try:
            async with self._session.request(
                method, f"{self._url}/v1/queues/{path}", data=body
            ) as response:
                return decode_answer(await response.read())
        except (aiohttp.ClientError, TimeoutError, DecodeError) as error:
            raise JobCallError(f"{self._url}: {error}") from error
