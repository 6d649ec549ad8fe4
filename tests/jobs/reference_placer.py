"""The placement algorithm in its plainest form: it looks at every step and worker.

`TaskPlacer` must place the same tasks on the same workers in the same order.
"""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from operator import itemgetter
from typing import TYPE_CHECKING

import msgspec

from currantstage.coordination.jobs import LeastWorkFirst, Run, RunPhase
from currantstage.coordination.jobs._preemption import PreemptedRun
from currantstage.coordination.jobs._room_forecast import STOP_S
from currantstage.coordination.jobs._room_holds import (
    GANG_HOLD_S,
    MAX_HELD_SHARE,
    MAX_HOLD_S,
    MAX_SEARCHES,
    PREEMPT_GANGS_AFTER_S,
    SEARCH_INTERVAL_S,
)
from currantstage.coordination.jobs._room_request import (
    HOLD_TOLERANCE_S,
    PREEMPT_AFTER_S,
    PREEMPTION_HOLD_S,
    ROOM_WITHIN_S,
    VAIN_SEARCH_INTERVAL_S,
)
from currantstage.coordination.jobs._step_graph import DEFAULT_RUN_MS
from currantstage.coordination.jobs._task_placer import (
    MAX_PLACED_PER_POOL,
    MAX_TRIAL_WAIT_S,
)
from currantstage.state.jobs import RunNumber, TaskPhase

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from currantstage.coordination.jobs import (
        Scheduler,
        StepOrder,
        StepRecord,
        TaskRecord,
        WorkerState,
    )
    from currantstage.coordination.jobs._leaving_runs import LeavingRun
    from currantstage.state import PoolId, QueueId
    from currantstage.state.jobs import (
        FleetConfiguration,
        JobQueue,
        Resources,
        StepKey,
    )

    _StepWorkers = tuple[
        list[WorkerState], list[WorkerState], Callable[[], WorkerState | None]
    ]


@dataclass(eq=False)
class _PlainHold:
    worker: WorkerState
    pool: PoolId
    room_s: float
    until_s: float


@dataclass
class _Request:
    """A step that lacks room, and the workers held for its tasks."""

    step: StepRecord
    since_s: float
    holds: list[_PlainHold] = field(default_factory=list)
    search_due_s: float = float("-inf")


class PlainHolds:
    """Implements the interface of `RoomHolds` by looking at every run."""

    def __init__(self, scheduler: Scheduler) -> None:
        self._scheduler = scheduler
        self.requests: dict[StepKey, _Request] = {}
        self.leaving: list[LeavingRun] = []
        self._preempted: list[PreemptedRun] = []
        self._held_before: list[WorkerState] = []
        self._searches = 0
        self._window_s = float("-inf")

    def refresh(self, now_s: float) -> None:
        """Release the workers that no task needs or that have no room."""
        if now_s - self._window_s >= SEARCH_INTERVAL_S:
            self._window_s = now_s
            self._searches = 0
        for key, request in list(self.requests.items()):
            step = request.step
            count = sum(task.phase is TaskPhase.WAITING for task in step.tasks)
            count += len(self.leaving_runs(step))
            if not count or step.job.state.is_final:
                del self.requests[key]
                continue
            valid = [
                hold
                for hold in request.holds
                if self._is_valid(hold, now_s)
                and (now_s <= hold.until_s or self._is_ready_late(hold, step, now_s))
            ]
            request.holds = sorted(valid, key=lambda hold: hold.room_s)[:count]
        self._held_before = self._held()

    def _is_valid(self, hold: _PlainHold, now_s: float) -> bool:
        state = hold.worker
        may_start_soon = (
            state.is_synced
            and state.is_listed
            and not state.entry.is_draining
            and not state.is_silent
            and (state.has_orphans or not state.trial_runs)
        )
        is_cordoned = state.is_cordoned and not (
            state.has_orphans
            or state.pauses.current(now_s) is not None
            or state.has_start_in_doubt()
        )
        return (
            may_start_soon
            and not is_cordoned
            and state in self._scheduler.workers.states()
            and state.entry.pool == hold.pool
        )

    def leaving_runs(self, step: StepRecord) -> list[LeavingRun]:
        """Return the leaving runs of a step that haven't ended."""
        return [
            each
            for each in self.leaving
            if each.run.task.step is step
            and each.run.task.run is each.run
            and not step.job.state.is_final
        ]

    def _is_ready_late(self, hold: _PlainHold, step: StepRecord, now_s: float) -> bool:
        """Return whether a late hold has room for a task that waits for others."""
        runs = list(hold.worker.runs.values())
        is_gang = step.step.is_gang and now_s <= hold.until_s + GANG_HOLD_S
        is_waiting = is_gang or bool(self.leaving_runs(step))
        return is_waiting and _fits_beside(step, hold.worker, runs)

    def rooms(self, step: StepRecord, pool: PoolId, now_s: float) -> int:
        """Return how many of the workers held for `step` can take its task now."""
        return sum(
            _fits_beside(step, each, list(each.runs.values()))
            for each in self.held_for(step, pool)
            if each.accepts_starts(now_s)
        )

    def is_held(self, worker: WorkerState) -> bool:
        """Return whether a worker is held, or has been in this pass."""
        return worker in self._held_before or worker in self._held()

    def _held(self) -> list[WorkerState]:
        return [
            hold.worker for request in self.requests.values() for hold in request.holds
        ]

    def held_for(self, step: StepRecord, pool: PoolId) -> list[WorkerState]:
        """Return the workers of `pool` that are held for `step`."""
        request = self.requests.get(step.key)
        holds = request.holds if request else []
        return [hold.worker for hold in holds if hold.pool == pool]

    def find_shared(
        self,
        step: StepRecord,
        allowed: Callable[[WorkerState], bool],
        pool: PoolId,
        now_s: float,
    ) -> WorkerState | None:
        """Return a worker held for another step that has room for both."""
        own = self.requests.get(step.key)
        if self._searches >= MAX_SEARCHES or (own and now_s < own.search_due_s):
            return None
        for request in self.requests.values():
            for hold in request.holds:
                if (
                    request is not own
                    and hold.pool == pool
                    and _allows(step, hold.worker)
                    and allowed(hold.worker)
                    and _leaves_room(hold, request.step, step, now_s)
                ):
                    return hold.worker
        return None

    def on_placed(self, run: Run) -> None:
        """Release the worker of a run that it was held for."""
        self._held_before += self._held()
        request = self.requests.get(run.task.step.key)
        if request is not None:
            request.holds = [
                hold for hold in request.holds if hold.worker.entry.worker != run.worker
            ]

    def hold(
        self,
        step: StepRecord,
        waiting_count: int,
        allowed: Callable[[WorkerState], bool],
        workers: list[WorkerState],
        pool: PoolId,
        now_s: float,
    ) -> None:
        """Hold some of the `workers` for the leaving and some waiting tasks."""
        leaving = self.leaving_runs(step)
        count = waiting_count + len(leaving)
        request = self.requests.get(step.key)
        if self._searches >= MAX_SEARCHES:
            return
        if request is not None and now_s < request.search_due_s:
            return
        if not count:
            return
        if request is None:
            request = self.requests[step.key] = _Request(step, now_s)
        self._held_before += self._held()
        request.holds = [
            hold
            for hold in request.holds
            if hold.worker.entry.pool == pool
            and allowed(hold.worker)
            and _may_fit(step, hold.worker)
        ]
        latest_s = max(request.since_s + ROOM_WITHIN_S, now_s + STOP_S)
        if sum(hold.room_s <= latest_s for hold in request.holds) >= count:
            return
        self._searches += 1
        earlier = list(request.holds)
        workers = [
            each for each in workers if not each.trial_runs and not self.is_held(each)
        ]
        workers.sort(
            key=lambda each: (each.free.cpu_millicores, each.free.memory_mb),
            reverse=True,
        )
        held = sum(
            hold.pool == pool
            for other in self.requests.values()
            for hold in other.holds
        )
        limit = math.ceil((len(workers) + held) * MAX_HELD_SHARE)
        count = min(count, max(0, limit - held + len(request.holds)))
        rooms = [
            (room_s, index)
            for index, each in enumerate(workers)
            if (room_s := _room_s(step, each, now_s)) <= now_s + MAX_HOLD_S
        ]
        for room_s, index in sorted(rooms)[: max(0, count - len(request.holds))]:
            request.holds.append(
                _PlainHold(workers[index], pool, room_s, room_s + HOLD_TOLERANCE_S)
            )
        is_preempting = now_s >= request.since_s + PREEMPT_AFTER_S
        if is_preempting:
            preempting = sum(each.may_preempt for each in leaving) + waiting_count
            self._preempt(request, workers, min(count, preempting), latest_s, now_s)
        request.search_due_s = now_s + SEARCH_INTERVAL_S
        if request.holds == earlier:
            request.search_due_s = now_s + VAIN_SEARCH_INTERVAL_S
            if not is_preempting:
                request.search_due_s = min(
                    request.search_due_s, request.since_s + PREEMPT_AFTER_S
                )

    def take_preempted(self) -> list[PreemptedRun]:
        """Return the runs that are to be stopped to make room."""
        preempted, self._preempted = self._preempted, []
        return preempted

    def _preempt(
        self,
        request: _Request,
        workers: list[WorkerState],
        count: int,
        latest_s: float,
        now_s: float,
    ) -> None:
        late = [hold for hold in request.holds if hold.room_s > latest_s]
        if len(request.holds) - len(late) >= count:
            return
        open_workers = [each for each in workers if not self.is_held(each)]
        open_workers += [hold.worker for hold in late]
        options = _options(request.step, open_workers, now_s, may_stop_gangs=False)
        if not options and now_s >= request.since_s + PREEMPT_GANGS_AFTER_S:
            options = _options(request.step, open_workers, now_s, may_stop_gangs=True)
        if not options:
            return
        _, index, stopped = min(options, key=itemgetter(0, 1))
        worker = open_workers[index]
        if late:
            same = [hold for hold in late if hold.worker is worker]
            dropped = same[0] if same else max(late, key=lambda hold: hold.room_s)
            self._held_before.append(dropped.worker)
            request.holds.remove(dropped)
        request.holds.append(
            _PlainHold(
                worker,
                worker.entry.pool,
                now_s + STOP_S,
                now_s + PREEMPTION_HOLD_S,
            )
        )
        for run in stopped:
            self._preempted.append(PreemptedRun(run, request.step.key))


class ReferencePlacer:
    """Implements the interface of `TaskPlacer` on the tables of a scheduler."""

    def __init__(self, scheduler: Scheduler, order: StepOrder | None = None) -> None:
        self._jobs = scheduler.jobs
        self._workers = scheduler.workers
        self._teams = scheduler.teams
        self._order = order or LeastWorkFirst()

        self.holds = PlainHolds(scheduler)

    def place(self, configuration: FleetConfiguration, now_s: float) -> list[Run]:
        """Place the waiting tasks that fit; return their runs."""
        self.holds.refresh(now_s)
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
            placed.extend(self._place_pool(pool, steps, workers, configuration, now_s))
        self._hold_for_leaving(configuration, now_s)
        return placed

    def hold_room_for(
        self,
        runs: Sequence[LeavingRun],
        configuration: FleetConfiguration,
        now_s: float,
    ) -> None:
        """Hold room for the tasks of `runs`, and no longer for others that run."""
        self.holds.leaving = list(runs)
        self.holds.refresh(now_s)
        self._hold_for_leaving(configuration, now_s)

    def _hold_for_leaving(
        self, configuration: FleetConfiguration, now_s: float
    ) -> None:
        for leaving in self.holds.leaving:
            # Each step is searched for once, since a second search isn't due yet.
            step = leaving.run.task.step
            if not self.holds.leaving_runs(step):
                continue
            queue = configuration.queue(step.job.submission.queue)
            pool = queue.pool if queue else step.job.submission.pool
            workers = [
                each
                for each in self._workers.in_pool(pool)
                if each.accepts_starts(now_s)
            ]
            self._hold(
                step, queue, workers, pool, configuration, now_s, is_leaving=True
            )

    def _place_pool(
        self,
        pool: PoolId,
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
            pool, steps, queues, workers, configuration, now_s
        )
        too_large: set[Resources] = set()
        for step in steps:
            is_too_large = step.step.reserved_resources in too_large
            if is_too_large and not step.step.is_long_running:
                continue
            tasks = step.waiting_tasks(now_s)
            queue = queues.get(step.job.submission.queue)
            allowed = self._workers_for(step, queue, workers, pool, now_s)
            if step.step.is_gang:
                members = self._place_gang(step, tasks, allowed, configuration, now_s)
                placed.extend(members)
                if not members:
                    self._hold(step, queue, workers, pool, configuration, now_s)
                continue
            for task in tasks:
                if task.needs_trial:
                    continue
                run = self._place_task(task, allowed, configuration, now_s, None)
                if run is None:
                    if not any(
                        step.step.reserved_resources.fits(each.free)
                        for each in workers
                        if not self.holds.is_held(each)
                    ):
                        too_large.add(step.step.reserved_resources)
                    self._hold(step, queue, workers, pool, configuration, now_s)
                    break
                placed.append(run)
        return placed

    def _workers_for(
        self,
        step: StepRecord,
        queue: JobQueue | None,
        workers: list[WorkerState],
        pool: PoolId,
        now_s: float,
    ) -> _StepWorkers:
        """Return the workers held for a step, those open to all, and a shared one."""
        held = [
            each
            for each in self.holds.held_for(step, pool)
            if each.accepts_starts(now_s)
        ]

        def may_start(worker: WorkerState) -> bool:
            advised = _advised(step, queue, [worker], now_s)
            return worker.accepts_starts(now_s) and bool(advised)

        def find_shared() -> WorkerState | None:
            if not step.step.is_long_running:
                return None
            return self.holds.find_shared(step, may_start, pool, now_s)

        return (
            _advised(step, queue, held, now_s),
            _advised(step, queue, workers, now_s),
            find_shared,
        )

    def _hold(
        self,
        step: StepRecord,
        queue: JobQueue | None,
        workers: list[WorkerState],
        pool: PoolId,
        configuration: FleetConfiguration,
        now_s: float,
        *,
        is_leaving: bool = False,
    ) -> None:
        waiting = len(step.first_waiting(MAX_PLACED_PER_POOL))
        count = self._allowed_count(step, waiting, configuration)
        if not step.step.is_long_running or not (count or is_leaving):
            return
        self.holds.hold(
            step,
            count,
            lambda each: bool(_advised(step, queue, [each], now_s)),
            _advised(step, queue, workers, now_s),
            pool,
            now_s,
        )

    def _place_trials(
        self,
        pool: PoolId,
        steps: list[StepRecord],
        queues: dict[QueueId, JobQueue],
        workers: list[WorkerState],
        configuration: FleetConfiguration,
        now_s: float,
    ) -> tuple[list[Run], list[WorkerState]]:
        placed: list[Run] = []
        held: WorkerState | None = None
        for task in self._jobs.crashes.waiting_trials():
            if task.step not in steps or task.not_before_s > now_s:
                continue
            task.trial_since_s = min(task.trial_since_s, now_s)
            may_wait = now_s - task.trial_since_s < MAX_TRIAL_WAIT_S
            queue = queues.get(task.step.job.submission.queue)
            open_workers = [each for each in workers if each is not held]
            allowed = self._workers_for(task.step, queue, open_workers, pool, now_s)
            if may_wait:
                allowed = (
                    [each for each in allowed[0] if each.is_open_to_trial()],
                    [each for each in allowed[1] if each.is_open_to_trial()],
                    lambda: None,
                )
            run = self._place_task(task, allowed, configuration, now_s, None)
            if run is not None:
                task.trial_since_s = float("inf")
                placed.append(run)
            elif may_wait and held is None:
                held = _next_idle(
                    [each for each in workers if not self.holds.is_held(each)], now_s
                )
            elif not may_wait:
                self._hold(task.step, queue, open_workers, pool, configuration, now_s)
        left = [each for each in workers if each is not held and not each.trial_runs]
        return placed, left

    def _allowed_count(
        self, step: StepRecord, waiting: int, configuration: FleetConfiguration
    ) -> int:
        """Return how many waiting tasks of a step its team allows beside its others."""
        amount = step.step.resources
        team = step.job.submission.team
        return max(
            count
            for count in range(waiting + 1)
            if not count or self._teams.allows(team, amount.times(count), configuration)
        )

    def _place_gang(
        self,
        step: StepRecord,
        tasks: Sequence[TaskRecord],
        workers: _StepWorkers,
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
        for each in placed:
            self._jobs.place(each.task, each.number)
            self.holds.on_placed(each)
        return placed

    def _place_task(
        self,
        task: TaskRecord,
        workers: _StepWorkers,
        configuration: FleetConfiguration,
        now_s: float,
        number: RunNumber | None,
    ) -> Run | None:
        team = task.step.job.submission.team
        amount = task.step.step.resources
        if not self._teams.allows(team, amount, configuration):
            return None
        held, open_workers, find_shared = workers
        fitting = [each for each in held if _allows(task.step, each)]
        if fitting:
            worker_state: WorkerState | None = fitting[0]
        else:
            unheld = [each for each in open_workers if not self.holds.is_held(each)]
            worker_state = choose(task, unheld) or find_shared()
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
        if not run.step.is_gang:
            self._jobs.place(task, run.number)
            self.holds.on_placed(run)
        return run

    def _undo(self, run: Run) -> None:
        worker_state = self._workers.get(run.worker)
        if worker_state is not None:
            worker_state.remove(run)
        self._teams.remove(run.team, run.step.resources)
        run.task.assign(None)


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


def _next_idle(workers: Sequence[WorkerState], now_s: float) -> WorkerState | None:
    """Return the worker that is expected to be idle first."""

    def idle_s(worker: WorkerState) -> float:
        runs = [run for run in worker.runs.values() if not run.is_settled_in]
        return max((_end_s(run, now_s) for run in runs), default=now_s)

    candidates = [
        each for each in workers if not each.trial_runs and idle_s(each) < float("inf")
    ]
    return min(
        candidates,
        key=lambda each: (
            idle_s(each),
            -each.free.cpu_millicores,
            -each.free.memory_mb,
        ),
        default=None,
    )


def _end_s(run: Run, now_s: float) -> float:
    """Return when a run is expected to end; infinity if it isn't."""
    if run.is_stopping:
        waited_s = max(now_s - run.stop_ordered_s, 0.0)
        return now_s + (waited_s if waited_s >= STOP_S else STOP_S - waited_s)
    if run.step.is_long_running or run.pace_percent == 0:
        return float("inf")
    expected_s = (run.step.estimated_run_ms or DEFAULT_RUN_MS) / 1000
    is_first_life = not run.is_adopted and not run.task.checkpoint
    if is_first_life and run.percent >= 10 and run.listed_s > run.placed_s:
        expected_s = (run.listed_s - run.placed_s) * 100 / run.percent
    ran_s = now_s - run.placed_s
    left_s = expected_s - ran_s if expected_s > ran_s else ran_s / 2
    return now_s + left_s * 100 / run.pace_percent


def _may_fit(step: StepRecord, worker: WorkerState) -> bool:
    """Return whether a worker could have room for one more task of a step."""
    here = sum(run.task.step is step for run in worker.runs.values())
    is_full = bool(step.step.max_per_worker) and here >= step.step.max_per_worker
    return not is_full and _fits_beside(step, worker, [])


def _room_s(step: StepRecord, worker: WorkerState, now_s: float) -> float:
    """Return when a worker is expected to have room for one more task of a step."""
    runs = worker.runs.values()
    if not _fits_beside(step, worker, []):
        return float("inf")
    if _fits_beside(step, worker, list(runs)):
        return now_s
    ends_s = [(_end_s(run, now_s), index) for index, run in enumerate(runs)]
    order = [list(runs)[index] for _, index in sorted(ends_s)]
    for number, (end_s, _) in enumerate(sorted(ends_s)):
        if end_s < float("inf") and _fits_beside(step, worker, order[number + 1 :]):
            return end_s
    return float("inf")


def _leaves_room(
    hold: _PlainHold, holder: StepRecord, guest: StepRecord, now_s: float
) -> bool:
    """Return whether a task of `guest` leaves room for one of `holder` in time."""
    worker = hold.worker
    free = worker.entry.capacity.minus(guest.step.reserved_resources)
    has_room_now = _fits_beside(holder, worker, list(worker.runs.values()))
    for run in worker.runs.values():
        if has_room_now or _end_s(run, now_s) > hold.until_s:
            free = free.minus(run.reserved_resources)
    here = sum(run.task.step is holder for run in worker.runs.values())
    spec = holder.step
    is_full = bool(spec.max_per_worker) and here >= spec.max_per_worker
    has_label = not spec.needed_label or spec.needed_label in worker.entry.labels
    return has_label and not is_full and spec.reserved_resources.fits(free)


def _fits_beside(step: StepRecord, worker: WorkerState, runs: Sequence[Run]) -> bool:
    """Return whether a worker would allow a task of a step if it had just `runs`."""
    spec = step.step
    free = worker.entry.capacity
    for run in runs:
        free = free.minus(run.reserved_resources)
    here = sum(run.task.step is step for run in runs)
    has_label = not spec.needed_label or spec.needed_label in worker.entry.labels
    is_full = bool(spec.max_per_worker) and here >= spec.max_per_worker
    return has_label and not is_full and spec.reserved_resources.fits(free)


def _options(
    step: StepRecord,
    workers: list[WorkerState],
    now_s: float,
    *,
    may_stop_gangs: bool,
) -> list[tuple[float, int, list[Run]]]:
    """Return the work lost, the index of each worker and the runs to stop there."""
    options = []
    for index, each in enumerate(workers):
        here = _stopped_for(step, each, now_s, may_stop_gangs) or []
        stopped: list[Run] = []
        for run in here:
            gang = run.task.step.runs() if run.step.is_gang else [run]
            stopped += [one for one in gang if one not in stopped]
        stopped = [run for run in stopped if not run.is_stopping]
        if stopped:
            work = sum(_lost_work(run, now_s) for run in stopped)
            options.append((work, index, stopped))
    return options


def _stopped_for(
    step: StepRecord, worker: WorkerState, now_s: float, may_stop_gangs: bool
) -> list[Run] | None:
    """Return the runs to stop for a task of a step; None if that makes no room."""
    if not _may_fit(step, worker):
        return None
    wanted = step.step.reserved_resources
    free = worker.free
    stopped: list[Run] = []
    for run in sorted(worker.runs.values(), key=lambda run: _lost_by_stop(run, now_s)):
        if wanted.fits(free):
            break
        may_stop = _may_stop(run, now_s, may_stop_gangs)
        if may_stop and _is_lacking(wanted, free, run.reserved_resources):
            free = free.plus(run.reserved_resources)
            stopped.append(run)
    if not wanted.fits(free):
        return None
    for run in sorted(stopped, key=stopped.index, reverse=True):
        if wanted.fits(free.minus(run.reserved_resources)):
            free = free.minus(run.reserved_resources)
            stopped = [each for each in stopped if each is not run]
    return [run for run in stopped if not run.is_stopping]


def _may_stop(run: Run, now_s: float, may_stop_gangs: bool) -> bool:
    if run.is_stopping:
        return run.stop_ordered_s + STOP_S >= now_s
    spec = run.step
    is_kept_gang = spec.is_gang and not may_stop_gangs
    kept = spec.is_long_running or is_kept_gang or run.is_trial
    return run.phase is RunPhase.RUNNING and not kept


def _is_lacking(wanted: Resources, free: Resources, amount: Resources) -> bool:
    """Return whether `amount` has something of what `wanted` lacks in `free`."""
    pairs = zip(
        msgspec.structs.astuple(wanted.minus(free)),
        msgspec.structs.astuple(amount),
        strict=True,
    )
    return any(lacking > 0 and has > 0 for lacking, has in pairs)


def _lost_by_stop(run: Run, now_s: float) -> float:
    """Return the work that is lost by the stop of a run, with that of its gang."""
    ended = run.task.step.runs() if run.step.is_gang else [run]
    return sum(_lost_work(each, now_s) for each in ended)


def _lost_work(run: Run, now_s: float) -> float:
    spec = run.step
    if run.is_stopping or spec.is_checkpointing:
        return 0.0
    worked_s = now_s - run.placed_s
    if run.is_adopted:
        estimated_s = (spec.estimated_run_ms or DEFAULT_RUN_MS) / 1000
        worked_s = max(worked_s, estimated_s * run.percent / 100)
    return worked_s * (
        spec.resources.cpu_millicores / 1000 + 8 * spec.resources.accelerators
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
