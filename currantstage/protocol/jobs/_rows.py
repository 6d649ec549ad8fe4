"""Encode and decode the stored rows of jobs, members and the scheduler's lease."""

from __future__ import annotations

from typing import TypeVar

import msgspec

from currantstage.coordination.jobs import LeaseRow, SchedulerCapacity
from currantstage.protocol._errors import ProtocolError
from currantstage.state import EntryVmId
from currantstage.state.jobs import (
    JobProgress,
    TaskPage,
    TaskPhase,
    TaskProgress,
)
from currantstage.util import UndecodableError, decode_json

UNKNOWN_CAPACITY = SchedulerCapacity()
#: Entry in the head of a divided job that names no step. A daemon that doesn't know of
#: other pages fails to load the job, and with it its term, instead of starting again
#: the tasks that it doesn't see.
_DIVISION_MARK = TaskProgress(
    occurrence=0, step=2**31 - 1, index=0, phase=TaskPhase.WAITING
)
_RecordT = TypeVar("_RecordT")


class MemberRow(msgspec.Struct, frozen=True, kw_only=True):
    """Row through which peers discover a daemon."""

    entry_vm: EntryVmId
    peer_address: str
    capacity: SchedulerCapacity = UNKNOWN_CAPACITY


def encode_row(
    record: JobProgress | TaskPage | LeaseRow | MemberRow,
) -> bytes:
    """Return `record` encoded for storage."""
    if type(record) is JobProgress and record.is_divided:
        marked = (*record.tasks, _DIVISION_MARK)
        record = msgspec.structs.replace(record, tasks=marked)
    return msgspec.json.encode(record)


def decode_progress(value: bytes) -> JobProgress:
    """Decode the head of a job's progress in `value`; raises `ProtocolError`."""
    progress = _decode(value, JobProgress)
    if not progress.is_divided:
        return progress
    tasks = tuple(each for each in progress.tasks if each != _DIVISION_MARK)
    return msgspec.structs.replace(progress, tasks=tasks)


def decode_page(value: bytes) -> TaskPage:
    """Decode the page of progress in `value`; raises `ProtocolError`."""
    return _decode(value, TaskPage)


def decode_lease(value: bytes) -> LeaseRow:
    """Decode the lease in `value`; raises `ProtocolError`."""
    return _decode(value, LeaseRow)


def decode_member(value: bytes) -> MemberRow:
    """Decode the member in `value`; raises `ProtocolError`."""
    return _decode(value, MemberRow)


def _decode(value: bytes, record_type: type[_RecordT]) -> _RecordT:
    try:
        return decode_json(value, record_type)
    except UndecodableError as error:
        raise ProtocolError(str(error)) from error
