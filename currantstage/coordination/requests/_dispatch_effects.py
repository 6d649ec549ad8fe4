"""Effects that the dispatcher returns for its driver to carry out."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    from currantstage.coordination.requests._outcomes import Refusal
    from currantstage.coordination.requests._waiting_requests import WaitingRequest
    from currantstage.state import RequestId, Vm

#: Slots that a job counts for at least.
MIN_WEIGHT_SLOTS = 1.0


@dataclass(frozen=True, slots=True)
class Assignment:
    """A request together with the backend server whose slot it holds.

    Parameters
    ----------
    request : WaitingRequest
    vm : Vm
    started_s : float
        When the slot was acquired, on the daemon's clock.
    """

    request: WaitingRequest
    vm: Vm
    started_s: float

    @property
    def weight_slots(self) -> float:
        """Return the slots that the job's declared size amounts to, at least one."""
        size, vm = self.request.size, self.vm
        fractions = (
            size.processors / vm.processors,
            size.memory_mb / vm.memory_mb,
            size.accelerators / max(vm.accelerators, 1),
        )
        return max(MIN_WEIGHT_SLOTS, vm.slots * max(fractions))


@dataclass(frozen=True, slots=True)
class Start:
    """Send the request to its backend server."""

    request_id: RequestId
    assignment: Assignment


@dataclass(frozen=True, slots=True)
class Refuse:
    """Report to the caller that the request was not run."""

    request_id: RequestId
    refusal: Refusal


@dataclass(frozen=True, slots=True)
class Wait:
    """Keep the request waiting, and withdraw it if it has not started by `until_s`."""

    request_id: RequestId
    until_s: float


@dataclass(frozen=True, slots=True)
class ReleaseAt:
    """Release the assignment at `at_s`; its job may be running until then."""

    assignment: Assignment
    at_s: float


DispatchEffect: TypeAlias = Start | Refuse | Wait | ReleaseAt
