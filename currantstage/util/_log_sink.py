"""Write log lines to a file descriptor without blocking, within a rate limit."""

from __future__ import annotations

import os
import stat
from typing import TYPE_CHECKING, Any

import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

#: Lines that may be written in one burst.
BURST_LINES = 2000
#: Sustained rate limit, in lines per second.
LINES_PER_S = 400.0
#: Lines of a burst that are reserved for messages that are not routine.
RESERVED_LINES = 1000


class LogSink:
    """An eliot destination that drops lines instead of blocking.

    The number of dropped lines is logged before the next line that is written.

    Parameters
    ----------
    descriptor : int
        File descriptor to write to; a pipe is made non-blocking.
    now_s : callable
        Returns the monotonic time, in seconds.
    is_routine : callable, optional
        Whether a message is dropped first. Lines that come with each task would leave
        no room under load for the lines that explain a decision.
    """

    def __init__(
        self,
        descriptor: int,
        now_s: Callable[[], float],
        is_routine: Callable[[Mapping[str, Any]], bool] = lambda _: False,
    ) -> None:
        self._descriptor = descriptor
        self._now_s = now_s
        self._is_routine = is_routine
        self._tokens = float(BURST_LINES)
        self._refilled_at_s = now_s()
        self._dropped_lines = 0
        self._pending_output = b""
        if stat.S_ISFIFO(os.fstat(descriptor).st_mode):
            os.set_blocking(descriptor, False)

    def __call__(self, message: Mapping[str, Any]) -> None:
        """Write one message, or count it as dropped."""
        self._refill()
        if self._tokens < self._min_tokens(message) or not self._flush():
            self._dropped_lines += 1
            return
        self._tokens -= 1
        line = msgspec.json.encode(message, enc_hook=str) + b"\n"
        if self._dropped_lines:
            notice = {
                "message_type": "currantstage:log-lines-dropped",
                "count": self._dropped_lines,
            }
            line = msgspec.json.encode(notice) + b"\n" + line
            self._dropped_lines = 0
        self._pending_output = line
        self._flush()

    def _min_tokens(self, message: Mapping[str, Any]) -> int:
        """Return how many tokens must be left for `message` to be written."""
        return 1 + RESERVED_LINES if self._is_routine(message) else 1

    def _refill(self) -> None:
        now_s = self._now_s()
        new_tokens = (now_s - self._refilled_at_s) * LINES_PER_S
        self._tokens = min(float(BURST_LINES), self._tokens + new_tokens)
        self._refilled_at_s = now_s

    def _flush(self) -> bool:
        """Write the rest of the last line; return whether it is written completely."""
        while self._pending_output:
            try:
                written = os.write(self._descriptor, self._pending_output)
            except BlockingIOError:
                return False
            self._pending_output = self._pending_output[written:]
        return True
