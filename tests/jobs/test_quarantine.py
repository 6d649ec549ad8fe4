"""Quarantine of workers on which runs keep failing."""

from __future__ import annotations

from currantstage.coordination.jobs import WorkerState
from currantstage.state.jobs import Fence, JobId
from tests.jobs.records import entry


def _worker_state() -> WorkerState:
    return WorkerState(entry(), Fence(1), is_synced=True)


def test_worker_that_fails_several_jobs_in_a_row_is_quarantined() -> None:
    state = _worker_state()
    for job in ("a", "b", "c"):
        state.record_failure(JobId(job), now_s=1.0)
    assert not state.accepts_starts(2.0)
    assert state.accepts_starts(6.0)


def test_one_job_that_always_fails_does_not_quarantine_a_worker() -> None:
    """One job that failed on every worker put all workers into quarantine."""
    state = _worker_state()
    for _ in range(6):
        state.record_failure(JobId("hopeless"), now_s=1.0)
    assert state.accepts_starts(1.0)


def test_success_between_failures_prevents_quarantine() -> None:
    state = _worker_state()
    state.record_failure(JobId("a"), now_s=1.0)
    state.record_failure(JobId("b"), now_s=1.0)
    state.record_success()
    state.record_failure(JobId("c"), now_s=1.0)
    assert state.accepts_starts(1.0)


def test_success_in_quarantine_ends_it() -> None:
    """Jobs that fail on any worker closed workers on which others succeeded."""
    state = _worker_state()
    for job in ("a", "b", "c"):
        state.record_failure(JobId(job), now_s=1.0)
    state.record_success()
    assert state.accepts_starts(1.1)
