"""Reads the log lines of daemons."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

_PREFIX = "currantstage:"
#: Fields that eliot adds to each line.
_OWN_FIELDS = frozenset(("timestamp", "task_uuid", "task_level", "message_type"))


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a daemon's log.

    Parameters
    ----------
    at_s : float
        Unix time of the line.
    kind : str
        What happened.
    fields : dict
        Everything else that the line says.
    """

    at_s: float
    kind: str
    fields: dict[str, Any]

    @property
    def job(self) -> str:
        """Id of the job that the line is about; empty if it is about none."""
        task = str(self.fields.get("task", ""))
        return str(self.fields.get("job", "")) or task.partition(".")[0]

    def text(self, field: str) -> str:
        """Return a field as text; empty if the line lacks it."""
        return str(self.fields.get(field, ""))


def read_log_lines(lines: Iterable[str]) -> Iterator[LogLine]:
    """Return what `lines` say, in their order.

    What stands before the first brace of a line, such as a host's name, and lines that
    are no log lines are left out.

    >>> line = 'entry-1 {"message_type": "currantstage:job-ended", "timestamp": 2.0,'
    >>> line += ' "job": "5c0e", "state": "completed"}'
    >>> next(read_log_lines([line]))
    LogLine(at_s=2.0, kind='job-ended', fields={'job': '5c0e', 'state': 'completed'})
    """
    for line in lines:
        record = _decode(line)
        kind = str(record.get("message_type", ""))
        if kind.startswith(_PREFIX):
            yield LogLine(
                at_s=float(record.get("timestamp", 0.0)),
                kind=kind.removeprefix(_PREFIX),
                fields={
                    name: value
                    for name, value in record.items()
                    if name not in _OWN_FIELDS
                },
            )


def _decode(line: str) -> dict[str, Any]:
    start = line.find("{")
    if start < 0 or _PREFIX not in line:
        return {}
    try:
        record = msgspec.json.decode(line[start:])
    except msgspec.DecodeError:
        return {}
    return record if isinstance(record, dict) else {}
