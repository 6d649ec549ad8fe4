"""Tells from the logs of all daemons where the time of jobs went."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from currantstage.cmd._log_lines import read_log_lines

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from currantstage.cmd._log_lines import LogLine

#: Share of the jobs that count as the slowest.
SLOWEST_SHARE = 0.1


class Span(Enum):
    """What a job does with its time.

    `WAITING` lasts until its first task starts. It is `RUNNING` while the first run of
    a task is at work, `RERUNNING` while only later runs are, `BETWEEN` while nothing
    is. `FINISHING` lasts from its last end until that is stored.
    """

    WAITING = "waiting"
    RUNNING = "running"
    RERUNNING = "rerunning"
    BETWEEN = "between"
    FINISHING = "finishing"


@dataclass(slots=True)
class JobSpans:
    """How long a job did what, in seconds.

    Parameters
    ----------
    job, queue, team : str
    state : str
        Its final state; empty if the logs hold none.
    spans_s : dict
    """

    job: str
    queue: str
    team: str
    state: str = ""
    spans_s: dict[Span, float] = field(default_factory=lambda: defaultdict(float))

    @property
    def total_s(self) -> float:
        """From the acceptance of the job until its end is stored."""
        return sum(self.spans_s.values())


class _JobSweep:
    """Goes through the lines of one job in order of time."""

    def __init__(self, accepted: LogLine) -> None:
        self.spans = JobSpans(
            accepted.job, accepted.text("queue"), accepted.text("team")
        )
        self._at_s = accepted.at_s
        self._is_begun = False
        self._at_work: dict[str, int] = {}

    def apply(self, line: LogLine) -> None:
        """Apply one line; it ends the span that went on until then."""
        is_end = line.kind == "job-ended"
        span = self._span(is_end)
        self.spans.spans_s[span] += max(0.0, line.at_s - self._at_s)
        self._at_s = max(self._at_s, line.at_s)
        task = line.text("task")
        if line.kind == "task-start" and line.text("outcome") == "accepted":
            self._is_begun = True
            self._at_work[task] = int(line.fields.get("run", 1))
        elif line.kind == "task-end":
            self._at_work.pop(task, None)
        elif is_end:
            self.spans.state = line.text("state")

    def _span(self, is_end: bool) -> Span:
        if self._at_work:
            is_first = 1 in self._at_work.values()
            return Span.RUNNING if is_first else Span.RERUNNING
        if not self._is_begun:
            return Span.WAITING
        return Span.FINISHING if is_end else Span.BETWEEN


def read_spans(lines: Iterable[str]) -> list[JobSpans]:
    """Return where the time of each accepted job went.

    Jobs whose acceptance the logs lack are left out; what happened to a job after its
    final state is not counted.
    """
    sweeps: dict[str, _JobSweep] = {}
    for line in sorted(read_log_lines(lines), key=lambda line: line.at_s):
        sweep = sweeps.get(line.job)
        if sweep is None:
            is_submission = line.kind == "job-submitted"
            if is_submission and line.text("outcome") == "accepted":
                sweeps[line.job] = _JobSweep(line)
        elif not sweep.spans.state:
            sweep.apply(line)
    return [sweep.spans for sweep in sweeps.values()]


def render_report(jobs: Sequence[JobSpans], group_by: str) -> str:
    """Return a table with a row for each group, and one for its slowest jobs.

    Parameters
    ----------
    jobs : sequence of JobSpans
    group_by : str
        ``queue`` or ``team``.
    """
    groups: dict[str, list[JobSpans]] = defaultdict(list)
    for job in jobs:
        groups[getattr(job, group_by)].append(job)
    spans = (f"{span.value} s" for span in Span)
    rows: list[tuple[str, ...]] = [
        (group_by, "jobs", "completed", "p50 s", "p95 s", *spans)
    ]
    for name in sorted(groups):
        members = sorted(groups[name], key=lambda job: job.total_s)
        slowest = members[-max(1, int(len(members) * SLOWEST_SHARE)) :]
        rows.append(_row(name, members))
        rows.append(_row("  slowest tenth", slowest))
    return "\n".join(_aligned(row) for row in rows)


def _row(name: str, jobs: Sequence[JobSpans]) -> tuple[str, ...]:
    totals_s = [job.total_s for job in jobs]
    completed = sum(job.state == "completed" for job in jobs)
    means_s = (sum(job.spans_s[span] for job in jobs) / len(jobs) for span in Span)
    return (
        name,
        str(len(jobs)),
        str(completed),
        f"{_quantile(totals_s, 0.5):.2f}",
        f"{_quantile(totals_s, 0.95):.2f}",
        *(f"{mean_s:.2f}" for mean_s in means_s),
    )


def _quantile(ordered: Sequence[float], share: float) -> float:
    """Return a quantile of values in ascending order.

    >>> _quantile([1.0, 2.0, 3.0, 4.0], 0.5)
    3.0
    """
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def _aligned(row: tuple[str, ...]) -> str:
    name, *figures = row
    return f"{name:20}" + "".join(f"{figure:>13}" for figure in figures)
