"""Tests of the status report of the fleet."""

from __future__ import annotations

from msgspec.structs import replace

from currantstage.coordination.fleet import FleetSnapshot
from currantstage.protocol import build_fleet_status
from currantstage.state import (
    ABSENT,
    Disruption,
    DisruptionKind,
    DrainNumber,
    PlacementRow,
    PoolId,
    VmId,
    VmState,
)
from tests.coordination.test_move_plan import make_snapshot
from tests.fleet_harness import DATA_CENTRE


def snapshot_at(snapshot: FleetSnapshot, now_s: float) -> FleetSnapshot:
    return FleetSnapshot(
        now_s=now_s,
        fleet=snapshot.fleet,
        head_version=ABSENT,
        rows=snapshot.rows,
        liveness=snapshot.liveness,
    )


def test_lent_vms_and_moves_of_the_last_hour_are_counted():
    snapshot = make_snapshot(spare1="a", now_s=4000.0)
    snapshot.rows.placements[DATA_CENTRE] = PlacementRow(
        data_centre=DATA_CENTRE, moves_at_s=(300.0, 3000.0, 3500.0)
    )
    report = build_fleet_status(snapshot)
    (data_centre,) = report.data_centres
    assert (data_centre.vms, data_centre.spare, data_centre.lent) == (9, 2, 1)
    assert data_centre.moves_last_hour == 2
    pools = {pool.pool: pool for pool in report.pools}
    assert (pools[PoolId("a")].borrowed, pools[PoolId("spare")].lent) == (1, 1)


def test_vm_is_overdue_after_half_an_hour_out_of_service():
    snapshot = make_snapshot()
    vm = VmId("a1")
    disruption = Disruption(
        kind=DisruptionKind.MAINTENANCE, drain=DrainNumber(1), started_at_s=0.0
    )
    snapshot.rows.vms[vm] = replace(
        snapshot.rows.vms[vm], state=VmState.IN_MAINTENANCE, disruption=disruption
    )
    for now_s, expected in ((1700.0, set()), (1900.0, {vm})):
        report = build_fleet_status(snapshot_at(snapshot, now_s))
        assert {status.vm for status in report.vms if status.is_overdue} == expected
