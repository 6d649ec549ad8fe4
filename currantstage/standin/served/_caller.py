"""Caller that submits jobs to the daemons and asks for their states."""

from __future__ import annotations

import asyncio
from enum import Enum
from typing import TYPE_CHECKING

import aiohttp
import msgspec

from currantstage.platform.messages import (
    DEADLINE_HEADER,
    KEY_HEADER,
    WireJob,
    WireState,
    WireStep,
)
from currantstage.standin.served._site import (
    CALL_TIMEOUT_MS,
    HOST,
    path_prefix,
    team_key,
)
from currantstage.state.jobs import JobState

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from currantstage.standin.served._daemons import DaemonProcess
    from currantstage.state.jobs import Step, Submission

#: Time for which a call is repeated, and the pause between two tries, in seconds.
PATIENCE_S = 120.0
RETRY_PAUSE_S = 0.3


class CallOutcome(Enum):
    """What became of a submission."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    #: No answer to the last try: the job may have been accepted.
    UNKNOWN = "unknown"


class JobCaller:
    """Calls one daemon after another until it has an answer.

    Parameters
    ----------
    http : aiohttp.ClientSession
    daemons : sequence of DaemonProcess
    random : random.Random
    """

    def __init__(
        self,
        http: aiohttp.ClientSession,
        daemons: Sequence[DaemonProcess],
        random: random.Random,
    ) -> None:
        self._http = http
        self._daemons = daemons
        self._random = random

    async def submit(self, submission: Submission) -> CallOutcome:
        """Submit a job until it is accepted or `PATIENCE_S` have passed."""
        body = msgspec.json.encode(
            WireJob(submission.spec, list(map(_encode_step, submission.steps)))
        )
        until_s = _now_s() + PATIENCE_S
        outcome = CallOutcome.UNKNOWN
        while _now_s() < until_s:
            status, _ = await self._call("POST", submission, body)
            if status is not None and 200 <= status < 300:
                return CallOutcome.ACCEPTED
            is_refused = status in (429, 503)
            outcome = CallOutcome.REFUSED if is_refused else CallOutcome.UNKNOWN
            await asyncio.sleep(RETRY_PAUSE_S)
        return outcome

    async def show(self, submission: Submission) -> JobState | None:
        """Return a job's state; None if no daemon says it in `PATIENCE_S`."""
        until_s = _now_s() + PATIENCE_S
        while _now_s() < until_s:
            status, body = await self._call("GET", submission, None)
            if status == 200:
                return JobState(msgspec.json.decode(body, type=WireState).state)
            await asyncio.sleep(RETRY_PAUSE_S)
        return None

    async def _call(
        self, method: str, submission: Submission, body: bytes | None
    ) -> tuple[int | None, bytes]:
        """Call a daemon once; return the status, None if there was no answer."""
        daemon = self._random.choice(self._daemons)
        path = f"{path_prefix(submission.pool)}{submission.job}"
        headers = {
            "Host": HOST,
            "Content-Type": "application/json",
            KEY_HEADER: team_key(submission.team),
            DEADLINE_HEADER: str(CALL_TIMEOUT_MS),
        }
        try:
            async with self._http.request(
                method,
                f"http://{daemon.addresses.front}{path}",
                data=body,
                headers=headers,
                timeout=aiohttp.ClientTimeout(CALL_TIMEOUT_MS / 1000),
            ) as response:
                return response.status, await response.read()
        except (aiohttp.ClientError, TimeoutError):
            return None, b""


def _encode_step(step: Step) -> WireStep:
    return WireStep(
        count=step.task_count,
        cpu=step.resources.cpu_millicores,
        mem_mb=step.resources.memory_mb,
        gpu=step.resources.accelerators,
        est_runtime_ms=step.estimated_run_ms,
        after=list(step.after),
    )


def _now_s() -> float:
    return asyncio.get_running_loop().time()
