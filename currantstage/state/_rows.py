"""Rows of the platform's table service and their keys."""

from __future__ import annotations

from enum import Enum
from typing import TypeAlias

from msgspec import Struct

from currantstage.state._allotment_rows import HolderRow, LedgerRow
from currantstage.state._claim_rows import ClaimBatchRow, ClaimOwnersRow
from currantstage.state._fleet import Fleet
from currantstage.state._ids import (
    AttemptId,
    DataCentreId,
    EntryVmId,
    FencingNumber,
    Generation,
    IncarnationId,
    NoteId,
    ObjectName,
    RowKey,
    RowVersion,
)
from currantstage.state._notes import ReleaseNote
from currantstage.state._vm_rows import (
    BudgetRow,
    DrainAckRow,
    PlacementRow,
    VmRow,
    WaveRow,
)

HEAD_KEY = RowKey("head")
ACCEPTED_KEY = RowKey("accepted")
ENTRY_VM_PREFIX = RowKey("entry-vm/")
NOTE_PREFIX = RowKey("note/")
DUTY_PREFIX = RowKey("duty/")


class DutyKind(Enum):
    """Periodic fleet-wide duties, each carried out by one entry VM at a time."""

    MAINTENANCE = "maintenance"
    MOVES = "moves"
    RECLAIMING = "reclaiming"
    #: Deletes old generations and the rows of entry VM processes that have ended.
    CLEANUP = "cleanup"


class HeadRow(Struct, frozen=True, kw_only=True, tag="head"):
    """The newest committed generation and the object that stores it."""

    generation: Generation
    note_id: NoteId
    object_name: ObjectName


class NoteRow(Struct, frozen=True, kw_only=True, tag="note"):
    """The generation that a release note created, keyed by the note's identifier."""

    note_id: NoteId
    generation: Generation
    object_name: ObjectName
    digest: str


class AcceptedRow(Struct, frozen=True, kw_only=True, tag="accepted"):
    """The newest generation known to be in force everywhere; never decreases."""

    generation: Generation


class EntryVmRow(Struct, frozen=True, kw_only=True, tag="entry-vm"):
    """Membership and configuration lease of one process of an entry VM.

    Every write of this row renews the lease, and is applied only while
    `applied_generation` is the head.

    Parameters
    ----------
    entry_vm : EntryVmId
    incarnation : IncarnationId
    data_centre : DataCentreId
    http_address, peer_address : str
    applied_generation : Generation
    config_lease_s : float
        Length of the lease that this renewal started, in seconds.
    """

    entry_vm: EntryVmId
    incarnation: IncarnationId
    data_centre: DataCentreId
    http_address: str
    peer_address: str
    applied_generation: Generation
    config_lease_s: float


class DutyLeaseRow(Struct, frozen=True, kw_only=True, tag="duty-lease"):
    """The lease of a duty; every renewal changes the version of the row.

    Parameters
    ----------
    duty : DutyKind
    fencing : FencingNumber
        Incremented for each new holder.
    holder : EntryVmId or None
        None after the last holder has released the lease.
    incarnation : IncarnationId
        Identifies the holder's process.
    lease_s : float
        Time from a renewal to its expiry on the holder's clock, in seconds.
    """

    duty: DutyKind
    fencing: FencingNumber
    holder: EntryVmId | None
    incarnation: IncarnationId
    lease_s: float


class DutyFenceRow(Struct, frozen=True, kw_only=True, tag="duty-fence"):
    """The newest fencing number of a duty, written only by a new holder.

    Renewals do not write this row, so every write of a duty can check it without
    conflicting with lease renewals.
    """

    duty: DutyKind
    fencing: FencingNumber


FleetRecord: TypeAlias = VmRow | BudgetRow | PlacementRow | DrainAckRow | WaveRow
Record: TypeAlias = (
    HeadRow
    | AcceptedRow
    | NoteRow
    | EntryVmRow
    | DutyLeaseRow
    | DutyFenceRow
    | LedgerRow
    | HolderRow
    | FleetRecord
    | ClaimOwnersRow
    | ClaimBatchRow
)


class StoredGeneration(Struct, frozen=True, kw_only=True):
    """The immutable object of one generation: its note and the resulting snapshot.

    Parameters
    ----------
    note : ReleaseNote
    fleet : Fleet
    previous_object : ObjectName or None
        The object of the previous generation; None for the first one.
    """

    note: ReleaseNote
    fleet: Fleet
    previous_object: ObjectName | None = None


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


class RowCheck(Struct, frozen=True, kw_only=True):
    """A version check in a transaction on a row that it does not write.

    Parameters
    ----------
    key : RowKey
    expected_version : RowVersion
        Version that the row must still have; ``ABSENT`` means no row.
    """

    key: RowKey
    expected_version: RowVersion


TransactionItem: TypeAlias = RowWrite | RowCheck


class TransactionOutcome(Struct, frozen=True, kw_only=True):
    """Whether a transaction was applied, and otherwise the first conflicting row."""

    is_applied: bool
    conflicting_key: RowKey | None = None


def entry_vm_key(entry_vm: EntryVmId, incarnation: IncarnationId) -> RowKey:
    """Return the key of the membership row of one process of `entry_vm`.

    Each process has its own row, since the previous process may still be running.

    >>> entry_vm_key(EntryVmId("a1"), IncarnationId("5f"))
    'entry-vm/a1/5f'
    """
    return RowKey(f"{ENTRY_VM_PREFIX}{entry_vm}/{incarnation}")


def note_key(note_id: NoteId) -> RowKey:
    """Return the key of the row that records the release note `note_id`."""
    return RowKey(f"{NOTE_PREFIX}{note_id}")


def duty_lease_key(duty: DutyKind) -> RowKey:
    """Return the key of the row that holds the lease of `duty`."""
    return RowKey(f"{DUTY_PREFIX}{duty.value}/lease")


def duty_fence_key(duty: DutyKind) -> RowKey:
    """Return the key of the row that holds the newest fencing number of `duty`."""
    return RowKey(f"{DUTY_PREFIX}{duty.value}/fence")
