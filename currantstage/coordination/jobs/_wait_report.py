"""Reports of the tasks that have been waiting for a worker, and why."""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from currantstage.coordination.jobs._placement import StepNeeds

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from currantstage.coordination.jobs._records import StepRecord
    from currantstage.coordination.jobs._run import Run
    from currantstage.coordination.jobs._scheduler import Scheduler
    from currantstage.coordination.jobs._task_record import TaskRecord
    from currantstage.coordination.jobs._worker_state import WorkerState
    from currantstage.state import PoolId
    from currantstage.state.jobs import TaskKey

#: How long a task has to wait before it is reported, and until it is reported again,
#: in seconds.
REPORT_AFTER_S = 1.0
#: Maximum number of tasks in one report, the longest waiting ones.
MAX_REPORTED_TASKS = 8
#: Key of `WaitingTask.workers` for workers that could take the task.
SUITABLE = "suitable"
#: Key of `count_by_pool` for workers that accept starts.
ACCEPTING = "none"
#: Key of `WaitingTask.memory_mb` for memory that no task takes.
FREE = "free"


@dataclass(frozen=True, slots=True)
class WaitingTask:
    """A task that waits, and the state of the workers of its pool.

    Parameters
    ----------
    task : TaskKey
    pool : PoolId
    waited_s : float
        How long this scheduler has seen the task waiting.
    is_long_running : bool
    is_team_limited : bool
        Whether the team's upper limit leaves no room for the task.
    workers : dict of str to int
        Number of workers of the pool by the reason why each can't take the task, and
        under `SUITABLE` of those that can.
    held_workers : int
        Number of workers that are held for the step.
    memory_mb : dict of str to int
        Memory of the workers that accept starts, in MB, by the kind of task that takes
        it, and under `FREE` what is left.
    """

    task: TaskKey
    pool: PoolId
    waited_s: float
    is_long_running: bool
    is_team_limited: bool
    workers: dict[str, int]
    held_workers: int
    memory_mb: dict[str, int]


class WaitReporter:
    """Finds the tasks that have been waiting for long, a few at a time.

    Parameters
    ----------
    scheduler : Scheduler
    """

    def __init__(self, scheduler: Scheduler) -> None:
        self._scheduler = scheduler
        self._waiting_since_s: dict[TaskKey, float] = {}

    def report(self, now_s: float) -> list[WaitingTask]:
        """Return the longest waiting tasks: long-running ones first, one per step."""
        tasks = [
            waiting[0]
            for step in self._scheduler.jobs.ready_steps()
            if (waiting := step.waiting_tasks(now_s))
        ]
        self._waiting_since_s = {
            task.key: self._waiting_since_s.get(task.key, now_s) for task in tasks
        }
        due = [task for task in tasks if self._waited_s(task, now_s) >= REPORT_AFTER_S]
        due.sort(
            key=lambda task: (
                not task.step.step.is_long_running,
                self._waiting_since_s[task.key],
            )
        )
        reported = due[:MAX_REPORTED_TASKS]
        pools = {self._scheduler.pool_of(task.step.job) for task in reported}
        memory_mb = {pool: self._memory_mb(pool, now_s) for pool in pools}
        return [self._explain(task, memory_mb, now_s) for task in reported]

    def _waited_s(self, task: TaskRecord, now_s: float) -> float:
        return now_s - self._waiting_since_s[task.key]

    def _memory_mb(self, pool: PoolId, now_s: float) -> dict[str, int]:
        workers = self._scheduler.workers.in_pool(pool)
        return _memory_by_kind(each for each in workers if each.accepts_starts(now_s))

    def _explain(
        self, task: TaskRecord, memory_mb: Mapping[PoolId, dict[str, int]], now_s: float
    ) -> WaitingTask:
        scheduler = self._scheduler
        step = task.step
        pool = scheduler.pool_of(step.job)
        team = step.job.submission.team
        is_allowed = scheduler.teams.allows(
            team, step.step.resources, scheduler.configuration
        )
        return WaitingTask(
            task=task.key,
            pool=pool,
            waited_s=self._waited_s(task, now_s),
            is_long_running=step.step.is_long_running,
            is_team_limited=not is_allowed,
            workers=_count_reasons(step, scheduler.workers.in_pool(pool), now_s),
            held_workers=scheduler.held_workers(step),
            memory_mb=memory_mb[pool],
        )


def count_blockers(workers: Iterable[WorkerState], now_s: float) -> dict[str, int]:
    """Count the workers that accept no starts by the reason.

    Workers that planned work has ended are left out; their VMs have others.
    """
    blockers = (each.start_blocker(now_s) for each in workers if not each.is_retired)
    return dict(Counter(blocker.value for blocker in blockers if blocker is not None))


def count_by_pool(
    workers: Iterable[WorkerState], now_s: float
) -> dict[PoolId, dict[str, int]]:
    """Count the workers of each pool by what blocks starts, or under `ACCEPTING`.

    Workers that planned work has ended are left out.
    """
    counts: defaultdict[PoolId, Counter[str]] = defaultdict(Counter)
    for each in workers:
        if not each.is_retired:
            blocker = each.start_blocker(now_s)
            counts[each.entry.pool][blocker.value if blocker else ACCEPTING] += 1
    return {pool: dict(each) for pool, each in counts.items()}


def _count_reasons(
    step: StepRecord, workers: Iterable[WorkerState], now_s: float
) -> dict[str, int]:
    """Count the workers by the reason why each can't take a task of `step`."""
    counts: Counter[str] = Counter()
    needs = StepNeeds(step)
    for worker_state in workers:
        reason = worker_state.start_blocker(now_s) or needs.obstacle(worker_state)
        counts[reason.value if reason else SUITABLE] += 1
    return dict(counts)


def _memory_by_kind(workers: Iterable[WorkerState]) -> dict[str, int]:
    """Sum the memory of workers, in MB, by the kind of task that takes it."""
    memory_mb: Counter[str] = Counter()
    for worker_state in workers:
        memory_mb[FREE] += worker_state.free.memory_mb
        for run in worker_state.runs.values():
            memory_mb[_kind(run)] += run.reserved_resources.memory_mb
    return dict(memory_mb)


def _kind(run: Run) -> str:
    """Return the kind of task that a run is of, as reports name it."""
    if run.step.is_long_running:
        return "long-running"
    return "filler" if run.step.is_filler else "short"
