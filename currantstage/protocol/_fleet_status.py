"""Status reports of the fleet for operators."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from msgspec import Struct

from currantstage.coordination.fleet import MOVE_WINDOW_S, is_overdue, unfinished_vms
from currantstage.state import (
    DataCentreId,
    EntryVmId,
    Generation,
    KeyId,
    PoolId,
    RackId,
    TeamId,
    VmId,
    VmState,
    WaveId,
)

if TYPE_CHECKING:
    from currantstage.coordination.fleet import FleetSnapshot
    from currantstage.state import Pool, VmRow, Wave

#: Duration of a disruption after which a VM is reported as overdue, in seconds.
OVERDUE_AFTER_S = 1800.0


class VmStatus(Struct, frozen=True, kw_only=True):
    """Status of one VM.

    Parameters
    ----------
    vm : VmId
    pool, home : PoolId
        The pool that the VM is in now, and the pool that its note assigns it to.
    data_centre : DataCentreId
    rack : RackId
    state : VmState
    purpose : str
        Kind of the planned disruption of the VM; empty if there is none.
    waiting_for : tuple of EntryVmId
        Entry VMs that have not acknowledged the drain of the VM.
    is_overdue : bool
        Whether the disruption has lasted too long and needs an operator.
    """

    vm: VmId
    pool: PoolId
    home: PoolId
    data_centre: DataCentreId
    rack: RackId
    state: VmState
    purpose: str
    waiting_for: tuple[EntryVmId, ...]
    is_overdue: bool


class PoolStatus(Struct, frozen=True, kw_only=True):
    """Status of one pool.

    Parameters
    ----------
    pool : PoolId
    data_centre : DataCentreId
    is_spare : bool
    vms, serving : int
        VMs in the pool, and those of them that serve.
    borrowed, lent : int
        VMs of other pools in this pool, and VMs of this pool in other pools.
    unavailable : int
        VMs that count against `max_unavailable`.
    max_unavailable, max_unavailable_per_rack : int
    """

    pool: PoolId
    data_centre: DataCentreId
    is_spare: bool
    vms: int
    serving: int
    borrowed: int
    lent: int
    unavailable: int
    max_unavailable: int
    max_unavailable_per_rack: int


class DataCentreStatus(Struct, frozen=True, kw_only=True):
    """Status of one data centre, with the use of its spare VMs.

    Parameters
    ----------
    data_centre : DataCentreId
    vms, serving : int
    spare, lent : int
        Spare VMs that serve in their own pool, and those lent to other pools.
    moves_last_hour : int
        Moves between pools during the last hour, through notes and lending.
    """

    data_centre: DataCentreId
    vms: int
    serving: int
    spare: int
    lent: int
    moves_last_hour: int


class WaveStatus(Struct, frozen=True, kw_only=True):
    """Progress of one maintenance wave.

    Parameters
    ----------
    wave : WaveId
    round : int
    age_s, period_s : float
        Age of the round, and the time within which it should complete, in seconds.
    done, left : int
        VMs that the round has maintained, and those that remain.
    overdue : tuple of VmId
        VMs that have not returned to service in time.
    """

    wave: WaveId
    round: int
    age_s: float
    period_s: float
    done: int
    left: int
    overdue: tuple[VmId, ...]


class TeamStatus(Struct, frozen=True, kw_only=True):
    """Limits of one team, and the number of its keys."""

    team: TeamId
    share: float
    upper_limit_slots: int
    keys: int


class KeyStatus(Struct, frozen=True, kw_only=True):
    """One key, without its salt and digest, which would help to guess the secret."""

    key: KeyId
    team: TeamId


class FleetStatus(Struct, frozen=True, kw_only=True):
    """Status of the fleet, as one entry VM reads it from the platform."""

    generation: Generation
    data_centres: tuple[DataCentreStatus, ...]
    pools: tuple[PoolStatus, ...]
    vms: tuple[VmStatus, ...]
    teams: tuple[TeamStatus, ...]
    keys: tuple[KeyStatus, ...]
    waves: tuple[WaveStatus, ...]


def build_fleet_status(snapshot: FleetSnapshot) -> FleetStatus:
    """Return the status report of `snapshot`, ordered by identifier."""
    fleet = snapshot.fleet
    rows = sorted(snapshot.rows.vms.values(), key=lambda row: row.vm_id)
    keys_of_team = Counter(key.team for key in fleet.keys.values())
    return FleetStatus(
        generation=fleet.generation,
        data_centres=tuple(
            _build_data_centre_status(snapshot, data_centre, rows)
            for data_centre in sorted({row.data_centre for row in rows})
        ),
        pools=tuple(
            _build_pool_status(snapshot, fleet.pools[pool], rows)
            for pool in sorted(fleet.pools)
        ),
        vms=tuple(_build_vm_status(snapshot, row) for row in rows),
        teams=tuple(
            TeamStatus(
                team=team.team_id,
                share=team.share,
                upper_limit_slots=team.upper_limit_slots,
                keys=keys_of_team[team.team_id],
            )
            for _, team in sorted(fleet.teams.items())
        ),
        keys=tuple(
            KeyStatus(key=key.key_id, team=key.team)
            for _, key in sorted(fleet.keys.items())
        ),
        waves=tuple(
            _build_wave_status(snapshot, wave)
            for _, wave in sorted(fleet.waves.items())
        ),
    )


def _build_vm_status(snapshot: FleetSnapshot, row: VmRow) -> VmStatus:
    is_draining = row.state is VmState.DRAINING
    return VmStatus(
        vm=row.vm_id,
        pool=row.pool,
        home=row.home,
        data_centre=row.data_centre,
        rack=row.rack,
        state=row.state,
        purpose="" if row.disruption is None else row.disruption.kind.value,
        waiting_for=snapshot.entry_vms_holding(row) if is_draining else (),
        is_overdue=is_overdue(snapshot, row, OVERDUE_AFTER_S),
    )


def _build_data_centre_status(
    snapshot: FleetSnapshot, data_centre: DataCentreId, rows: list[VmRow]
) -> DataCentreStatus:
    members = [row for row in rows if row.data_centre == data_centre]
    serving = [row for row in members if row.state is VmState.SERVING]
    spare_pools = {
        pool.pool_id for pool in snapshot.fleet.pools.values() if pool.is_spare
    }
    window_start_s = snapshot.now_s - MOVE_WINDOW_S
    moves_at_s = snapshot.rows.placement(data_centre).moves_at_s
    return DataCentreStatus(
        data_centre=data_centre,
        vms=len(members),
        serving=len(serving),
        spare=sum(1 for row in serving if row.pool in spare_pools),
        lent=sum(1 for row in members if row.is_borrowed and row.home in spare_pools),
        moves_last_hour=sum(1 for move_s in moves_at_s if move_s > window_start_s),
    )


def _build_pool_status(
    snapshot: FleetSnapshot, pool: Pool, rows: list[VmRow]
) -> PoolStatus:
    members = [row for row in rows if row.pool == pool.pool_id]
    lent = [row for row in rows if row.home == pool.pool_id and row.is_borrowed]
    return PoolStatus(
        pool=pool.pool_id,
        data_centre=pool.data_centre,
        is_spare=pool.is_spare,
        vms=len(members),
        serving=sum(1 for row in members if row.state is VmState.SERVING),
        borrowed=sum(1 for row in members if row.is_borrowed),
        lent=len(lent),
        unavailable=len(snapshot.rows.budget(pool.pool_id).unavailable),
        max_unavailable=pool.max_unavailable,
        max_unavailable_per_rack=pool.max_unavailable_per_rack,
    )


def _build_wave_status(snapshot: FleetSnapshot, wave: Wave) -> WaveStatus:
    row = snapshot.rows.waves.get(wave.wave_id)
    unfinished = unfinished_vms(snapshot, wave)
    members = [row for row in snapshot.rows.vms.values() if row.home in wave.pools]
    overdue = [
        vm.vm_id for vm in unfinished if is_overdue(snapshot, vm, OVERDUE_AFTER_S)
    ]
    return WaveStatus(
        wave=wave.wave_id,
        round=0 if row is None else row.round,
        age_s=0.0 if row is None else snapshot.now_s - row.started_at_s,
        period_s=wave.period_s,
        done=len(members) - len(unfinished),
        left=len(unfinished),
        overdue=tuple(overdue),
    )
