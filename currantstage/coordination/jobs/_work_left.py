"""Remaining work of a job, kept up to date task by task."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from currantstage.coordination.jobs._step_graph import estimated_run_s

if TYPE_CHECKING:
    from currantstage.state.jobs import Step


@dataclass(slots=True)
class WorkLeft:
    """Work of tasks that have not succeeded, by their callers' estimates.

    Sums are of whole millicore-milliseconds, so that no rounding adds up.
    """

    all: int = 0
    short: int = 0
    ready_millicores: int = 0

    @property
    def all_core_s(self) -> float:
        """Core-seconds of all tasks."""
        return self.all / 1e6

    @property
    def short_core_s(self) -> float:
        """Core-seconds of the tasks that are not long-running."""
        return self.short / 1e6

    @property
    def ready_cores(self) -> float:
        """Cores that the short tasks of steps that are ready use at once."""
        return self.ready_millicores / 1000

    def add_ready(self, step: Step, task_count: int) -> None:
        """Add some tasks of a step that is ready and have not succeeded."""
        if not step.is_long_running:
            self.ready_millicores += task_count * step.resources.cpu_millicores

    def add(self, step: Step, task_count: int) -> None:
        """Add the work of some tasks of a step."""
        run_ms = round(estimated_run_s(step) * 1000)
        work = task_count * step.resources.cpu_millicores * run_ms
        self.all += work
        if not step.is_long_running:
            self.short += work
