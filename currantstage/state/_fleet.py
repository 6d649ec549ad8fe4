"""Records of the fleet, and the snapshot of one configuration generation."""

from __future__ import annotations

from enum import Enum

from msgspec import Struct, field

from currantstage.state._ids import (
    FIRST_GENERATION,
    DataCentreId,
    Generation,
    KeyId,
    PoolId,
    QueueId,
    RackId,
    TeamId,
    VmId,
    WaveId,
)

#: Configuration lease until a release note sets another length, in seconds.
DEFAULT_CONFIG_LEASE_S = 10.0


class QueueAccess(Enum):
    """Whether requests to a queue need a key."""

    KEYED = "keyed"
    OPEN = "open"


class Pool(Struct, frozen=True, kw_only=True):
    """A set of VMs of one data centre that serve the same queues.

    Parameters
    ----------
    pool_id : PoolId
    data_centre : DataCentreId
    is_spare : bool
        Whether other pools may borrow VMs from this one.
    max_unavailable : int
        Availability budget: maximum number of VMs out of service at once, planned
        or not.
    max_unavailable_per_rack : int
        The same limit within one rack.
    """

    pool_id: PoolId
    data_centre: DataCentreId
    is_spare: bool = False
    max_unavailable: int = 1
    max_unavailable_per_rack: int = 1


class Vm(Struct, frozen=True, kw_only=True):
    """A VM of the fleet with its location and capacity.

    Parameters
    ----------
    vm_id : VmId
    pool : PoolId
        The pool to which the release note assigns the VM.
    rack : RackId
    address : str
        ``IP:port`` of its backend server.
    slots, connections : int
        Maximum numbers of concurrent requests and of connections.
    processors : float
        Number of cores.
    memory_mb : int
    accelerators : int
    """

    vm_id: VmId
    pool: PoolId
    rack: RackId
    address: str
    slots: int = 8
    connections: int = 64
    processors: float = 16.0
    memory_mb: int = 32_768
    accelerators: int = 0


class Team(Struct, frozen=True, kw_only=True):
    """A team that submits work.

    Parameters
    ----------
    team_id : TeamId
    share : float
        Weight of the team when demand exceeds capacity.
    upper_limit_slots : int
        Maximum number of slots, fleet-wide, that the team may hold at once.
    """

    team_id: TeamId
    share: float
    upper_limit_slots: int


class Key(Struct, frozen=True, kw_only=True):
    """A team's API key, stored as a salted digest.

    Parameters
    ----------
    key_id : KeyId
    team : TeamId
    salt : str
        Random text that is prepended to the secret before hashing.
    digest : str
        SHA-256 of salt and secret, in hexadecimal.
    """

    key_id: KeyId
    team: TeamId
    salt: str
    digest: str


class Queue(Struct, frozen=True, kw_only=True):
    """A named request queue and the pools that serve it.

    Parameters
    ----------
    queue_id : QueueId
    pools : tuple of PoolId
        Pools that serve the queue, in any data centre.
    access : QueueAccess
    max_waiting : int
        Maximum number of requests waiting at one entry VM.
    timeout_ms : int
        Maximum time from arrival to answer, in milliseconds.
    availability_objective : float
        Target fraction of requests that get a complete answer.
    latency_objective : float
        Target fraction of answers that arrive within `latency_bound_ms`.
    latency_bound_ms : int
        Time from arrival to answer that `latency_objective` refers to, in
        milliseconds.
    """

    queue_id: QueueId
    pools: tuple[PoolId, ...]
    access: QueueAccess = QueueAccess.KEYED
    max_waiting: int = 256
    timeout_ms: int = 30_000
    availability_objective: float = 0.999
    latency_objective: float = 0.99
    latency_bound_ms: int = 1_000


class Wave(Struct, frozen=True, kw_only=True):
    """A recurring maintenance of all VMs of some pools.

    Parameters
    ----------
    wave_id : WaveId
    pools : tuple of PoolId
    period_s : int
        Period in which every VM is maintained once, in seconds.
    """

    wave_id: WaveId
    pools: tuple[PoolId, ...]
    period_s: int


class Fleet(Struct, frozen=True, kw_only=True):
    """Snapshot of the configuration of one generation.

    Parameters
    ----------
    generation : Generation
    config_lease_s : float
        Time for which an entry VM may serve keyed work without having checked for a
        newer generation, in seconds.
    pools, vms, teams, keys, queues, waves : dict
        Records by their identifier.
    """

    generation: Generation = FIRST_GENERATION
    config_lease_s: float = DEFAULT_CONFIG_LEASE_S
    pools: dict[PoolId, Pool] = field(default_factory=dict)
    vms: dict[VmId, Vm] = field(default_factory=dict)
    teams: dict[TeamId, Team] = field(default_factory=dict)
    keys: dict[KeyId, Key] = field(default_factory=dict)
    queues: dict[QueueId, Queue] = field(default_factory=dict)
    waves: dict[WaveId, Wave] = field(default_factory=dict)

    def vms_of_pool(self, pool: PoolId) -> list[Vm]:
        """Return the VMs assigned to `pool`, ordered by identifier."""
        members = (vm for vm in self.vms.values() if vm.pool == pool)
        return sorted(members, key=lambda vm: vm.vm_id)
