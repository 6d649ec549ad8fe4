"""Break down the duration of jobs from the daemons' logs."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from currantstage.cmd._log_lines import read_log_lines

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from currantstage.cmd._log_lines import LogLine

#: Fraction of the jobs that are reported as the slowest.
SLOWEST_FRACTION = 0.1


class JobPhase(Enum):
    """Phase of a job's lifecycle.

    A job is `WAITING` until its first task starts. It is `RUNNING` while the first run
    of any task is in progress, `RERUNNING` while only later runs are, and `BETWEEN`
    while no run is. `FINISHING` lasts from the end of its last run until the end of the
    job is stored.
    """

    WAITING = "waiting"
    RUNNING = "running"
    RERUNNING = "rerunning"
    BETWEEN = "between"
    FINISHING = "finishing"


@dataclass(slots=True)
class JobBreakdown:
    """Time that a job spent in each phase.

    Parameters
    ----------
    job, queue, team : str
    state : str
        Final state; empty if the logs do not hold it.
    phase_durations_s : dict
        Total time in each phase, in seconds.
    """

    job: str
    queue: str
    team: str
    state: str = ""
    phase_durations_s: dict[JobPhase, float] = field(
        default_factory=lambda: defaultdict(float)
    )

    @property
    def total_s(self) -> float:
        """Time from the acceptance of the job until its end is stored, in seconds."""
        return sum(self.phase_durations_s.values())


class _BreakdownBuilder:
    """Builds the breakdown of one job from its log lines in chronological order."""

    def __init__(self, accepted: LogLine) -> None:
        self.breakdown = JobBreakdown(
            accepted.job, accepted.field_text("queue"), accepted.field_text("team")
        )
        self._timestamp_s = accepted.timestamp_s
        self._is_started = False
        self._running_tasks: dict[str, int] = {}

    def apply(self, line: LogLine) -> None:
        """Attribute the time since the previous line to a phase and apply the line."""
        is_end = line.event == "job-ended"
        phase = self._current_phase(is_end)
        self.breakdown.phase_durations_s[phase] += max(
            0.0, line.timestamp_s - self._timestamp_s
        )
        self._timestamp_s = max(self._timestamp_s, line.timestamp_s)
        task = line.field_text("task")
        if line.event == "task-start" and line.field_text("outcome") == "accepted":
            self._is_started = True
            self._running_tasks[task] = int(line.fields.get("run", 1))
        elif line.event == "task-end":
            self._running_tasks.pop(task, None)
        elif is_end:
            self.breakdown.state = line.field_text("state")

    def _current_phase(self, is_end: bool) -> JobPhase:
        if self._running_tasks:
            is_first = 1 in self._running_tasks.values()
            return JobPhase.RUNNING if is_first else JobPhase.RERUNNING
        if not self._is_started:
            return JobPhase.WAITING
        return JobPhase.FINISHING if is_end else JobPhase.BETWEEN


def read_breakdowns(lines: Iterable[str]) -> list[JobBreakdown]:
    """Return the breakdown of each accepted job.

    Jobs whose acceptance is missing from the logs are skipped, and so are lines about a
    job after its final state.
    """
    builders: dict[str, _BreakdownBuilder] = {}
    for line in sorted(read_log_lines(lines), key=lambda line: line.timestamp_s):
        builder = builders.get(line.job)
        if builder is None:
            is_submission = line.event == "job-submitted"
            if is_submission and line.field_text("outcome") == "accepted":
                builders[line.job] = _BreakdownBuilder(line)
        elif not builder.breakdown.state:
            builder.apply(line)
    return [builder.breakdown for builder in builders.values()]


def render_report(jobs: Sequence[JobBreakdown], group_by: str) -> str:
    """Return a table with two rows for each group: all its jobs and the slowest.

    Parameters
    ----------
    jobs : sequence of JobBreakdown
    group_by : str
        ``queue`` or ``team``.
    """
    groups: dict[str, list[JobBreakdown]] = defaultdict(list)
    for job in jobs:
        groups[getattr(job, group_by)].append(job)
    phases = (f"{phase.value} s" for phase in JobPhase)
    rows: list[tuple[str, ...]] = [
        (group_by, "jobs", "completed", "p50 s", "p95 s", *phases)
    ]
    for name in sorted(groups):
        members = sorted(groups[name], key=lambda job: job.total_s)
        slowest = members[-max(1, int(len(members) * SLOWEST_FRACTION)) :]
        rows.append(_row(name, members))
        rows.append(_row("  slowest tenth", slowest))
    return "\n".join(_align(row) for row in rows)


def _row(name: str, jobs: Sequence[JobBreakdown]) -> tuple[str, ...]:
    totals_s = [job.total_s for job in jobs]
    completed = sum(job.state == "completed" for job in jobs)
    means_s = (
        sum(job.phase_durations_s[phase] for job in jobs) / len(jobs)
        for phase in JobPhase
    )
    return (
        name,
        str(len(jobs)),
        str(completed),
        f"{_quantile(totals_s, 0.5):.2f}",
        f"{_quantile(totals_s, 0.95):.2f}",
        *(f"{mean_s:.2f}" for mean_s in means_s),
    )


def _quantile(values: Sequence[float], probability: float) -> float:
    """Return a quantile of `values`, which are in ascending order.

    >>> _quantile([1.0, 2.0, 3.0, 4.0], 0.5)
    3.0
    """
    return values[min(len(values) - 1, int(probability * len(values)))]


def _align(row: tuple[str, ...]) -> str:
    name, *values = row
    return f"{name:20}" + "".join(f"{value:>13}" for value in values)
