"""Choose the backend server for a request and account for its slots."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from currantstage.coordination._keys import identify_team
from currantstage.coordination._outcomes import (
    Answer,
    Refusal,
    RefusalReason,
    SendFailure,
    Uncertain,
)

if TYPE_CHECKING:
    from currantstage.coordination._configuration import Configuration
    from currantstage.state import DataCentreId, QueueId, TeamId, Vm, VmId

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
        Where this entry VM stands; its backend servers are preferred.
    """

    def __init__(self, configuration: Configuration, data_centre: DataCentreId) -> None:
        self._configuration = configuration
        self._data_centre = data_centre
        self._running: Counter[VmId] = Counter()
        self._is_stopping = False

    @property
    def running_requests(self) -> int:
        """Requests that hold a slot now."""
        return self._running.total()

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
        team = identify_team(fleet, queue, presented_key)
        if isinstance(team, Failure):
            return team
        vm = self._least_loaded(queue_id)
        if vm is None:
            return Failure(Refusal(RefusalReason.NO_CAPACITY, RETRY_AFTER_S))
        self._running[vm.vm_id] += 1
        return Success(Assignment(vm, team.unwrap(), queue.timeout_ms / 1000))

    def finish(self, assignment: Assignment) -> None:
        """Give back the slot of `assignment`."""
        self._running[assignment.vm.vm_id] -= 1

    def _least_loaded(self, queue_id: QueueId) -> Vm | None:
        fleet = self._configuration.fleet
        candidates = [
            vm
            for pool_id in fleet.queues[queue_id].pools
            if fleet.pools[pool_id].data_centre == self._data_centre
            for vm in fleet.vms_of_pool(pool_id)
            if self._running[vm.vm_id] < vm.slots
        ]
        return min(
            candidates,
            key=lambda vm: (self._running[vm.vm_id] / vm.slots, vm.vm_id),
            default=None,
        )


def conclude(failure: SendFailure) -> Refusal | Uncertain:
    """Return what is certain after a request got no whole answer."""
    if failure is SendFailure.NOT_SENT:
        return Refusal(RefusalReason.UNREACHABLE, RETRY_AFTER_S)
    return Uncertain("the backend server gave no whole answer")


RequestEnd = Answer | Refusal | Uncertain
