"""Forecast of where the long-running tasks of a pool can run."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from currantstage.coordination.jobs._preemption import is_preemptible
from currantstage.coordination.jobs._room_forecast import expected_end_s
from currantstage.coordination.jobs._room_request import ROOM_WITHIN_S
from currantstage.state.jobs import NO_RESOURCES

if TYPE_CHECKING:
    from collections.abc import Iterable

    from currantstage.coordination.jobs._task_record import TaskRecord
    from currantstage.coordination.jobs._worker_state import WorkerState
    from currantstage.state.jobs import Resources, WorkerId


@dataclass(slots=True, eq=False)
class ForecastSlot:
    """Capacity for long-running tasks, and the tasks that are to run there.

    Parameters
    ----------
    free : Resources
        Capacity that is free, or will be free soon.
    preemptible : Resources
        Capacity of tasks that can be stopped for long-running ones.
    labels : frozenset of str, optional
        Labels of the worker; None if they aren't known.
    tasks : list of TaskRecord
    """

    free: Resources
    preemptible: Resources = NO_RESOURCES
    labels: frozenset[str] | None = None
    tasks: list[TaskRecord] = field(default_factory=list)

    @classmethod
    def for_worker(cls, worker_state: WorkerState, now_s: float) -> ForecastSlot:
        """Return the capacity of a worker without the tasks that stay on it."""
        entry = worker_state.entry
        slot = cls(entry.capacity, labels=frozenset(entry.labels))
        latest_end_s = now_s + ROOM_WITHIN_S
        for run in worker_state.runs.values():
            if expected_end_s(run, now_s) <= latest_end_s:
                continue
            if run.step.is_long_running:
                slot.add(run.task)
                continue
            slot.free = slot.free.minus(run.reserved_resources)
            if is_preemptible(run):
                slot.preemptible = slot.preemptible.plus(run.reserved_resources)
        return slot

    def allows(self, task: TaskRecord, *, may_preempt: bool = False) -> bool:
        """Return whether `task` can run here as well."""
        step = task.step.step
        free = self.free.plus(self.preemptible) if may_preempt else self.free
        if not step.reserved_resources.fits(free):
            return False
        if not self._has_label(step.needed_label):
            return False
        here = sum(each.step is task.step for each in self.tasks)
        return not step.max_per_worker or here < step.max_per_worker

    def _has_label(self, label: str) -> bool:
        return not label or self.labels is None or label in self.labels

    def add(self, task: TaskRecord) -> None:
        """Reserve capacity for `task`."""
        self.tasks.append(task)
        self.free = self.free.minus(task.step.step.reserved_resources)

    def remove(self, task: TaskRecord) -> None:
        """Release the capacity that is reserved for `task`."""
        self.tasks.remove(task)
        self.free = self.free.plus(task.step.step.reserved_resources)


class PlacementForecast:
    """Tentative places of the long-running tasks of a pool.

    Tasks that are expected to end soon are left out: workers are held for long-running
    ones. Others take room, but only long-running ones are to be placed.

    Parameters
    ----------
    workers : iterable of WorkerState
        The workers that accept starts.
    now_s : float
    """

    def __init__(self, workers: Iterable[WorkerState], now_s: float) -> None:
        self._now_s = now_s
        self._slots: dict[WorkerId, ForecastSlot] = {}
        #: Tasks that have no place.
        self.unplaced: list[TaskRecord] = []
        for worker_state in workers:
            self.add_worker(worker_state)

    def add_worker(self, worker_state: WorkerState) -> None:
        """Add a worker that accepts starts."""
        slot = ForecastSlot.for_worker(worker_state, self._now_s)
        self._slots[worker_state.entry.worker] = slot

    def assign(self, task: TaskRecord, *, may_preempt: bool = False) -> bool:
        """Reserve a place for `task`; return False if there is none."""
        allowed = [
            slot
            for slot in self._slots.values()
            if slot.allows(task, may_preempt=may_preempt)
        ]
        if not allowed:
            return False
        # Packed as by `SpreadPlacement`.
        slot = min(allowed, key=lambda each: each.free.cpu_millicores)
        slot.add(task)
        return True

    def withdraw(self, worker_state: WorkerState, *, may_preempt: bool = False) -> bool:
        """Find other places for the tasks of a worker that is to leave.

        If any of them has none, nothing changes and the result is False.

        Parameters
        ----------
        may_preempt : bool
            Whether other tasks may be stopped for them.
        """
        return not self._withdraw(worker_state, may_preempt=may_preempt)

    def remaining_tasks(self, worker_state: WorkerState) -> list[TaskRecord]:
        """Return the tasks of a worker that have no other place; change nothing."""
        return self._withdraw(worker_state, is_trial=True)

    def _withdraw(
        self,
        worker_state: WorkerState,
        *,
        is_trial: bool = False,
        may_preempt: bool = False,
    ) -> list[TaskRecord]:
        """Withdraw a worker unless tasks remain on it; return those that do."""
        worker = worker_state.entry.worker
        slot = self._slots.pop(worker, None)
        tasks = list(slot.tasks) if slot else staying_tasks(worker_state)
        remaining = [
            task for task in tasks if not self.assign(task, may_preempt=may_preempt)
        ]
        if is_trial or remaining:
            for task in tasks:
                if task not in remaining:
                    self._unassign(task)
            if slot is not None:
                self._slots[worker] = slot
        return remaining

    def missing_vms(self, capacity: Resources) -> int:
        """Return how many VMs of `capacity` the tasks without a place need."""
        return packed_vms(self.unplaced, capacity)

    def _unassign(self, task: TaskRecord) -> None:
        slot = next(each for each in self._slots.values() if task in each.tasks)
        slot.remove(task)


def staying_tasks(worker_state: WorkerState) -> list[TaskRecord]:
    """Return the long-running tasks of a worker that aren't being stopped."""
    return [
        run.task
        for run in worker_state.runs.values()
        if run.step.is_long_running and not run.is_stopping
    ]


def packed_vms(tasks: Iterable[TaskRecord], capacity: Resources) -> int:
    """Return how many empty VMs of `capacity` hold `tasks`, the largest tasks first.

    Tasks that no empty VM holds are left out.
    """
    slots: list[ForecastSlot] = []
    for task in sorted(tasks, key=_size, reverse=True):
        slot = next((each for each in slots if each.allows(task)), None)
        if slot is None:
            slot = ForecastSlot(capacity)
            if not slot.allows(task):
                continue
            slots.append(slot)
        slot.add(task)
    return len(slots)


def _size(task: TaskRecord) -> tuple[int, int, int]:
    resources = task.step.step.reserved_resources
    return (
        resources.accelerators,
        resources.memory_mb,
        resources.cpu_millicores,
    )
