"""Selection of the worker for a task."""

from __future__ import annotations

from collections import Counter
from enum import Enum
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Iterator

    from currantstage.coordination.jobs._records import StepRecord
    from currantstage.coordination.jobs._task_record import TaskRecord
    from currantstage.coordination.jobs._worker_room import CandidateWorkers
    from currantstage.coordination.jobs._worker_state import WorkerState
    from currantstage.state.jobs import Resources


class PlacementObstacle(Enum):
    """Why a worker that accepts starts can't take a task of a step."""

    LABEL = "label"
    CAPACITY = "capacity"
    TASKS_PER_WORKER = "tasks-per-worker"


class TaskPlacement(Protocol):
    """Selects the worker that runs a task."""

    def choose(self, task: TaskRecord, workers: CandidateWorkers) -> WorkerState | None:
        """Return the worker for `task`, or None if no worker can take it now."""


class SpreadPlacement:
    """Prefers workers in the preferred rack, then those with the most free CPU.

    Long-running tasks prefer the worker with the least free CPU instead. Workers on
    which the task has failed before come last.
    """

    def choose(self, task: TaskRecord, workers: CandidateWorkers) -> WorkerState | None:
        """Return the worker for `task`, or None if no worker can take it now."""
        needs = StepNeeds(task.step)
        rack = _preferred_rack(task.step, needs, workers)
        if task.crashes:
            return _choose_for_suspect(task, needs, rack, workers)
        best: WorkerState | None = None
        best_suits = (False, False)
        for each in _by_preference(task.step, needs, workers):
            if needs.obstacle(each) is not None:
                continue
            suits = (
                each.entry.worker not in task.failed_on,
                not rack or each.entry.rack == rack,
            )
            if all(suits):
                return each
            if best is None or suits > best_suits:
                best, best_suits = each, suits
        return best


def _choose_for_suspect(
    task: TaskRecord, needs: StepNeeds, rack: str, workers: CandidateWorkers
) -> WorkerState | None:
    """Return the worker with the fewest other suspects, then as for other tasks.

    Tasks that were lost with a worker are spread, so that the next crash tells which of
    them caused it, and takes few others along.
    """

    def rank(worker: WorkerState) -> tuple[bool, int, bool, int]:
        return (
            worker.entry.worker in task.failed_on,
            worker.suspect_runs,
            bool(rack) and worker.entry.rack != rack,
            len(worker.runs),
        )

    fitting = (
        each
        for each in _by_preference(task.step, needs, workers)
        if needs.obstacle(each) is None
    )
    return min(fitting, key=rank, default=None)


class StepNeeds:
    """What a worker must have to take one more task of a step.

    Parameters
    ----------
    step : StepRecord
    """

    def __init__(self, step: StepRecord) -> None:
        spec = step.step
        self.step = step
        self.resources = spec.reserved_resources
        self._label = spec.needed_label
        self._max_per_worker = spec.max_per_worker
        self._runs_by_worker = step.runs_by_worker

    def obstacle(self, worker: WorkerState) -> PlacementObstacle | None:
        """Return why `worker` may run no more task of the step; None if it may."""
        runs_here = self.runs_on(worker)
        return self.obstacle_with(worker, worker.free, runs_here)

    def obstacle_with(
        self, worker: WorkerState, free: Resources, runs_here: int
    ) -> PlacementObstacle | None:
        """Return the obstacle if `worker` had `free` left and ran `runs_here` tasks."""
        if self._label and self._label not in worker.entry.labels:
            return PlacementObstacle.LABEL
        if not self.resources.fits(free):
            return PlacementObstacle.CAPACITY
        if self._max_per_worker and runs_here >= self._max_per_worker:
            return PlacementObstacle.TASKS_PER_WORKER
        return None

    def runs_on(self, worker: WorkerState) -> int:
        """Return how many tasks of the step run on `worker`."""
        return self._runs_by_worker[worker.entry.worker]


def _by_preference(
    step: StepRecord, needs: StepNeeds, workers: CandidateWorkers
) -> Iterator[WorkerState]:
    # Long-running tasks are packed onto few VMs, so that the others can be moved.
    if step.step.is_long_running:
        return workers.least_free_first(needs.resources)
    return workers.most_free_first(needs.resources)


def _preferred_rack(
    step: StepRecord, needs: StepNeeds, workers: CandidateWorkers
) -> str:
    spec = step.step
    if spec.preferred_rack:
        return spec.preferred_rack
    if not spec.same_rack:
        return ""
    allowed = [
        each
        for each in workers.oldest_first(needs.resources)
        if needs.obstacle(each) is None
    ]
    if not allowed:
        return ""
    racks = {each.entry.worker: each.entry.rack for each in allowed}
    used: Counter[str] = Counter()
    for worker, runs in step.runs_by_worker.items():
        if runs and worker in racks:
            used[racks[worker]] += runs
    if used:
        return used.most_common(1)[0][0]
    free_cpu_millicores: Counter[str] = Counter()
    for each in allowed:
        free_cpu_millicores[each.entry.rack] += each.free.cpu_millicores
    return free_cpu_millicores.most_common(1)[0][0]
