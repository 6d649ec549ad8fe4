"""Progress of the scheduler that is stored, and the orders that follow its storing."""

from __future__ import annotations

from typing import TYPE_CHECKING

from eliot import log_message

from currantstage.application.jobs._turn_watch import TurnWatch, TurnWork
from currantstage.state.jobs import JobState, format_key

if TYPE_CHECKING:
    from currantstage.application.jobs._activity_log import ActivityLog
    from currantstage.application.jobs._ports import SchedulerPorts
    from currantstage.application.jobs._worker_driver import WorkerDriver
    from currantstage.coordination.jobs import PageWrite, ProgressBatch, Scheduler
    from currantstage.state.jobs import PageKey


class ProgressSource:
    """Gives the scheduler's progress to the writer of the lease, in batches.

    Parameters
    ----------
    scheduler : Scheduler
    driver : WorkerDriver
        Sends the start orders that a stored batch permits.
    activity : ActivityLog
    ports : SchedulerPorts
    """

    def __init__(
        self,
        scheduler: Scheduler,
        driver: WorkerDriver,
        activity: ActivityLog,
        ports: SchedulerPorts,
    ) -> None:
        self._scheduler = scheduler
        self._driver = driver
        self._activity = activity
        self._ports = ports
        self._turns = TurnWatch(ports.clock, ports.metrics)

    @property
    def has_unsaved(self) -> bool:
        """Whether there is progress that no batch has covered yet."""
        return self._scheduler.jobs.has_unsaved

    @property
    def has_open_orders(self) -> bool:
        """Whether workers are about to settle starts or stops."""
        return self._scheduler.has_open_orders()

    def next_batch(self, *, is_placing: bool) -> ProgressBatch | None:
        """Return the next batch, after placing ready tasks if `is_placing`."""
        if is_placing:
            now_s = self._ports.clock.now_s()
            unix_ms = int(self._ports.unix_clock.now_s() * 1000)
            with self._turns.watch(TurnWork.PLACE, self._scheduler.jobs.largest_open):
                self._scheduler.place(now_s, unix_ms)
        return self._scheduler.take_batch()

    def on_failed(self, batch: ProgressBatch) -> None:
        """Take back a batch that may not have been stored."""
        self._scheduler.on_batch_failed(batch)

    def on_refused(self, batch: ProgressBatch) -> None:
        """Look for the job for which the store rejects a batch, and end it."""
        refused = self._scheduler.on_batch_refused(batch)
        largest = max(batch.writes, key=_size_bytes, default=None)
        log_message(
            "currantstage:progress-refused",
            pages=len(batch.writes),
            largest_job=largest.page.key.job if largest else None,
            largest_bytes=largest.size_bytes if largest else 0,
            refused_job=refused.job if refused else None,
        )

    def on_stored(self, batch: ProgressBatch) -> list[PageKey]:
        """Report the jobs that have ended, and send the starts of a stored batch.

        Returns
        -------
        list of PageKey
            Rows that are not needed any more.
        """
        ended = [
            (record, head.state)
            for record, head in batch.heads
            if head.state.is_final and not record.stored_state.is_final
        ]
        starts = self._scheduler.on_batch_stored(batch)
        for record, state in ended:
            age_s = self._ports.clock.now_s() - record.accepted_s
            self._ports.metrics.count_job(state, age_s)
            if state is JobState.COMPLETED:
                self._activity.count_job(record)
            failure = record.failure
            log_message(
                "currantstage:job-ended",
                job=record.job,
                queue=record.submission.queue,
                state=state.value,
                age_s=round(age_s, 3),
                reason=failure.reason.value if failure else None,
                failed_task=format_key(failure.task) if failure else None,
            )
        for write in batch.writes:
            self._ports.metrics.count_page(write.size_bytes)
        self._driver.start_runs(starts)
        self._driver.on_progress_stored()
        return self._scheduler.take_obsolete_pages()

    def observe_commit(self, duration_s: float) -> None:
        """Record the duration of a write of the lease."""
        self._activity.observe_commit(duration_s)


def _size_bytes(write: PageWrite) -> int:
    return write.size_bytes
