"""Oracle of the invariants that the state machine of the schedulers checks."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from currantstage.state.jobs import (
    EndedTask,
    EndKind,
    JobId,
    Submission,
    TaskKey,
)

if TYPE_CHECKING:
    from tests.fuzz.fake_worker import FakeWorker

MAX_ATTEMPTS = 3
CAPACITY_MILLICORES = 3000


class SchedulerOracle:
    """Knows what runs and what has ended on all workers, and what that violates."""

    def __init__(self) -> None:
        self.workers: list[FakeWorker] = []
        self.submissions: dict[JobId, Submission] = {}
        self.acknowledged_done: set[TaskKey] = set()
        #: Tasks whose success a worker, which may have restarted, has listed before.
        self.listed_done: set[TaskKey] = set()
        self.acknowledged_failures: dict[TaskKey, int] = defaultdict(int)
        self.violations: list[str] = []

    def on_acknowledged(self, ended: EndedTask) -> None:
        """Record that a worker forgets an end."""
        if ended.kind is EndKind.DONE:
            self.acknowledged_done.add(ended.task)
        if ended.kind is EndKind.FAILED:
            self.acknowledged_failures[ended.task] += 1

    def on_listed(self, ends: list[EndedTask]) -> None:
        """Record the ends that a worker lists."""
        self.listed_done.update(each.task for each in ends if each.kind is EndKind.DONE)

    def on_start(self, worker: FakeWorker, task: TaskKey) -> None:
        """Check that a run may start."""
        if any(task in each.runs for each in self.workers):
            self.violations.append(f"TWICE: {task}")
        if task in self.acknowledged_done:
            self.violations.append(f"TWICE: {task} has ended as done")
        if task.job not in self.submissions:
            self.violations.append(f"UNASKED: {task}")
            return
        step = self.step(task)
        # A long-running task is started again however often it has failed.
        is_limited = not step.is_long_running
        if is_limited and self.acknowledged_failures[task] >= MAX_ATTEMPTS:
            self.violations.append(f"BUDGET: {task}")
        self._check_order(task)
        used = sum(
            self.step(each).reserved_resources.cpu_millicores for each in worker.runs
        )
        if used + step.reserved_resources.cpu_millicores > CAPACITY_MILLICORES:
            self.violations.append(f"LIMIT: {worker.name}")

    def step(self, task: TaskKey):
        """Return the step of a task."""
        return self.submissions[task.job].steps[task.step]

    def _check_order(self, task: TaskKey) -> None:
        steps = self.submissions[task.job].steps
        done = self._done()
        for earlier in steps[task.step].after:
            for number in range(steps[earlier].task_count):
                if task._replace(step=earlier, number=number) not in done:
                    self.violations.append(f"ORDER: {task}")

    def _done(self) -> set[TaskKey]:
        listed = {
            ended.task
            for worker in self.workers
            for ended in worker.ends
            if ended.kind is EndKind.DONE
        }
        return listed | self.listed_done | self.acknowledged_done
