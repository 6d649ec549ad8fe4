"""Room that the simulated workers have for a task, whatever the scheduler thinks."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from currantstage.standin.jobs._simulated_worker import SimulatedWorker
    from currantstage.standin.jobs._workers import SimulatedWorkers
    from currantstage.state import PoolId
    from currantstage.state.jobs import Step, TaskKey

#: Number of workers that must have room for a task that waits.
MIN_WORKERS_WITH_ROOM = 2


def has_room(
    workers: SimulatedWorkers, pool: PoolId, task: TaskKey, step: Step
) -> bool:
    """Return whether enough workers of `pool` can be reached and have room."""
    workers_with_room = sum(
        worker.entry.pool == pool
        and workers.is_reachable(worker.entry.worker)
        and _fits(worker, task, step)
        for worker in workers.workers.values()
    )
    return workers_with_room >= MIN_WORKERS_WITH_ROOM


def used_cpu_share(workers: SimulatedWorkers, pool: PoolId) -> float:
    """Return which share of the CPU of the workers of `pool` is in use."""
    in_pool = [each for each in workers.workers.values() if each.entry.pool == pool]
    total = sum(each.entry.capacity.cpu_millicores for each in in_pool)
    used = sum(each.used_resources().cpu_millicores for each in in_pool)
    return used / total if total else 1.0


def _fits(worker: SimulatedWorker, task: TaskKey, step: Step) -> bool:
    """Return whether a worker has room for a task, beside those that it runs."""
    if step.needed_label and step.needed_label not in worker.entry.labels:
        return False
    same_step = sum(
        (each.job, each.step) == (task.job, task.step) for each in worker.runs
    )
    if step.max_per_worker and same_step >= step.max_per_worker:
        return False
    return (
        worker.used_resources()
        .plus(step.reserved_resources)
        .fits(worker.entry.capacity)
    )
