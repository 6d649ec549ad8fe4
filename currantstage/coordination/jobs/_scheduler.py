"""Decides which task runs where, and what is stored of it before it is ordered."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from currantstage.coordination.jobs._arrivals import ArrivalMeter
from currantstage.coordination.jobs._availability import may_interrupt
from currantstage.coordination.jobs._job_table import JobTable
from currantstage.coordination.jobs._ordering import LeastWorkFirst, remaining_core_s
from currantstage.coordination.jobs._pacing import PaceKeeper
from currantstage.coordination.jobs._placement import SpreadPlacement
from currantstage.coordination.jobs._placing import Placing, pool_of
from currantstage.coordination.jobs._records import DEFAULT_MAX_ATTEMPTS, Run, RunPhase
from currantstage.coordination.jobs._team_usage import TeamUsage
from currantstage.coordination.jobs._worker_book import UNHEALTHY_PAUSE_S
from currantstage.coordination.jobs._worker_table import WorkerNews, WorkerTable
from currantstage.state.jobs import (
    EndKind,
    HoldReply,
    JobState,
    OrderOutcome,
    PaceOrder,
    StartOrder,
    StopOrder,
    TaskPhase,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from currantstage.coordination.jobs._ordering import StepOrder
    from currantstage.coordination.jobs._owner_lease import LeaseClaim
    from currantstage.coordination.jobs._placement import TaskPlacement
    from currantstage.coordination.jobs._records import (
        JobRecord,
        StepRecord,
        TaskRecord,
    )
    from currantstage.coordination.jobs._tuning import SchedulerTuning
    from currantstage.coordination.jobs._worker_book import WorkerBook
    from currantstage.state import PoolId, QueueId
    from currantstage.state.jobs import (
        EndedTask,
        EndNumber,
        FleetConfiguration,
        HoldOrder,
        JobId,
        JobProgress,
        Submission,
        Term,
        WorkerEntry,
        WorkerId,
    )

#: Most jobs in one write; the store takes 100 rows, one of which is the lease.
MAX_JOBS_PER_WRITE = 90
#: How long a worker without room for what fits gets no starts, in seconds.
NO_ROOM_PAUSE_S = 0.3
#: How long a task waits after its order was malformed, in seconds.
MALFORMED_PAUSE_S = 1.0
#: How long a worker whose runs stand still gets no starts, in seconds.
STALLED_PAUSE_S = 4.0
#: How long a long-running task may take until it is at work, in seconds.
START_UP_S = 4.0


@dataclass(frozen=True, slots=True)
class ProgressBatch:
    """What is to be stored in one write.

    Parameters
    ----------
    jobs : tuple of JobRecord
    progress : tuple of JobProgress
        What is stored of each of the jobs.
    starts : tuple of Run
        Runs that may be ordered once the write is confirmed.
    ends : tuple of EndMark
        Ends that are stored with it.
    """

    jobs: tuple[JobRecord, ...]
    progress: tuple[JobProgress, ...]
    starts: tuple[Run, ...]
    ends: tuple[EndMark, ...]


@dataclass(frozen=True, slots=True)
class EndMark:
    """All ends of a worker's life up to a number."""

    worker: WorkerBook
    born_ms: int
    upto: EndNumber


class Scheduler:
    """The scheduler of all pools, for one term of its lease.

    Every method is synchronous; none sends anything. A run is ordered only after the
    write that names its worker is confirmed, so that the next scheduler knows where
    each task may be running.

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
        self.arrivals = ArrivalMeter()
        self._configuration = configuration
        self._tuning = tuning
        self._placing = Placing(
            self.jobs,
            self.workers,
            self.teams,
            order or LeastWorkFirst(),
            placement or SpreadPlacement(),
        )
        self._pace = PaceKeeper()
        #: A worker has seen the fence of a later term.
        self.is_superseded = False
        self._unsent: list[Run] = []
        self._stops: list[StopOrder] = []
        self._paces: list[PaceOrder] = []

    @property
    def configuration(self) -> FleetConfiguration:
        """The configuration that decisions follow."""
        return self._configuration

    def configure(self, configuration: FleetConfiguration) -> None:
        """Follow a newer configuration."""
        self._configuration = configuration

    def restore(
        self,
        submission: Submission,
        progress: JobProgress | None,
        is_cancelled: bool,
        claim: LeaseClaim,
        now_s: float,
    ) -> None:
        """Take over a job; the list of workers must have been applied before."""
        record = self.jobs.add(submission, now_s)
        if progress is not None:
            until_s = self.workers.takeover_bound_s(now_s, claim)
            for task in self.jobs.restore(record, progress):
                self._adopt(task, until_s, now_s)
        if is_cancelled:
            self.cancel(submission.job)

    def submit(self, submission: Submission, now_s: float) -> None:
        """Accept a job that is stored; a second call changes nothing."""
        if self.jobs.get(submission.job) is not None:
            return
        record = self.jobs.add(submission, now_s)
        for step in record.steps():
            if not step.step.is_long_running:
                self.arrivals.add(self.pool_of(step), remaining_core_s(step), now_s)

    def cancel(self, job: JobId) -> None:
        """Cancel a job whose cancelling is stored."""
        record = self.jobs.get(job)
        if record is None or record.state.is_final:
            return
        self.jobs.end(record, JobState.CANCELLED)
        self._stop_runs(record)

    def state_of(self, job: JobId) -> JobState | None:
        """Return what callers may be told of a job; None if it isn't known."""
        record = self.jobs.get(job)
        return record.shown_state if record else None

    def waiting_count(self, queue: QueueId) -> int:
        """Return how many jobs of `queue` have begun no task."""
        return self.jobs.waiting_count(queue)

    def update_workers(self, entries: Iterable[WorkerEntry], now_s: float) -> None:
        """Apply the list of workers."""
        for run in self.workers.update(entries, now_s):
            self._on_lost(run)

    def place(self, now_s: float, unix_ms: float) -> None:
        """Place what is ready and fits; the runs wait for the next write."""
        self.jobs.open_due(unix_ms)
        self._unsent.extend(self._placing.place(self._configuration, now_s))

    def tick(self, now_s: float) -> None:
        """Give up what has lapsed, and repeat stops that are not confirmed."""
        for run in self.workers.lapsed_runs(now_s):
            self._on_lost(run)
        for book in self.workers.books():
            for run in list(book.runs.values()):
                self._look_after(book, run, now_s)

    def take_batch(self) -> ProgressBatch | None:
        """Return what is to be stored next; None if nothing has changed."""
        marks = self._unstored_ends()
        if not self.jobs.has_unsaved and not marks:
            return None
        records = self.jobs.take_unsaved(MAX_JOBS_PER_WRITE)
        taken = {record.job for record in records}
        starts = [run for run in self._unsent if run.task.key.job in taken]
        return ProgressBatch(
            jobs=records,
            progress=tuple(record.progress() for record in records),
            starts=tuple(starts),
            # Only with everything that they have changed are ends stored.
            ends=() if self.jobs.has_unsaved else marks,
        )

    def batch_failed(self, batch: ProgressBatch) -> None:
        """Have everything in `batch` stored again."""
        for record in batch.jobs:
            self.jobs.mark_unsaved(record)

    def batch_stored(self, batch: ProgressBatch) -> list[Run]:
        """Return the runs that may be ordered now that `batch` is stored."""
        for record, stored in zip(batch.jobs, batch.progress, strict=True):
            record.stored_state = stored.state
        for mark in batch.ends:
            if mark.worker.entry.born_ms == mark.born_ms:
                mark.worker.seen_upto = max(mark.worker.seen_upto, mark.upto)
        stored_runs = set(map(id, batch.starts))
        self._unsent = [run for run in self._unsent if id(run) not in stored_runs]
        return [
            run
            for run in batch.starts
            if run.task.run is run and run.phase is RunPhase.UNSENT
        ]

    def start_order(self, run: Run, now_s: float) -> StartOrder | None:
        """Return the order for a stored run; None if it is not wanted any more."""
        book = self.workers.get(run.worker)
        if book is None or run.task.run is not run or run.phase is not RunPhase.UNSENT:
            return None
        until_ms = book.grant_until_ms(now_s, self._tuning)
        if until_ms is None or not book.is_synced:
            self._free(run)
            self.jobs.requeue(run.task)
            return None
        run.phase = RunPhase.SENT
        run.fence = book.fence
        return StartOrder(
            worker=book.entry,
            task=run.task.key,
            run=run.number,
            spec=run.task.step.job.submission.spec,
            fence=book.fence,
            until_ms=until_ms,
            checkpoint=run.task.checkpoint,
            ticket=run.task.step.ticket(run.worker, now_s) or "",
        )

    def on_start(self, run: Run, outcome: OrderOutcome, now_s: float) -> None:
        """Apply what became of a start."""
        book = self.workers.get(run.worker)
        if book is None or run.task.run is not run:
            return
        if outcome is OrderOutcome.ACCEPTED:
            self._on_accepted(run, now_s)
        elif run.phase is RunPhase.RUNNING:
            return
        elif outcome is OrderOutcome.UNKNOWN:
            run.phase = RunPhase.IN_DOUBT
        elif outcome is OrderOutcome.OTHER_WORKER:
            for lost in self.workers.end_life(book):
                self._on_lost(lost)
        else:
            self._on_refused(book, run, outcome, now_s)

    def next_hold(self, worker: WorkerId, now_s: float) -> HoldOrder | None:
        """Return the next renewal for a worker; None if it has nothing to tell."""
        book = self.workers.get(worker)
        if book is None or not book.wants_hold():
            return None
        return book.next_hold(now_s, self._tuning)

    def on_hold(
        self,
        order: HoldOrder,
        reply: HoldReply | OrderOutcome,
        sent_s: float,
        now_s: float,
    ) -> None:
        """Apply a worker's answer to a renewal, or the lack of one."""
        if isinstance(reply, OrderOutcome):
            book = self.workers.get(order.worker.worker)
            is_newest = book is not None and order.fence >= book.fence
            if reply is OrderOutcome.FENCED and is_newest:
                self.is_superseded = True
            for run in self.workers.on_no_lists(order, reply, now_s):
                self._on_lost(run)
            return
        news = self.workers.on_lists(order, reply, sent_s, now_s)
        self._apply_news(order.worker.worker, news, now_s)

    def is_silent(self, worker: WorkerId) -> bool:
        """Return whether a worker left its last order unanswered."""
        book = self.workers.get(worker)
        return book is not None and book.is_silent

    def take_stops(self) -> Sequence[StopOrder]:
        """Return the stops to order now."""
        stops, self._stops = self._stops, []
        return stops

    def take_paces(self) -> Sequence[PaceOrder]:
        """Return the changes of pace to order now."""
        paces, self._paces = self._paces, []
        return paces

    def retire_worker(self, worker: WorkerId) -> None:
        """Record that the platform has ended a worker's life, as ordered."""
        book = self.workers.get(worker)
        if book is not None:
            for run in self.workers.retire(book):
                self._on_lost(run)

    def interrupt(self, run: Run, now_s: float) -> bool:
        """Stop a run for planned work; return False if its budget forbids that now."""
        if run.is_stopping:
            return True
        if not may_interrupt(run, now_s):
            return False
        self._stop(run)
        return True

    def pool_of(self, step: StepRecord) -> PoolId:
        """Return the pool that the step's queue is sent to now."""
        return pool_of(step, self._configuration)

    def max_attempts(self, record: JobRecord) -> int:
        """Return how many runs of a task of `record` may fail."""
        queue = self._configuration.queue(record.submission.queue)
        return queue.max_attempts if queue else DEFAULT_MAX_ATTEMPTS

    def _adopt(self, task: TaskRecord, until_s: float, now_s: float) -> None:
        run = Run(task, task.run_number, task.worker, RunPhase.IN_DOUBT, placed_s=now_s)
        self.workers.adopt(run, task.born_ms, until_s)
        task.run = run
        self.teams.add(run.team, run.step.resources)

    def _unstored_ends(self) -> tuple[EndMark, ...]:
        return tuple(
            EndMark(book, book.entry.born_ms, book.processed_upto)
            for book in self.workers.books()
            if book.processed_upto > book.seen_upto
        )

    def _apply_news(self, worker: WorkerId, news: WorkerNews, now_s: float) -> None:
        book = self.workers.get(worker)
        for ended in news.ended:
            self._on_end(book, ended, now_s)
        for run in news.lost:
            self._on_lost(run)
        self._stops.extend(news.stops)
        for run in news.seen:
            self._on_seen(run)
        if book is not None:
            self._paces.extend(self._pace.adjust(book, now_s))

    def _on_seen(self, run: Run) -> None:
        record = run.task.step.job
        if not record.is_started:
            record.is_started = True
        if record.state is JobState.QUEUED:
            record.state = JobState.RUNNING
        if record.state.is_final and not run.is_stopping:
            self._stop(run)

    def _on_accepted(self, run: Run, now_s: float) -> None:
        if run.phase is not RunPhase.RUNNING:
            run.phase = RunPhase.RUNNING
            run.progressed_s = now_s
        run.accepted_s = min(run.accepted_s, now_s)
        self._on_seen(run)

    def _on_refused(
        self, book: WorkerBook, run: Run, outcome: OrderOutcome, now_s: float
    ) -> None:
        if outcome is OrderOutcome.UNHEALTHY:
            book.blocked_until_s = now_s + UNHEALTHY_PAUSE_S
        elif outcome is OrderOutcome.NO_ROOM:
            book.blocked_until_s = now_s + NO_ROOM_PAUSE_S
        elif outcome is OrderOutcome.MALFORMED:
            run.task.not_before_s = now_s + MALFORMED_PAUSE_S
        elif outcome is OrderOutcome.TOO_LATE:
            book.is_synced = False
        elif outcome is OrderOutcome.NO_TICKET:
            run.task.step.tickets.pop(run.worker, None)
            run.task.step.advised_until_s = now_s
        elif outcome is OrderOutcome.UNSENT:
            book.misses += 1
        elif outcome is OrderOutcome.FENCED and run.fence >= book.fence:
            self.is_superseded = True
        self._free(run)
        self._retry(run.task)

    def _on_end(self, book: WorkerBook | None, ended: EndedTask, now_s: float) -> None:
        task = self.jobs.task(ended.task)
        if task is None or book is None:
            return
        run = book.runs.get(ended.task)
        is_current = run is not None and run.number == ended.run
        if run is not None and is_current:
            self._free(run)
        if ended.kind is EndKind.DONE:
            book.note_success()
            if not task.step.job.state.is_final:
                self._on_done(task)
            return
        if task.step.job.state.is_final or task.phase is TaskPhase.DONE:
            return
        if ended.kind is EndKind.FAILED:
            book.note_failure(task.step.job.job, now_s)
            task.failed_on.add(book.entry.worker)
            self.jobs.count_failure(task, ended.run)
        if is_current:
            task.checkpoint = ended.checkpoint or task.checkpoint
        if task.run is None:
            self._retry(task)

    def _on_done(self, task: TaskRecord) -> None:
        self.jobs.complete_task(task)
        if task.run is not None:
            self._stop(task.run)

    def _retry(self, task: TaskRecord) -> None:
        """Let a task wait for its next run, or fail its job if none is left to it."""
        record = task.step.job
        if self.jobs.is_spent(task, self.max_attempts(record)):
            self.jobs.end(record, JobState.FAILED)
            self._stop_runs(record)
            return
        self.jobs.requeue(task)
        if task.step.step.is_gang:
            self._stop_members(task)

    def _on_lost(self, run: Run) -> None:
        """Apply the end of a run that its worker's table has dropped already."""
        self.teams.remove(run.team, run.step.resources)
        if run.task.run is run:
            run.task.run = None
            if not run.task.step.job.state.is_final:
                self._retry(run.task)

    def _free(self, run: Run) -> None:
        book = self.workers.get(run.worker)
        if book is not None and book.runs.get(run.task.key) is run:
            book.remove(run)
            self.teams.remove(run.team, run.step.resources)
        if run.task.run is run:
            run.task.run = None

    def _stop_runs(self, record: JobRecord) -> None:
        for run in record.runs():
            self._stop(run)

    def _stop_members(self, task: TaskRecord) -> None:
        for run in task.step.runs():
            self._stop(run)

    def _stop(self, run: Run) -> None:
        """End a run, or forget it if it was never ordered."""
        run.is_stopping = True
        if run.phase is RunPhase.UNSENT:
            self._free(run)
            self.jobs.requeue(run.task)

    def _look_after(self, book: WorkerBook, run: Run, now_s: float) -> None:
        if run.phase is not RunPhase.RUNNING:
            return
        if not run.is_stopping and self._is_stalled(run, now_s):
            run.task.failed_on.add(run.worker)
            book.blocked_until_s = max(book.blocked_until_s, now_s + STALLED_PAUSE_S)
            self._stop(run)
        retry_s = self._tuning.stop_retry_ms / 1000
        if run.is_stopping and now_s - run.stop_sent_s >= retry_s:
            run.stop_sent_s = now_s
            self._stops.append(
                StopOrder(book.entry, run.task.key, run.number, book.fence)
            )

    def _is_stalled(self, run: Run, now_s: float) -> bool:
        still_s = now_s - run.progressed_s
        if run.pace_percent < 100 or run.step.is_gang:
            return False
        if run.step.is_long_running:
            return run.percent < 100 and still_s > START_UP_S
        return still_s > self._tuning.stall_ms / 1000
