"""Rows of an accepted job: one, or a head and parts if it is too large for one."""

from __future__ import annotations

import zlib
from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeVar

import msgspec

from currantstage.protocol._errors import ProtocolError
from currantstage.state.jobs import JobId, Submission
from currantstage.util import UndecodableError, decode_json

if TYPE_CHECKING:
    from collections.abc import Sequence

#: Maximum size of a row's value, in bytes.
MAX_ROW_BYTES = 60_000
#: Maximum size of all rows of a job, in bytes; with their base64 a call takes 1 MB.
MAX_JOB_BYTES = 700_000
#: Maximum size of a job's parts after decompression, in bytes.
MAX_DECODED_BYTES = 32 * 1024 * 1024
#: Level that compresses a job of the largest body in some 0.1 s.
_COMPRESSION_LEVEL = 3


_HeadT = TypeVar("_HeadT", bound=Submission)


class JobTooLargeError(ProtocolError):
    """A job that can't be written to the store, however often it is tried."""


class _Head(Submission, frozen=True, kw_only=True, omit_defaults=True):
    """First row of a job.

    The head of a divided job has no steps of its own, so that a daemon that doesn't
    know of parts starts nothing of it.
    """

    part_count: int = 0


@dataclass(frozen=True, slots=True)
class EncodedJob:
    """The rows of a job.

    Parameters
    ----------
    head : bytes
    parts : tuple of bytes
        Empty if the head has all of the job.
    """

    head: bytes
    parts: tuple[bytes, ...] = ()


@dataclass(frozen=True, slots=True)
class DividedJob:
    """Head of a job whose steps are in parts."""

    job: JobId
    part_count: int


def encode_job(submission: Submission) -> EncodedJob:
    """Encode a job for storage; raises `JobTooLargeError`."""
    value = msgspec.json.encode(submission)
    if len(value) <= MAX_ROW_BYTES:
        return EncodedJob(value)
    compressed = zlib.compress(value, _COMPRESSION_LEVEL)
    if len(compressed) > MAX_JOB_BYTES:
        raise JobTooLargeError(f"{len(compressed)} bytes, {MAX_JOB_BYTES} allowed")
    parts = tuple(
        compressed[first : first + MAX_ROW_BYTES]
        for first in range(0, len(compressed), MAX_ROW_BYTES)
    )
    fields = msgspec.structs.asdict(submission) | {"spec": "", "steps": ()}
    head = _Head(**fields, part_count=len(parts))
    return EncodedJob(msgspec.json.encode(head), parts)


def decode_head(value: bytes) -> Submission | DividedJob:
    """Decode the first row of a job; raises `ProtocolError`."""
    head = _decode(value, _Head)
    if head.part_count:
        return DividedJob(head.job, head.part_count)
    return _decode(value, Submission)


def join_parts(parts: Sequence[bytes]) -> Submission:
    """Decode a job from all of its parts, in order; raises `ProtocolError`."""
    decompressor = zlib.decompressobj()
    try:
        value = decompressor.decompress(b"".join(parts), MAX_DECODED_BYTES)
    except zlib.error as error:
        raise ProtocolError(str(error)) from error
    if not decompressor.eof:
        raise ProtocolError("parts are missing, or too large")
    return _decode(value, Submission)


def _decode(value: bytes, record_type: type[_HeadT]) -> _HeadT:
    try:
        return decode_json(value, record_type)
    except UndecodableError as error:
        raise ProtocolError(str(error)) from error
