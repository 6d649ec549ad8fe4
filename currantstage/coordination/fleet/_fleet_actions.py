"""What the fleet duties can do: the vocabulary of the planners."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    from currantstage.state import (
        DataCentreId,
        DrainNumber,
        EntryVmId,
        IncarnationId,
        PoolId,
        VmId,
        WaveId,
    )


@dataclass(frozen=True, slots=True)
class RegisterVms:
    """Give rows to VMs of one data centre that the note has added."""

    data_centre: DataCentreId
    vms: tuple[VmId, ...]


@dataclass(frozen=True, slots=True)
class Rehome:
    """Record that the note now assigns the VM to the pool that it is in."""

    vm: VmId


@dataclass(frozen=True, slots=True)
class MarkUnavailable:
    """Count the VM as unavailable: the platform's list no longer shows it live."""

    vm: VmId


@dataclass(frozen=True, slots=True)
class MarkServing:
    """Give the VM work again: the platform's list shows it live."""

    vm: VmId


@dataclass(frozen=True, slots=True)
class BeginMove:
    """Reserve budget and drain the VM, to move it to `target`.

    Parameters
    ----------
    vm : VmId
    target : PoolId
    is_loan : bool
        Whether the planner lends the VM, or takes it back; otherwise the move follows
        the note, and `target` becomes the VM's home.
    """

    vm: VmId
    target: PoolId
    is_loan: bool = False


@dataclass(frozen=True, slots=True)
class BeginMaintenance:
    """Reserve budget and drain the VM, to reboot it for a round of a wave."""

    vm: VmId
    wave: WaveId
    wave_round: int


@dataclass(frozen=True, slots=True)
class BeginWithdrawal:
    """Drain the VM, which the note has withdrawn."""

    vm: VmId


@dataclass(frozen=True, slots=True)
class AbandonDrain:
    """Put a VM back to work that did not drain in time."""

    vm: VmId
    drain: DrainNumber


@dataclass(frozen=True, slots=True)
class CompleteDrain:
    """Go on with a VM that no entry VM uses any more."""

    vm: VmId
    drain: DrainNumber


@dataclass(frozen=True, slots=True)
class FinishMaintenance:
    """Put a rebooted VM back to work and give its reservation back."""

    vm: VmId
    drain: DrainNumber


@dataclass(frozen=True, slots=True)
class StartRound:
    """Begin the next round of a wave."""

    wave: WaveId
    wave_round: int


@dataclass(frozen=True, slots=True)
class ForgetAcks:
    """Delete the acknowledgements of a start of an entry VM that is gone."""

    entry_vm: EntryVmId
    incarnation: IncarnationId


VmAction: TypeAlias = (
    Rehome
    | MarkUnavailable
    | MarkServing
    | BeginMove
    | BeginMaintenance
    | BeginWithdrawal
    | AbandonDrain
    | CompleteDrain
    | FinishMaintenance
)
Action: TypeAlias = RegisterVms | VmAction | StartRound | ForgetAcks
