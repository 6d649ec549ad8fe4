"""Free capacity of the workers, and which of them can take a request."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from currantstage.coordination.requests._connection_health import ServerState
from currantstage.coordination.requests._jobs import NO_SIZE, JobSize, capacity_of
from currantstage.coordination.requests._placement import Candidate

if TYPE_CHECKING:
    from collections.abc import Iterable

    from currantstage.coordination.requests._connection_health import ServerHealth
    from currantstage.coordination.requests._outliers import OutlierDetector
    from currantstage.coordination.requests._policies import WorkerSlots
    from currantstage.coordination.requests._topology import Topology
    from currantstage.coordination.requests._waiting_requests import WaitingRequest
    from currantstage.state import QueueId, Vm, VmId


class WorkerCapacity:
    """Tracks used slots and declared job sizes, and filters out unusable workers.

    Parameters
    ----------
    topology : Topology
    slots : WorkerSlots
    health : ServerHealth
    outliers : OutlierDetector
    """

    def __init__(
        self,
        topology: Topology,
        slots: WorkerSlots,
        health: ServerHealth,
        outliers: OutlierDetector,
    ) -> None:
        self._topology = topology
        self._slots = slots
        self._health = health
        self._outliers = outliers
        self._leaving: frozenset[VmId] = frozenset()
        self._used_capacity: dict[VmId, JobSize] = {}
        self._held_requests: Counter[VmId] = Counter()

    def set_leaving(self, vms: Iterable[VmId]) -> None:
        """Stop assigning requests to exactly `vms`."""
        self._leaving = frozenset(vms)

    def held_requests(self, vm: VmId) -> int:
        """Return the number of requests that hold a slot of `vm`."""
        return self._held_requests[vm]

    def has_free_slot(self, queue: QueueId, now_s: float) -> bool:
        """Return whether any usable worker of `queue` has a free slot."""
        return any(
            self._slots.free_slots(vm.vm_id) > 0 and self._is_usable(vm.vm_id, now_s)
            for vm in self._topology.vms_of_queue(queue)
        )

    def candidates(self, request: WaitingRequest, now_s: float) -> list[Candidate]:
        """Return the workers that can take `request` now.

        Workers on which an attempt failed are returned only if every usable worker of
        the queue is among them.
        """
        avoided = self._workers_to_avoid(request, now_s)
        candidates = []
        for vm in self._topology.vms_of_queue(request.queue):
            vm_id = vm.vm_id
            free = self._slots.free_slots(vm_id)
            if free <= 0 or vm_id in avoided or not self._is_usable(vm_id, now_s):
                continue
            if self._fits(vm, request.size):
                is_suspect = self._health.state_of(vm_id) is ServerState.SUSPECT
                candidates.append(Candidate(vm, free, is_suspect))
        return candidates

    def try_acquire(self, vm: Vm, size: JobSize) -> bool:
        """Acquire a slot and capacity for `size`; return False if no slot is left."""
        if not self._slots.try_acquire(vm.vm_id):
            return False
        self._held_requests[vm.vm_id] += 1
        if size != NO_SIZE:
            self._used_capacity[vm.vm_id] = _add(
                self._used_capacity.get(vm.vm_id, NO_SIZE), size, 1
            )
        return True

    def release(self, vm: Vm, size: JobSize) -> None:
        """Release what `try_acquire` acquired."""
        self._slots.release(vm.vm_id)
        self._held_requests[vm.vm_id] -= 1
        if not self._held_requests[vm.vm_id]:
            del self._held_requests[vm.vm_id]
        if size == NO_SIZE:
            return
        left = _add(self._used_capacity[vm.vm_id], size, -1)
        if left == NO_SIZE:
            del self._used_capacity[vm.vm_id]
        else:
            self._used_capacity[vm.vm_id] = left

    def _workers_to_avoid(
        self, request: WaitingRequest, now_s: float
    ) -> frozenset[VmId]:
        """Return the workers to avoid, or none if no other worker is usable."""
        avoided = request.avoided
        if avoided and any(
            vm.vm_id not in avoided and self._is_usable(vm.vm_id, now_s)
            for vm in self._topology.vms_of_queue(request.queue)
        ):
            return avoided
        return frozenset()

    def _is_usable(self, vm: VmId, now_s: float) -> bool:
        return (
            vm not in self._leaving
            and self._topology.accepts_work(vm)
            and self._health.state_of(vm) is not ServerState.DOWN
            and not self._outliers.is_ejected(vm, now_s)
        )

    def _fits(self, vm: Vm, size: JobSize) -> bool:
        if size == NO_SIZE:
            return True
        used = self._used_capacity.get(vm.vm_id, NO_SIZE)
        return _add(used, size, 1).fits(capacity_of(vm))


def _add(size: JobSize, other: JobSize, sign: int) -> JobSize:
    return JobSize(
        processors=round(size.processors + sign * other.processors, 6),
        memory_mb=size.memory_mb + sign * other.memory_mb,
        accelerators=size.accelerators + sign * other.accelerators,
    )
