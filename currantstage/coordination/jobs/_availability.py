"""Disruption budget of long-running steps."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from currantstage.coordination.jobs._records import TaskRecord
    from currantstage.coordination.jobs._run import Run


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
    return _unavailable_others((run,), run, now_s) < step.max_unavailable


def may_interrupt_all(runs: Sequence[Run], now_s: float) -> bool:
    """Return whether planned work may stop all of `runs` at the same time."""
    for run in runs:
        budget = run.step.max_unavailable
        stopped = sum(each.task.step is run.task.step for each in runs)
        if budget > 0 and _unavailable_others(runs, run, now_s) + stopped > budget:
            return False
    return True


def _unavailable_others(stopped: Sequence[Run], run: Run, now_s: float) -> int:
    """Count the tasks of a run's step that are unavailable, without those `stopped`."""
    tasks: list[TaskRecord] = [each.task for each in stopped]
    others = [task.run for task in run.task.step.tasks if task not in tasks]
    return sum(
        other is None or other.is_stopping or not other.is_available(now_s)
        for other in others
    )
