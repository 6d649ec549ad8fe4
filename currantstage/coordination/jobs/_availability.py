"""Disruption budget of long-running steps."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from currantstage.coordination.jobs._run import Run
    from currantstage.state.jobs import StepKey


def may_interrupt(run: Run, now_s: float) -> bool:
    """Return whether planned work may stop `run` now.

    Every other task of the step that isn't fully available counts as unavailable,
    whatever the cause, and so does one whose worker has fallen silent, or that an
    earlier scheduler may have stopped. A run that was starting up when it was last
    listed may be available by now, so stopping it counts against the budget; a run that
    is slowed down is not available.
    """
    step = run.step
    if not step.is_long_running or step.max_unavailable <= 0:
        return True
    if run.pace_percent < 100 and run.is_recently_listed(now_s) and run.percent < 100:
        return True
    return _unavailable_others((run,), now_s) < step.max_unavailable


def may_interrupt_all(runs: Sequence[Run], now_s: float) -> bool:
    """Return whether planned work may stop all of `runs` at the same time."""
    stopped_by_step: dict[StepKey, list[Run]] = defaultdict(list)
    for run in runs:
        stopped_by_step[run.task.step.key].append(run)
    for stopped in stopped_by_step.values():
        budget = stopped[0].step.max_unavailable
        if budget > 0 and _unavailable_others(stopped, now_s) + len(stopped) > budget:
            return False
    return True


def _unavailable_others(stopped: Sequence[Run], now_s: float) -> int:
    """Count the unavailable tasks of a step without those of its runs in `stopped`."""
    step = stopped[0].task.step
    others = len(step.tasks) - len(stopped)
    available = sum(
        not other.is_stopping and other.is_available(now_s)
        for other in step.runs()
        if other not in stopped
    )
    return others - available
