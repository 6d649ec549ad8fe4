"""Batches of progress to store before orders are sent and ends are acknowledged."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from currantstage.coordination.jobs._run import Run, RunPhase

if TYPE_CHECKING:
    from collections.abc import Iterable

    from currantstage.coordination.jobs._job_table import JobTable
    from currantstage.coordination.jobs._records import JobRecord
    from currantstage.coordination.jobs._worker_state import WorkerState
    from currantstage.state.jobs import BornMs, EndNumber, JobProgress, WorkerId

#: Maximum number of jobs in a write; the store accepts 100 rows, one of which is the
#: lease.
MAX_JOBS_PER_WRITE = 90


@dataclass(frozen=True, slots=True)
class ProgressBatch:
    """Progress and ends that are stored by one write.

    Parameters
    ----------
    jobs : tuple of JobRecord
    progress : tuple of JobProgress
        Progress to store for each of the jobs.
    starts : tuple of Run
        Runs whose start may be ordered once the write is confirmed.
    ends : tuple of StorableEnds
        Ends whose effects are stored by this write.
    """

    jobs: tuple[JobRecord, ...]
    progress: tuple[JobProgress, ...]
    starts: tuple[Run, ...]
    ends: tuple[StorableEnds, ...]


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

    def add_starts(self, runs: Iterable[Run]) -> None:
        """Add runs whose start waits for the write of their placement."""
        self.unsent.extend(runs)

    def take(self) -> ProgressBatch | None:
        """Return the next batch to store; None if nothing has changed."""
        records = self._jobs.take_unsaved(MAX_JOBS_PER_WRITE)
        ends = self._storable_ends()
        if not records and not ends:
            return None
        taken = {record.job for record in records}
        starts = [run for run in self.unsent if run.task.key.job in taken]
        return ProgressBatch(
            jobs=records,
            progress=tuple(record.progress() for record in records),
            starts=tuple(starts),
            ends=ends,
        )

    def on_failed(self, batch: ProgressBatch) -> None:
        """Mark everything in `batch` as unsaved again."""
        for record in batch.jobs:
            self._jobs.mark_unsaved(record)

    def on_stored(self, batch: ProgressBatch) -> list[Run]:
        """Return the runs whose start may be ordered now that `batch` is stored."""
        for record, stored in zip(batch.jobs, batch.progress, strict=True):
            record.stored_state = stored.state
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
                for number, job in worker_state.unstored_ends.items()
                if not self._jobs.is_unsaved(job)
            )
            if numbers:
                born_ms = worker_state.entry.born_ms
                storable.append(StorableEnds(worker_state, born_ms, numbers))
        return tuple(storable)
