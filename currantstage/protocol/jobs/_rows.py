"""Encode and decode the stored rows of jobs, members and the scheduler's lease."""

from __future__ import annotations

from typing import TypeVar

import msgspec

from currantstage.coordination.jobs import LeaseRow, SchedulerCapacity
from currantstage.protocol._errors import ProtocolError
from currantstage.state import EntryVmId
from currantstage.state.jobs import JobProgress, Submission
from currantstage.util import UndecodableError, decode_json

UNKNOWN_CAPACITY = SchedulerCapacity()
_RecordT = TypeVar("_RecordT")


class MemberRow(msgspec.Struct, frozen=True, kw_only=True):
    """Row through which peers discover a daemon."""

    entry_vm: EntryVmId
    peer_address: str
    capacity: SchedulerCapacity = UNKNOWN_CAPACITY


def encode_row(
    record: Submission | JobProgress | LeaseRow | MemberRow,
) -> bytes:
    """Return `record` encoded for storage."""
    return msgspec.json.encode(record)


def decode_submission(value: bytes) -> Submission:
    """Decode the submission in `value`; raises `ProtocolError`."""
    return _decode(value, Submission)


def decode_progress(value: bytes) -> JobProgress:
    """Decode the progress in `value`; raises `ProtocolError`."""
    return _decode(value, JobProgress)


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
