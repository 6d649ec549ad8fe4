"""The budget of long-running steps: how many tasks planned work may take away."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from currantstage.coordination.jobs._records import Run


def may_interrupt(run: Run, now_s: float) -> bool:
    """Return whether planned work may end `run` now.

    Every other task of the step that isn't fully at work counts as unavailable,
    whatever the cause; so does one whose worker has fallen silent. A task that was
    starting when it was last seen may be at work by now; one that is paced is not.
    """
    step = run.step
    if not step.is_long_running or step.max_unavailable <= 0:
        return True
    if run.pace_percent < 100 and run.is_seen(now_s) and run.percent < 100:
        return True
    others = [task.run for task in run.task.step.tasks if task is not run.task]
    away = sum(
        other is None or other.is_stopping or not other.is_at_work(now_s)
        for other in others
    )
    return away < step.max_unavailable
