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
from hashlib import blake2b
from typing import TYPE_CHECKING

import msgspec

from currantstage.application.jobs._group_writer import GroupWriter
from currantstage.application.jobs._job_table_rows import (
    JOB_PARTITIONS,
    JOBS_TABLE,
    JobPlace,
    JobRows,
    cancel_row,
    job_row,
    log_malformed,
    part_row,
    partition_of,
)
from currantstage.protocol import ProtocolError
from currantstage.protocol.jobs import (
    MemberRow,
    decode_lease,
    decode_member,
    decode_page,
    decode_progress,
    encode_job,
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
from currantstage.util import UndecodableError, decode_json

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from currantstage.coordination.jobs import LeaseRow
    from currantstage.state import EntryVmId
    from currantstage.state.jobs import (
        PartitionedStore,
        RowPage,
        Submission,
    )

_SCHEDULER_TABLE = "scheduler"
_SCHEDULER_PARTITION = "scheduler"
_LEASE = RowName(_SCHEDULER_TABLE, _SCHEDULER_PARTITION, "lease")
_PROGRESS_TABLE = "progress"
_MEMBERS_TABLE = "members"
_WAVES_TABLE = "waves"
#: Beginning of a key that no row has.
_UNUSED_PREFIX = "~"
#: Number of partitions that are read at once; they share the daemon's network link.
CONCURRENT_READS = 4
#: Maximum number of rows of a wave in one write.
MAX_ROWS_PER_WRITE = 50
#: Size of the digest that stands for the name of a VM in the key of a row, in bytes.
VM_DIGEST_BYTES = 16
#: Size of the rows decoded after which other work of the event loop gets its turn.
BYTES_PER_TURN = 1024 * 1024


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
        #: Number of parts of the divided jobs that have been read.
        self._part_counts: dict[JobId, int] = {}

    async def submit(self, submission: Submission, place: JobPlace) -> None:
        """Store a job unless it is already stored at `place`.

        Raises
        ------
        StoreUnavailable
        JobTooLargeError
        """
        job = submission.job
        encoded = encode_job(submission)
        parts = [
            RowWrite(part_row(job, place, number), value)
            for number, value in enumerate(encoded.parts)
        ]
        await self._writer.write_if_absent(job_row(job, place), encoded.head, parts)

    async def cancel(self, job: JobId, place: JobPlace) -> None:
        """Store the cancellation of a job unless it is already stored at `place`."""
        await self._writer.write_if_absent(cancel_row(job, place), b"{}")

    async def read_job(self, job: JobId) -> StoredJob:
        """Return the stored rows of one job."""
        failure: StoreUnavailable | None = None
        for place in JobPlace:
            try:
                page = await self._store.read(JOBS_TABLE, partition_of(job, place), job)
            except StoreUnavailable as error:
                failure = error
                continue
            rows = await self._decode_jobs(page.rows)
            submission = rows.submissions.get(job)
            if submission is not None:
                return StoredJob(
                    submission,
                    await self._read_head(job),
                    is_cancelled=job in rows.cancelled,
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
        rows = await self._decode_jobs([row for page in pages for row in page.rows])
        return _to_changes(rows, min(page.version for page in pages))

    async def read_progress(self) -> dict[JobId, StoredProgress]:
        """Return the progress of all jobs."""
        page = await self._store.read(_PROGRESS_TABLE, _SCHEDULER_PARTITION)
        return StoredProgress.by_job(_decode_progress_rows(page.rows))

    async def check_readable(self) -> None:
        """Check that what a scheduler loads can be read, without reading any of it."""
        parts = [("", _MEMBERS_TABLE), (_SCHEDULER_PARTITION, _PROGRESS_TABLE)]
        parts += [(each, JOBS_TABLE) for each in JOB_PARTITIONS]
        await asyncio.gather(
            *(self._store.read(table, part, _UNUSED_PREFIX) for part, table in parts)
        )

    async def job_changes(self, after: int, wait_ms: int) -> JobChanges | None:
        """Return the changes since `after`; None if that history is unavailable."""
        page = await self._store.changes(JOBS_TABLE, after, wait_ms)
        if page is None:
            return None
        rows = await self._decode_jobs(page.rows)
        for job in rows.incomplete():
            # Its other parts come with the next changes, or came with earlier ones.
            stored = await self.read_job(job)
            if stored.submission is not None:
                rows.submissions[job] = stored.submission
        return _to_changes(rows, page.version)

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

    async def _decode_jobs(self, rows: Sequence[StoredRow]) -> JobRows:
        """Decode rows of jobs, and let other work have its turn if they are large."""
        decoded = JobRows()
        size_bytes = 0
        for row in rows:
            decoded.add(row)
            size_bytes += len(row.value or b"")
            if size_bytes >= BYTES_PER_TURN:
                await asyncio.sleep(0)
                size_bytes = 0
        self._part_counts |= decoded.part_counts
        return decoded

    async def _read_head(self, job: JobId) -> JobProgress | None:
        name = _progress_row(PageKey(job, HEAD_PAGE))
        row = await self._store.read_row(name)
        if row is None:
            return None
        heads = _decode_progress_rows((row,))
        return next((each for each in heads if isinstance(each, JobProgress)), None)

    async def remove_job(self, job: JobId) -> None:
        """Remove an ended job and its cancellation, from both places."""
        part_count = self._part_counts.get(job, 0)
        for place in JobPlace:
            names = [job_row(job, place), cancel_row(job, place)]
            names += [part_row(job, place, each) for each in range(part_count)]
            await self._store.transact((), [RowWrite(name, None) for name in names])
        self._part_counts.pop(job, None)

    async def record_maintained(self, wave: int, vms: Iterable[str]) -> None:
        """Store that VMs of a wave have been maintained.

        Each has a row of its own, so that a write that takes effect late removes
        nothing that later ones have stored.
        """
        names = sorted(vms)
        for first in range(0, len(names), MAX_ROWS_PER_WRITE):
            writes = [
                RowWrite(_maintained_row(wave, vm), msgspec.json.encode([vm]))
                for vm in names[first : first + MAX_ROWS_PER_WRITE]
            ]
            await self._store.transact((), writes)

    async def read_wave(self, wave: int) -> tuple[str, ...]:
        """Return the VMs of a wave that are stored as maintained."""
        page = await self._store.read(_WAVES_TABLE, "", str(wave))
        done: set[str] = set()
        for row in page.rows:
            number, _, _ = row.name.key.partition(".")
            if number == str(wave) and row.value is not None:
                done.update(_decode_vms(row))
        return tuple(sorted(done))

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
                log_malformed(row, error)
        return tuple(members)


def _to_changes(rows: JobRows, version: int) -> JobChanges:
    submissions = tuple(rows.submissions.values())
    return JobChanges(submissions, tuple(rows.cancelled), version)


def _decode_vms(row: StoredRow) -> list[str]:
    try:
        return decode_json(row.value or b"", list[str])
    except UndecodableError as error:
        log_malformed(row, error)
        return []


def _maintained_row(wave: int, vm: str) -> RowName:
    """Return the row for a VM of a wave; the VM's name may fill a key by itself."""
    digest = blake2b(vm.encode(), digest_size=VM_DIGEST_BYTES).hexdigest()
    return RowName(_WAVES_TABLE, "", f"{wave}.{digest}")


def _progress_row(page: PageKey) -> RowName:
    key = page.job if page.first == HEAD_PAGE else f"{page.job}.{page.first}"
    return RowName(_PROGRESS_TABLE, _SCHEDULER_PARTITION, key)


def _decode_progress_rows(
    rows: Sequence[StoredRow],
) -> list[JobProgress | TaskPage]:
    progress: list[JobProgress | TaskPage] = []
    for row in rows:
        decode = decode_page if "." in row.name.key else decode_progress
        try:
            progress.append(decode(row.value or b""))
        except ProtocolError as error:
            log_malformed(row, error)
    return progress


def _decode_lease_row(rows: Sequence[StoredRow]) -> StoredLease:
    for row in rows:
        if row.name == _LEASE and row.value is not None:
            return StoredLease(decode_lease(row.value), row.version)
    return StoredLease(None, 0)
