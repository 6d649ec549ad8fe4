"""Procedures: generators that use the platform without performing input or output.

A procedure yields typed calls one at a time, and its driver sends back the typed
replies: the daemon from the platform's real services, a test from a fake that may
lose replies. Every decision, including retries and reading back after a lost reply,
therefore runs the same code in both.
"""

from __future__ import annotations

from collections.abc import Generator
from dataclasses import dataclass
from typing import TypeAlias, TypeVar

from currantstage.state import (
    AttemptId,
    ListedVm,
    ObjectName,
    RebootStatus,
    RebootTicket,
    RowKey,
    StoredGeneration,
    TransactionItem,
    TransactionOutcome,
    VersionedRow,
    VmId,
)

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class ReadRow:
    """Read one row; the reply is `RowRead`."""

    key: RowKey


@dataclass(frozen=True, slots=True)
class ScanRows:
    """Read the rows under a prefix; the reply is `RowsScanned`."""

    prefix: RowKey


@dataclass(frozen=True, slots=True)
class Transact:
    """Apply conditional writes atomically; the reply is `Transacted`."""

    attempt: AttemptId
    items: tuple[TransactionItem, ...]


@dataclass(frozen=True, slots=True)
class GetObject:
    """Fetch an immutable object; the reply is `ObjectFetched`."""

    name: ObjectName


@dataclass(frozen=True, slots=True)
class PutObject:
    """Store an immutable object; the reply is `Done`."""

    name: ObjectName
    content: StoredGeneration


@dataclass(frozen=True, slots=True)
class ListObjects:
    """List the names of objects under a prefix; the reply is `ObjectsListed`."""

    prefix: str


@dataclass(frozen=True, slots=True)
class DeleteObject:
    """Delete an object; the reply is `Done`."""

    name: ObjectName


@dataclass(frozen=True, slots=True)
class ListVms:
    """Read the platform's VM list, which may lag; the reply is `VmsListed`."""


@dataclass(frozen=True, slots=True)
class RebootVm:
    """Reboot a VM at most once per ticket; the reply is `RebootAnswered`."""

    vm: VmId
    ticket: RebootTicket


@dataclass(frozen=True, slots=True)
class ReadUnixTime:
    """Read the time of day; the reply is `ClockRead`."""


@dataclass(frozen=True, slots=True)
class ReadClock:
    """Read the monotonic clock; the reply is `ClockRead`."""


@dataclass(frozen=True, slots=True)
class Pause:
    """Wait before the next step; the reply is `Done`."""

    duration_s: float


@dataclass(frozen=True, slots=True)
class RowRead:
    """The row, or None when it is absent."""

    row: VersionedRow | None


@dataclass(frozen=True, slots=True)
class RowsScanned:
    """The rows under the prefix, ordered by key."""

    rows: tuple[VersionedRow, ...]


@dataclass(frozen=True, slots=True)
class Transacted:
    """The outcome of a transaction."""

    outcome: TransactionOutcome


@dataclass(frozen=True, slots=True)
class ObjectFetched:
    """The object, or None when it is absent."""

    content: StoredGeneration | None


@dataclass(frozen=True, slots=True)
class ObjectsListed:
    """The names of the objects under the prefix, in order."""

    names: tuple[ObjectName, ...]


@dataclass(frozen=True, slots=True)
class VmsListed:
    """The entries of the platform's VM list, which may lag."""

    vms: tuple[ListedVm, ...]


@dataclass(frozen=True, slots=True)
class RebootAnswered:
    """Progress of a reboot on the platform."""

    status: RebootStatus


@dataclass(frozen=True, slots=True)
class ClockRead:
    """The time on the clock that was read, in seconds."""

    now_s: float


@dataclass(frozen=True, slots=True)
class Done:
    """The call took effect and returns nothing."""


@dataclass(frozen=True, slots=True)
class StoreFailed:
    """The platform's service did not reply.

    Parameters
    ----------
    may_have_applied : bool
        Whether a write may have taken effect nevertheless.
    """

    may_have_applied: bool


#: Calls to a platform service, which may fail with `StoreFailed`.
PlatformCall: TypeAlias = (
    ReadRow
    | ScanRows
    | Transact
    | GetObject
    | PutObject
    | ListObjects
    | DeleteObject
    | ListVms
    | RebootVm
)
StoreCall: TypeAlias = PlatformCall | ReadClock | ReadUnixTime | Pause
StoreReply: TypeAlias = (
    RowRead
    | RowsScanned
    | Transacted
    | ObjectFetched
    | ObjectsListed
    | VmsListed
    | RebootAnswered
    | ClockRead
    | Done
    | StoreFailed
)
Procedure: TypeAlias = Generator[StoreCall, StoreReply, T]
