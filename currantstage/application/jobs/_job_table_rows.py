"""Names of the rows of jobs in the store, and what a set of them says."""

from __future__ import annotations

from collections import defaultdict
from enum import Enum
from typing import TYPE_CHECKING

from eliot import log_message

from currantstage.protocol import ProtocolError
from currantstage.protocol.jobs import DividedJob, decode_head, join_parts
from currantstage.state.jobs import JobId, RowName, Submission

if TYPE_CHECKING:
    from currantstage.errors import CurrantstageError
    from currantstage.state.jobs import StoredRow

JOBS_TABLE = "jobs"
#: Partitions of jobs: one for each possible first digit of a job id.
JOB_PARTITIONS = "0123456789abcdef"
_CANCEL_SUFFIX = ".cancel"
_PART_INFIX = ".part."


class JobPlace(Enum):
    """Partition of a job: its own, or an alternate one if that is unavailable."""

    OWN = "own"
    ALTERNATE = "alternate"


def partition_of(job: JobId, place: JobPlace) -> str:
    """Return the partition of a job.

    >>> partition_of(JobId("9c0e"), JobPlace.OWN)
    '9'
    """
    own = JOB_PARTITIONS.index(job[0].lower())
    step = len(JOB_PARTITIONS) // 2 if place is JobPlace.ALTERNATE else 0
    return JOB_PARTITIONS[(own + step) % len(JOB_PARTITIONS)]


def job_row(job: JobId, place: JobPlace) -> RowName:
    """Return the name of a job's first row."""
    return RowName(JOBS_TABLE, partition_of(job, place), job)


def part_row(job: JobId, place: JobPlace, number: int) -> RowName:
    """Return the name of the row of a part of a divided job."""
    key = f"{job}{_PART_INFIX}{number:03d}"
    return RowName(JOBS_TABLE, partition_of(job, place), key)


def cancel_row(job: JobId, place: JobPlace) -> RowName:
    """Return the name of the row of a job's cancellation."""
    return RowName(JOBS_TABLE, partition_of(job, place), job + _CANCEL_SUFFIX)


class JobRows:
    """What the rows of jobs that have been read say."""

    def __init__(self) -> None:
        #: Jobs that are complete; one that is stored in both partitions counts once.
        self.submissions: dict[JobId, Submission] = {}
        self.cancelled: list[JobId] = []
        #: Jobs in parts, and the number of their parts.
        self.part_counts: dict[JobId, int] = {}
        self._heads: dict[tuple[JobId, str], int] = {}
        self._parts: dict[tuple[JobId, str], dict[int, bytes]] = defaultdict(dict)

    def add(self, row: StoredRow) -> None:
        """Add a row; one that can't be decoded is logged and left out."""
        if row.value is None:
            return
        key = row.name.key
        if key.endswith(_CANCEL_SUFFIX):
            self.cancelled.append(JobId(key.removesuffix(_CANCEL_SUFFIX)))
            return
        job, infix, number = key.partition(_PART_INFIX)
        try:
            if infix:
                self._add_part(JobId(job), row.name.partition, number, row.value)
            else:
                self._add_head(decode_head(row.value), row.name.partition)
        except ProtocolError as error:
            log_malformed(row, error)

    def incomplete(self) -> list[JobId]:
        """Return the jobs some of whose parts have not been added."""
        return [job for job in self.part_counts if job not in self.submissions]

    def _add_head(self, head: Submission | DividedJob, partition: str) -> None:
        if isinstance(head, Submission):
            self.submissions[head.job] = head
            return
        count = max(head.part_count, self.part_counts.get(head.job, 0))
        self.part_counts[head.job] = count
        self._heads[head.job, partition] = head.part_count
        self._join(head.job, partition)

    def _add_part(self, job: JobId, partition: str, number: str, value: bytes) -> None:
        if not number.isdigit():
            raise ProtocolError(f"{number!r} is not the number of a part")
        self._parts[job, partition][int(number)] = value
        self._join(job, partition)

    def _join(self, job: JobId, partition: str) -> None:
        parts = self._parts[job, partition]
        is_complete = len(parts) == self._heads.get((job, partition))
        if is_complete and job not in self.submissions:
            self.submissions[job] = join_parts([parts[each] for each in sorted(parts)])


def log_malformed(row: StoredRow, error: CurrantstageError) -> None:
    """Log a row that can't be decoded."""
    log_message(
        "currantstage:row-malformed",
        table=row.name.table,
        key=row.name.key,
        reason=str(error),
    )
