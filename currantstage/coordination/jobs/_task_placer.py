"""Placement of the waiting tasks of all pools."""

from __future__ import annotations

from bisect import bisect_left
from itertools import islice
from typing import TYPE_CHECKING

from currantstage.coordination.jobs._room_forecast import NEVER_S, expected_idle_s
from currantstage.coordination.jobs._room_holds import RoomHolds
from currantstage.coordination.jobs._run import Run, RunPhase
from currantstage.coordination.jobs._step_workers import (
    StepWorkers,
    advised_workers,
    find_no_worker,
    is_advised,
)
from currantstage.coordination.jobs._task_record import share_checkpoint
from currantstage.coordination.jobs._waiting_steps import WaitingSteps
from currantstage.coordination.jobs._worker_room import ANY_AMOUNT, CandidateWorkers
from currantstage.coordination.jobs._worker_state import WorkerState
from currantstage.state.jobs import RunNumber

if TYPE_CHECKING:
    from collections.abc import Iterable

    from currantstage.coordination.jobs._job_table import JobTable
    from currantstage.coordination.jobs._leaving_runs import LeavingRun
    from currantstage.coordination.jobs._ordering import StepOrder
    from currantstage.coordination.jobs._placement import TaskPlacement
    from currantstage.coordination.jobs._records import JobRecord, StepRecord
    from currantstage.coordination.jobs._step_lines import StepSelection
    from currantstage.coordination.jobs._task_record import TaskRecord
    from currantstage.coordination.jobs._team_usage import TeamUsage
    from currantstage.coordination.jobs._worker_table import WorkerTable
    from currantstage.state import PoolId
    from currantstage.state.jobs import FleetConfiguration

#: Maximum time that a task waits for a worker without other runs, in seconds.
MAX_TRIAL_WAIT_S = 2.0
#: Number of tasks of a pool placed from which on others are left to the next pass.
MAX_PLACED_PER_POOL = 256


class TaskPlacer:
    """Places tasks; reserves resources, team limit and run number in the same step."""

    def __init__(
        self,
        jobs: JobTable,
        workers: WorkerTable,
        teams: TeamUsage,
        order: StepOrder,
        placement: TaskPlacement,
    ) -> None:
        self._jobs = jobs
        self._workers = workers
        self._teams = teams
        self._waiting = WaitingSteps(jobs, order)
        self._placement = placement
        #: Workers that are held for long-running tasks.
        self.holds = RoomHolds(workers)

    def place(self, configuration: FleetConfiguration, now_s: float) -> list[Run]:
        """Place the waiting tasks that fit; return their runs."""
        self._waiting.refresh(configuration, now_s)
        self.holds.refresh(now_s)
        placed: list[Run] = []
        for pool in self._waiting.pools():
            workers = self._open_workers(pool, now_s)
            placed.extend(self._place_pool(pool, workers, configuration, now_s))
        self._hold_for_leaving(configuration, now_s)
        return placed

    def hold_room_for(
        self,
        runs: Iterable[LeavingRun],
        configuration: FleetConfiguration,
        now_s: float,
    ) -> None:
        """Hold room for the tasks of `runs`, and no longer for others that run."""
        self.holds.leaving.replace(runs)
        self.holds.refresh(now_s)
        self._hold_for_leaving(configuration, now_s)

    def _hold_for_leaving(
        self, configuration: FleetConfiguration, now_s: float
    ) -> None:
        for step in self.holds.leaving.steps():
            if not self.holds.is_search_due(step, now_s):
                continue
            workers = self._open_workers(pool_of(step.job, configuration), now_s)
            queue = configuration.queue(step.job.submission.queue)
            allowed = advised_workers(step, queue, workers, now_s)
            waiting = self._allowed_waiting(step, configuration)
            self.holds.hold(step, waiting, allowed, now_s)

    def _open_workers(self, pool: PoolId, now_s: float) -> CandidateWorkers:
        """Return the workers of `pool` that accept starts and aren't held."""
        held = self.holds.held
        return CandidateWorkers(
            self._workers.room,
            pool,
            lambda each: each.entry.worker not in held and each.accepts_starts(now_s),
        )

    def _place_pool(
        self,
        pool: PoolId,
        workers: CandidateWorkers,
        configuration: FleetConfiguration,
        now_s: float,
    ) -> list[Run]:
        placed, workers = self._place_trials(pool, workers, configuration, now_s)
        selection = self._waiting.in_pool(pool).select(workers.has_room)
        for step in selection:
            if len(placed) >= MAX_PLACED_PER_POOL:
                break
            allowed = self._workers_for(step, workers, now_s)
            if step.step.is_gang:
                members = self._place_gang(step, allowed, configuration, now_s)
                placed.extend(members)
                if not members:
                    self._hold_room(step, allowed.open, configuration, now_s)
                continue
            for task in islice(step.iter_waiting(now_s), MAX_PLACED_PER_POOL):
                if task.crashes and task.needs_trial:
                    continue
                run = self._place_task(task, allowed, configuration, now_s, None)
                if run is None:
                    self._skip_lines(selection, step, workers, configuration)
                    self._hold_room(step, allowed.open, configuration, now_s)
                    break
                placed.append(run)
        return placed

    def _workers_for(
        self, step: StepRecord, workers: CandidateWorkers, now_s: float
    ) -> StepWorkers:
        """Return the workers that may run `step`: those held for it, and open ones."""
        queue = self._waiting.queue_of(step)
        is_long_running = step.step.is_long_running

        def may_start(worker: WorkerState) -> bool:
            is_open = worker.accepts_starts(now_s)
            return is_open and is_advised(step, queue, worker, now_s)

        def find_shared() -> WorkerState | None:
            if not self.holds.is_search_due(step, now_s):
                return None
            return self.holds.find_shared(step, workers.pool, may_start)

        return StepWorkers(
            self.holds.held_for(step, workers.pool) if is_long_running else [],
            advised_workers(step, queue, workers, now_s),
            may_start,
            find_shared if is_long_running else find_no_worker,
        )

    def _place_trials(
        self,
        pool: PoolId,
        workers: CandidateWorkers,
        configuration: FleetConfiguration,
        now_s: float,
    ) -> tuple[list[Run], CandidateWorkers]:
        """Place the tasks that are to be tried alone, each on a worker of its own.

        Returns their runs, and the workers without one that is held for a trial.
        """
        placed: list[Run] = []
        is_held = False
        for task in self._jobs.crashes.waiting_trials():
            queue = self._waiting.queue_of(task.step)
            task_pool = queue.pool if queue else task.step.job.submission.pool
            if task_pool != pool or task.not_before_s > now_s:
                continue
            allowed = self._workers_for(task.step, workers, now_s)
            task.trial_since_s = min(task.trial_since_s, now_s)
            may_wait = now_s - task.trial_since_s < MAX_TRIAL_WAIT_S
            if may_wait:
                allowed = allowed.only(WorkerState.is_open_to_trial)
            run = self._place_task(task, allowed, configuration, now_s, None)
            if run is not None:
                task.trial_since_s = float("inf")
                placed.append(run)
            elif may_wait and not is_held:
                is_held = True
                workers = _without_next_idle(workers, now_s)
            elif not may_wait:
                self._hold_room(task.step, allowed.open, configuration, now_s)
        return placed, workers

    def _skip_lines(
        self,
        selection: StepSelection,
        step: StepRecord,
        workers: CandidateWorkers,
        configuration: FleetConfiguration,
    ) -> None:
        """Leave out the steps that what stops `step` certainly stops as well."""
        if not workers.has_room(step.step.reserved_resources):
            selection.skip_reserved(step.step.reserved_resources)
        team = step.job.submission.team
        if not self._teams.allows(team, step.step.resources, configuration):
            selection.skip_line(step)

    def _hold_room(
        self,
        step: StepRecord,
        workers: CandidateWorkers,
        configuration: FleetConfiguration,
        now_s: float,
    ) -> None:
        """Hold workers for the tasks of a long-running step that its team may run."""
        if not step.step.is_long_running:
            return
        if not self.holds.is_search_due(step, now_s):
            return
        count = self._allowed_waiting(step, configuration)
        if count:
            self.holds.hold(step, count, workers, now_s)

    def _allowed_waiting(
        self, step: StepRecord, configuration: FleetConfiguration
    ) -> int:
        """Return how many waiting tasks of a step its team may run."""
        team = step.job.submission.team
        amount = step.step.resources
        waiting = len(step.first_waiting(MAX_PLACED_PER_POOL))
        return bisect_left(
            range(1, waiting + 1),
            True,
            key=lambda count: (
                not self._teams.allows(team, amount.times(count), configuration)
            ),
        )

    def _place_gang(
        self,
        step: StepRecord,
        workers: StepWorkers,
        configuration: FleetConfiguration,
        now_s: float,
    ) -> list[Run]:
        """Place all members of a gang, or none of them."""
        tasks = step.waiting_tasks(now_s)
        if len(tasks) < len(step.tasks) or step.runs():
            return []
        number = RunNumber(1 + max(task.run_number for task in tasks))
        share_checkpoint(tasks)
        placed: list[Run] = []
        for task in tasks:
            run = self._place_task(task, workers, configuration, now_s, number)
            if run is None:
                for each in placed:
                    self._undo(each)
                return []
            placed.append(run)
        for each in placed:
            self._jobs.place(each.task, each.number)
            self.holds.on_placed(each)
        return placed

    def _place_task(
        self,
        task: TaskRecord,
        workers: StepWorkers,
        configuration: FleetConfiguration,
        now_s: float,
        number: RunNumber | None,
    ) -> Run | None:
        step = task.step.step
        team = task.step.job.submission.team
        if not self._teams.allows(team, step.resources, configuration):
            return None
        worker_state = workers.choose(task, self._placement)
        if worker_state is None:
            return None
        run = Run(
            task,
            number or RunNumber(task.run_number + 1),
            worker_state.entry.worker,
            RunPhase.UNSENT,
            placed_s=now_s,
            is_suspect=bool(task.crashes),
            is_trial=bool(task.crashes) and task.needs_trial,
        )
        worker_state.add(run)
        self._teams.add(team, step.resources)
        task.assign(run)
        task.worker = worker_state.entry.worker
        task.born_ms = worker_state.entry.born_ms
        if step.is_gang:
            # It counts as placed once all members have a worker.
            return run
        self._jobs.place(task, run.number)
        if step.is_long_running:
            self.holds.on_placed(run)
        return run

    def _undo(self, run: Run) -> None:
        worker_state = self._workers.get(run.worker)
        if worker_state is not None:
            worker_state.remove(run)
        self._teams.remove(run.team, run.step.resources)
        run.task.assign(None)


def pool_of(job: JobRecord, configuration: FleetConfiguration) -> PoolId:
    """Return the pool that the job's queue is routed to now."""
    submission = job.submission
    queue = configuration.queue(submission.queue)
    return queue.pool if queue else submission.pool


def _without_next_idle(workers: CandidateWorkers, now_s: float) -> CandidateWorkers:
    """Hold the worker that is expected to be idle first for a trial."""
    candidates = [
        each
        for each in workers.most_free_first(ANY_AMOUNT)
        if expected_idle_s(each, now_s) < NEVER_S
    ]
    if not candidates:
        return workers
    held = min(candidates, key=lambda each: expected_idle_s(each, now_s))
    return workers.only(lambda each: each is not held)
