"""An in-memory stand-in for the platform's table, object store and VM list."""

from __future__ import annotations

from typing import TYPE_CHECKING

from currantstage.protocol import (
    WireCheck,
    WireListing,
    WireNames,
    WireRow,
    WireRows,
    WireTransaction,
    WireWrite,
)
from currantstage.state import (
    ABSENT,
    ListedVm,
    ObjectName,
    RebootStatus,
    RebootTicket,
    RowKey,
    TransactionOutcome,
    VmId,
)

if TYPE_CHECKING:
    from collections.abc import Iterable


class PlatformContent:
    """Data of the platform: versioned rows, objects and the list of VMs.

    Versions of a key are never reused, even if its row is deleted and created again.
    """

    def __init__(self) -> None:
        self._rows: dict[str, WireRow] = {}
        self._last_version = 0
        self._objects: dict[str, bytes] = {}
        self._vms: tuple[ListedVm, ...] = ()
        #: VM of each ticket for which a reboot was requested.
        self.reboots: dict[RebootTicket, VmId] = {}

    def read(self, key: str) -> WireRows:
        """Return the row with `key`, if there is one."""
        row = self._rows.get(key)
        return WireRows(rows=() if row is None else (row,))

    def scan(self, prefix: str) -> WireRows:
        """Return the rows whose keys start with `prefix`, ordered by key."""
        keys = sorted(key for key in self._rows if key.startswith(prefix))
        return WireRows(rows=tuple(self._rows[key] for key in keys))

    def transact(self, transaction: WireTransaction) -> TransactionOutcome:
        """Apply all writes, or none if any row is not at its expected version."""
        conditions: tuple[WireWrite | WireCheck, ...]
        conditions = (*transaction.writes, *transaction.checks)
        for item in conditions:
            row = self._rows.get(item.key)
            version = ABSENT if row is None else row.version
            if version != item.expected_version:
                return TransactionOutcome(
                    is_applied=False, conflicting_key=RowKey(item.key)
                )
        self._last_version += 1
        for write in transaction.writes:
            if write.body is None:
                self._rows.pop(write.key, None)
            else:
                self._rows[write.key] = WireRow(
                    key=write.key, version=self._last_version, body=write.body
                )
        return TransactionOutcome(is_applied=True)

    def get_object(self, name: str) -> bytes | None:
        """Return the object with `name`, if there is one."""
        return self._objects.get(name)

    def put_object(self, name: str, body: bytes) -> None:
        """Store an object, unless one with this name exists already."""
        self._objects.setdefault(name, body)

    def list_names(self, prefix: str) -> WireNames:
        """Return the names of the objects that start with `prefix`."""
        names = sorted(name for name in self._objects if name.startswith(prefix))
        return WireNames(names=tuple(ObjectName(name) for name in names))

    def delete_object(self, name: str) -> None:
        """Delete an object, if there is one."""
        self._objects.pop(name, None)

    def reboot(self, vm: VmId, ticket: RebootTicket) -> RebootStatus:
        """Start one reboot per ticket; any further call reports it as done."""
        if ticket in self.reboots:
            return RebootStatus.DONE
        self.reboots[ticket] = vm
        return RebootStatus.PENDING

    def list_vms(self) -> WireListing:
        """Return the VM list."""
        return WireListing(vms=self._vms)

    def set_listing(self, vms: Iterable[ListedVm]) -> None:
        """Replace the VM list."""
        self._vms = tuple(vms)
