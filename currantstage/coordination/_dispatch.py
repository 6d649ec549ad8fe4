"""Choose the backend server for a request and account for its slots."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from currantstage.coordination._keys import identify_team
from currantstage.coordination._outcomes import (
    Refusal,
    RefusalReason,
    SendFailure,
    Uncertain,
)

if TYPE_CHECKING:
    from currantstage.coordination._configuration import Configuration
    from currantstage.coordination._policies import TeamLimiter, WorkerSlots
    from currantstage.state import DataCentreId, Queue, QueueId, TeamId, Vm

#: Advice to a caller when every slot is taken, in seconds.
RETRY_AFTER_S = 1.0


@dataclass(frozen=True, slots=True)
class Assignment:
    """A request that holds a slot of a backend server.

    Parameters
    ----------
    vm : Vm
    team : TeamId or None
    timeout_s : float
        Time left for the answer, in seconds.
    """

    vm: Vm
    team: TeamId | None
    timeout_s: float


class Dispatcher:
    """Admits requests and assigns them to backend servers.

    Parameters
    ----------
    configuration : Configuration
    data_centre : DataCentreId
        Where this entry VM stands; only its backend servers are used.
    limiter : TeamLimiter
    slots : WorkerSlots
    """

    def __init__(
        self,
        configuration: Configuration,
        data_centre: DataCentreId,
        limiter: TeamLimiter,
        slots: WorkerSlots,
    ) -> None:
        self._configuration = configuration
        self._data_centre = data_centre
        self._limiter = limiter
        self._slots = slots
        self._is_stopping = False

    @property
    def is_stopping(self) -> bool:
        """Whether new requests are refused."""
        return self._is_stopping

    def stop_admission(self) -> None:
        """Refuse new requests from now on; running ones finish."""
        self._is_stopping = True

    def admit(
        self, queue_id: QueueId, presented_key: str | None
    ) -> Result[Assignment, Refusal]:
        """Return the slot that the request takes, or why it is not run."""
        if self._is_stopping:
            return Failure(Refusal(RefusalReason.STOPPING, RETRY_AFTER_S))
        fleet = self._configuration.fleet
        queue = fleet.queues.get(queue_id)
        if queue is None:
            return Failure(Refusal(RefusalReason.QUEUE_UNKNOWN))
        identified = identify_team(fleet, queue, presented_key)
        if isinstance(identified, Failure):
            return identified
        return self._assign(queue, identified.unwrap())

    def finish(self, assignment: Assignment) -> None:
        """Give back what `assignment` holds."""
        self._slots.release(assignment.vm.vm_id)
        if assignment.team is not None:
            self._limiter.release(assignment.team)

    def _assign(self, queue: Queue, team: TeamId | None) -> Result[Assignment, Refusal]:
        vm = self._least_loaded(queue)
        if vm is None:
            return Failure(Refusal(RefusalReason.NO_CAPACITY, RETRY_AFTER_S))
        if team is not None and not self._limiter.try_acquire(team):
            return Failure(Refusal(RefusalReason.TEAM_AT_LIMIT, RETRY_AFTER_S))
        self._slots.try_acquire(vm.vm_id)
        return Success(Assignment(vm, team, queue.timeout_ms / 1000))

    def _least_loaded(self, queue: Queue) -> Vm | None:
        fleet = self._configuration.fleet
        candidates = [
            vm
            for pool_id in queue.pools
            if fleet.pools[pool_id].data_centre == self._data_centre
            for vm in fleet.vms_of_pool(pool_id)
            if self._slots.free_slots(vm.vm_id) > 0
        ]
        return max(
            candidates,
            key=lambda vm: self._slots.free_slots(vm.vm_id) / vm.slots,
            default=None,
        )


def conclude(failure: SendFailure) -> Refusal | Uncertain:
    """Return what is certain after a request got no whole answer."""
    if failure is SendFailure.NOT_SENT:
        return Refusal(RefusalReason.UNREACHABLE, RETRY_AFTER_S)
    return Uncertain("the backend server gave no whole answer")
