"""Actions that the planners of the fleet duties return."""

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
    """Create rows for VMs of one data centre that the release note has added."""

    data_centre: DataCentreId
    vms: tuple[VmId, ...]


@dataclass(frozen=True, slots=True)
class UpdateHome:
    """Set the home of the VM to the pool that the release note now assigns."""

    vm: VmId


@dataclass(frozen=True, slots=True)
class MarkUnavailable:
    """Count the VM as unavailable: the platform's list no longer shows it live."""

    vm: VmId


@dataclass(frozen=True, slots=True)
class MarkServing:
    """Return the VM to service: the platform's list shows it live."""

    vm: VmId


@dataclass(frozen=True, slots=True)
class BeginMove:
    """Reserve budget and drain the VM, to move it to `target`.

    Parameters
    ----------
    vm : VmId
    target : PoolId
    is_loan : bool
        Whether the move lends the VM or returns it from a loan. Otherwise the move
        follows the release note, and `target` becomes the VM's home.
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
    """Drain the VM because the release note has withdrawn it."""

    vm: VmId


@dataclass(frozen=True, slots=True)
class AbandonDrain:
    """Return a VM to service that did not drain in time."""

    vm: VmId
    drain: DrainNumber


@dataclass(frozen=True, slots=True)
class CompleteDrain:
    """Continue the disruption of a VM after every entry VM has drained it."""

    vm: VmId
    drain: DrainNumber


@dataclass(frozen=True, slots=True)
class FinishMaintenance:
    """Return a rebooted VM to service and release its reservation."""

    vm: VmId
    drain: DrainNumber


@dataclass(frozen=True, slots=True)
class StartRound:
    """Start the next round of a wave."""

    wave: WaveId
    wave_round: int


@dataclass(frozen=True, slots=True)
class DeleteAcks:
    """Delete the drain acknowledgements of an entry VM process that has ended."""

    entry_vm: EntryVmId
    incarnation: IncarnationId


VmAction: TypeAlias = (
    UpdateHome
    | MarkUnavailable
    | MarkServing
    | BeginMove
    | BeginMaintenance
    | BeginWithdrawal
    | AbandonDrain
    | CompleteDrain
    | FinishMaintenance
)
Action: TypeAlias = RegisterVms | VmAction | StartRound | DeleteAcks
