"""Encode and decode the rows and objects of the platform's service."""

from __future__ import annotations

from typing import TypeVar

import msgspec
from msgspec import Struct

from currantstage.protocol._errors import DecodeError
from currantstage.state import (
    AttemptId,
    ListedVm,
    ObjectName,
    RebootStatus,
    Record,
    RowCheck,
    RowKey,
    RowVersion,
    RowWrite,
    StoredGeneration,
    TransactionItem,
    TransactionOutcome,
    VersionedRow,
)
from currantstage.util import UndecodableError, decode_json

T = TypeVar("T")


class WireRow(Struct, frozen=True, kw_only=True):
    """A row as sent by the table service, which does not interpret the body."""

    key: str
    version: int
    body: str


class WireRows(Struct, frozen=True, kw_only=True):
    """Response to a read or a scan."""

    rows: tuple[WireRow, ...]


class WireWrite(Struct, frozen=True, kw_only=True):
    """One conditional write; a null body deletes the row."""

    key: str
    expected_version: int
    body: str | None


class WireCheck(Struct, frozen=True, kw_only=True):
    """A version check of a row that the transaction does not write."""

    key: str
    expected_version: int


class WireTransaction(Struct, frozen=True, kw_only=True):
    """All writes and version checks of one transaction."""

    writes: tuple[WireWrite, ...]
    checks: tuple[WireCheck, ...] = ()


class WireNames(Struct, frozen=True, kw_only=True):
    """Response with the names of objects."""

    names: tuple[ObjectName, ...]


class WireListing(Struct, frozen=True, kw_only=True):
    """Response with the platform's list of VMs, which may be out of date."""

    vms: tuple[ListedVm, ...]


class WireReboot(Struct, frozen=True, kw_only=True):
    """Response with the status of a reboot."""

    status: RebootStatus


class _RowBody(Struct, frozen=True, kw_only=True):
    attempt: AttemptId
    record: Record


def encode_transaction(attempt: AttemptId, items: tuple[TransactionItem, ...]) -> bytes:
    """Return the request body of a transaction."""
    return msgspec.json.encode(
        WireTransaction(
            writes=tuple(
                WireWrite(
                    key=write.key,
                    expected_version=write.expected_version,
                    body=_encode_body(attempt, write.record),
                )
                for write in items
                if isinstance(write, RowWrite)
            ),
            checks=tuple(
                WireCheck(key=check.key, expected_version=check.expected_version)
                for check in items
                if isinstance(check, RowCheck)
            ),
        )
    )


def _encode_body(attempt: AttemptId, record: Record | None) -> str | None:
    if record is None:
        return None
    return msgspec.json.encode(_RowBody(attempt=attempt, record=record)).decode()


def decode_rows(body: bytes) -> tuple[VersionedRow, ...]:
    """Return the rows of a response; raises `DecodeError`."""
    return tuple(_to_row(row) for row in decode(body, WireRows).rows)


def _to_row(wire: WireRow) -> VersionedRow:
    content = decode(wire.body.encode(), _RowBody)
    return VersionedRow(
        key=RowKey(wire.key),
        version=RowVersion(wire.version),
        attempt=content.attempt,
        record=content.record,
    )


def decode_outcome(body: bytes) -> TransactionOutcome:
    """Return the outcome of a transaction; raises `DecodeError`."""
    return decode(body, TransactionOutcome)


def encode_generation(content: StoredGeneration) -> bytes:
    """Return the content of a generation's object as bytes."""
    return msgspec.json.encode(content)


def decode_generation(body: bytes) -> StoredGeneration:
    """Return the content of a generation's object; raises `DecodeError`."""
    return decode(body, StoredGeneration)


def decode_names(body: bytes) -> tuple[ObjectName, ...]:
    """Return the names of objects; raises `DecodeError`."""
    return decode(body, WireNames).names


def decode_listing(body: bytes) -> tuple[ListedVm, ...]:
    """Return the entries of the platform's VM list; raises `DecodeError`."""
    return decode(body, WireListing).vms


def decode_reboot(body: bytes) -> RebootStatus:
    """Return the status of a reboot; raises `DecodeError`."""
    return decode(body, WireReboot).status


def decode(body: bytes, expected: type[T]) -> T:
    """Decode the JSON message in `body`; raises `DecodeError`."""
    try:
        return decode_json(body, expected)
    except UndecodableError as error:
        raise DecodeError(str(error)) from error
