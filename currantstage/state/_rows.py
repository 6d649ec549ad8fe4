"""Rows of the platform's table service and the names under which they stand."""

from __future__ import annotations

from typing import TypeAlias

from msgspec import Struct

from currantstage.state._allotment_rows import HolderRow, LedgerRow
from currantstage.state._fleet import Fleet
from currantstage.state._ids import (
    AttemptId,
    DataCentreId,
    EntryVmId,
    Generation,
    IncarnationId,
    NoteId,
    ObjectName,
    RowKey,
    RowVersion,
)
from currantstage.state._notes import ReleaseNote

HEAD_KEY = RowKey("head")
ENTRY_VM_PREFIX = RowKey("entry-vm/")
NOTE_PREFIX = RowKey("note/")


class HeadRow(Struct, frozen=True, kw_only=True, tag="head"):
    """The newest committed generation and the object that holds it."""

    generation: Generation
    note_id: NoteId
    object_name: ObjectName


class NoteRow(Struct, frozen=True, kw_only=True, tag="note"):
    """The generation that a release note made, found by the note's identifier."""

    note_id: NoteId
    generation: Generation
    object_name: ObjectName
    digest: str


class EntryVmRow(Struct, frozen=True, kw_only=True, tag="entry-vm"):
    """Membership of an entry VM and the generation that it has applied."""

    entry_vm: EntryVmId
    incarnation: IncarnationId
    data_centre: DataCentreId
    http_address: str
    peer_address: str
    applied_generation: Generation


Record: TypeAlias = HeadRow | NoteRow | EntryVmRow | LedgerRow | HolderRow


class StoredGeneration(Struct, frozen=True, kw_only=True):
    """The immutable object of one generation: the note and the snapshot it made."""

    note: ReleaseNote
    fleet: Fleet


class VersionedRow(Struct, frozen=True, kw_only=True):
    """A row as the table service returns it."""

    key: RowKey
    version: RowVersion
    attempt: AttemptId
    record: Record


class RowWrite(Struct, frozen=True, kw_only=True):
    """One conditional write of a transaction.

    Parameters
    ----------
    key : RowKey
    expected_version : RowVersion
        Version that the row must still have; ``ABSENT`` creates the row.
    record : Record or None
        New content; None deletes the row.
    """

    key: RowKey
    expected_version: RowVersion
    record: Record | None


class TransactionOutcome(Struct, frozen=True, kw_only=True):
    """Whether a transaction was applied, and the first row that differed if not."""

    is_applied: bool
    conflicting_key: RowKey | None = None


def entry_vm_key(entry_vm: EntryVmId) -> RowKey:
    """Return the key of the membership row of `entry_vm`.

    >>> entry_vm_key(EntryVmId("a1"))
    'entry-vm/a1'
    """
    return RowKey(f"{ENTRY_VM_PREFIX}{entry_vm}")


def note_key(note_id: NoteId) -> RowKey:
    """Return the key of the row that records the release note `note_id`."""
    return RowKey(f"{NOTE_PREFIX}{note_id}")
