"""Check rules that must hold in every simulation, as workers and callers see them."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from currantstage.state.jobs import NO_RESOURCES, JobState, TaskKey

if TYPE_CHECKING:
    from currantstage.standin.jobs._simulated_worker import (
        SimulatedRun,
        SimulatedWorker,
    )
    from currantstage.state.jobs import FleetConfiguration, JobId, Submission

#: Workers that may crash under a task before its starts are counted, and the number of
#: these starts that is one too many.
MAX_CRASHES = 3
FORBIDDEN_START = 3
#: Time after an acknowledged cancellation in which tasks may still start, in seconds.
CANCEL_GRACE_S = 3.0


@dataclass(slots=True)
class Oracle:
    """Records violations, each as a line that begins with the code of the rule.

    Parameters
    ----------
    configuration : FleetConfiguration
    """

    configuration: FleetConfiguration
    violations: list[str] = field(default_factory=list)
    submitted: dict[JobId, Submission] = field(default_factory=dict)
    accepted_s: dict[JobId, float] = field(default_factory=dict)
    cancelled_s: dict[JobId, float] = field(default_factory=dict)
    running: dict[TaskKey, list[SimulatedRun]] = field(
        default_factory=lambda: defaultdict(list)
    )
    done: set[TaskKey] = field(default_factory=set)
    acknowledged_done: set[TaskKey] = field(default_factory=set)
    acknowledged_failures: dict[TaskKey, int] = field(
        default_factory=lambda: defaultdict(int)
    )
    started_jobs: set[JobId] = field(default_factory=set)
    crashes: dict[TaskKey, int] = field(default_factory=lambda: defaultdict(int))
    starts_after_crashes: dict[TaskKey, int] = field(
        default_factory=lambda: defaultdict(int)
    )

    def on_start(
        self, worker: SimulatedWorker, run: SimulatedRun, now_s: float, *, is_late: bool
    ) -> None:
        """Check a run that a worker has just started."""
        task = run.task
        submission = self.submitted.get(task.job)
        if submission is None:
            self._add_violation("UNASKED", f"{task} of a job that was not submitted")
            return
        self.started_jobs.add(task.job)
        self._check_not_duplicated(worker, run)
        self._check_order(submission, task)
        self._check_capacity(worker)
        self._check_upper_limit(submission)
        cancelled_s = self.cancelled_s.get(task.job)
        if (
            not is_late
            and cancelled_s is not None
            and now_s > cancelled_s + CANCEL_GRACE_S
        ):
            self._add_violation(
                "UNASKED", f"{task} {now_s - cancelled_s:.1f} s after cancel"
            )
        attempts = self._max_attempts(submission)
        step = submission.steps[task.step]
        if not step.is_long_running and self.acknowledged_failures[task] >= attempts:
            self._add_violation("BUDGET", f"{task} after {attempts} failed runs")
        self._check_crashes(task)
        self.running[task].append(run)

    def on_worker_crash(self, worker: SimulatedWorker) -> None:
        """Record that a task has crashed a worker with all its runs."""
        for task in worker.runs:
            self.crashes[task] += 1

    def on_end(self, run: SimulatedRun, *, is_done: bool) -> None:
        """Record the end of a run."""
        if run in self.running[run.task]:
            self.running[run.task].remove(run)
        if is_done:
            self.done.add(run.task)

    def on_acknowledged(self, task: TaskKey, *, is_done: bool, is_failed: bool) -> None:
        """Record that the scheduler has acknowledged the end of a run."""
        if is_done:
            self.acknowledged_done.add(task)
        if is_failed:
            self.acknowledged_failures[task] += 1

    def is_out_of_attempts(self, task: TaskKey) -> bool:
        """Return whether as many runs of a task as allowed have failed."""
        attempts = self._max_attempts(self.submitted[task.job])
        return self.acknowledged_failures[task] >= attempts

    def check_final(self, states: dict[JobId, JobState | None]) -> None:
        """Check the job states that callers see at the end of a simulation."""
        for job, submission in self.submitted.items():
            state = states.get(job)
            if job not in self.accepted_s:
                continue
            if state is None:
                self._add_violation("LOST", f"{job} is unknown")
            elif state is JobState.COMPLETED and not self._is_all_done(submission):
                self._add_violation("MIXED", f"{job} is shown as completed")
            elif state is JobState.CANCELLED and job not in self.cancelled_s:
                self._add_violation("LOST", f"{job} is shown as cancelled")
            elif not state.is_final and not submission.steps[0].is_long_running:
                self._add_violation("LOST", f"{job} is still {state.value}")

    def _check_not_duplicated(self, worker: SimulatedWorker, run: SimulatedRun) -> None:
        submission = self.submitted[run.task.job]
        if submission.steps[run.task.step].is_speculative:
            return
        others = [
            each
            for each in self.running[run.task]
            if each.worker.is_up and each.worker is not worker
        ]
        if others:
            self._add_violation(
                "TWICE", f"{run.task} runs on {others[0].worker.name} too"
            )
        if run.task in self.acknowledged_done:
            self._add_violation("TWICE", f"{run.task} after its end was acknowledged")

    def _check_crashes(self, task: TaskKey) -> None:
        if self.crashes[task] < MAX_CRASHES:
            return
        self.starts_after_crashes[task] += 1
        if self.starts_after_crashes[task] >= FORBIDDEN_START:
            self._add_violation("BUDGET", f"{task} after {self.crashes[task]} crashes")

    def _check_order(self, submission: Submission, task: TaskKey) -> None:
        for predecessor in submission.steps[task.step].after:
            for number in range(submission.steps[predecessor].task_count):
                key = TaskKey(task.job, task.occurrence, predecessor, number)
                if key not in self.done:
                    self._add_violation("ORDER", f"{task} before {key}")

    def _check_capacity(self, worker: SimulatedWorker) -> None:
        used = worker.used_resources()
        if not used.fits(worker.entry.capacity):
            self._add_violation("LIMIT", f"{worker.name} holds {used}")

    def _check_upper_limit(self, submission: Submission) -> None:
        team = self.configuration.team(submission.team)
        if team is None or not team.upper_limit.cpu_millicores:
            return
        used = NO_RESOURCES
        for runs in self.running.values():
            for run in runs:
                owner = self.submitted[run.task.job]
                if owner.team == team.team and run.worker.is_up:
                    used = used.plus(owner.steps[run.task.step].resources)
        limit = team.upper_limit.cpu_millicores * 1.1
        if used.cpu_millicores > limit:
            self._add_violation("QUOTA", f"{team.team} runs {used.cpu_millicores}")

    def _is_all_done(self, submission: Submission) -> bool:
        return all(
            TaskKey(submission.job, occurrence, step, number) in self.done
            for occurrence in range(submission.occurrence_count)
            for step, spec in enumerate(submission.steps)
            for number in range(spec.task_count)
        )

    def _max_attempts(self, submission: Submission) -> int:
        queue = self.configuration.queue(submission.queue)
        return queue.max_attempts if queue else 1

    def _add_violation(self, rule: str, detail: str) -> None:
        self.violations.append(f"{rule}: {detail}")
