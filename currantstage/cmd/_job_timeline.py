"""Puts together what the logs of all daemons say of one job."""

from __future__ import annotations

from typing import TYPE_CHECKING

from currantstage.cmd._log_lines import read_log_lines

if TYPE_CHECKING:
    from collections.abc import Iterable

    from currantstage.cmd._log_lines import LogLine

#: Lines that concern every job, since they say who scheduled when.
_COMMON = frozenset(
    (
        "lease-taken",
        "lease-lost",
        "lease-released",
        "scheduler-started",
        "store-lost",
        "store-regained",
    )
)


def read_timeline(lines: Iterable[str], job: str) -> list[LogLine]:
    """Return what `lines` say of `job`, in order of time.

    What happened while the job did not exist is left out.
    """
    own = []
    common = []
    for line in read_log_lines(lines):
        if line.job == job:
            own.append(line)
        elif line.kind in _COMMON:
            common.append(line)
    if not own:
        return []
    first_s = min(line.at_s for line in own)
    last_s = max(line.at_s for line in own)
    own.extend(line for line in common if first_s <= line.at_s <= last_s)
    return sorted(own, key=lambda line: line.at_s)


def render_timeline(timeline: list[LogLine]) -> str:
    """Return a timeline as text, with the time since its first line in seconds."""
    if not timeline:
        return "no line of the logs names the job"
    first_s = timeline[0].at_s
    return "\n".join(
        f"{line.at_s - first_s:8.3f}  {line.kind:18}  {_details(line)}"
        for line in timeline
    )


def _details(line: LogLine) -> str:
    return " ".join(f"{name}={value}" for name, value in line.fields.items())
