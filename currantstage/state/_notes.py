"""Release notes: additions, changes and withdrawals by operators."""

from __future__ import annotations

from enum import Enum

from msgspec import UNSET, Struct, UnsetType

from currantstage.state._fleet import Key, Pool, Queue, QueueAccess, Team, Vm, Wave
from currantstage.state._ids import (
    KeyId,
    NoteId,
    PoolId,
    QueueId,
    RackId,
    TeamId,
    VmId,
    WaveId,
)


class ItemKind(Enum):
    """Kinds of records in a release note."""

    POOL = "pool"
    VM = "vm"
    TEAM = "team"
    KEY = "key"
    QUEUE = "queue"
    WAVE = "wave"


class PoolChange(Struct, frozen=True, kw_only=True):
    """New values for some fields of a pool."""

    pool_id: PoolId
    is_spare: bool | UnsetType = UNSET
    max_unavailable: int | UnsetType = UNSET
    max_unavailable_per_rack: int | UnsetType = UNSET


class VmChange(Struct, frozen=True, kw_only=True):
    """New values for some fields of a VM."""

    vm_id: VmId
    pool: PoolId | UnsetType = UNSET
    rack: RackId | UnsetType = UNSET
    address: str | UnsetType = UNSET
    slots: int | UnsetType = UNSET
    connections: int | UnsetType = UNSET
    processors: float | UnsetType = UNSET
    memory_mb: int | UnsetType = UNSET
    accelerators: int | UnsetType = UNSET


class TeamChange(Struct, frozen=True, kw_only=True):
    """New values for some fields of a team."""

    team_id: TeamId
    share: float | UnsetType = UNSET
    upper_limit_slots: int | UnsetType = UNSET


class QueueChange(Struct, frozen=True, kw_only=True):
    """New values for some fields of a queue."""

    queue_id: QueueId
    pools: tuple[PoolId, ...] | UnsetType = UNSET
    access: QueueAccess | UnsetType = UNSET
    max_waiting: int | UnsetType = UNSET
    timeout_ms: int | UnsetType = UNSET
    availability_objective: float | UnsetType = UNSET
    latency_objective: float | UnsetType = UNSET
    latency_bound_ms: int | UnsetType = UNSET


class WaveChange(Struct, frozen=True, kw_only=True):
    """New values for some fields of a maintenance wave."""

    wave_id: WaveId
    pools: tuple[PoolId, ...] | UnsetType = UNSET
    period_s: int | UnsetType = UNSET


class Additions(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Records that a release note adds."""

    pools: tuple[Pool, ...] = ()
    vms: tuple[Vm, ...] = ()
    teams: tuple[Team, ...] = ()
    keys: tuple[Key, ...] = ()
    queues: tuple[Queue, ...] = ()
    waves: tuple[Wave, ...] = ()


class Changes(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Records that a release note changes; keys can only be replaced."""

    pools: tuple[PoolChange, ...] = ()
    vms: tuple[VmChange, ...] = ()
    teams: tuple[TeamChange, ...] = ()
    queues: tuple[QueueChange, ...] = ()
    waves: tuple[WaveChange, ...] = ()


class Withdrawals(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Identifiers of the records that a release note withdraws."""

    pools: tuple[PoolId, ...] = ()
    vms: tuple[VmId, ...] = ()
    teams: tuple[TeamId, ...] = ()
    keys: tuple[KeyId, ...] = ()
    queues: tuple[QueueId, ...] = ()
    waves: tuple[WaveId, ...] = ()


class ReleaseNote(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One release note of an operator.

    Parameters
    ----------
    note_id : NoteId
        Identifies the note; submitting the same note again has no further effect.
    added : Additions
    changed : Changes
    withdrawn : Withdrawals
    config_lease_s : float, optional
        New length of the configuration lease, in seconds.
    """

    note_id: NoteId
    added: Additions = Additions()
    changed: Changes = Changes()
    withdrawn: Withdrawals = Withdrawals()
    config_lease_s: float | UnsetType = UNSET
