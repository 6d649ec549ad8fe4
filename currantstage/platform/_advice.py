"""Client of the service that advises which workers may run a step."""

from __future__ import annotations

from typing import TYPE_CHECKING

from eliot import log_message
from msgspec import Struct, field

from currantstage.platform._decoding import Amount
from currantstage.platform._http import CallFailure, PlatformHttp
from currantstage.state.jobs import Advice, Ticket, WorkerId
from currantstage.util import UndecodableError, decode_json

if TYPE_CHECKING:
    from collections.abc import Sequence

    from currantstage.state.jobs import StepKey

#: Maximum number of workers in one call.
MAX_WORKERS = 100


class _AdviceRequest(Struct, rename="pascal"):
    step: str
    workers: list[str]


class _AdviceResponse(Struct, rename="pascal"):
    good: list[tuple[str, str]] = field(default_factory=list)
    valid_ms: Amount = 1000


class AdviceClient:
    """Requests advice over HTTP; implements `AdviceSource`.

    Parameters
    ----------
    http : PlatformHttp
    address : str
        ``IP:port`` of the service.
    """

    def __init__(self, http: PlatformHttp, address: str) -> None:
        self._http = http
        self._url = f"http://{address}/currantstage/advise"

    async def advise(
        self, step: StepKey, workers: Sequence[WorkerId], timeout_s: float
    ) -> Advice | None:
        """Return the workers that may run `step`; None without a valid response."""
        request = _AdviceRequest(
            f"{step.job}.{step.occurrence}.{step.step}", list(workers[:MAX_WORKERS])
        )
        reply = await self._http.call("POST", self._url, timeout_s, body=request)
        if isinstance(reply, CallFailure) or reply.status != 200:
            log_message(
                "currantstage:advice-unavailable", job=step.job, reason=str(reply)
            )
            return None
        try:
            response = decode_json(reply.body, _AdviceResponse)
        except UndecodableError as error:
            log_message(
                "currantstage:advice-unavailable", job=step.job, reason=str(error)
            )
            return None
        return Advice(
            tuple(Ticket(WorkerId(worker), text) for worker, text in response.good),
            response.valid_ms,
        )
