"""Which jobs are accepted at all, whatever the encoding of their submission."""

from __future__ import annotations

from typing import TYPE_CHECKING

from currantstage.protocol._errors import DecodeError

if TYPE_CHECKING:
    from currantstage.protocol.jobs._calls import JobBody
    from currantstage.state.jobs import Schedule, Step

#: Largest amount of a resource, and longest duration in milliseconds.
MAX_AMOUNT = 2**31 - 1
#: Largest Unix time, in milliseconds.
MAX_UNIX_MS = 2**53
#: Most tasks of a job, over all the times that its steps run. All of them are kept in
#: the scheduler's memory.
MAX_TASKS = 100_000


def check_job(body: JobBody) -> None:
    """Check that a job can be scheduled; raises `DecodeError` with the reason.

    A job that is stored is read by every scheduler, so that one that can't be handled
    must not be accepted.
    """
    if not body.steps:
        raise DecodeError("a job has at least one step")
    for index, step in enumerate(body.steps):
        _check_step(index, step)
    if body.schedule is not None:
        _check_schedule(body.schedule)
    times = body.schedule.count if body.schedule else 1
    if times * sum(step.task_count for step in body.steps) > MAX_TASKS:
        raise DecodeError(f"a job has at most {MAX_TASKS} tasks")


def _check_step(index: int, step: Step) -> None:
    if not 0 < step.task_count <= MAX_TASKS:
        raise DecodeError(f"step {index}: a step has 1 to {MAX_TASKS} tasks")
    amounts = (
        step.resources.cpu_millicores,
        step.resources.memory_mb,
        step.resources.accelerators,
        step.estimated_run_ms,
        step.max_per_worker,
        step.target_latency_ms,
        step.max_unavailable,
    )
    if not all(0 <= amount <= MAX_AMOUNT for amount in amounts):
        raise DecodeError(f"step {index}: an amount is out of range")
    if not all(0 <= earlier < index for earlier in step.after):
        raise DecodeError(f"step {index}: comes after a step that isn't earlier")


def _check_schedule(schedule: Schedule) -> None:
    if not 0 < schedule.count <= MAX_TASKS:
        raise DecodeError(f"a job runs 1 to {MAX_TASKS} times")
    if not 0 <= schedule.start_unix_ms <= MAX_UNIX_MS:
        raise DecodeError("start is out of range")
    if not 0 <= schedule.period_ms <= MAX_UNIX_MS:
        raise DecodeError("period is out of range")
