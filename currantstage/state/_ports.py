"""Interfaces to external services, implemented by the transport layer."""

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
    """Status of a VM in the platform's eventually consistent list."""

    LIVE = "live"
    LEAVING = "leaving"


class ListedVm(Struct, frozen=True, kw_only=True):
    """Entry of the platform's eventually consistent list, which includes entry VMs."""

    vm_id: VmId
    liveness: VmLiveness


class TableService(Protocol):
    """The platform's transactional table.

    Every method raises `StoreUnavailableError` if the call was not executed, and
    `transact` raises `StoreUncertainError` if the response was lost.
    """

    async def read(self, key: RowKey) -> VersionedRow | None:
        """Return the row with the key `key`, or None if there is none."""

    async def scan(self, prefix: RowKey) -> Sequence[VersionedRow]:
        """Return the rows whose keys start with `prefix`, sorted by key."""

    async def transact(
        self, attempt: AttemptId, items: Sequence[TransactionItem]
    ) -> TransactionOutcome:
        """Apply all writes of `items`, or none if any version differs."""


class ObjectStore(Protocol):
    """The platform's store of immutable objects."""

    async def get(self, name: ObjectName) -> StoredGeneration | None:
        """Return the object named `name`, or None if there is none."""

    async def put(self, name: ObjectName, content: StoredGeneration) -> None:
        """Store `content` as `name`; repeating the call has no further effect."""

    async def list_names(self, prefix: str) -> Sequence[ObjectName]:
        """Return the object names that start with `prefix`, sorted."""

    async def delete(self, name: ObjectName) -> None:
        """Delete the object named `name`, if it exists."""


class VmDirectory(Protocol):
    """The platform's eventually consistent list of VMs."""

    async def list_vms(self) -> Sequence[ListedVm]:
        """Return the current list, which may lag by several seconds."""


class RebootStatus(Enum):
    """Status of a reboot by the platform."""

    PENDING = "pending"
    DONE = "done"


class VmRebooter(Protocol):
    """The platform's interface for rebooting drained VMs."""

    async def reboot(self, vm: VmId, ticket: RebootTicket) -> RebootStatus:
        """Reboot `vm` once for this `ticket`, and return the status of the reboot."""


class PeerLink(Protocol):
    """Sends messages to the other entry VMs, without delivery guarantee."""

    def send(self, receiver: EntryVmId, payload: bytes) -> None:
        """Pass `payload` to the connection to `receiver`, or drop it."""


class Clock(Protocol):
    """A monotonic clock."""

    def now_s(self) -> float:
        """Return the seconds since an arbitrary point in time."""


class Random(Protocol):
    """A source of random numbers; `random.Random` is one."""

    def random(self) -> float:
        """Return a random number in [0, 1)."""

    def getrandbits(self, k: int, /) -> int:
        """Return an integer with `k` random bits."""
