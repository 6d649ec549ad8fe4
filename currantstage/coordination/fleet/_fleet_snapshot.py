"""Input of the planners of the fleet duties."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from currantstage.state import BudgetRow, PlacementRow, VmLiveness, VmState

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from currantstage.state import (
        DataCentreId,
        DrainAckRow,
        EntryVmId,
        EntryVmRow,
        Fleet,
        IncarnationId,
        PoolId,
        RebootStatus,
        RowVersion,
        VmId,
        VmRow,
        WaveId,
        WaveRow,
    )


@dataclass(slots=True)
class FleetRows:
    """The rows that are written only by the holder of the fleet duty.

    Parameters
    ----------
    vms, budgets, placements, waves : dict
    """

    vms: dict[VmId, VmRow] = field(default_factory=dict)
    budgets: dict[PoolId, BudgetRow] = field(default_factory=dict)
    placements: dict[DataCentreId, PlacementRow] = field(default_factory=dict)
    waves: dict[WaveId, WaveRow] = field(default_factory=dict)

    def budget(self, pool: PoolId) -> BudgetRow:
        """Return the budget row of `pool`, or an empty one if missing."""
        return self.budgets.get(pool) or BudgetRow(pool=pool)

    def placement(self, data_centre: DataCentreId) -> PlacementRow:
        """Return the placement row of `data_centre`, or an empty one if missing."""
        return self.placements.get(data_centre) or PlacementRow(data_centre=data_centre)


@dataclass(frozen=True, slots=True)
class FleetSnapshot:
    """State of the fleet at one point in time.

    Parameters
    ----------
    now_s : float
        Unix time, in seconds.
    fleet : Fleet
        The newest committed configuration.
    head_version : RowVersion
        Version of the head row that committed it.
    rows : FleetRows
    liveness : mapping of VmId to VmLiveness
        Liveness according to the platform's list, without removed VMs.
    entry_vms : tuple of EntryVmRow
    drain_acks : mapping of IncarnationId to DrainAckRow
    reboots : mapping of VmId to RebootStatus
    cooling_down : frozenset of VmId
        VMs that are not drained again yet because their last drain was abandoned.
    """

    now_s: float
    fleet: Fleet
    head_version: RowVersion
    rows: FleetRows
    liveness: Mapping[VmId, VmLiveness]
    entry_vms: tuple[EntryVmRow, ...] = ()
    drain_acks: Mapping[IncarnationId, DrainAckRow] = field(default_factory=dict)
    reboots: Mapping[VmId, RebootStatus] = field(default_factory=dict)
    cooling_down: frozenset[VmId] = frozenset()

    def is_live(self, vm: VmId) -> bool:
        """Return whether the platform's list shows `vm` live."""
        return self.liveness.get(vm) is VmLiveness.LIVE

    def serving_vms(self) -> Iterable[VmRow]:
        """Return the serving VMs that are not cooling down after an abandoned drain."""
        for row in self.rows.vms.values():
            if row.state is VmState.SERVING and row.vm_id not in self.cooling_down:
                yield row

    def entry_vms_holding(self, row: VmRow) -> tuple[EntryVmId, ...]:
        """Return the entry VMs that may still hold requests at a draining VM."""
        assert row.disruption is not None
        return tuple(
            entry.entry_vm
            for entry in self.entry_vms
            if entry.data_centre == row.data_centre
            and not self._is_acknowledged(entry, row)
        )

    def _is_acknowledged(self, entry: EntryVmRow, row: VmRow) -> bool:
        ack = self.drain_acks.get(entry.incarnation)
        assert row.disruption is not None
        return ack is not None and ack.drained.get(row.vm_id) == row.disruption.drain
