"""Stored progress of jobs: a head for each job, and pages with more of its tasks."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

from msgspec import Struct

from currantstage.state.jobs._ids import BornMs, JobId, RunNumber, WorkerId
from currantstage.state.jobs._jobs import JobState

if TYPE_CHECKING:
    from collections.abc import Iterable

#: First task of the page that is the job's head.
HEAD_PAGE = 0


class TaskPhase(Enum):
    """Stored lifecycle state of a task."""

    WAITING = "waiting"
    PLACED = "placed"
    DONE = "done"
    FAILED = "failed"


class CrashEvidence(Enum):
    """What shows that the worker of a run has crashed."""

    #: The worker was silent until the run's lease had expired; it may be cut off.
    SILENCE = "silence"
    #: The same, and its process was found to have ended later. The run may have ended
    #: by its lease before that.
    LATE_END = "late-end"
    #: Its process was found to have ended while the run's lease was in force.
    PROCESS_END = "process-end"


class CrashRecord(Struct, frozen=True, omit_defaults=True):
    """A run whose worker crashed, or may have crashed.

    Parameters
    ----------
    run : RunNumber
    was_alone : bool
        Whether no other run can have caused the crash.
    may_not_have_run : bool
        Whether the worker may have crashed before the start reached it.
    evidence : CrashEvidence
    """

    run: RunNumber
    was_alone: bool = False
    may_not_have_run: bool = False
    evidence: CrashEvidence = CrashEvidence.SILENCE

    @property
    def is_crash(self) -> bool:
        """Whether the worker's process has certainly ended."""
        return self.evidence is not CrashEvidence.SILENCE

    @property
    def is_under_run(self) -> bool:
        """Whether the worker has certainly crashed while the run was in progress."""
        is_in_lease = self.evidence is CrashEvidence.PROCESS_END
        return is_in_lease and not self.may_not_have_run


class TaskProgress(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Stored state of a task that has been placed at least once.

    Parameters
    ----------
    occurrence, step, index : int
        Key of the task within its job.
    phase : TaskPhase
    run : RunNumber
        Number of its latest run.
    worker : WorkerId
        Worker on which it is placed.
    born_ms : BornMs
        Incarnation of that worker that was known, or that has listed the run.
    is_listed : bool
        Whether that incarnation has listed the run, so that no other one can run it.
    failed_runs : tuple of RunNumber
    crashes : tuple of CrashRecord
    checkpoint : str
    """

    occurrence: int
    step: int
    index: int
    phase: TaskPhase
    run: RunNumber = RunNumber(0)
    worker: WorkerId = WorkerId("")
    born_ms: BornMs = BornMs(0)
    is_listed: bool = False
    failed_runs: tuple[RunNumber, ...] = ()
    crashes: tuple[CrashRecord, ...] = ()
    checkpoint: str = ""


class PageKey(NamedTuple):
    """A row of progress: a job, and the number of the first task in it."""

    job: JobId
    first: int


class JobProgress(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Head of a job's stored progress, with its first tasks or all of them.

    Parameters
    ----------
    job : JobId
    state : JobState
    is_started : bool
    tasks : tuple of TaskProgress
    ended_unix_ms : int
    is_divided : bool
        Whether other pages have the rest of the tasks.
    """

    job: JobId
    state: JobState
    is_started: bool = False
    tasks: tuple[TaskProgress, ...] = ()
    ended_unix_ms: int = 0
    is_divided: bool = False

    @property
    def key(self) -> PageKey:
        """The row of the head."""
        return PageKey(self.job, HEAD_PAGE)


class TaskPage(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Tasks of a job, from its task number `first` up to the next page.

    The number counts the tasks of all steps and occurrences in their order.
    """

    job: JobId
    first: int
    tasks: tuple[TaskProgress, ...] = ()

    @property
    def key(self) -> PageKey:
        """The row of the page."""
        return PageKey(self.job, self.first)


@dataclass(slots=True)
class StoredProgress:
    """All that is stored of one job's progress.

    Parameters
    ----------
    head : JobProgress or None
    pages : dict of int to TaskPage
        The other pages by their first task.
    """

    head: JobProgress | None = None
    pages: dict[int, TaskPage] = field(default_factory=dict)

    @classmethod
    def by_job(
        cls, rows: Iterable[JobProgress | TaskPage]
    ) -> dict[JobId, StoredProgress]:
        """Return what is stored of each job that `rows` belong to."""
        stored: dict[JobId, StoredProgress] = {}
        for row in rows:
            stored.setdefault(row.job, cls()).put(row)
        return stored

    def put(self, row: JobProgress | TaskPage) -> None:
        """Add a row, in place of an earlier one of the same key."""
        if isinstance(row, JobProgress):
            self.head = row
        else:
            self.pages[row.first] = row

    def rows(self) -> list[JobProgress | TaskPage]:
        """Return the head and all other pages."""
        heads = [] if self.head is None else [self.head]
        return [*heads, *self.pages.values()]
