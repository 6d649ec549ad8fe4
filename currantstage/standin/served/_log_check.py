"""What a daemon's log shows: faults, and workers that take no tasks."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from msgspec import Struct, field

if TYPE_CHECKING:
    from collections.abc import Iterable
    from pathlib import Path

#: Texts that no daemon may log, whatever the platform does.
FORBIDDEN_TEXTS = (
    "Traceback (most recent call last)",
    "exception was never retrieved",
    "currantstage:task-failed",
)
#: Length at which a quoted line is cut, in characters.
MAX_QUOTE_CHARS = 2000
_ACTIVITY_TEXT = "currantstage:scheduler-activity"


class Activity(Struct, frozen=True):
    """Workers as the scheduler saw them in one second.

    Parameters
    ----------
    workers : int
    blocked_workers : dict
        Workers that take no tasks, counted by the reason.
    """

    workers: int = 0
    blocked_workers: dict[str, int] = field(default_factory=dict)

    @property
    def blocked_count(self) -> int:
        """Number of workers that take no tasks."""
        return sum(self.blocked_workers.values())


def find_log_faults(path: Path) -> list[str]:
    """Return the lines of a daemon's log that show a fault."""
    return [
        f"{path.stem}: {line[:MAX_QUOTE_CHARS]}"
        for line in _read_lines(path)
        if any(text in line for text in FORBIDDEN_TEXTS)
    ]


def find_most_blocked(paths: Iterable[Path]) -> Activity:
    """Return the second in which the most workers took no tasks."""
    activities = [
        msgspec.json.decode(line, type=Activity)
        for path in paths
        for line in _read_lines(path)
        if _ACTIVITY_TEXT in line
    ]
    return max(activities, key=lambda each: each.blocked_count, default=Activity())


def _read_lines(path: Path) -> list[str]:
    if not path.exists():
        return []
    return path.read_text(encoding="utf-8", errors="replace").splitlines()
