"""Rows of VMs, availability budgets, placements, drains and maintenance waves."""

from __future__ import annotations

from enum import Enum

from msgspec import Struct, field

from currantstage.state._ids import (
    DataCentreId,
    DrainNumber,
    EntryVmId,
    IncarnationId,
    PoolId,
    RackId,
    RebootTicket,
    RowKey,
    VmId,
    WaveId,
)

VM_PREFIX = RowKey("vm/")
BUDGET_PREFIX = RowKey("budget/")
PLACEMENT_PREFIX = RowKey("placement/")
DRAIN_ACK_PREFIX = RowKey("drain-ack/")
WAVE_PREFIX = RowKey("wave/")


class VmState(Enum):
    """What a VM of the fleet is doing."""

    SERVING = "serving"
    #: Gets no new work; its running requests finish.
    DRAINING = "draining"
    #: Drained; the platform reboots it.
    IN_MAINTENANCE = "in-maintenance"
    #: Not live in the platform's list, without our doing.
    UNAVAILABLE = "unavailable"


class DisruptionKind(Enum):
    """Why a VM is taken out of service."""

    MAINTENANCE = "maintenance"
    MOVE = "move"
    WITHDRAWAL = "withdrawal"


class Disruption(Struct, frozen=True, kw_only=True):
    """The one purpose for which a VM is out of service.

    Parameters
    ----------
    kind : DisruptionKind
    drain : DrainNumber
        Names the drain; entry VMs acknowledge it by this number.
    started_at_s : float
        Unix time, in seconds. It only bounds how long a drain is tried and when
        a VM is reported as overdue.
    target : PoolId or None
        Where a move leads.
    is_loan : bool
        Whether the move leaves the VM's home as it is.
    wave : WaveId or None
    wave_round : int
        Round of the wave that the maintenance counts for.
    """

    kind: DisruptionKind
    drain: DrainNumber
    started_at_s: float
    target: PoolId | None = None
    is_loan: bool = False
    wave: WaveId | None = None
    wave_round: int = 0


class VmRow(Struct, frozen=True, kw_only=True, tag="vm"):
    """The one pool of a VM, and what the VM is doing.

    Parameters
    ----------
    vm_id : VmId
    pool : PoolId
        The pool that the VM belongs to now.
    home : PoolId
        The pool that the release note assigned when it was last followed; it
        differs from `pool` while another pool borrows the VM.
    data_centre : DataCentreId
    rack : RackId
    state : VmState
    disruption : Disruption or None
        None while the VM is serving, or unavailable without our doing.
    completed_rounds : dict
        Last round of each wave in which the VM was maintained.
    """

    vm_id: VmId
    pool: PoolId
    home: PoolId
    data_centre: DataCentreId
    rack: RackId
    state: VmState
    disruption: Disruption | None = None
    completed_rounds: dict[WaveId, int] = field(default_factory=dict)

    @property
    def is_borrowed(self) -> bool:
        """Whether another pool than its own holds the VM."""
        return self.pool != self.home


class BudgetRow(Struct, frozen=True, kw_only=True, tag="budget"):
    """Everything of a pool that is out of service, with the rack of each VM.

    Parameters
    ----------
    pool : PoolId
    reservations : dict
        VMs taken out of service on purpose; entered before the drain, and removed
        when the VM serves again or has left the pool.
    outages : dict
        VMs that are unavailable without our doing.
    """

    pool: PoolId
    reservations: dict[VmId, RackId] = field(default_factory=dict)
    outages: dict[VmId, RackId] = field(default_factory=dict)

    @property
    def unavailable(self) -> dict[VmId, RackId]:
        """All VMs out of service, each counted once."""
        return {**self.reservations, **self.outages}


class PlacementRow(Struct, frozen=True, kw_only=True, tag="placement"):
    """What the entry VMs of a data centre need to know of its VMs.

    It changes in the same transaction as the rows that it sums up. A VM that is
    named neither as serving nor as draining gets no work.

    Parameters
    ----------
    data_centre : DataCentreId
    number : DrainNumber
        Rises with each change.
    serving : dict
        VMs that take work, by pool.
    draining : dict
        Drain that each draining VM is in.
    moves_at_s : tuple of float
        Unix times of the moves of the last hour, in seconds.
    """

    data_centre: DataCentreId
    number: DrainNumber = DrainNumber(0)
    serving: dict[PoolId, tuple[VmId, ...]] = field(default_factory=dict)
    draining: dict[VmId, DrainNumber] = field(default_factory=dict)
    moves_at_s: tuple[float, ...] = ()


class DrainAckRow(Struct, frozen=True, kw_only=True, tag="drain-ack"):
    """The drains for which an entry VM holds no request and starts no more.

    Parameters
    ----------
    entry_vm : EntryVmId
    incarnation : IncarnationId
    drained : dict
        Acknowledged drain of each draining VM.
    """

    entry_vm: EntryVmId
    incarnation: IncarnationId
    drained: dict[VmId, DrainNumber] = field(default_factory=dict)


class WaveRow(Struct, frozen=True, kw_only=True, tag="wave"):
    """The round that a wave is in.

    Parameters
    ----------
    wave : WaveId
    round : int
        Each round maintains every VM of the wave once.
    started_at_s : float
        Unix time of the round's start, in seconds.
    """

    wave: WaveId
    round: int
    started_at_s: float


def vm_key(vm: VmId) -> RowKey:
    """Return the key of the row of `vm`.

    >>> vm_key(VmId("a1"))
    'vm/a1'
    """
    return RowKey(f"{VM_PREFIX}{vm}")


def budget_key(pool: PoolId) -> RowKey:
    """Return the key of the budget row of `pool`."""
    return RowKey(f"{BUDGET_PREFIX}{pool}")


def placement_key(data_centre: DataCentreId) -> RowKey:
    """Return the key of the placement row of `data_centre`."""
    return RowKey(f"{PLACEMENT_PREFIX}{data_centre}")


def drain_ack_key(entry_vm: EntryVmId, incarnation: IncarnationId) -> RowKey:
    """Return the key of the acknowledgements of one start of an entry VM."""
    return RowKey(f"{DRAIN_ACK_PREFIX}{entry_vm}/{incarnation}")


def wave_key(wave: WaveId) -> RowKey:
    """Return the key of the row of `wave`."""
    return RowKey(f"{WAVE_PREFIX}{wave}")


def reboot_ticket(vm: VmId, drain: DrainNumber) -> RebootTicket:
    """Return the name under which the platform reboots `vm` once."""
    return RebootTicket(f"{vm}/{drain}")
