"""Scheduling of tasks on the workers of all pools."""

from __future__ import annotations

from typing import TYPE_CHECKING

from currantstage.coordination.jobs._adopted_runs import AdoptedRuns
from currantstage.coordination.jobs._arrivals import ArrivalMeter
from currantstage.coordination.jobs._availability import may_interrupt
from currantstage.coordination.jobs._early_cancellations import EarlyCancellations
from currantstage.coordination.jobs._job_table import JobTable
from currantstage.coordination.jobs._ordering import LeastWorkFirst, timeliness_at_end
from currantstage.coordination.jobs._pause_limits import PauseLimits
from currantstage.coordination.jobs._placement import SpreadPlacement
from currantstage.coordination.jobs._progress_batch import ProgressBatcher
from currantstage.coordination.jobs._records import DEFAULT_MAX_ATTEMPTS
from currantstage.coordination.jobs._refusal import record_refusal
from currantstage.coordination.jobs._run import Run, RunPhase
from currantstage.coordination.jobs._run_lifecycle import RunLifecycle
from currantstage.coordination.jobs._run_supervisor import RunSupervisor
from currantstage.coordination.jobs._task_placer import TaskPlacer, pool_of
from currantstage.coordination.jobs._team_rates import TeamRates
from currantstage.coordination.jobs._team_usage import TeamUsage
from currantstage.coordination.jobs._worker_table import WorkerTable
from currantstage.state.jobs import (
    JobState,
    OrderOutcome,
    PaceOrder,
    RenewalReply,
    StartOrder,
    StopOrder,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from currantstage.coordination.jobs._inherited_leases import InheritedLeases
    from currantstage.coordination.jobs._leaving_runs import LeavingRun
    from currantstage.coordination.jobs._ordering import StepOrder, Timeliness
    from currantstage.coordination.jobs._placement import TaskPlacement
    from currantstage.coordination.jobs._preemption import PreemptedRun
    from currantstage.coordination.jobs._progress_batch import ProgressBatch
    from currantstage.coordination.jobs._records import JobRecord, StepRecord
    from currantstage.coordination.jobs._reply_comparison import RunChanges
    from currantstage.coordination.jobs._run_loss import LostRun
    from currantstage.coordination.jobs._task_record import TaskRecord
    from currantstage.coordination.jobs._tuning import SchedulerTuning
    from currantstage.coordination.jobs._worker_state import WorkerState
    from currantstage.state import PoolId, QueueId
    from currantstage.state.jobs import (
        EndedTask,
        FleetConfiguration,
        JobId,
        PageKey,
        RenewalOrder,
        StoredProgress,
        Submission,
        Term,
        WorkerEntry,
        WorkerId,
    )


class Scheduler:
    """The scheduler of all pools, for one term of its lease.

    All methods are synchronous and none of them does I/O. The start of a run is ordered
    only after the write that names its worker is confirmed, so that the next scheduler
    knows where each task may be running.

    Parameters
    ----------
    term : Term
    configuration : FleetConfiguration
    tuning : SchedulerTuning
    order : StepOrder, optional
    placement : TaskPlacement, optional
    """

    def __init__(
        self,
        term: Term,
        configuration: FleetConfiguration,
        tuning: SchedulerTuning,
        order: StepOrder | None = None,
        placement: TaskPlacement | None = None,
    ) -> None:
        self.term = term
        self.jobs = JobTable()
        self.workers = WorkerTable(term, tuning)
        self.teams = TeamUsage()
        self.team_rates = TeamRates()
        self.arrivals = ArrivalMeter()
        self.early_cancellations = EarlyCancellations()
        self._configuration = configuration
        #: Limits of all queues that this scheduler has known: a job keeps the last one
        #: of its queue while that is withdrawn.
        self._max_attempts: dict[QueueId, int] = {}
        self._note_attempts()
        self._tuning = tuning
        self._task_placer = TaskPlacer(
            self.jobs,
            self.workers,
            self.teams,
            order or LeastWorkFirst(),
            placement or SpreadPlacement(),
        )
        self._batcher = ProgressBatcher(self.jobs)
        self.adopted_runs = AdoptedRuns()
        self._lifecycle = RunLifecycle(
            self.jobs, self.workers, self.teams, self.max_attempts, self.adopted_runs
        )
        self._supervisor = RunSupervisor(self._lifecycle, tuning)
        self._pause_limits = PauseLimits()
        self._preempted: list[PreemptedRun] = []
        #: Whether a worker has seen the fence of a later term.
        self.is_superseded = False

    @property
    def configuration(self) -> FleetConfiguration:
        """The configuration in force."""
        return self._configuration

    def configure(self, configuration: FleetConfiguration) -> None:
        """Apply a newer configuration."""
        self._configuration = configuration
        self._note_attempts()

    def restore(
        self,
        submission: Submission,
        progress: StoredProgress | None,
        is_cancelled: bool,
        leases: InheritedLeases,
        now_s: float,
        unix_ms: float,
    ) -> None:
        """Restore a stored job; the list of workers must have been applied before.

        Jobs are restored in the order in which they were accepted.
        """
        age_s = max(0.0, unix_ms - submission.accepted_unix_ms) / 1000
        record = self._add_job(submission, now_s - age_s)
        if progress is not None:
            for task in self.jobs.restore(record, progress):
                self._adopt(task, leases, now_s)
        if is_cancelled:
            self.cancel(submission.job, now_s)

    def submit(self, submission: Submission, now_s: float) -> None:
        """Add a job that is stored; do nothing if it is already known."""
        if self.jobs.get(submission.job) is not None:
            return
        record = self._add_job(submission, now_s)
        if submission.job in self.early_cancellations:
            self.early_cancellations.discard(submission.job)
            self.cancel(submission.job, now_s)
            return
        if record.remaining_short_core_s and not record.is_beyond_share:
            pool = self.pool_of(record)
            self.arrivals.add(
                pool, record.remaining_short_core_s, now_s, record.ready_short_cores
            )

    def cancel(self, job: JobId, now_s: float) -> None:
        """Cancel a job whose cancellation is stored, also one that comes later."""
        record = self.jobs.get(job)
        if record is None:
            self.early_cancellations.add(job, now_s)
            return
        if record.state.is_final:
            return
        self.jobs.end(record, JobState.CANCELLED)
        self._lifecycle.stop_runs(record)

    def state_of(self, job: JobId) -> JobState | None:
        """Return the state of a job that is reported to callers; None if unknown."""
        record = self.jobs.get(job)
        return record.shown_state if record else None

    def lateness_of(self, record: JobRecord, now_s: float) -> Timeliness:
        """Return whether a job that ends now meets its objective."""
        queue = self._configuration.queue(record.submission.queue)
        return timeliness_at_end(record, queue, now_s)

    def waiting_count(self, queue: QueueId) -> int:
        """Return how many jobs of `queue` have not started any task."""
        return self.jobs.waiting_count(queue)

    def update_workers(self, entries: Iterable[WorkerEntry], now_s: float) -> None:
        """Apply the list of workers."""
        for run in self.workers.update(entries, now_s):
            self._lifecycle.on_lost(run)

    def place(self, now_s: float, unix_ms: float) -> None:
        """Place ready tasks that fit; their starts wait for the next write."""
        self.jobs.open_due(unix_ms)
        self._pause_limits.apply(self.workers.states(), now_s)
        placed = self._task_placer.place(self._configuration, now_s)
        self._batcher.add_starts(placed)
        for each in self._task_placer.holds.take_preempted():
            self._lifecycle.stop(each.run)
            self._preempted.append(each)

    def tick(self, now_s: float) -> None:
        """Release expired runs, stop stalled ones, resend unconfirmed stop orders."""
        for run in self.workers.release_expired_runs(now_s):
            self._lifecycle.on_expired(run, now_s)
        for run in self.workers.take_late_ends():
            self._lifecycle.on_late_end(run)
        self._supervisor.check(self.workers.states(), now_s)

    def take_batch(self) -> ProgressBatch | None:
        """Return the next batch to store; None if nothing has changed."""
        return self._batcher.take()

    def on_batch_failed(self, batch: ProgressBatch) -> None:
        """Mark everything in `batch` as unsaved again."""
        self._batcher.on_failed(batch)

    def on_batch_refused(self, batch: ProgressBatch) -> JobRecord | None:
        """Return the job that the store rejects, which is ended, once it is known."""
        refused = self._batcher.on_refused(batch)
        if refused is not None:
            self._lifecycle.stop_runs(refused)
        return refused

    def take_obsolete_pages(self) -> list[PageKey]:
        """Return the stored pages of progress that are not needed any more."""
        return self._batcher.take_obsolete()

    def on_batch_stored(self, batch: ProgressBatch) -> list[Run]:
        """Return the runs whose start may be ordered now that `batch` is stored."""
        return self._batcher.on_stored(batch)

    def start_order(
        self, run: Run, now_s: float, max_delay_s: float = 0.0
    ) -> StartOrder | None:
        """Return the start order for a stored run; None if it is no longer valid.

        It is sent by `max_delay_s` from now at the latest.
        """
        worker_state = self.workers.get(run.worker)
        if (
            worker_state is None
            or run.task.run is not run
            or run.phase is not RunPhase.UNSENT
        ):
            return None
        until_ms = None
        if worker_state.is_responsive:
            until_ms = worker_state.grant_until_ms(now_s, self._tuning, max_delay_s)
        if until_ms is None:
            self.withdraw_start(run)
            return None
        run.phase = RunPhase.SENT
        run.fence = worker_state.fence
        return StartOrder(
            worker=worker_state.entry,
            task=run.task.key,
            run=run.number,
            spec=run.task.step.job.submission.spec,
            fence=worker_state.fence,
            until_ms=until_ms,
            checkpoint=run.task.checkpoint,
            ticket=run.task.step.ticket(run.worker, now_s) or "",
        )

    def withdraw_start(self, run: Run) -> None:
        """Requeue the task of a stored run whose start may not be sent now."""
        if run.task.run is run and run.phase is RunPhase.UNSENT:
            self._lifecycle.release(run)
            self._lifecycle.retry(run.task)

    def on_start_outcome(self, run: Run, outcome: OrderOutcome, now_s: float) -> None:
        """Apply the outcome of a start order."""
        worker_state = self.workers.get(run.worker)
        if worker_state is not None:
            worker_state.lease.settle_grant(outcome, now_s)
        if worker_state is None or run.task.run is not run:
            return
        if outcome is OrderOutcome.ACCEPTED:
            self._lifecycle.on_accepted(run, now_s)
        elif run.phase is RunPhase.RUNNING:
            return
        elif outcome is OrderOutcome.UNKNOWN:
            run.put_in_doubt(now_s)
        elif outcome is OrderOutcome.OTHER_WORKER:
            # The answer of another process: this run never started.
            run.phase = RunPhase.UNSENT
            for lost in self.workers.end_incarnation(worker_state):
                self._lifecycle.on_lost(lost)
        else:
            self._on_refused(worker_state, run, outcome, now_s)

    def can_settle_starts(self, worker: WorkerId) -> bool:
        """Return whether a renewal can settle the starts in doubt on a worker."""
        worker_state = self.workers.get(worker)
        return worker_state is not None and worker_state.can_settle_starts()

    def next_renewal(self, worker: WorkerId, now_s: float) -> RenewalOrder | None:
        """Return the next renewal for a worker; None if none is due."""
        worker_state = self.workers.get(worker)
        if worker_state is None or not worker_state.is_renewal_due(now_s):
            return None
        return worker_state.next_renewal(now_s, self._tuning)

    def has_unstored_ends(self, worker: WorkerId) -> bool:
        """Return whether a worker has listed ends that can't be acknowledged yet."""
        worker_state = self.workers.get(worker)
        return worker_state is not None and bool(worker_state.unstored_ends)

    def on_renewal_outcome(
        self,
        order: RenewalOrder,
        reply: RenewalReply | OrderOutcome,
        sent_s: float,
        now_s: float,
    ) -> Sequence[EndedTask]:
        """Apply a worker's reply to a renewal, or the failure to get one.

        Returns
        -------
        sequence of EndedTask
            Ends that the worker has not listed before.
        """
        if isinstance(reply, OrderOutcome):
            worker_state = self.workers.get(order.worker.worker)
            is_newest = worker_state is not None and order.fence >= worker_state.fence
            if reply is OrderOutcome.FENCED and is_newest:
                self.is_superseded = True
            for run in self.workers.on_renewal_failure(order, reply, sent_s, now_s):
                self._lifecycle.on_lost(run)
            return ()
        changes = self.workers.on_renewal_reply(order, reply, sent_s, now_s)
        self._apply_changes(order.worker.worker, changes, now_s)
        return changes.ended

    def may_renew(self, worker: WorkerId) -> bool:
        """Return whether a worker may have to be sent renewals, now or later."""
        worker_state = self.workers.get(worker)
        return worker_state is not None and not worker_state.is_retired

    def is_silent(self, worker: WorkerId) -> bool:
        """Return whether a worker has not answered several consecutive renewals."""
        worker_state = self.workers.get(worker)
        return worker_state is not None and worker_state.is_silent

    def clock_age_s(self, worker: WorkerId, now_s: float) -> float | None:
        """Return the age of the latest reading of a worker's clock, in seconds.

        None if its known incarnation has not been heard of.
        """
        worker_state = self.workers.get(worker)
        return worker_state.clock.age_s(now_s) if worker_state is not None else None

    def has_open_orders(self) -> bool:
        """Return whether workers are about to settle starts or stops.

        Those on workers that don't answer are left out.
        """
        return any(
            worker_state.has_open_orders()
            for worker_state in self.workers.states()
            if not worker_state.is_silent
        )

    def take_stop_orders(self) -> Sequence[StopOrder]:
        """Return the stop orders to send now."""
        return self._supervisor.take_stops()

    def take_pace_orders(self) -> Sequence[PaceOrder]:
        """Return the pace orders to send now."""
        return self._supervisor.take_paces()

    def take_lost_runs(self) -> Sequence[LostRun]:
        """Return the runs that were lost since the last call, to be reported."""
        return self._lifecycle.take_lost()

    def take_preempted_runs(self) -> Sequence[PreemptedRun]:
        """Return the runs preempted since the last call, to be reported."""
        preempted, self._preempted = self._preempted, []
        return preempted

    def held_workers(self, step: StepRecord) -> int:
        """Return how many workers are held for the waiting tasks of `step`."""
        return len(self._task_placer.holds.held_for(step, self.pool_of(step.job)))

    def retire_worker(self, worker: WorkerId) -> None:
        """Record that the platform has ended a worker, as ordered."""
        worker_state = self.workers.get(worker)
        if worker_state is not None:
            for run in self.workers.retire(worker_state):
                self._lifecycle.on_lost(run)

    def end_worker(self, worker: WorkerId, *, is_planned: bool) -> bool:
        """Record that a worker's VM has it no more; return whether that is news.

        It is called as before while it is listed, in case the list of VMs was wrong.
        """
        worker_state = self.workers.get(worker)
        if worker_state is None or worker_state.is_retired:
            return False
        for run in self.workers.end_without_vm(worker_state, is_planned=is_planned):
            self._lifecycle.on_lost(run)
        return True

    def reinstate_worker(self, worker: WorkerId) -> bool:
        """Record that a worker runs on; return whether it was taken for ended.

        It is called again, and its next lists show what it runs.
        """
        worker_state = self.workers.get(worker)
        if worker_state is None or not worker_state.is_retired:
            return False
        worker_state.is_retired = False
        return True

    def interrupt(self, run: Run, now_s: float) -> bool:
        """Stop a run for planned work; return False if its budget forbids it now."""
        if run.is_stopping:
            return True
        if not may_interrupt(run, now_s):
            return False
        self._lifecycle.stop(run)
        return True

    def hold_room_for(self, runs: Iterable[LeavingRun], now_s: float) -> None:
        """Hold room for the tasks of long-running runs that planned work is to stop.

        It is held until the next call, or until the task has left and been placed.
        """
        self._task_placer.hold_room_for(runs, self._configuration, now_s)

    def held_rooms(self, step: StepRecord, now_s: float) -> int:
        """Return how many workers held for `step` can take one of its tasks now."""
        pool = self.pool_of(step.job)
        return self._task_placer.holds.rooms(step, pool, now_s)

    def team_allows(self, step: StepRecord) -> bool:
        """Return whether the upper limit of its team allows one more task of a step."""
        return self.teams.allows(
            step.job.submission.team, step.step.resources, self._configuration
        )

    def pool_of(self, job: JobRecord) -> PoolId:
        """Return the pool that the job's queue is routed to now."""
        return pool_of(job, self._configuration)

    def max_attempts(self, record: JobRecord) -> int:
        """Return how many runs of a task of `record` may fail."""
        submission = record.submission
        default = submission.max_attempts or DEFAULT_MAX_ATTEMPTS
        return self._max_attempts.get(submission.queue, default)

    def _add_job(self, submission: Submission, accepted_s: float) -> JobRecord:
        record = self.jobs.add(submission, accepted_s)
        team = self._configuration.team(submission.team)
        record.is_beyond_share = not self.team_rates.take(team, accepted_s)
        return record

    def _note_attempts(self) -> None:
        for queue in self._configuration.queues:
            self._max_attempts[queue.queue] = queue.max_attempts

    def _adopt(self, task: TaskRecord, leases: InheritedLeases, now_s: float) -> None:
        run = Run.adopted(task, now_s)
        unrenewed_since_s = leases.unrenewed_since_s(task.worker)
        if unrenewed_since_s is not None:
            run.unrenewed_before_s = max(0.0, now_s - unrenewed_since_s)
        self.workers.adopt(run, leases)
        task.assign(run)
        self.teams.add(run.team, run.step.resources)
        self.adopted_runs.add(run)

    def _apply_changes(
        self, worker: WorkerId, changes: RunChanges, now_s: float
    ) -> None:
        worker_state = self.workers.get(worker)
        if worker_state is None:
            return
        if changes.ended:
            self._batcher.with_unstored_ends[worker] = worker_state
        for ended in changes.ended:
            self._lifecycle.on_end(worker_state, ended, now_s)
        for run in changes.lost:
            self._lifecycle.on_lost(run)
        if changes.stops:
            self._supervisor.add_stops(changes.stops)
        for run in changes.running:
            self._lifecycle.on_listed(run, worker_state.entry.born_ms)
        self._supervisor.adjust_pace(worker_state, now_s)

    def _on_refused(
        self, worker_state: WorkerState, run: Run, outcome: OrderOutcome, now_s: float
    ) -> None:
        record_refusal(worker_state, run, outcome, now_s)
        if outcome is OrderOutcome.FENCED and run.fence >= worker_state.fence:
            self.is_superseded = True
        self._lifecycle.release(run)
        self._lifecycle.retry(run.task)
