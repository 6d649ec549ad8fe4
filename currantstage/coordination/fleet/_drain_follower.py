"""Follow the placement of a data centre and acknowledge drains."""

from __future__ import annotations

from typing import TYPE_CHECKING

from currantstage.coordination.store._row_batch import RowBatch
from currantstage.state import DrainAckRow, PlacementRow, drain_ack_key, placement_key

if TYPE_CHECKING:
    from collections.abc import Callable

    from currantstage.coordination.store._procedures import Procedure
    from currantstage.coordination.store._store_access import StoreAccess
    from currantstage.state import (
        DataCentreId,
        DrainNumber,
        EntryVmId,
        IncarnationId,
        PoolId,
        VmId,
    )


class DrainFollower:
    """Tracks the serving VMs of each pool for one process of an entry VM.

    Parameters
    ----------
    store : StoreAccess
    data_centre : DataCentreId
    entry_vm : EntryVmId
    incarnation : IncarnationId
    """

    def __init__(
        self,
        store: StoreAccess,
        data_centre: DataCentreId,
        entry_vm: EntryVmId,
        incarnation: IncarnationId,
    ) -> None:
        self._store = store
        self._data_centre = data_centre
        self._ack = DrainAckRow(entry_vm=entry_vm, incarnation=incarnation)
        self._placement: PlacementRow | None = None

    @property
    def placement(self) -> PlacementRow | None:
        """The latest placement that was read; None if none has been read yet."""
        return self._placement

    def follow(self) -> Procedure[bool]:
        """Read the placement, and return whether it has changed.

        Raises `StoreUnreachableError`; the previous placement then stays in force.
        """
        row = yield from self._store.read(placement_key(self._data_centre))
        if row is None or not isinstance(row.record, PlacementRow):
            return False
        if self._placement is not None and row.record.number <= self._placement.number:
            return False
        self._placement = row.record
        return True

    def pools(self) -> dict[VmId, PoolId] | None:
        """Return the pool of each serving VM, or None without a placement."""
        if self._placement is None:
            return None
        return {vm: pool for pool, vms in self._placement.serving.items() for vm in vms}

    def acknowledge(self, held_requests: Callable[[VmId], int]) -> Procedure[None]:
        """Record the drains of VMs at which this entry VM holds no request.

        Must be called after the placement has been applied, so that no request can
        start at a VM after its requests were counted as zero.
        """
        drained = self._drained(held_requests)
        if drained == self._ack.drained:
            return
        ack = DrainAckRow(
            entry_vm=self._ack.entry_vm,
            incarnation=self._ack.incarnation,
            drained=drained,
        )
        batch = RowBatch(self._store)
        key = drain_ack_key(ack.entry_vm, ack.incarnation)
        yield from batch.read(key, DrainAckRow)
        batch.put(key, ack)
        if (yield from batch.commit_unfenced()):
            self._ack = ack

    def _drained(self, held_requests: Callable[[VmId], int]) -> dict[VmId, DrainNumber]:
        if self._placement is None:
            return {}
        return {
            vm: drain
            for vm, drain in self._placement.draining.items()
            if not held_requests(vm)
        }
