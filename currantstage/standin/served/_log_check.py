"""Faults that a daemon's log shows."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path

#: Texts that no daemon may log, whatever the platform does.
FORBIDDEN_TEXTS = (
    "Traceback (most recent call last)",
    "exception was never retrieved",
    "currantstage:task-failed",
)
#: Length at which a quoted line is cut, in characters.
MAX_QUOTE_CHARS = 2000


def find_log_faults(path: Path) -> list[str]:
    """Return the lines of a daemon's log that show a fault."""
    if not path.exists():
        return []
    lines = path.read_text(encoding="utf-8", errors="replace").splitlines()
    return [
        f"{path.stem}: {line[:MAX_QUOTE_CHARS]}"
        for line in lines
        if any(text in line for text in FORBIDDEN_TEXTS)
    ]
