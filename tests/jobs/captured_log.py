"""Log lines that are written while a scenario runs."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

from eliot.testing import MemoryLogger, swap_logger

if TYPE_CHECKING:
    from collections.abc import Iterator
    from typing import Any

_PREFIX = "currantstage:"


class CapturedLog:
    """Log lines in the order in which they were written."""

    def __init__(self, logger: MemoryLogger) -> None:
        self._logger = logger

    def lines(self, event: str) -> list[dict[str, Any]]:
        """Return the lines of one event, such as ``task-lost``."""
        message_type = _PREFIX + event
        return [
            message
            for message in self._logger.messages
            if message.get("message_type") == message_type
        ]


@contextmanager
def captured_log() -> Iterator[CapturedLog]:
    """Capture all log lines instead of writing them."""
    logger = MemoryLogger()
    previous = swap_logger(logger)
    try:
        yield CapturedLog(logger)
    finally:
        swap_logger(previous)
