"""Workers that may run the tasks of a step."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from currantstage.coordination.jobs._placement import StepNeeds

if TYPE_CHECKING:
    from collections.abc import Callable

    from currantstage.coordination.jobs._placement import TaskPlacement
    from currantstage.coordination.jobs._records import StepRecord
    from currantstage.coordination.jobs._task_record import TaskRecord
    from currantstage.coordination.jobs._worker_room import CandidateWorkers
    from currantstage.coordination.jobs._worker_state import WorkerState
    from currantstage.state.jobs import JobQueue


@dataclass(frozen=True, slots=True)
class StepWorkers:
    """Workers that may run a step.

    Parameters
    ----------
    held : list of WorkerState
        Those that are held for it, the one with the first room first.
    open : CandidateWorkers
        Those that other steps may use as well.
    may_start : callable
        Whether tasks of the step may be placed on a held worker at all.
    find_shared : callable
        Returns a worker that is held for another step and has room for both, if any.
    """

    held: list[WorkerState]
    open: CandidateWorkers
    may_start: Callable[[WorkerState], bool]
    find_shared: Callable[[], WorkerState | None]

    def choose(self, task: TaskRecord, placement: TaskPlacement) -> WorkerState | None:
        """Return the worker for `task`, a held one if it has room."""
        if self.held:
            needs = StepNeeds(task.step)
            for each in self.held:
                if needs.obstacle(each) is None and self.may_start(each):
                    return each
        return placement.choose(task, self.open) or self.find_shared()

    def only(self, is_allowed: Callable[[WorkerState], bool]) -> StepWorkers:
        """Return the workers that `is_allowed` accepts, none of them a shared one."""
        held = [each for each in self.held if is_allowed(each)]
        return replace(
            self,
            held=held,
            open=self.open.only(is_allowed),
            find_shared=find_no_worker,
        )


def find_no_worker() -> None:
    """Find no shared worker; for steps that use none."""


def advised_workers(
    step: StepRecord,
    queue: JobQueue | None,
    workers: CandidateWorkers,
    now_s: float,
) -> CandidateWorkers:
    """Return the workers that the queue's advice policy allows for `step`."""
    if queue is None or queue.advice is None:
        return workers
    return workers.only(lambda each: is_advised(step, queue, each, now_s))


def is_advised(
    step: StepRecord, queue: JobQueue | None, worker: WorkerState, now_s: float
) -> bool:
    """Return whether the queue's advice policy allows `step` on `worker`."""
    if queue is None or queue.advice is None:
        return True
    return step.ticket(worker.entry.worker, now_s) is not None
