"""Build the timeline of one job from the daemons' logs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from currantstage.cmd._log_lines import read_log_lines

if TYPE_CHECKING:
    from collections.abc import Iterable

    from currantstage.cmd._log_lines import LogLine

#: Events that concern every job, since they show which daemon scheduled when.
_SCHEDULER_EVENTS = frozenset(
    (
        "lease-taken",
        "lease-lost",
        "lease-released",
        "scheduler-started",
        "runs-adopted",
        "adopted-runs-settled",
        "store-lost",
        "store-regained",
    )
)


def read_timeline(lines: Iterable[str], job: str) -> list[LogLine]:
    """Return the lines about `job` and its schedulers in chronological order.

    Scheduler events before the first and after the last line about the job are left
    out.
    """
    job_lines = []
    scheduler_lines = []
    for line in read_log_lines(lines):
        if line.job == job:
            job_lines.append(line)
        elif line.event in _SCHEDULER_EVENTS:
            scheduler_lines.append(line)
    if not job_lines:
        return []
    first_s = min(line.timestamp_s for line in job_lines)
    last_s = max(line.timestamp_s for line in job_lines)
    job_lines.extend(
        line for line in scheduler_lines if first_s <= line.timestamp_s <= last_s
    )
    return sorted(job_lines, key=lambda line: line.timestamp_s)


def render_timeline(timeline: list[LogLine]) -> str:
    """Format a timeline, with the seconds since its first line at each line."""
    if not timeline:
        return "no line of the logs names the job"
    first_s = timeline[0].timestamp_s
    return "\n".join(
        f"{line.timestamp_s - first_s:8.3f}  {line.event:18}  {_details(line)}"
        for line in timeline
    )


def _details(line: LogLine) -> str:
    return " ".join(f"{name}={value}" for name, value in line.fields.items())
