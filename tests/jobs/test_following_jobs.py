"""How a scheduler follows the jobs that other daemons have stored."""

from __future__ import annotations

import asyncio

import pytest

from currantstage.application.jobs._repository import JobChanges
from currantstage.application.jobs._scheduler_loader import TASKS_PER_TURN
from currantstage.application.jobs._session import SchedulerSession
from currantstage.state.jobs import JobId, Submission
from tests.jobs.records import submission
from tests.jobs.site import run_scenario, step


class _Repository:
    """Returns changes once, and then none."""

    def __init__(self, changes: JobChanges) -> None:
        self._changes = [changes]

    async def read_jobs(self) -> JobChanges:
        return JobChanges((), (), 1)

    async def job_changes(self, after: int, wait_ms: int) -> JobChanges:
        if self._changes:
            return self._changes.pop()
        await asyncio.sleep(wait_ms / 1000)
        return JobChanges((), (), after)


async def _accepted_until_cancelled(jobs: list[Submission]) -> int:
    """Return how many jobs are accepted until the first one is cancelled."""
    cancelled = jobs[0].job
    session = object.__new__(SchedulerSession)
    session._ended = asyncio.Event()
    changes = JobChanges(tuple(jobs), (cancelled,), 2)
    session._repository = _Repository(changes)  # type: ignore[assignment]
    known: set[JobId] = set()
    counts: asyncio.Queue[int] = asyncio.Queue()

    def cancel(job: JobId) -> None:
        if job in known:
            counts.put_nowait(len(known))

    def accept(job: Submission) -> None:
        known.add(job.job)

    session.accept = accept  # type: ignore[method-assign]
    session.cancel = cancel  # type: ignore[method-assign]
    following = asyncio.create_task(session._follow_jobs(1))
    count = await counts.get()
    following.cancel()
    return count


@pytest.mark.parametrize("tasks", [1, TASKS_PER_TURN])
def test_cancelled_job_is_cancelled_as_soon_as_it_is_accepted(tasks: int) -> None:
    # UNASKED: under overload a turn takes long, and the cancelling came after many.
    async def scenario() -> None:
        jobs = [submission(f"{number:016x}", step(tasks)) for number in range(200)]
        assert await _accepted_until_cancelled(jobs) == 1

    run_scenario(scenario())
