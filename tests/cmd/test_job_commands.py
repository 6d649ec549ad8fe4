"""Tests of the job commands against the HTTP interface with an in-memory back end."""

from __future__ import annotations

import asyncio
import threading
from typing import TYPE_CHECKING

import pytest
from click.testing import CliRunner
from returns.result import Failure, Success

from currantstage.cmd import main
from currantstage.protocol.jobs import (
    AdmittedCall,
    CallAccess,
    CallRefusal,
    JobBody,
    QueueTarget,
)
from currantstage.state import PoolId, QueueId, TeamId
from currantstage.state.jobs import (
    ConfigurationVersion,
    JobId,
    JobQueue,
    JobState,
)
from currantstage.transport import HttpServer, add_job_routes
from tests.ports import free_addresses

if TYPE_CHECKING:
    from collections.abc import Iterator

    from returns.result import Result

    from currantstage.protocol.jobs import CallTarget

(ADDRESS,) = free_addresses(1)
JOB = "5c0e7a21d94b36f8"
QUEUE = QueueId("complaints")


class _Calls:
    """Implements `JobService` in memory, for one queue and one key."""

    def __init__(self) -> None:
        self.jobs: dict[JobId, JobBody] = {}
        self.cancelled: set[JobId] = set()

    def retry_after_s(self) -> int:
        return 3

    async def admit(
        self,
        target: CallTarget,
        key: str,
        deadline_ms: int | None,
        access: CallAccess = CallAccess.WRITE,
    ) -> Result[AdmittedCall, CallRefusal]:
        if target != QueueTarget(QUEUE):
            return Failure(CallRefusal.NO_SUCH_QUEUE)
        queue = JobQueue(queue=QUEUE, host="h", path_prefix="/", pool=PoolId("p"))
        if key != "right":
            return Failure(CallRefusal.UNKNOWN_KEY)
        return Success(
            AdmittedCall(queue, TeamId("east"), 0.0, ConfigurationVersion(1))
        )

    async def submit(
        self, call: AdmittedCall, job: JobId, body: JobBody
    ) -> CallRefusal | None:
        if body.spec == "later":
            return CallRefusal.UNAVAILABLE
        self.jobs[job] = body
        return None

    async def show(self, call: AdmittedCall, job: JobId) -> JobState | CallRefusal:
        if job not in self.jobs:
            return CallRefusal.NO_SUCH_JOB
        return JobState.CANCELLED if job in self.cancelled else JobState.RUNNING

    async def cancel(self, call: AdmittedCall, job: JobId) -> CallRefusal | None:
        if job not in self.jobs:
            return CallRefusal.NO_SUCH_JOB
        self.cancelled.add(job)
        return None

    async def count_waiting(self, call: AdmittedCall) -> int | CallRefusal:
        return len(self.jobs)


@pytest.fixture(scope="module")
def calls() -> Iterator[_Calls]:
    """Serve the job interface in another thread, as a separate process would."""
    loop = asyncio.new_event_loop()
    thread = threading.Thread(target=loop.run_forever)
    thread.start()
    served = _Calls()
    server = HttpServer("job-commands", ADDRESS, 1_000_000)
    add_job_routes(server.app, served)
    asyncio.run_coroutine_threadsafe(server.start(), loop).result(30)
    yield served
    asyncio.run_coroutine_threadsafe(server.close(), loop).result(30)
    loop.call_soon_threadsafe(loop.stop)
    thread.join()
    loop.close()


def _run(*arguments: str, body: str = "") -> tuple[int, str]:
    environment = {
        "CURRANTSTAGE_SERVER": f"http://{ADDRESS}",
        "CURRANTSTAGE_KEY": "right",
    }
    result = CliRunner(env=environment).invoke(main, ["job", *arguments], input=body)
    return result.exit_code, result.output.strip()


def test_job_is_submitted_shown_and_cancelled(calls: _Calls) -> None:
    body = '{"spec": "sort", "steps": [{"task_count": 2}]}'
    assert _run("submit", "complaints", "-", "--id", JOB, body=body) == (0, JOB)
    assert calls.jobs[JobId(JOB)].steps[0].task_count == 2
    assert _run("show", "complaints", JOB) == (0, "running")
    assert _run("waiting", "complaints") == (0, "1")
    assert _run("cancel", "complaints", JOB) == (0, "cancelled")
    assert _run("show", "complaints", JOB) == (0, "cancelled")


@pytest.mark.parametrize(
    ("arguments", "body", "status", "text"),
    [
        (("show", "complaints", "0" * 16), "", 1, "refused: no-such-job"),
        (("show", "elsewhere", JOB), "", 1, "refused: no-such-queue"),
        (("show", "complaints", JOB, "--key", "wrong"), "", 1, "refused: unknown-key"),
        (("submit", "complaints", "-"), "{}", 1, "refused: malformed"),
        (
            ("submit", "complaints", "-"),
            '{"spec": "later", "steps": [{"task_count": 1}]}',
            3,
            "refused: unavailable",
        ),
    ],
)
def test_refusals_are_printed_with_their_reason(
    calls: _Calls, arguments: tuple[str, ...], body: str, status: int, text: str
) -> None:
    assert _run(*arguments, body=body) == (status, text)


def test_malformed_job_id_is_a_usage_error() -> None:
    assert _run("show", "complaints", "short")[0] == 2


def test_unreachable_daemon_is_reported_as_unavailable() -> None:
    status, _ = _run("show", "complaints", JOB, "--server", "http://127.0.0.1:1")
    assert status == 3
