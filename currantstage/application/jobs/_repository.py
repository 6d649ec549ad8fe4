"""Where jobs are kept in the store, and how they are written.

A job, and later its cancelling, are rows of a partition that the job's id selects; any
daemon writes them, once. Their progress and the scheduler's lease are rows of one
partition that only the scheduler writes: each of its writes states the version that the
lease must have and changes it, so that a write of a daemon that has lost the lease, or
one that takes effect late, does nothing.
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
    decode_progress,
    decode_submission,
    encode_row,
)
from currantstage.state.jobs import (
    Committed,
    JobId,
    RowCondition,
    RowName,
    RowWrite,
    StoredRow,
    StoreUnavailable,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from currantstage.coordination.jobs import LeaseRow
    from currantstage.state import EntryVmId
    from currantstage.state.jobs import JobProgress, PartitionedStore, Submission

JOBS_TABLE = "jobs"
_SCHEDULER_TABLE = "scheduler"
_SCHEDULER_PARTITION = "scheduler"
_LEASE = RowName(_SCHEDULER_TABLE, _SCHEDULER_PARTITION, "lease")
_PROGRESS_TABLE = "progress"
_MEMBERS_TABLE = "members"
_WAVES_TABLE = "waves"
_CANCEL_SUFFIX = ".cancel"
#: Partitions of jobs: one for each first digit of an id.
JOB_PARTITIONS = "0123456789abcdef"


@dataclass(slots=True)
class StoredJob:
    """What the store holds of one job."""

    submission: Submission | None = None
    progress: JobProgress | None = None
    is_cancelled: bool = False


@dataclass(frozen=True, slots=True)
class JobChanges:
    """Jobs and cancellations, and the version of the store that they are as of."""

    submissions: tuple[Submission, ...]
    cancelled: tuple[JobId, ...]
    version: int


@dataclass(frozen=True, slots=True)
class StoredLease:
    """The scheduler's lease as it was read; version zero if there is none."""

    row: LeaseRow | None
    version: int


class JobPlace(Enum):
    """Where a job is stored: in its own partition, or in another if that is away."""

    OWN = "own"
    ALTERNATE = "alternate"


class JobRepository:
    """Reads and writes jobs; every method raises `StoreUnavailable`.

    Parameters
    ----------
    store : PartitionedStore
    """

    def __init__(self, store: PartitionedStore) -> None:
        self._store = store
        self._once = GroupWriter(store)

    async def submit(self, submission: Submission, place: JobPlace) -> None:
        """Store a job, unless it is stored there already."""
        name = _job_row(submission.job, place)
        await self._once.write_once(name, encode_row(submission))

    async def cancel(self, job: JobId, place: JobPlace) -> None:
        """Store the cancelling of a job, unless it is stored there already."""
        await self._once.write_once(_cancel_row(job, place), b"{}")

    async def read_job(self, job: JobId) -> StoredJob:
        """Return everything that is stored of one job."""
        failure: StoreUnavailable | None = None
        for place in JobPlace:
            try:
                page = await self._store.read(JOBS_TABLE, _partition(job, place), job)
            except StoreUnavailable as error:
                failure = error
                continue
            changes = _changes(page.rows, page.version)
            for submission in changes.submissions:
                progress = await self._store.read(
                    _PROGRESS_TABLE, _SCHEDULER_PARTITION, job
                )
                return StoredJob(
                    submission,
                    next(iter(_progress_rows(progress.rows)), None),
                    is_cancelled=job in changes.cancelled,
                )
        if failure is not None:
            raise failure
        return StoredJob()

    async def read_jobs(self) -> JobChanges:
        """Return all jobs and cancellations."""
        pages = await asyncio.gather(
            *(self._store.read(JOBS_TABLE, each) for each in JOB_PARTITIONS)
        )
        rows = [row for page in pages for row in page.rows]
        return _changes(rows, min(page.version for page in pages))

    async def read_progress(self) -> tuple[JobProgress, ...]:
        """Return the progress of all jobs."""
        page = await self._store.read(_PROGRESS_TABLE, _SCHEDULER_PARTITION)
        return tuple(_progress_rows(page.rows))

    async def job_changes(self, after: int, wait_ms: int) -> JobChanges | None:
        """Return what has changed since `after`; None if that history is gone."""
        page = await self._store.changes(JOBS_TABLE, after, wait_ms)
        return _changes(page.rows, page.version) if page else None

    async def read_lease(self) -> StoredLease:
        """Return the scheduler's lease."""
        page = await self._store.read(
            _SCHEDULER_TABLE, _SCHEDULER_PARTITION, _LEASE.key
        )
        return _stored_lease(page.rows)

    async def write_lease(
        self,
        lease: LeaseRow,
        expected_version: int,
        progress: Sequence[JobProgress] = (),
        removed: Sequence[JobId] = (),
    ) -> int | StoredLease:
        """Write the lease, and with it progress; return the lease's new version.

        A `StoredLease` is returned, and nothing done, if the lease had changed.
        """
        writes = [RowWrite(_LEASE, encode_row(lease))]
        writes.extend(
            RowWrite(_progress_row(each.job), encode_row(each)) for each in progress
        )
        writes.extend(RowWrite(_progress_row(job), None) for job in removed)
        outcome = await self._store.transact(
            (RowCondition(_LEASE, expected_version),), writes
        )
        if isinstance(outcome, Committed):
            return outcome.version
        return _stored_lease(outcome.rows)

    async def remove_job(self, job: JobId) -> None:
        """Remove a job that has ended long ago."""
        for place in JobPlace:
            names = (_job_row(job, place), _cancel_row(job, place))
            await self._store.transact((), [RowWrite(name, None) for name in names])

    async def write_wave(self, wave: int, done: Sequence[str]) -> None:
        """Record which VMs of a wave have been maintained."""
        name = RowName(_WAVES_TABLE, "", str(wave))
        await self._store.transact((), (RowWrite(name, msgspec.json.encode(done)),))

    async def read_wave(self, wave: int) -> tuple[str, ...]:
        """Return the VMs of a wave that are on record as maintained."""
        page = await self._store.read(_WAVES_TABLE, "", str(wave))
        for row in page.rows:
            if row.name.key == str(wave) and row.value is not None:
                return tuple(msgspec.json.decode(row.value, type=list[str]))
        return ()

    async def join(self, member: MemberRow) -> None:
        """Record a daemon, so that its peers find it."""
        name = RowName(_MEMBERS_TABLE, "", member.entry_vm)
        await self._store.transact((), (RowWrite(name, encode_row(member)),))

    async def leave(self, entry_vm: EntryVmId) -> None:
        """Remove a daemon's record."""
        name = RowName(_MEMBERS_TABLE, "", entry_vm)
        await self._store.transact((), (RowWrite(name, None),))

    async def read_members(self) -> tuple[MemberRow, ...]:
        """Return the daemons on record."""
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


def _progress_row(job: JobId) -> RowName:
    return RowName(_PROGRESS_TABLE, _SCHEDULER_PARTITION, job)


def _changes(rows: Sequence[StoredRow], version: int) -> JobChanges:
    # A job that is stored in both of its partitions is one job.
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


def _progress_rows(rows: Sequence[StoredRow]) -> list[JobProgress]:
    progress = []
    for row in rows:
        try:
            progress.append(decode_progress(row.value or b""))
        except ProtocolError as error:
            _log_malformed(row, error)
    return progress


def _stored_lease(rows: Sequence[StoredRow]) -> StoredLease:
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
