"""Loading of the state that earlier schedulers have stored."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from functools import partial
from operator import attrgetter
from typing import TYPE_CHECKING

from eliot import log_message

from currantstage.application.jobs._turn_watch import TurnWatch, TurnWork
from currantstage.coordination.jobs import Scheduler

if TYPE_CHECKING:
    from collections.abc import Container, Iterator, Mapping

    from currantstage.application.jobs._ports import SchedulerPorts
    from currantstage.application.jobs._repository import JobRepository
    from currantstage.coordination.jobs import InheritedLeases, SchedulerTuning
    from currantstage.state.jobs import (
        FleetConfiguration,
        JobId,
        PageKey,
        StoredProgress,
        Term,
        WorkerEntry,
    )

#: Number of restored tasks after which other work of the event loop gets its turn.
TASKS_PER_TURN = 10_000


@dataclass(frozen=True, slots=True)
class LoadedScheduler:
    """A scheduler with the stored state, and the versions from which to follow it.

    Parameters
    ----------
    scheduler : Scheduler
    workers : tuple of WorkerEntry
    workers_version : int
    jobs_version : int
    obsolete_progress : tuple of PageKey
        Stored progress of jobs that have been removed, and pages of jobs that have
        ended.
    """

    scheduler: Scheduler
    workers: tuple[WorkerEntry, ...]
    workers_version: int
    jobs_version: int
    obsolete_progress: tuple[PageKey, ...]


async def load_scheduler(
    term: Term,
    configuration: FleetConfiguration,
    leases: InheritedLeases,
    repository: JobRepository,
    ports: SchedulerPorts,
    tuning: SchedulerTuning,
) -> LoadedScheduler:
    """Read the stored state and restore a scheduler from it.

    Parameters
    ----------
    term : Term
    configuration : FleetConfiguration
    leases : InheritedLeases
        What is known of the workers' leases from earlier terms.
    repository : JobRepository
    ports : SchedulerPorts
    tuning : SchedulerTuning

    Returns
    -------
    LoadedScheduler

    Raises
    ------
    StoreUnavailable
        If a part of the state can't be read now.
    """
    workers = await ports.workers.read()
    # Progress is read before jobs: if a job is removed in between, its progress is
    # ignored. In the reverse order, the job would be read without its progress,
    # and would run again.
    progress = await repository.read_progress()
    jobs = await repository.read_jobs()
    scheduler = Scheduler(term, configuration, tuning)
    now_s = ports.clock.now_s()
    scheduler.jobs.open_due(_unix_ms(ports))
    scheduler.update_workers(workers.entries, now_s)
    cancelled = set(jobs.cancelled)
    turns = TurnWatch(ports.clock, ports.metrics)
    restored_tasks = 0
    for submission in sorted(jobs.submissions, key=attrgetter("accepted_unix_ms")):
        job = submission.job
        with turns.watch(TurnWork.RESTORE, partial(scheduler.jobs.get, job)):
            scheduler.restore(
                submission,
                progress.get(job),
                job in cancelled,
                leases,
                now_s,
                _unix_ms(ports),
            )
        restored_tasks += submission.task_count
        if restored_tasks >= TASKS_PER_TURN:
            # Meanwhile the lease is renewed.
            await asyncio.sleep(0)
            restored_tasks = 0
    stored_jobs = {each.job for each in jobs.submissions}
    for job in cancelled - stored_jobs:
        scheduler.cancel(job, now_s)
    log_message(
        "currantstage:scheduler-started",
        term=term,
        jobs=len(jobs.submissions),
        workers=len(workers.entries),
        store_version=jobs.version,
    )
    log_message(
        "currantstage:runs-adopted",
        term=term,
        runs=scheduler.adopted_runs.run_count,
        workers=scheduler.adopted_runs.worker_count,
        earlier_active_s=round(max(0.0, leases.holders_active_until_s - now_s), 3),
    )
    return LoadedScheduler(
        scheduler=scheduler,
        workers=tuple(workers.entries),
        workers_version=workers.version,
        jobs_version=jobs.version,
        obsolete_progress=tuple(_obsolete_pages(progress, stored_jobs)),
    )


def _obsolete_pages(
    progress: Mapping[JobId, StoredProgress], stored_jobs: Container[JobId]
) -> Iterator[PageKey]:
    for job, stored in progress.items():
        if job not in stored_jobs:
            yield from (row.key for row in stored.rows())
        elif stored.head is not None and stored.head.state.is_final:
            yield from (page.key for page in stored.pages.values())


def _unix_ms(ports: SchedulerPorts) -> int:
    return int(ports.unix_clock.now_s() * 1000)
