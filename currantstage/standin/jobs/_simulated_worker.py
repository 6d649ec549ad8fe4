"""A simulated worker that runs tasks under leases."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from currantstage.state.jobs import (
    NO_RESOURCES,
    EndedTask,
    EndKind,
    EndNumber,
    Fence,
    OrderOutcome,
    RenewalReply,
    RunningTask,
)
from currantstage.util import Notifier

if TYPE_CHECKING:
    from currantstage.standin.jobs._workers import SimulatedWorkers
    from currantstage.state.jobs import (
        RenewalOrder,
        Resources,
        RunNumber,
        StartOrder,
        StopOrder,
        TaskKey,
        WorkerEntry,
    )

#: Maximum number of ends in one reply.
MAX_LISTED_ENDS = 500
#: Longest lease that a worker grants by default, in seconds.
MAX_LEASE_S = 6.0
#: Time that it takes to stop a run, in seconds.
STOP_DURATION_S = 0.1
#: Time from the start of a task that crashes its worker to the crash, in seconds.
CRASH_DELAY_S = 0.01


@dataclass(slots=True, eq=False)
class SimulatedRun:
    """A run of a task on a worker."""

    task: TaskKey
    number: RunNumber
    worker: SimulatedWorker
    started_s: float
    run_duration_s: float | None
    timer: asyncio.TimerHandle | None = None
    #: Since when the task makes no progress; None while it does.
    stalled_since_s: float | None = None

    def worked_s(self) -> float:
        """Return for how long the task has made progress, in seconds."""
        until_s = self.stalled_since_s
        return (virtual_now_s() if until_s is None else until_s) - self.started_s


class SimulatedWorker:
    """One incarnation of a worker.

    Parameters
    ----------
    entry : WorkerEntry
    fleet : SimulatedWorkers
    clock_rate : float
        Seconds on the worker's clock for each second that passes.
    """

    def __init__(
        self, entry: WorkerEntry, fleet: SimulatedWorkers, clock_rate: float
    ) -> None:
        self.entry = entry
        self.clock_rate = clock_rate
        self.is_up = True
        self.fence = Fence(0)
        self.lease_end_s = 0.0
        self.runs: dict[TaskKey, SimulatedRun] = {}
        self.ended: list[EndedTask] = []
        self._fleet = fleet
        self._ended_runs: dict[TaskKey, RunNumber] = {}
        self._ends = 0
        self._changed = Notifier()
        self._is_stalled = False

    @property
    def name(self) -> str:
        """The worker's id."""
        return self.entry.worker

    def clock_ms(self) -> int:
        """Return the time on the worker's own clock, in milliseconds."""
        age_s = virtual_now_s() - self.entry.born_ms / 1000
        return int(age_s * self.clock_rate * 1000) + 1

    def used_resources(self) -> Resources:
        """Return the resources that its runs reserve."""
        used = NO_RESOURCES
        for task in self.runs:
            step = self._fleet.oracle.submitted[task.job].steps[task.step]
            used = used.plus(step.reserved_resources)
        return used

    def start(self, order: StartOrder, *, is_late: bool) -> OrderOutcome:
        """Carry out an order to start a run."""
        if not self._accept_fence(order.fence):
            return OrderOutcome.FENCED
        known = self.runs.get(order.task)
        if known is not None and known.number == order.run:
            return OrderOutcome.ACCEPTED
        if order.until_ms <= self.clock_ms():
            return OrderOutcome.TOO_LATE
        self.extend_lease(order.until_ms)
        newest_ended = self._ended_runs.get(order.task, 0)
        if known is not None or order.run <= newest_ended:
            return OrderOutcome.OUTDATED
        run_duration_s = self._fleet.run_duration_s(self.entry.worker, order.task)
        run = SimulatedRun(order.task, order.run, self, virtual_now_s(), run_duration_s)
        self.runs[order.task] = run
        self._fleet.oracle.on_start(self, run, virtual_now_s(), is_late=is_late)
        if self._fleet.is_deadly(order.task):
            asyncio.get_running_loop().call_later(
                CRASH_DELAY_S, self._fleet.crash_and_return, self
            )
        if self._is_stalled:
            run.stalled_since_s = run.started_s
        else:
            self._set_timer(run)
        return OrderOutcome.ACCEPTED

    def set_stalled(self, is_stalled: bool) -> None:
        """Let all tasks stand still, or go on where they stood."""
        if is_stalled == self._is_stalled:
            return
        self._is_stalled = is_stalled
        now_s = virtual_now_s()
        for run in self.runs.values():
            if is_stalled:
                run.stalled_since_s = now_s
                if run.timer is not None:
                    run.timer.cancel()
            elif run.stalled_since_s is not None:
                run.started_s += now_s - run.stalled_since_s
                run.stalled_since_s = None
                self._set_timer(run)

    def stop(self, order: StopOrder) -> OrderOutcome:
        """Carry out an order to stop a run."""
        if not self._accept_fence(order.fence):
            return OrderOutcome.FENCED
        run = self.runs.get(order.task)
        if run is None or run.number != order.run:
            newest_ended = self._ended_runs.get(order.task, order.run)
            self._ended_runs[order.task] = max(newest_ended, order.run)
            return OrderOutcome.ACCEPTED
        asyncio.get_running_loop().call_later(
            STOP_DURATION_S, self._end, run, EndKind.STOPPED
        )
        return OrderOutcome.ACCEPTED

    async def hold(self, order: RenewalOrder) -> RenewalReply | OrderOutcome:
        """Renew the lease, and wait for the end of a run if the order asks for it."""
        if not self._accept_fence(order.fence):
            return OrderOutcome.FENCED
        self._forget_ends(order.seen_upto)
        if order.until_ms is not None:
            self.extend_lease(order.until_ms)
        if order.wait_ms and not self.ended:
            await self._changed.wait(order.wait_ms / 1000)
            self._forget_ends(order.seen_upto)
        return RenewalReply(
            clock_ms=self.clock_ms(),
            born_ms=self.entry.born_ms,
            running=tuple(map(self._to_running_task, self.runs.values())),
            ended=tuple(self.ended[:MAX_LISTED_ENDS]),
            has_more_ends=len(self.ended) >= MAX_LISTED_ENDS,
        )

    def hold_late(self, order: RenewalOrder) -> None:
        """Renew the lease for an order whose caller has timed out."""
        if not self._accept_fence(order.fence):
            return
        self._forget_ends(order.seen_upto)
        if order.until_ms is not None:
            self.extend_lease(order.until_ms)

    def _forget_ends(self, seen_upto: EndNumber) -> None:
        for ended in self.ended:
            if ended.number <= seen_upto:
                self._fleet.oracle.on_acknowledged(
                    ended.task,
                    is_done=ended.kind is EndKind.DONE,
                    is_failed=ended.kind is EndKind.FAILED,
                )
        self.ended = [each for each in self.ended if each.number > seen_upto]

    def extend_lease(self, until_ms: int) -> None:
        """Extend the lease to `until_ms`, but to the longest one from now at most."""
        max_lease_s = self._fleet.max_lease_s
        clock_duration_s = min(max_lease_s, (until_ms - self.clock_ms()) / 1000)
        duration_s = clock_duration_s / self.clock_rate
        self.lease_end_s = max(self.lease_end_s, virtual_now_s() + duration_s)
        asyncio.get_running_loop().call_at(self.lease_end_s + 0.001, self._expire_lease)

    def crash(self) -> None:
        """End the process and every run in it."""
        self.is_up = False
        for run in list(self.runs.values()):
            self._remove_run(run)

    def _accept_fence(self, fence: Fence) -> bool:
        if fence < self.fence:
            return False
        self.fence = fence
        return True

    def _set_timer(self, run: SimulatedRun) -> None:
        if run.run_duration_s is None:
            return
        left_s = run.run_duration_s - run.worked_s()
        run.timer = asyncio.get_running_loop().call_later(
            max(0.0, left_s), self._finish, run
        )

    def _finish(self, run: SimulatedRun) -> None:
        self._end(run, self._fleet.end_kind(self.entry.worker, run.task))

    def _expire_lease(self) -> None:
        if virtual_now_s() >= self.lease_end_s and self.is_up:
            for run in list(self.runs.values()):
                self._end(run, EndKind.LEASE_EXPIRED)

    def _end(self, run: SimulatedRun, kind: EndKind) -> None:
        if self.runs.get(run.task) is not run:
            return
        self._remove_run(run, is_done=kind is EndKind.DONE)
        self._ends += 1
        self._ended_runs[run.task] = run.number
        self.ended.append(
            EndedTask(EndNumber(self._ends), run.task, run.number, kind, "")
        )
        self._changed.notify_all()

    def _to_running_task(self, run: SimulatedRun) -> RunningTask:
        percent = 0
        if self.name not in self._fleet.without_progress:
            percent = _percent(run)
        return RunningTask(run.task, run.number, "", percent, 0.0)

    def _remove_run(self, run: SimulatedRun, *, is_done: bool = False) -> None:
        del self.runs[run.task]
        if run.timer is not None:
            run.timer.cancel()
        self._fleet.oracle.on_end(run, is_done=is_done)


def _percent(run: SimulatedRun) -> int:
    """Return the progress of a run, in whole percent."""
    if run.run_duration_s is None:
        return 100
    return int(100 * run.worked_s() / run.run_duration_s)


def virtual_now_s() -> float:
    return asyncio.get_running_loop().time()
