"""What the dispatcher asks of whoever drives it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    from currantstage.coordination.requests._outcomes import Refusal
    from currantstage.coordination.requests._waiting_requests import WaitingRequest
    from currantstage.state import RequestId, Vm

#: Slots that the smallest job counts for.
MIN_WEIGHT_SLOTS = 1.0


@dataclass(frozen=True, slots=True)
class Assignment:
    """A request that holds a slot of a backend server.

    Parameters
    ----------
    request : WaitingRequest
    vm : Vm
    started_s : float
        When the slot was taken.
    """

    request: WaitingRequest
    vm: Vm
    started_s: float

    @property
    def weight_slots(self) -> float:
        """Return the slots that the job fills by its declared size, at least one."""
        size, vm = self.request.size, self.vm
        fractions = (
            size.processors / vm.processors,
            size.memory_mb / vm.memory_mb,
            size.accelerators / max(vm.accelerators, 1),
        )
        return max(MIN_WEIGHT_SLOTS, vm.slots * max(fractions))


@dataclass(frozen=True, slots=True)
class Start:
    """Send the request to its backend server now."""

    request_id: RequestId
    assignment: Assignment


@dataclass(frozen=True, slots=True)
class Refuse:
    """Tell the caller that the request did not run."""

    request_id: RequestId
    refusal: Refusal


@dataclass(frozen=True, slots=True)
class Wait:
    """The request waits; withdraw it when it has not started by `until_s`."""

    request_id: RequestId
    until_s: float


@dataclass(frozen=True, slots=True)
class ReleaseAt:
    """Release the assignment at `at_s`: until then its job may be running."""

    assignment: Assignment
    at_s: float


DispatchEffect: TypeAlias = Start | Refuse | Wait | ReleaseAt
