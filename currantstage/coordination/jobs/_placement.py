"""Selection of the worker for a task."""

from __future__ import annotations

from collections import Counter
from enum import Enum
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Sequence

    from currantstage.coordination.jobs._records import StepRecord, TaskRecord
    from currantstage.coordination.jobs._worker_state import WorkerState


class PlacementObstacle(Enum):
    """Why a worker that accepts starts can't take a task of a step."""

    LABEL = "label"
    CAPACITY = "capacity"
    TASKS_PER_WORKER = "tasks-per-worker"


class TaskPlacement(Protocol):
    """Selects the worker that runs a task."""

    def choose(
        self, task: TaskRecord, workers: Sequence[WorkerState]
    ) -> WorkerState | None:
        """Return the worker for `task`, or None if no worker can take it now."""


class SpreadPlacement:
    """Prefers workers in the preferred rack, then those with the most free CPU.

    Long-running tasks prefer the worker with the least free CPU instead. Workers on
    which the task has failed before come last.
    """

    def choose(
        self, task: TaskRecord, workers: Sequence[WorkerState]
    ) -> WorkerState | None:
        """Return the worker for `task`, or None if no worker can take it now."""
        allowed = [each for each in workers if allows(task.step, each)]
        if not allowed:
            return None
        preferred_rack = _preferred_rack(task.step, allowed)
        # Long-running tasks are packed onto few VMs, so that the others can be moved.
        sign = -1 if task.step.step.is_long_running else 1
        return max(
            allowed,
            key=lambda each: (
                each.entry.worker not in task.failed_on,
                not preferred_rack or each.entry.rack == preferred_rack,
                sign * each.free.cpu_millicores,
                sign * each.free.memory_mb,
            ),
        )


def allows(step: StepRecord, worker: WorkerState) -> bool:
    """Return whether one more task of `step` may run on `worker`."""
    return obstacle(step, worker) is None


def obstacle(step: StepRecord, worker: WorkerState) -> PlacementObstacle | None:
    """Return why no more task of `step` may run on `worker`; None if one may."""
    spec = step.step
    if spec.needed_label and spec.needed_label not in worker.entry.labels:
        return PlacementObstacle.LABEL
    if not spec.reserved_resources.fits(worker.free):
        return PlacementObstacle.CAPACITY
    if spec.max_per_worker:
        here = sum(run.worker == worker.entry.worker for run in step.runs())
        if here >= spec.max_per_worker:
            return PlacementObstacle.TASKS_PER_WORKER
    return None


def _preferred_rack(step: StepRecord, workers: Sequence[WorkerState]) -> str:
    spec = step.step
    if spec.preferred_rack:
        return spec.preferred_rack
    if not spec.same_rack:
        return ""
    racks = {each.entry.worker: each.entry.rack for each in workers}
    used = Counter(racks[run.worker] for run in step.runs() if run.worker in racks)
    if used:
        return used.most_common(1)[0][0]
    free_cpu_millicores: Counter[str] = Counter()
    for each in workers:
        free_cpu_millicores[each.entry.rack] += each.free.cpu_millicores
    return free_cpu_millicores.most_common(1)[0][0]
