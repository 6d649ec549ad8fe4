"""The placement algorithm in its plainest form: it looks at every step and worker.

`TaskPlacer` must place the same tasks on the same workers in the same order.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import TYPE_CHECKING

from currantstage.coordination.jobs import LeastWorkFirst, Run, RunPhase
from currantstage.coordination.jobs._task_placer import MAX_TRIAL_WAIT_S
from currantstage.state.jobs import RunNumber

if TYPE_CHECKING:
    from collections.abc import Sequence

    from currantstage.coordination.jobs import (
        Scheduler,
        StepOrder,
        StepRecord,
        TaskRecord,
        WorkerState,
    )
    from currantstage.state import PoolId, QueueId
    from currantstage.state.jobs import FleetConfiguration, JobQueue, Resources


class ReferencePlacer:
    """Implements the interface of `TaskPlacer` on the tables of a scheduler."""

    def __init__(self, scheduler: Scheduler, order: StepOrder | None = None) -> None:
        self._jobs = scheduler.jobs
        self._workers = scheduler.workers
        self._teams = scheduler.teams
        self._order = order or LeastWorkFirst()

    def place(self, configuration: FleetConfiguration, now_s: float) -> list[Run]:
        """Place the waiting tasks that fit; return their runs."""
        waiting: dict[PoolId, list[StepRecord]] = defaultdict(list)
        for step in self._jobs.ready_steps():
            if step.waiting_tasks(now_s):
                queue = configuration.queue(step.job.submission.queue)
                waiting[queue.pool if queue else step.job.submission.pool].append(step)
        placed: list[Run] = []
        for pool, steps in waiting.items():
            workers = [
                each
                for each in self._workers.in_pool(pool)
                if each.accepts_starts(now_s)
            ]
            placed.extend(self._place_pool(steps, workers, configuration, now_s))
        return placed

    def _place_pool(
        self,
        steps: list[StepRecord],
        workers: list[WorkerState],
        configuration: FleetConfiguration,
        now_s: float,
    ) -> list[Run]:
        queues = {each.queue: each for each in configuration.queues}
        steps.sort(
            key=lambda step: self._order.rank(
                step, queues.get(step.job.submission.queue), now_s
            )
        )
        placed, workers = self._place_trials(
            steps, queues, workers, configuration, now_s
        )
        too_large: set[Resources] = set()
        for step in steps:
            is_too_large = step.step.reserved_resources in too_large
            if is_too_large and not step.step.is_long_running:
                continue
            tasks = step.waiting_tasks(now_s)
            queue = queues.get(step.job.submission.queue)
            allowed = _advised(step, queue, workers, now_s)
            if step.step.is_gang:
                placed.extend(
                    self._place_gang(step, tasks, allowed, configuration, now_s)
                )
                continue
            for task in tasks:
                if task.needs_trial:
                    continue
                run = self._place_task(task, allowed, configuration, now_s, None)
                if run is None:
                    if not any(
                        step.step.reserved_resources.fits(each.free) for each in workers
                    ):
                        too_large.add(step.step.reserved_resources)
                    if self._waits_for_room(step, configuration):
                        workers = _without_held(task, allowed, workers)
                    break
                placed.append(run)
        return placed

    def _place_trials(
        self,
        steps: list[StepRecord],
        queues: dict[QueueId, JobQueue],
        workers: list[WorkerState],
        configuration: FleetConfiguration,
        now_s: float,
    ) -> tuple[list[Run], list[WorkerState]]:
        placed: list[Run] = []
        held: WorkerState | None = None
        for task in self._jobs.waiting_trials():
            if task.step not in steps or task.not_before_s > now_s:
                continue
            task.trial_since_s = min(task.trial_since_s, now_s)
            may_wait = now_s - task.trial_since_s < MAX_TRIAL_WAIT_S
            queue = queues.get(task.step.job.submission.queue)
            allowed = [
                each
                for each in _advised(task.step, queue, workers, now_s)
                if each is not held and (not may_wait or each.is_open_to_trial())
            ]
            run = self._place_task(task, allowed, configuration, now_s, None)
            if run is not None:
                task.trial_since_s = float("inf")
                placed.append(run)
            elif may_wait and held is None:
                held = _next_free(workers)
        left = [each for each in workers if each is not held and not each.trial_runs]
        return placed, left

    def _waits_for_room(
        self, step: StepRecord, configuration: FleetConfiguration
    ) -> bool:
        team = step.job.submission.team
        amount = step.step.resources
        is_allowed = self._teams.allows(team, amount, configuration)
        return step.step.is_long_running and is_allowed

    def _place_gang(
        self,
        step: StepRecord,
        tasks: Sequence[TaskRecord],
        workers: list[WorkerState],
        configuration: FleetConfiguration,
        now_s: float,
    ) -> list[Run]:
        if len(tasks) < len(step.tasks) or step.runs():
            return []
        number = RunNumber(1 + max(task.run_number for task in tasks))
        placed: list[Run] = []
        for task in tasks:
            run = self._place_task(task, workers, configuration, now_s, number)
            if run is None:
                for each in placed:
                    self._undo(each)
                return []
            placed.append(run)
        return placed

    def _place_task(
        self,
        task: TaskRecord,
        workers: list[WorkerState],
        configuration: FleetConfiguration,
        now_s: float,
        number: RunNumber | None,
    ) -> Run | None:
        team = task.step.job.submission.team
        amount = task.step.step.resources
        if not self._teams.allows(team, amount, configuration):
            return None
        worker_state = choose(task, workers)
        if worker_state is None:
            return None
        run = Run(
            task,
            number or RunNumber(task.run_number + 1),
            worker_state.entry.worker,
            RunPhase.UNSENT,
            placed_s=now_s,
            is_suspect=bool(task.crashes),
            is_trial=task.needs_trial,
        )
        worker_state.add(run)
        self._teams.add(team, amount)
        task.assign(run)
        task.worker = worker_state.entry.worker
        task.born_ms = worker_state.entry.born_ms
        self._jobs.place(task, run.number)
        return run

    def _undo(self, run: Run) -> None:
        worker_state = self._workers.get(run.worker)
        if worker_state is not None:
            worker_state.remove(run)
        self._teams.remove(run.team, run.step.resources)
        run.task.assign(None)
        self._jobs.requeue(run.task)


def choose(task: TaskRecord, workers: Sequence[WorkerState]) -> WorkerState | None:
    """Return the worker for `task`, or None if no worker can take it now."""
    allowed = [each for each in workers if _allows(task.step, each)]
    if not allowed:
        return None
    preferred_rack = _preferred_rack(task.step, allowed)
    sign = -1 if task.step.step.is_long_running else 1
    if task.crashes:
        return min(
            allowed,
            key=lambda each: (
                each.entry.worker in task.failed_on,
                each.suspect_runs,
                bool(preferred_rack) and each.entry.rack != preferred_rack,
                len(each.runs),
                -sign * each.free.cpu_millicores,
                -sign * each.free.memory_mb,
            ),
        )
    return max(
        allowed,
        key=lambda each: (
            each.entry.worker not in task.failed_on,
            not preferred_rack or each.entry.rack == preferred_rack,
            sign * each.free.cpu_millicores,
            sign * each.free.memory_mb,
        ),
    )


def _next_free(workers: Sequence[WorkerState]) -> WorkerState | None:
    """Return the worker that will be free first, as far as is known."""
    candidates = [
        each
        for each in workers
        if not each.trial_runs
        and not any(run.step.is_long_running for run in each.runs.values())
    ]
    return max(
        candidates,
        key=lambda each: (each.free.cpu_millicores, each.free.memory_mb),
        default=None,
    )


def _allows(step: StepRecord, worker: WorkerState) -> bool:
    spec = step.step
    if worker.trial_runs:
        return False
    if spec.needed_label and spec.needed_label not in worker.entry.labels:
        return False
    if not spec.reserved_resources.fits(worker.free):
        return False
    here = sum(run.worker == worker.entry.worker for run in step.runs())
    return not spec.max_per_worker or here < spec.max_per_worker


def _preferred_rack(step: StepRecord, workers: Sequence[WorkerState]) -> str:
    spec = step.step
    if spec.preferred_rack:
        return spec.preferred_rack
    if not spec.same_rack:
        return ""
    racks = {each.entry.worker: each.entry.rack for each in workers}
    used = Counter(racks[run.worker] for run in step.runs() if run.worker in racks)
    if used:
        return used.most_common(1)[0][0]
    free_cpu_millicores: Counter[str] = Counter()
    for each in workers:
        free_cpu_millicores[each.entry.rack] += each.free.cpu_millicores
    return free_cpu_millicores.most_common(1)[0][0]


def _without_held(
    task: TaskRecord, allowed: list[WorkerState], workers: list[WorkerState]
) -> list[WorkerState]:
    candidates = [
        each
        for each in allowed
        if each in workers and _has_room_beside_long_running(task, each)
    ]
    if not candidates:
        return workers
    held = max(
        candidates, key=lambda each: (each.free.cpu_millicores, each.free.memory_mb)
    )
    return [each for each in workers if each is not held]


def _has_room_beside_long_running(task: TaskRecord, worker: WorkerState) -> bool:
    free = worker.entry.capacity
    here = 0
    for run in worker.runs.values():
        if run.step.is_long_running and not run.is_stopping:
            free = free.minus(run.reserved_resources)
            here += run.task.step is task.step
    spec = task.step.step
    if spec.needed_label and spec.needed_label not in worker.entry.labels:
        return False
    if spec.max_per_worker and here >= spec.max_per_worker:
        return False
    return spec.reserved_resources.fits(free)


def _advised(
    step: StepRecord,
    queue: JobQueue | None,
    workers: list[WorkerState],
    now_s: float,
) -> list[WorkerState]:
    if queue is None or queue.advice is None:
        return workers
    return [
        each for each in workers if step.ticket(each.entry.worker, now_s) is not None
    ]
