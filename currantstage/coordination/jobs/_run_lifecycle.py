"""Transitions of runs, from the acceptance of their start to their end."""

from __future__ import annotations

from typing import TYPE_CHECKING

from currantstage.coordination.jobs._adopted_runs import Settlement
from currantstage.coordination.jobs._records import (
    FailureReason,
    JobFailure,
)
from currantstage.coordination.jobs._run import Run, RunPhase
from currantstage.coordination.jobs._run_loss import LossCause, LostRun, RunLoss
from currantstage.coordination.jobs._task_record import MAX_LOST_WORKERS
from currantstage.state.jobs import (
    CrashEvidence,
    CrashRecord,
    EndKind,
    JobState,
    TaskPhase,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from currantstage.coordination.jobs._adopted_runs import AdoptedRuns
    from currantstage.coordination.jobs._job_table import JobTable
    from currantstage.coordination.jobs._records import JobRecord
    from currantstage.coordination.jobs._task_record import TaskRecord
    from currantstage.coordination.jobs._team_usage import TeamUsage
    from currantstage.coordination.jobs._worker_state import WorkerState
    from currantstage.coordination.jobs._worker_table import WorkerTable
    from currantstage.state.jobs import BornMs, EndedTask

#: How long a task that has lost `MAX_LOST_WORKERS` is not started again, in seconds. A
#: worker that has crashed is usually back by then, which tells it from one cut off.
SUSPECT_PAUSE_S = 4.0


class RunLifecycle:
    """Applies what happens to runs to their tasks, jobs, workers and teams.

    A run takes up room on its worker and counts towards its team until it is released;
    its task is then requeued, or its job fails if the task has no attempts left.

    Parameters
    ----------
    jobs : JobTable
    workers : WorkerTable
    teams : TeamUsage
    max_attempts : callable
        Returns how many runs of a task of a job may fail.
    adopted_runs : AdoptedRuns
        Told how the runs of earlier schedulers are settled.
    """

    def __init__(
        self,
        jobs: JobTable,
        workers: WorkerTable,
        teams: TeamUsage,
        max_attempts: Callable[[JobRecord], int],
        adopted_runs: AdoptedRuns,
    ) -> None:
        self._jobs = jobs
        self._workers = workers
        self._teams = teams
        self._max_attempts = max_attempts
        self._adopted_runs = adopted_runs
        self._lost: list[LostRun] = []

    def on_running(self, run: Run) -> None:
        """Record that a run goes on; stop it if its job has ended."""
        if run.is_adopted:
            self._adopted_runs.settle(run, Settlement.LISTED)
        record = run.task.step.job
        if not record.is_started:
            record.is_started = True
        if record.state is JobState.QUEUED:
            record.state = JobState.RUNNING
        if record.state.is_final and not run.is_stopping:
            self.stop(run)
        if run.is_suspect and run.is_settled_in:
            self._end_suspicion(run)

    def on_listed(self, run: Run, born_ms: BornMs) -> None:
        """Record that an incarnation of a worker lists a run.

        For a long-running task that is stored, so that the next scheduler knows that
        no other incarnation can run it.
        """
        self.on_running(run)
        task = run.task
        if task.is_listed:
            return
        task.is_listed = True
        task.born_ms = born_ms
        if task.step.step.is_long_running:
            self._jobs.mark_task_unsaved(task)

    def on_accepted(self, run: Run, now_s: float) -> None:
        """Record that a worker has accepted the start of a run."""
        run.phase = RunPhase.RUNNING
        run.accepted_s = min(run.accepted_s, now_s)
        self.on_running(run)

    def on_end(
        self, worker_state: WorkerState | None, ended: EndedTask, now_s: float
    ) -> None:
        """Apply the end of a run that a worker lists."""
        task = self._jobs.task(ended.task)
        if task is None or worker_state is None:
            return
        run = worker_state.runs.get(ended.task)
        is_current = run is not None and run.number == ended.run
        if run is not None and is_current:
            self.release(run)
        if task.crashes:
            # A worker that lists the end of a run has not crashed under it.
            self._jobs.crashes.discard(task, ended.run)
        if ended.kind is EndKind.DONE:
            worker_state.record_success()
            if not task.step.job.state.is_final:
                self._on_done(task)
            return
        if task.step.job.state.is_final or task.phase is TaskPhase.DONE:
            return
        if ended.kind is EndKind.FAILED:
            worker_state.record_failure(task.step.job.job, now_s)
            task.failed_on |= {worker_state.entry.worker}
            self._jobs.count_failure(task, ended.run)
        if is_current and ended.checkpoint:
            task.record_checkpoint(ended.checkpoint, now_s)
        if task.run is None:
            self.retry(task)

    def retry(self, task: TaskRecord) -> None:
        """Requeue a task, or fail its job if the task has no attempts left."""
        record = task.step.job
        reason = self._failure_reason(task)
        if reason is not None:
            self._jobs.fail(record, JobFailure(reason, task.key))
            self.stop_runs(record)
            return
        self._jobs.requeue(task)
        if task.step.step.is_gang:
            self._stop_members(task)

    def on_lost(self, run: Run) -> None:
        """Apply the loss of a run that the worker table has already released."""
        self._teams.remove(run.team, run.step.resources)
        self._adopted_runs.settle_lost(run)
        if run.loss is not None:
            self._lost.append(LostRun(run, run.loss))
            self._count_crash(run, run.loss)
        if run.task.run is run:
            run.task.assign(None)
            if not run.task.step.job.state.is_final:
                self.retry(run.task)

    def on_expired(self, run: Run, now_s: float) -> None:
        """Apply the loss of a run whose lease has expired on a silent worker."""
        self._adopted_runs.settle(run, Settlement.LEASE_EXPIRED)
        self.on_lost(run)
        if len(run.task.crashes) >= MAX_LOST_WORKERS:
            run.task.not_before_s = now_s + SUSPECT_PAUSE_S

    def on_late_end(self, run: Run) -> None:
        """Record that the worker of a run that has been lost had crashed."""
        task = run.task
        if not self._jobs.crashes.confirm(task, run.number):
            return
        companions = run.loss.companions if run.loss else 0
        self._lost.append(LostRun(run, RunLoss(LossCause.ENDED_LATE, companions)))
        if task.phase is TaskPhase.WAITING and task.is_given_up:
            self.retry(task)

    def take_lost(self) -> list[LostRun]:
        """Return the runs that were lost since the last call."""
        lost, self._lost = self._lost, []
        return lost

    def release(self, run: Run) -> None:
        """Free the room of a run on its worker and its share of the team."""
        if run.is_adopted:
            self._adopted_runs.settle(run, Settlement.LISTED)
        worker_state = self._workers.get(run.worker)
        if worker_state is not None and worker_state.runs.get(run.task.key) is run:
            worker_state.remove(run)
            self._teams.remove(run.team, run.step.resources)
        if run.task.run is run:
            run.task.assign(None)

    def stop_runs(self, record: JobRecord) -> None:
        """Stop all runs of a job."""
        for run in record.runs():
            self.stop(run)

    def stop(self, run: Run) -> None:
        """Mark a run for stopping, or release it if its start was never ordered."""
        run.is_stopping = True
        if run.phase is RunPhase.UNSENT:
            self.release(run)
            self._jobs.requeue(run.task)

    def _failure_reason(self, task: TaskRecord) -> FailureReason | None:
        """Return why a task must not be started again; None if it may be."""
        if task.is_given_up:
            return FailureReason.CRASHES
        max_attempts = self._max_attempts(task.step.job)
        if self._jobs.is_out_of_attempts(task, max_attempts):
            return FailureReason.ATTEMPTS
        return None

    def _count_crash(self, run: Run, loss: RunLoss) -> None:
        """Hold a crash against the task of a run that was lost with its worker."""
        evidence = loss.evidence
        if evidence is None or run.is_settled_in:
            return
        is_certain = evidence is CrashEvidence.PROCESS_END
        was_alone = is_certain and not loss.companions and run.has_started
        crash = CrashRecord(run.number, was_alone, not run.has_started, evidence)
        self._jobs.crashes.add(run.task, crash)

    def _end_suspicion(self, run: Run) -> None:
        """Clear a long-running task that is at work, and open its worker to others."""
        self._jobs.crashes.clear(run.task)
        worker_state = self._workers.get(run.worker)
        if run.is_trial and worker_state is not None:
            worker_state.end_trial(run)

    def _on_done(self, task: TaskRecord) -> None:
        self._jobs.complete_task(task)
        if task.run is not None:
            self.stop(task.run)

    def _stop_members(self, task: TaskRecord) -> None:
        for run in task.step.runs():
            self.stop(run)
