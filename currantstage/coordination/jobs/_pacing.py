"""Throttling of filler tasks that raise the latency of serving tasks."""

from __future__ import annotations

from typing import TYPE_CHECKING

from currantstage.coordination.jobs._run import Run, RunPhase
from currantstage.state.jobs import PaceOrder

if TYPE_CHECKING:
    from currantstage.coordination.jobs._worker_state import WorkerState

#: Latency, as a share of the target, above which fillers are slowed.
SLOW_ABOVE = 0.85
#: Latency, as a share of the target, below which fillers are sped up.
SPEED_UP_BELOW = 0.6
#: Factor by which a filler's pace is reduced each time it is slowed.
SLOW_FACTOR = 0.4
#: Pace below which a filler is paused, in percent.
MIN_PACE_PERCENT = 15
#: Amount by which a filler's pace is raised each time, in percentage points.
PACE_GAIN_PERCENT = 15
#: Minimum time between two raises of pace on a worker, in seconds.
PACE_GAIN_INTERVAL_S = 1.0


class PaceController:
    """Keeps the serving tasks of each worker below their latency target."""

    def __init__(self) -> None:
        self._raised_s: dict[str, float] = {}

    def adjust(self, state: WorkerState, now_s: float) -> list[PaceOrder]:
        """Return the pace orders that the worker's latest lists call for."""
        running = [r for r in state.runs.values() if r.phase is RunPhase.RUNNING]
        fillers = [run for run in running if run.step.is_filler]
        pressure = max(map(_pressure, running), default=0.0)
        if not fillers:
            return []
        if pressure > SLOW_ABOVE:
            return [_set_pace(state, run, _slowed(run.pace_percent)) for run in fillers]
        if pressure < SPEED_UP_BELOW:
            return self._speed_up(state, fillers, now_s)
        return []

    def _speed_up(
        self, state: WorkerState, fillers: list[Run], now_s: float
    ) -> list[PaceOrder]:
        slowed = [run for run in fillers if run.pace_percent < 100]
        worker = state.entry.worker
        last_s = self._raised_s.get(worker, float("-inf"))
        if not slowed or now_s - last_s < PACE_GAIN_INTERVAL_S:
            return []
        self._raised_s[worker] = now_s
        return [
            _set_pace(state, run, min(100, run.pace_percent + PACE_GAIN_PERCENT))
            for run in slowed
        ]


def _pressure(run: Run) -> float:
    """Return the tail latency of a serving run as a share of its target."""
    target_ms = run.step.target_latency_ms
    return run.gauge / target_ms if target_ms else 0.0


def _slowed(pace_percent: int) -> int:
    """Return the pace after one reduction.

    >>> _slowed(100), _slowed(20)
    (40, 0)
    """
    slowed = int(pace_percent * SLOW_FACTOR)
    return slowed if slowed >= MIN_PACE_PERCENT else 0


def _set_pace(state: WorkerState, run: Run, percent: int) -> PaceOrder:
    run.pace_percent = percent
    return PaceOrder(state.entry, run.task.key, run.number, state.fence, percent)
