"""Parse the log lines of daemons."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

_PREFIX = "currantstage:"
#: Fields that eliot adds to each line; they are not part of the event.
_ELIOT_FIELDS = frozenset(("timestamp", "task_uuid", "task_level", "message_type"))


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a daemon's log.

    Parameters
    ----------
    timestamp_s : float
        Unix time of the line.
    event : str
        Name of the event, without the prefix.
    fields : dict
        Other fields of the event.
    """

    timestamp_s: float
    event: str
    fields: dict[str, Any]

    @property
    def job(self) -> str:
        """Id of the job that the line is about; empty if there is none."""
        task = str(self.fields.get("task", ""))
        return str(self.fields.get("job", "")) or task.partition(".")[0]

    def field_text(self, field: str) -> str:
        """Return a field as text; empty if the line does not have it."""
        return str(self.fields.get(field, ""))


def read_log_lines(lines: Iterable[str]) -> Iterator[LogLine]:
    """Parse `lines` in their order.

    Text before the first brace of a line, such as a host name, is ignored, and so are
    lines that are not log events of a daemon.

    >>> line = 'entry-1 {"message_type": "currantstage:job-ended", "timestamp": 2.0,'
    >>> line += ' "job": "5c", "state": "failed"}'
    >>> next(read_log_lines([line]))
    LogLine(timestamp_s=2.0, event='job-ended', fields={'job': '5c', 'state': 'failed'})
    """
    for line in lines:
        record = _decode(line)
        event = str(record.get("message_type", ""))
        if event.startswith(_PREFIX):
            yield LogLine(
                timestamp_s=float(record.get("timestamp", 0.0)),
                event=event.removeprefix(_PREFIX),
                fields={
                    name: value
                    for name, value in record.items()
                    if name not in _ELIOT_FIELDS
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
