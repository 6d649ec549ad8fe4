"""A fleet with rows in memory, modified by the real transitions."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Success

from currantstage.coordination.fleet import (
    FleetRows,
    FleetSnapshot,
    VmRecords,
    make_transition,
    place_vm,
)
from currantstage.state import (
    ABSENT,
    DataCentreId,
    DrainAckRow,
    EntryVmId,
    EntryVmRow,
    Fleet,
    Generation,
    IncarnationId,
    Pool,
    PoolId,
    RackId,
    RebootStatus,
    Vm,
    VmId,
    VmLiveness,
    VmRow,
    VmState,
    Wave,
    WaveId,
    WaveRow,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from currantstage.coordination.fleet import VmAction

VMS_PER_RACK = 4


def make_fleet(
    data_centres: int,
    pools_per_data_centre: int,
    vms_per_pool: int,
    max_unavailable: int = 1,
    period_s: int = 6 * 7 * 86_400,
) -> Fleet:
    """Return a fleet whose racks hold VMs of several pools; the last pool is spare."""
    pools: list[Pool] = []
    vms: list[Vm] = []
    for d in range(data_centres):
        for p in range(pools_per_data_centre):
            pool = Pool(
                pool_id=PoolId(f"d{d}-p{p}"),
                data_centre=DataCentreId(f"d{d}"),
                is_spare=p == pools_per_data_centre - 1,
                max_unavailable=max_unavailable,
            )
            pools.append(pool)
            for n in range(vms_per_pool):
                number = n * pools_per_data_centre + p
                vms.append(
                    Vm(
                        vm_id=VmId(f"{pool.pool_id}-{n:02d}"),
                        pool=pool.pool_id,
                        rack=RackId(f"d{d}-r{number // VMS_PER_RACK}"),
                        address=f"10.{d}.{p}.{n + 1}:9000",
                    )
                )
    wave = Wave(
        wave_id=WaveId("wave"),
        pools=tuple(pool.pool_id for pool in pools),
        period_s=period_s,
    )
    return Fleet(
        generation=Generation(1),
        pools={pool.pool_id: pool for pool in pools},
        vms={vm.vm_id: vm for vm in vms},
        waves={wave.wave_id: wave},
    )


class MemoryFleet:
    """Rows of a fleet, and the other inputs of a snapshot.

    Parameters
    ----------
    fleet : Fleet
    """

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.rows = FleetRows()
        self.entry_vms: list[EntryVmRow] = []
        self.acks: dict[IncarnationId, DrainAckRow] = {}
        self.reboots: dict[VmId, RebootStatus] = {}
        self.down: set[VmId] = set()
        for vm in fleet.vms.values():
            row = VmRow(
                vm_id=vm.vm_id,
                pool=vm.pool,
                home=vm.pool,
                data_centre=fleet.pools[vm.pool].data_centre,
                rack=vm.rack,
                state=VmState.SERVING,
            )
            self.rows.vms[vm.vm_id] = row
            placement = self.rows.placement(row.data_centre)
            self.rows.placements[row.data_centre] = place_vm(placement, row)
        for wave in fleet.waves:
            self.rows.waves[wave] = WaveRow(wave=wave, round=1, started_at_s=0.0)
        for data_centre in sorted(self.rows.placements):
            self._add_entry_vm(data_centre)

    def snapshot(self, now_s: float) -> FleetSnapshot:
        """Return the planners' input at `now_s`."""
        return FleetSnapshot(
            now_s=now_s,
            fleet=self.fleet,
            head_version=ABSENT,
            rows=self.rows,
            liveness={
                vm: VmLiveness.LIVE for vm in self.fleet.vms if vm not in self.down
            },
            entry_vms=tuple(self.entry_vms),
            drain_acks=self.acks,
            reboots=self.reboots,
        )

    def acknowledge(self, vms: Iterable[VmId]) -> None:
        """Acknowledge the drains of `vms`, and of no other VM, for every entry VM."""
        drained = {}
        for vm in vms:
            disruption = self.rows.vms[vm].disruption
            if disruption is not None:
                drained[vm] = disruption.drain
        for entry in self.entry_vms:
            self.acks[entry.incarnation] = DrainAckRow(
                entry_vm=entry.entry_vm, incarnation=entry.incarnation, drained=drained
            )

    def apply(self, snapshot: FleetSnapshot, action: VmAction) -> bool:
        """Apply one transition; return whether it was permitted."""
        row = self.rows.vms[action.vm]
        before = VmRecords(
            row, self.rows.budget(row.pool), self.rows.placement(row.data_centre)
        )
        result = make_transition(before, snapshot, action)
        if not isinstance(result, Success):
            return False
        after = result.unwrap()
        assert after.vm is not None
        self.rows.vms[row.vm_id] = after.vm
        self.rows.budgets[after.budget.pool] = after.budget
        self.rows.placements[row.data_centre] = after.placement
        return True

    def _add_entry_vm(self, data_centre: DataCentreId) -> None:
        name = f"{data_centre}-entry"
        self.entry_vms.append(
            EntryVmRow(
                entry_vm=EntryVmId(name),
                incarnation=IncarnationId(name),
                data_centre=data_centre,
                http_address="127.0.0.1:1",
                peer_address="127.0.0.1:2",
                applied_generation=self.fleet.generation,
                config_lease_s=30.0,
            )
        )
