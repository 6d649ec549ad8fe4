"""Layout of jobs and of the scheduler's lease in the store.

A job, and later its cancellation, are rows of a partition selected by the job's id; any
daemon writes them, once. The progress of jobs and the scheduler's lease are rows of one
partition that only the scheduler writes. Each of these writes is conditional on the
version of the lease and changes it, so that a write from a daemon that has lost the
lease, or a write that is applied late, has no effect.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

import msgspec
from eliot import log_message

from currantstage.application.jobs._group_writer import GroupWriter
from currantstage.protocol import ProtocolError
from currantstage.protocol.jobs import (
    MemberRow,
    decode_lease,
    decode_member,
    decode_page,
    decode_progress,
    decode_submission,
    encode_row,
)
from currantstage.state.jobs import (
    HEAD_PAGE,
    Committed,
    JobId,
    JobProgress,
    PageKey,
    RowCondition,
    RowName,
    RowWrite,
    StoredProgress,
    StoredRow,
    StoreUnavailable,
    TaskPage,
)
from currantstage.util import decode_json

if TYPE_CHECKING:
    from collections.abc import Sequence

    from currantstage.coordination.jobs import LeaseRow
    from currantstage.state import EntryVmId
    from currantstage.state.jobs import (
        PartitionedStore,
        RowPage,
        Submission,
    )

JOBS_TABLE = "jobs"
_SCHEDULER_TABLE = "scheduler"
_SCHEDULER_PARTITION = "scheduler"
_LEASE = RowName(_SCHEDULER_TABLE, _SCHEDULER_PARTITION, "lease")
_PROGRESS_TABLE = "progress"
_MEMBERS_TABLE = "members"
_WAVES_TABLE = "waves"
_CANCEL_SUFFIX = ".cancel"
#: Partitions of jobs: one for each possible first digit of a job id.
JOB_PARTITIONS = "0123456789abcdef"
#: Number of partitions that are read at once; they share the daemon's network link.
CONCURRENT_READS = 4


@dataclass(slots=True)
class StoredJob:
    """Stored rows of one job."""

    submission: Submission | None = None
    progress: JobProgress | None = None
    is_cancelled: bool = False


@dataclass(frozen=True, slots=True)
class JobChanges:
    """Jobs and cancellations as of a version of the store."""

    submissions: tuple[Submission, ...]
    cancelled: tuple[JobId, ...]
    version: int


@dataclass(frozen=True, slots=True)
class StoredLease:
    """The scheduler's lease as read from the store; version zero if there is none."""

    row: LeaseRow | None
    version: int


class JobPlace(Enum):
    """Partition of a job: its own, or an alternate one if that is unavailable."""

    OWN = "own"
    ALTERNATE = "alternate"


class JobRepository:
    """Reads and writes jobs, waves, members and the lease.

    Every method raises `StoreUnavailable` if the store fails.

    Parameters
    ----------
    store : PartitionedStore
    """

    def __init__(self, store: PartitionedStore) -> None:
        self._store = store
        self._writer = GroupWriter(store)

    async def submit(self, submission: Submission, place: JobPlace) -> None:
        """Store a job unless it is already stored at `place`."""
        name = _job_row(submission.job, place)
        await self._writer.write_if_absent(name, encode_row(submission))

    async def cancel(self, job: JobId, place: JobPlace) -> None:
        """Store the cancellation of a job unless it is already stored at `place`."""
        await self._writer.write_if_absent(_cancel_row(job, place), b"{}")

    async def read_job(self, job: JobId) -> StoredJob:
        """Return the stored rows of one job."""
        failure: StoreUnavailable | None = None
        for place in JobPlace:
            try:
                page = await self._store.read(JOBS_TABLE, _partition(job, place), job)
            except StoreUnavailable as error:
                failure = error
                continue
            changes = _decode_changes(page.rows, page.version)
            for submission in changes.submissions:
                return StoredJob(
                    submission,
                    await self._read_head(job),
                    is_cancelled=job in changes.cancelled,
                )
        if failure is not None:
            raise failure
        return StoredJob()

    async def read_jobs(self) -> JobChanges:
        """Return all jobs and cancellations."""
        pages: list[RowPage] = []
        for first in range(0, len(JOB_PARTITIONS), CONCURRENT_READS):
            partitions = JOB_PARTITIONS[first : first + CONCURRENT_READS]
            pages += await asyncio.gather(
                *(self._store.read(JOBS_TABLE, each) for each in partitions)
            )
        rows = [row for page in pages for row in page.rows]
        return _decode_changes(rows, min(page.version for page in pages))

    async def read_progress(self) -> dict[JobId, StoredProgress]:
        """Return the progress of all jobs."""
        page = await self._store.read(_PROGRESS_TABLE, _SCHEDULER_PARTITION)
        return StoredProgress.by_job(_decode_progress_rows(page.rows))

    async def job_changes(self, after: int, wait_ms: int) -> JobChanges | None:
        """Return the changes since `after`; None if that history is unavailable."""
        page = await self._store.changes(JOBS_TABLE, after, wait_ms)
        return _decode_changes(page.rows, page.version) if page else None

    async def read_lease(self) -> StoredLease:
        """Return the scheduler's lease."""
        page = await self._store.read(
            _SCHEDULER_TABLE, _SCHEDULER_PARTITION, _LEASE.key
        )
        return _decode_lease_row(page.rows)

    async def write_lease(
        self,
        lease: LeaseRow,
        expected_version: int,
        progress: Sequence[JobProgress | TaskPage] = (),
        removed: Sequence[PageKey] = (),
    ) -> int | StoredLease:
        """Write the lease together with progress; return the lease's new version.

        If the lease has changed, nothing is written, and the stored one is returned.
        """
        writes = [RowWrite(_LEASE, encode_row(lease))]
        writes.extend(
            RowWrite(_progress_row(each.key), encode_row(each)) for each in progress
        )
        writes.extend(RowWrite(_progress_row(key), None) for key in removed)
        outcome = await self._store.transact(
            (RowCondition(_LEASE, expected_version),), writes
        )
        if isinstance(outcome, Committed):
            return outcome.version
        return _decode_lease_row(outcome.rows)

    async def _read_head(self, job: JobId) -> JobProgress | None:
        name = _progress_row(PageKey(job, HEAD_PAGE))
        row = await self._store.read_row(name)
        if row is None:
            return None
        heads = _decode_progress_rows((row,))
        return next((each for each in heads if isinstance(each, JobProgress)), None)

    async def remove_job(self, job: JobId) -> None:
        """Remove an ended job and its cancellation, from both places."""
        for place in JobPlace:
            names = (_job_row(job, place), _cancel_row(job, place))
            await self._store.transact((), [RowWrite(name, None) for name in names])

    async def write_wave(self, wave: int, done: Sequence[str]) -> None:
        """Store the VMs of a wave that have been maintained."""
        name = RowName(_WAVES_TABLE, "", str(wave))
        await self._store.transact((), (RowWrite(name, msgspec.json.encode(done)),))

    async def read_wave(self, wave: int) -> tuple[str, ...]:
        """Return the VMs of a wave that are stored as maintained."""
        page = await self._store.read(_WAVES_TABLE, "", str(wave))
        for row in page.rows:
            if row.name.key == str(wave) and row.value is not None:
                return tuple(decode_json(row.value, list[str]))
        return ()

    async def join(self, member: MemberRow) -> None:
        """Add a daemon to the members, so that its peers find it."""
        name = RowName(_MEMBERS_TABLE, "", member.entry_vm)
        await self._store.transact((), (RowWrite(name, encode_row(member)),))

    async def leave(self, entry_vm: EntryVmId) -> None:
        """Remove a daemon from the members."""
        name = RowName(_MEMBERS_TABLE, "", entry_vm)
        await self._store.transact((), (RowWrite(name, None),))

    async def read_members(self) -> tuple[MemberRow, ...]:
        """Return the daemons that have joined."""
        page = await self._store.read(_MEMBERS_TABLE, "")
        members = []
        for row in page.rows:
            try:
                members.append(decode_member(row.value or b""))
            except ProtocolError as error:
                _log_malformed(row, error)
        return tuple(members)


def _partition(job: JobId, place: JobPlace) -> str:
    own = JOB_PARTITIONS.index(job[0].lower())
    step = len(JOB_PARTITIONS) // 2 if place is JobPlace.ALTERNATE else 0
    return JOB_PARTITIONS[(own + step) % len(JOB_PARTITIONS)]


def _job_row(job: JobId, place: JobPlace) -> RowName:
    return RowName(JOBS_TABLE, _partition(job, place), job)


def _cancel_row(job: JobId, place: JobPlace) -> RowName:
    return RowName(JOBS_TABLE, _partition(job, place), job + _CANCEL_SUFFIX)


def _progress_row(page: PageKey) -> RowName:
    key = page.job if page.first == HEAD_PAGE else f"{page.job}.{page.first}"
    return RowName(_PROGRESS_TABLE, _SCHEDULER_PARTITION, key)


def _decode_changes(rows: Sequence[StoredRow], version: int) -> JobChanges:
    # A job that is stored in both of its partitions counts once.
    submissions: dict[JobId, Submission] = {}
    cancelled = []
    for row in rows:
        if row.value is None:
            continue
        if row.name.key.endswith(_CANCEL_SUFFIX):
            cancelled.append(JobId(row.name.key.removesuffix(_CANCEL_SUFFIX)))
            continue
        try:
            submission = decode_submission(row.value)
        except ProtocolError as error:
            _log_malformed(row, error)
            continue
        submissions[submission.job] = submission
    return JobChanges(tuple(submissions.values()), tuple(cancelled), version)


def _decode_progress_rows(
    rows: Sequence[StoredRow],
) -> list[JobProgress | TaskPage]:
    progress: list[JobProgress | TaskPage] = []
    for row in rows:
        decode = decode_page if "." in row.name.key else decode_progress
        try:
            progress.append(decode(row.value or b""))
        except ProtocolError as error:
            _log_malformed(row, error)
    return progress


def _decode_lease_row(rows: Sequence[StoredRow]) -> StoredLease:
    for row in rows:
        if row.name == _LEASE and row.value is not None:
            return StoredLease(decode_lease(row.value), row.version)
    return StoredLease(None, 0)


def _log_malformed(row: StoredRow, error: ProtocolError) -> None:
    log_message(
        "currantstage:row-malformed",
        table=row.name.table,
        key=row.name.key,
        reason=str(error),
    )
