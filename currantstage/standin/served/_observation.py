"""What the workers' records say about the jobs that have been accepted."""

from __future__ import annotations

from typing import TYPE_CHECKING

from currantstage.standin.served._standstill import StandingJob, WorkerRoom
from currantstage.state.jobs import TaskKey

if TYPE_CHECKING:
    from collections.abc import Iterator

    from currantstage.standin.jobs import Oracle
    from currantstage.standin.served._served_workers import ServedWorkers
    from currantstage.state.jobs import JobId, Resources, Submission


class JobObserver:
    """Follows the accepted jobs until all their tasks are done.

    Parameters
    ----------
    oracle : Oracle
    workers : ServedWorkers
    """

    def __init__(self, oracle: Oracle, workers: ServedWorkers) -> None:
        self._oracle = oracle
        self._workers = workers
        self._unfinished: dict[JobId, Submission] = {}

    @property
    def has_unfinished_jobs(self) -> bool:
        """Whether tasks of accepted jobs aren't done."""
        return bool(self._unfinished)

    def add(self, submission: Submission) -> None:
        """Follow a job that has been accepted."""
        self._unfinished[submission.job] = submission

    def standing_jobs(self) -> Iterator[StandingJob]:
        """Return the unfinished jobs of which nothing runs and a task is ready."""
        running = {
            task.job
            for worker in self._workers.workers.values()
            if worker.is_up
            for task in worker.runs
        }
        for job, submission in tuple(self._unfinished.items()):
            if job in running:
                continue
            ready = tuple(self._ready_tasks(submission))
            if ready:
                yield StandingJob(job, submission.pool, ready)
            else:
                del self._unfinished[job]

    def worker_rooms(self) -> list[WorkerRoom]:
        """Return the room of all workers that are up."""
        return [
            WorkerRoom(
                worker.entry.pool, worker.entry.capacity, worker.used_resources()
            )
            for worker in self._workers.workers.values()
            if worker.is_up
        ]

    def _ready_tasks(self, submission: Submission) -> Iterator[Resources]:
        """Return what a task of each step needs whose turn has come."""
        for number, step in enumerate(submission.steps):
            is_due = all(self._is_done(submission, each) for each in step.after)
            if is_due and not self._is_done(submission, number):
                yield step.reserved_resources

    def _is_done(self, submission: Submission, step: int) -> bool:
        return all(
            TaskKey(submission.job, 0, step, number) in self._oracle.done
            for number in range(submission.steps[step].task_count)
        )
