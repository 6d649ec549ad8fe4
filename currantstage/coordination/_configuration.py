"""The configuration in force at one entry VM."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec.structs import replace

from currantstage.coordination._note_commit import load_head
from currantstage.state import (
    ABSENT,
    HEAD_KEY,
    EntryVmRow,
    Fleet,
    Generation,
    HeadRow,
    RowVersion,
    RowWrite,
    entry_vm_key,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from currantstage.coordination._procedures import Procedure
    from currantstage.coordination._store_access import StoreAccess
    from currantstage.state import PoolId, Vm, VmId


class Configuration:
    """Holds the newest fleet that this entry VM has applied.

    Generations never fall: an older fleet is ignored.
    """

    def __init__(self) -> None:
        self._fleet = Fleet()
        self._pools: Mapping[VmId, PoolId] | None = None
        self._serving_fleet = self._fleet

    @property
    def fleet(self) -> Fleet:
        """The fleet in force."""
        return self._fleet

    @property
    def serving_fleet(self) -> Fleet:
        """The fleet in force, with each VM in the pool in which it takes work.

        A VM changes its pool when it has been drained, not when a note says so.
        """
        return self._serving_fleet

    def takes_work(self, vm: VmId) -> bool:
        """Return whether `vm` may get new work, as far as its placement goes.

        Before the data centre has its first placement, every VM of the note may.
        """
        return self._pools is None or vm in self._pools

    def place(self, pools: Mapping[VmId, PoolId] | None) -> None:
        """Take note of the pools in which VMs of this data centre take work now."""
        self._pools = pools
        vms = {vm.vm_id: _placed(vm, pools or {}) for vm in self._fleet.vms.values()}
        self._serving_fleet = replace(self._fleet, vms=vms)

    def lacks(self, generation: Generation) -> bool:
        """Return whether `generation` is newer than the one in force."""
        return generation > self._fleet.generation

    def apply(self, fleet: Fleet) -> bool:
        """Put `fleet` in force; return False when it is not newer."""
        if not self.lacks(fleet.generation):
            return False
        self._fleet = fleet
        self.place(self._pools)
        return True


def _placed(vm: Vm, pools: Mapping[VmId, PoolId]) -> Vm:
    pool = pools.get(vm.vm_id, vm.pool)
    return vm if pool == vm.pool else replace(vm, pool=pool)


class Membership:
    """Keeps this entry VM's row at the generation that it has applied.

    Parameters
    ----------
    store : StoreAccess
    configuration : Configuration
    row : EntryVmRow
        The row's first content, with this start's new incarnation.
    """

    def __init__(
        self, store: StoreAccess, configuration: Configuration, row: EntryVmRow
    ) -> None:
        self._store = store
        self._configuration = configuration
        self._row = row
        self._version: RowVersion | None = None

    @property
    def row(self) -> EntryVmRow:
        """The row as it was last written."""
        return self._row

    def follow_head(self) -> Procedure[Generation]:
        """Apply a newer generation when there is one, then record it.

        Returns
        -------
        Generation
            The generation in force. Raises `StoreAwayError` and
            `WriteUncertainError`; the next call resumes.
        """
        row = yield from self._store.read(HEAD_KEY)
        record = None if row is None else row.record
        if isinstance(record, HeadRow) and self._configuration.lacks(record.generation):
            head = yield from load_head(self._store)
            self._configuration.apply(head.fleet)
        generation = self._configuration.fleet.generation
        if self._version is None or generation != self._row.applied_generation:
            yield from self._record(generation)
        return generation

    def leave(self) -> Procedure[None]:
        """Delete this entry VM's row, unless a newer start has taken it over."""
        key = entry_vm_key(self._row.entry_vm)
        current = yield from self._store.read(key)
        if current is None or not isinstance(current.record, EntryVmRow):
            return
        if current.record.incarnation == self._row.incarnation:
            yield from self._store.transact(
                [RowWrite(key=key, expected_version=current.version, record=None)]
            )

    def _record(self, generation: Generation) -> Procedure[None]:
        key = entry_vm_key(self._row.entry_vm)
        current = yield from self._store.read(key)
        version = ABSENT if current is None else current.version
        row = EntryVmRow(
            entry_vm=self._row.entry_vm,
            incarnation=self._row.incarnation,
            data_centre=self._row.data_centre,
            http_address=self._row.http_address,
            peer_address=self._row.peer_address,
            applied_generation=generation,
        )
        outcome = yield from self._store.transact(
            [RowWrite(key=key, expected_version=version, record=row)]
        )
        if outcome.is_applied:
            self._row = row
            self._version = RowVersion(version + 1)
