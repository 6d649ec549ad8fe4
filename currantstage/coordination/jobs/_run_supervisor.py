"""Stop and pace orders to send to workers, and the stall checks of their runs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from currantstage.coordination.jobs._pacing import PaceController
from currantstage.coordination.jobs._run import Run, RunPhase
from currantstage.coordination.jobs._stall_watch import StallWatch
from currantstage.coordination.jobs._worker_pause import PauseGround
from currantstage.state.jobs import PaceOrder, StopOrder

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from currantstage.coordination.jobs._run_lifecycle import RunLifecycle
    from currantstage.coordination.jobs._tuning import SchedulerTuning
    from currantstage.coordination.jobs._worker_state import WorkerState

#: How long no task is placed on a worker whose run has stalled, in seconds.
STALLED_PAUSE_S = 2.0
#: Multiple of the estimated time for one percent that a run may take for it.
ESTIMATE_MARGIN = 3.0
#: Factor by which the time that a task may be without progress grows with each run that
#: was stopped for it; estimates may be far off.
STALL_BACKOFF = 2.0
#: The least such factor while most workers of a pool have stalled runs.
COMMON_CAUSE_BACKOFF = 4.0
#: Maximum time without progress of a long-running task that starts up, in seconds.
STARTUP_TIMEOUT_S = 4.0


class RunSupervisor:
    """Watches running tasks and collects the orders that stop or pace them.

    A run that is to stop is sent stop orders, at intervals, until its worker reports
    its end.

    Parameters
    ----------
    lifecycle : RunLifecycle
    tuning : SchedulerTuning
    """

    def __init__(self, lifecycle: RunLifecycle, tuning: SchedulerTuning) -> None:
        self._lifecycle = lifecycle
        self._tuning = tuning
        self._pace_controller = PaceController()
        self._stall_watch = StallWatch()
        self._stop_orders: list[StopOrder] = []
        self._pace_orders: list[PaceOrder] = []

    def check(self, workers: Iterable[WorkerState], now_s: float) -> None:
        """Stop the runs that have stalled; resend the stop orders that are due."""
        running = [
            (worker_state, run)
            for worker_state in workers
            for run in worker_state.runs.values()
            if run.phase is RunPhase.RUNNING
        ]
        stalled = [each for each in running if self._is_stalled(each[1])]
        self._stall_watch.update(
            {state for state, run in running if not run.step.is_long_running},
            {state for state, run in stalled if not run.step.is_long_running},
            now_s,
        )
        for worker_state, run in stalled:
            if not run.is_stopping:
                self._on_stalled(worker_state, run, now_s)
        for worker_state, run in running:
            self._resend_stop(worker_state, run, now_s)

    def _resend_stop(self, worker_state: WorkerState, run: Run, now_s: float) -> None:
        retry_s = self._tuning.stop_retry_ms / 1000
        if run.is_stopping and now_s - run.stop_sent_s >= retry_s:
            run.stop_ordered_s = min(run.stop_ordered_s, now_s)
            run.stop_sent_s = now_s
            self._stop_orders.append(
                StopOrder(
                    worker_state.entry, run.task.key, run.number, worker_state.fence
                )
            )

    def add_stops(self, orders: Sequence[StopOrder]) -> None:
        """Add stop orders for runs that the scheduler doesn't know."""
        self._stop_orders.extend(orders)

    def adjust_pace(self, worker_state: WorkerState, now_s: float) -> None:
        """Add the pace orders that a worker's latest lists call for."""
        self._pace_orders.extend(self._pace_controller.adjust(worker_state, now_s))

    def take_stops(self) -> Sequence[StopOrder]:
        """Return the stop orders to send now."""
        stops, self._stop_orders = self._stop_orders, []
        return stops

    def take_paces(self) -> Sequence[PaceOrder]:
        """Return the pace orders to send now."""
        paces, self._pace_orders = self._pace_orders, []
        return paces

    def _is_stalled(self, run: Run) -> bool:
        if run.pace_percent < 100 or run.step.is_gang:
            return False
        if run.step.is_long_running:
            return run.percent < 100 and run.idle_s > STARTUP_TIMEOUT_S
        return run.idle_s > self._max_idle_s(run)

    def _max_idle_s(self, run: Run, min_backoff: float = 1.0) -> float:
        """Return how long a run may stay on the same whole percent."""
        percent_s = run.step.estimated_run_ms / 1000 / 100
        backoff = max(min_backoff, STALL_BACKOFF**run.task.stall_count)
        return max(self._tuning.stall_ms / 1000, ESTIMATE_MARGIN * percent_s) * backoff

    def _on_stalled(self, worker_state: WorkerState, run: Run, now_s: float) -> None:
        """Stop a run that has stalled, later if its worker isn't alone with that."""
        is_common = self._stall_watch.has_common_cause(worker_state.entry.pool)
        may_go_on = is_common and not run.step.is_long_running
        if may_go_on and run.idle_s <= self._max_idle_s(run, COMMON_CAUSE_BACKOFF):
            return
        task = run.task
        task.failed_on |= {run.worker}
        if not task.stall_count and not is_common:
            # A task that stalls again is itself the more likely reason.
            worker_state.pauses.begin(PauseGround.STALL, now_s, STALLED_PAUSE_S)
        task.stall_count += 1
        self._lifecycle.stop(run)
