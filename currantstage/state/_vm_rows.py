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
    """Service state of a VM."""

    SERVING = "serving"
    #: Receives no new requests; running ones complete.
    DRAINING = "draining"
    #: Drained and being rebooted by the platform.
    IN_MAINTENANCE = "in-maintenance"
    #: Not live in the platform's list, by an unplanned outage.
    UNAVAILABLE = "unavailable"


class DisruptionKind(Enum):
    """Reason why a VM is taken out of service."""

    MAINTENANCE = "maintenance"
    MOVE = "move"
    WITHDRAWAL = "withdrawal"


class Disruption(Struct, frozen=True, kw_only=True):
    """A planned interruption of a VM; a VM has at most one.

    Parameters
    ----------
    kind : DisruptionKind
    drain : DrainNumber
        Identifies the drain in the acknowledgements of the entry VMs.
    started_at_s : float
        Unix time, in seconds. It is only used to limit the duration of a drain and
        to report a VM as overdue.
    target : PoolId or None
        Destination of a move.
    is_loan : bool
        Whether the move leaves the VM's home unchanged.
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
    """The current pool and state of a VM.

    Parameters
    ----------
    vm_id : VmId
    pool : PoolId
        The pool that the VM currently belongs to.
    home : PoolId
        The pool that the last applied release note assigned; it differs from
        `pool` while another pool borrows the VM.
    data_centre : DataCentreId
    rack : RackId
    state : VmState
    disruption : Disruption or None
        None while the VM is serving or in an unplanned outage.
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
        """Whether the VM is in a pool other than its home."""
        return self.pool != self.home


class BudgetRow(Struct, frozen=True, kw_only=True, tag="budget"):
    """The VMs of a pool that are out of service, with the rack of each.

    Parameters
    ----------
    pool : PoolId
    reservations : dict
        VMs in a planned disruption; added before the drain, and removed when the VM
        is serving again or has left the pool.
    outages : dict
        VMs in an unplanned outage.
    """

    pool: PoolId
    reservations: dict[VmId, RackId] = field(default_factory=dict)
    outages: dict[VmId, RackId] = field(default_factory=dict)

    @property
    def unavailable(self) -> dict[VmId, RackId]:
        """All VMs out of service, each counted once."""
        return {**self.reservations, **self.outages}


class PlacementRow(Struct, frozen=True, kw_only=True, tag="placement"):
    """Summary of a data centre's VMs for its entry VMs.

    It is written in the same transaction as the rows that it summarises. A VM that
    is listed neither as serving nor as draining receives no requests.

    Parameters
    ----------
    data_centre : DataCentreId
    number : DrainNumber
        Incremented with each change.
    serving : dict
        VMs that receive requests, by pool.
    draining : dict
        Number of the current drain of each draining VM.
    moves_at_s : tuple of float
        Unix times of the moves of the last hour, in seconds.
    """

    data_centre: DataCentreId
    number: DrainNumber = DrainNumber(0)
    serving: dict[PoolId, tuple[VmId, ...]] = field(default_factory=dict)
    draining: dict[VmId, DrainNumber] = field(default_factory=dict)
    moves_at_s: tuple[float, ...] = ()


class DrainAckRow(Struct, frozen=True, kw_only=True, tag="drain-ack"):
    """Drains for which an entry VM holds no request and will not start any.

    Parameters
    ----------
    entry_vm : EntryVmId
    incarnation : IncarnationId
    drained : dict
        Number of the acknowledged drain of each draining VM.
    """

    entry_vm: EntryVmId
    incarnation: IncarnationId
    drained: dict[VmId, DrainNumber] = field(default_factory=dict)


class WaveRow(Struct, frozen=True, kw_only=True, tag="wave"):
    """The current round of a wave.

    Parameters
    ----------
    wave : WaveId
    round : int
        Number of the round; each round maintains every VM of the wave once.
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
    """Return the key of the drain acknowledgements of an entry VM's process."""
    return RowKey(f"{DRAIN_ACK_PREFIX}{entry_vm}/{incarnation}")


def wave_key(wave: WaveId) -> RowKey:
    """Return the key of the row of `wave`."""
    return RowKey(f"{WAVE_PREFIX}{wave}")


def reboot_ticket(vm: VmId, drain: DrainNumber) -> RebootTicket:
    """Return the idempotency ticket of the reboot of `vm` after `drain`."""
    return RebootTicket(f"{vm}/{drain}")
