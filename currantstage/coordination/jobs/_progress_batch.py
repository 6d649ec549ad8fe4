"""Batches of progress to store before orders are sent and ends are acknowledged."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from currantstage.coordination.jobs._records import FailureReason, JobFailure
from currantstage.coordination.jobs._run import Run, RunPhase
from currantstage.state.jobs import JobProgress

if TYPE_CHECKING:
    from collections.abc import Iterable

    from currantstage.coordination.jobs._job_table import JobTable
    from currantstage.coordination.jobs._progress_pages import ProgressPage
    from currantstage.coordination.jobs._records import JobRecord
    from currantstage.coordination.jobs._task_record import TaskRecord
    from currantstage.coordination.jobs._unsaved_pages import PageWrite
    from currantstage.coordination.jobs._worker_state import WorkerState
    from currantstage.state.jobs import (
        BornMs,
        EndNumber,
        PageKey,
        TaskPage,
        WorkerId,
    )


@dataclass(frozen=True, slots=True)
class ProgressBatch:
    """Progress and ends that are stored by one write.

    Parameters
    ----------
    writes : tuple of PageWrite
    starts : tuple of Run
        Runs whose start may be ordered once the write is confirmed.
    ends : tuple of StorableEnds
        Ends whose effects are stored by this write.
    """

    writes: tuple[PageWrite, ...]
    starts: tuple[Run, ...]
    ends: tuple[StorableEnds, ...]

    @property
    def rows(self) -> tuple[JobProgress | TaskPage, ...]:
        """The rows to store."""
        return tuple(each.row for each in self.writes)

    @property
    def heads(self) -> tuple[tuple[JobRecord, JobProgress], ...]:
        """The jobs whose own state is stored, each with its row."""
        return tuple(
            (each.record, each.row)
            for each in self.writes
            if isinstance(each.row, JobProgress)
        )


@dataclass(frozen=True, slots=True)
class StorableEnds:
    """Ends of runs in a worker's incarnation that a write covers."""

    worker: WorkerState
    born_ms: BornMs
    numbers: tuple[EndNumber, ...]


class ProgressBatcher:
    """Collects what is not stored yet and divides it into batches.

    A start waits here until the progress that names its worker is stored; an end is
    acknowledged to its worker only once its effects are.

    Parameters
    ----------
    jobs : JobTable
        Jobs, and which of them have unsaved progress.
    """

    def __init__(self, jobs: JobTable) -> None:
        self._jobs = jobs
        #: Placed runs whose placement is not stored yet.
        self.unsent: list[Run] = []
        #: Workers that have reported ends whose effects may not be stored yet.
        self.with_unstored_ends: dict[WorkerId, WorkerState] = {}
        #: Pages of a refused write, which are stored one by one.
        self._suspects: list[ProgressPage] = []
        self._obsolete: list[PageKey] = []

    def add_starts(self, runs: Iterable[Run]) -> None:
        """Add runs whose start waits for the write of their placement."""
        self.unsent.extend(runs)

    def take(self) -> ProgressBatch | None:
        """Return the next batch to store; None if nothing has changed."""
        writes = self._take_writes()
        ends = self._storable_ends()
        if not writes and not ends:
            return None
        starts = [
            run for run in self.unsent if not self._jobs.is_start_unsaved(run.task)
        ]
        return ProgressBatch(writes, tuple(starts), ends)

    def on_failed(self, batch: ProgressBatch) -> None:
        """Mark everything in `batch` as unsaved again."""
        self._jobs.unsaved.put_back(batch.writes)

    def on_refused(self, batch: ProgressBatch) -> JobRecord | None:
        """Find out which page the store rejects; return its job once it is known.

        That job ends as failed, so that the others go on.

        Parameters
        ----------
        batch : ProgressBatch
            A batch that has been refused, and marked as unsaved again.
        """
        if len(batch.writes) != 1:
            self._suspects = [each.page for each in batch.writes]
            return None
        (write,) = batch.writes
        if write.record.state.is_final or not write.page.tasks:
            # There is nothing less to store.
            self._jobs.unsaved.discard((write.page,))
        else:
            task = max(write.page.tasks.values(), key=_checkpoint_size)
            failure = JobFailure(FailureReason.NOT_STORABLE, task.key)
            self._jobs.fail(write.record, failure)
        return write.record

    def on_stored(self, batch: ProgressBatch) -> list[Run]:
        """Return the runs whose start may be ordered now that `batch` is stored."""
        for write in batch.writes:
            if type(write.row) is JobProgress:
                self._on_head_stored(write.record, write.row)
        for ends in batch.ends:
            if ends.worker.entry.born_ms == ends.born_ms:
                ends.worker.record_ends_stored(ends.numbers)
        stored_runs = set(map(id, batch.starts))
        self.unsent = [run for run in self.unsent if id(run) not in stored_runs]
        return [
            run
            for run in batch.starts
            if run.task.run is run and run.phase is RunPhase.UNSENT
        ]

    def _on_head_stored(self, record: JobRecord, head: JobProgress) -> None:
        record.stored_state = head.state
        if record.pages.is_divided and head.state.is_final:
            self._obsolete.extend(each.key for each in record.pages.others)

    def take_obsolete(self) -> list[PageKey]:
        """Return the pages of jobs whose end is stored, to be removed."""
        obsolete, self._obsolete = self._obsolete, []
        return obsolete

    def _take_writes(self) -> tuple[PageWrite, ...]:
        while self._suspects:
            writes = self._jobs.unsaved.take_one(self._suspects.pop(0))
            if writes:
                return writes
        return self._jobs.unsaved.take()

    def _storable_ends(self) -> tuple[StorableEnds, ...]:
        """Return the ends all of whose effects are stored with the jobs just taken."""
        self.with_unstored_ends = {
            worker: worker_state
            for worker, worker_state in self.with_unstored_ends.items()
            if worker_state.unstored_ends
        }
        storable = []
        for worker_state in self.with_unstored_ends.values():
            numbers = tuple(
                number
                for number, task in worker_state.unstored_ends.items()
                if not self._jobs.is_end_unsaved(task)
            )
            if numbers:
                born_ms = worker_state.entry.born_ms
                storable.append(StorableEnds(worker_state, born_ms, numbers))
        return tuple(storable)


def _checkpoint_size(task: TaskRecord) -> int:
    return len(task.checkpoint)
