"""Typed identifiers of jobs, tasks and workers."""

from __future__ import annotations

import string
from typing import NamedTuple, NewType

#: Identifies a job; chosen by the caller, so that retried submissions are detected.
JobId = NewType("JobId", str)
#: Identifies a worker: one lifetime of a VM that runs tasks.
WorkerId = NewType("WorkerId", str)
#: Unix time at which a worker's process started, in milliseconds; distinguishes two
#: processes with the same `WorkerId`.
BornMs = NewType("BornMs", int)
#: Number of a run of a task; increases with each start.
RunNumber = NewType("RunNumber", int)
#: Fencing token; a worker refuses orders with a lower one than it has seen.
Fence = NewType("Fence", int)
#: Term of a scheduler; increases with each daemon that acquires the lease.
Term = NewType("Term", int)
#: Sequence number of an ended run in a worker's list; starts at one per process.
EndNumber = NewType("EndNumber", int)
#: Version of the operators' configuration; increases in uneven steps.
ConfigurationVersion = NewType("ConfigurationVersion", int)

_HEX_DIGITS = frozenset(string.hexdigits)
_JOB_ID_LENGTH = 16


class StepKey(NamedTuple):
    """Identifies a step of an occurrence of a job."""

    job: JobId
    occurrence: int
    step: int


class TaskKey(NamedTuple):
    """Identifies a task."""

    job: JobId
    occurrence: int
    step: int
    number: int


def format_key(key: StepKey | TaskKey) -> str:
    """Return the name of a step or task that log lines and orders to workers have.

    >>> format_key(TaskKey(JobId("5c0e"), 0, 1, 17))
    '5c0e.0.1.17'
    """
    return ".".join(map(str, key))


def is_job_id(text: str) -> bool:
    """Return whether `text` is a valid job identifier.

    >>> is_job_id("5c0e7a21d94b36f8"), is_job_id("jobs")
    (True, False)
    """
    return len(text) == _JOB_ID_LENGTH and _HEX_DIGITS.issuperset(text)
