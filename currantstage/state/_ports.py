"""Interfaces to the outside, which the transport layer implements."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Protocol

from msgspec import Struct

from currantstage.state._ids import VmId

if TYPE_CHECKING:
    from collections.abc import Sequence

    from currantstage.state._ids import (
        AttemptId,
        EntryVmId,
        ObjectName,
        RebootTicket,
        RowKey,
    )
    from currantstage.state._rows import (
        StoredGeneration,
        TransactionItem,
        TransactionOutcome,
        VersionedRow,
    )


class VmLiveness(Enum):
    """What the platform's lagging list says of a VM."""

    LIVE = "live"
    LEAVING = "leaving"


class ListedVm(Struct, frozen=True, kw_only=True):
    """One line of the platform's lagging list; entry VMs are listed as well."""

    vm_id: VmId
    liveness: VmLiveness


class TableService(Protocol):
    """The platform's transactional table.

    Every method raises `StoreUnavailableError` when nothing was done, and
    `transact` raises `StoreUncertainError` when the answer was lost.
    """

    async def read(self, key: RowKey) -> VersionedRow | None:
        """Return the row under `key`, or None when there is none."""

    async def scan(self, prefix: RowKey) -> Sequence[VersionedRow]:
        """Return the rows whose keys start with `prefix`, in order of key."""

    async def transact(
        self, attempt: AttemptId, items: Sequence[TransactionItem]
    ) -> TransactionOutcome:
        """Apply all writes of `items`, or none of them when a version differs."""


class ObjectStore(Protocol):
    """The platform's store of immutable objects."""

    async def get(self, name: ObjectName) -> StoredGeneration | None:
        """Return the object under `name`, or None when there is none."""

    async def put(self, name: ObjectName, content: StoredGeneration) -> None:
        """Store `content` under `name`; repeating the call has no further effect."""

    async def list_names(self, prefix: str) -> Sequence[ObjectName]:
        """Return the names of the objects that start with `prefix`, in order."""

    async def delete(self, name: ObjectName) -> None:
        """Delete the object under `name`, if there is one."""


class VmDirectory(Protocol):
    """The platform's lagging list of VMs."""

    async def list_vms(self) -> Sequence[ListedVm]:
        """Return what the list shows now, which may be several seconds old."""


class RebootStatus(Enum):
    """How far the platform has come with a reboot."""

    PENDING = "pending"
    DONE = "done"


class VmRebooter(Protocol):
    """The platform's reboot of drained VMs."""

    async def reboot(self, vm: VmId, ticket: RebootTicket) -> RebootStatus:
        """Reboot `vm` once for this `ticket`, and tell how far that has come."""


class PeerLink(Protocol):
    """Sends messages to the other entry VMs, without promise of delivery."""

    def send(self, receiver: EntryVmId, payload: bytes) -> None:
        """Hand `payload` to the connection with `receiver`, or drop it."""


class Clock(Protocol):
    """A monotonic clock."""

    def now_s(self) -> float:
        """Return the seconds since an arbitrary start."""


class Random(Protocol):
    """A source of random numbers; `random.Random` is one."""

    def random(self) -> float:
        """Return a number in [0, 1)."""

    def getrandbits(self, k: int, /) -> int:
        """Return a number of `k` random bits."""
