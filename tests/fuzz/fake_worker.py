"""A worker that behaves as the platform specifies, for the state machine."""

from __future__ import annotations

from dataclasses import dataclass, field

from currantstage.state.jobs import (
    BornMs,
    EndedTask,
    EndKind,
    EndNumber,
    Fence,
    OrderOutcome,
    RenewalOrder,
    RenewalReply,
    RunningTask,
    RunNumber,
    StartOrder,
    StopOrder,
    TaskKey,
    WorkerId,
)
from tests.fuzz.scheduler_oracle import SchedulerOracle

#: Rates of the clocks of a worker's incarnations, in turn; a clock may be 2% slow.
CLOCK_RATES = (1.0, 0.98)

#: Time in which a run makes one percent of progress, in milliseconds.
PERCENT_MS = 50
#: Progress of runs that have stalled.
STALLED_PERCENT = 50


@dataclass(eq=False)
class FakeWorker:
    """A worker, and its incarnations one after another.

    Parameters
    ----------
    name : WorkerId
    oracle : SchedulerOracle
    max_lease_s : float
        Longest lease that it grants, in seconds on its own clock.
    born_s : float
        When its incarnation started, which is when its clock started.
    is_strict : bool
        Whether an incarnation refuses orders that are meant for another one.
    """

    name: WorkerId
    oracle: SchedulerOracle
    max_lease_s: float
    born_s: float
    is_strict: bool = False
    born_ms: BornMs = BornMs(1)
    fence: Fence = Fence(0)
    lease_until_s: float = 0.0
    runs: dict[TaskKey, RunNumber] = field(default_factory=dict)
    ends: list[EndedTask] = field(default_factory=list)
    end_count: int = 0
    highest_ended: dict[TaskKey, RunNumber] = field(default_factory=dict)

    @property
    def clock_rate(self) -> float:
        """Seconds on the worker's clock for each second that passes."""
        return CLOCK_RATES[self.born_ms % len(CLOCK_RATES)]

    def clock_ms(self, now_s: float) -> int:
        """Return the time on the worker's own clock, in milliseconds."""
        return int((now_s - self.born_s) * self.clock_rate * 1000) + 1

    def is_meant_by(self, order: StartOrder | StopOrder | RenewalOrder) -> bool:
        """Return whether `order` is meant for this incarnation."""
        return order.worker.born_ms == self.born_ms

    def end(self, task: TaskKey, kind: EndKind) -> None:
        """End a run and add it to the list of ends."""
        run = self.runs.pop(task)
        self.end_count += 1
        self.highest_ended[task] = run
        self.ends.append(EndedTask(EndNumber(self.end_count), task, run, kind, ""))

    def expire_lease(self, now_s: float) -> None:
        """End all runs if the lease has expired."""
        if now_s > self.lease_until_s:
            for task in list(self.runs):
                self.end(task, EndKind.LEASE_EXPIRED)

    def restart(self, now_s: float) -> None:
        """Restart under the same id."""
        self.born_ms = BornMs(self.born_ms + 1)
        self.born_s = now_s
        self.fence = Fence(0)
        self.lease_until_s = 0.0
        self.runs = {}
        self.ends = []
        self.end_count = 0
        self.highest_ended = {}

    def start(self, order: StartOrder, now_s: float) -> OrderOutcome:
        """Carry out an order to start a run."""
        refusal = self._refusal(order)
        if refusal is not None:
            return refusal
        if order.until_ms <= self.clock_ms(now_s):
            return OrderOutcome.TOO_LATE
        self._extend_lease(order.until_ms, now_s)
        if self.runs.get(order.task) == order.run:
            return OrderOutcome.ACCEPTED
        if order.run <= self.highest_ended.get(order.task, 0):
            return OrderOutcome.OUTDATED
        self.oracle.on_start(self, order.task)
        self.runs[order.task] = order.run
        return OrderOutcome.ACCEPTED

    def stop(self, order: StopOrder) -> None:
        """Carry out an order to stop a run."""
        if self._refusal(order) is not None:
            return
        if self.runs.get(order.task) == order.run:
            self.end(order.task, EndKind.STOPPED)

    def hold(self, order: RenewalOrder, now_s: float) -> RenewalReply | OrderOutcome:
        """Carry out a renewal; return the lists of runs."""
        refusal = self._refusal(order)
        if refusal is not None:
            return refusal
        if order.until_ms is not None:
            self._extend_lease(order.until_ms, now_s)
        for ended in self.ends:
            if ended.number <= order.seen_upto:
                self.oracle.on_acknowledged(ended)
        self.ends = [each for each in self.ends if each.number > order.seen_upto]
        self.oracle.on_listed(self.ends)
        return RenewalReply(
            self.clock_ms(now_s),
            self.born_ms,
            tuple(self._listed(task, now_s) for task in self.runs),
            tuple(self.ends),
        )

    def _refusal(
        self, order: StartOrder | StopOrder | RenewalOrder
    ) -> OrderOutcome | None:
        """Return why an order is refused; note its fence if it isn't."""
        if self.is_strict and not self.is_meant_by(order):
            return OrderOutcome.OTHER_WORKER
        if order.fence < self.fence:
            return OrderOutcome.FENCED
        self.fence = order.fence
        return None

    def _extend_lease(self, until_ms: int, now_s: float) -> None:
        """Extend the lease to `until_ms`, but to the longest one from now at most."""
        asked_s = (until_ms - self.clock_ms(now_s)) / 1000
        duration_s = min(self.max_lease_s, asked_s) / self.clock_rate
        self.lease_until_s = max(self.lease_until_s, now_s + duration_s)

    def _listed(self, task: TaskKey, now_s: float) -> RunningTask:
        percent = STALLED_PERCENT
        if self.oracle.step(task).is_long_running:
            percent = 100
        elif task.step == 0:
            # Other steps make no progress, so that their runs are stopped as stalled.
            percent = self.clock_ms(now_s) // PERCENT_MS % 100
        return RunningTask(task, self.runs[task], "", percent, 0.0)
