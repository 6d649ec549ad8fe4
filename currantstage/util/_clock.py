"""Implementations of `Clock` on the clocks of the machine."""

from __future__ import annotations

import time

#: Largest change of the clock offset that is treated as drift, in seconds; a larger
#: one is a step.
MAX_DRIFT_S = 0.05
#: How long a step of the time of day has to persist before it is adopted, in seconds.
STEP_CONFIRMATION_S = 60.0


class MonotonicClock:
    """Implements `Clock` by the time since boot, including time in suspension.

    With a clock that stops during suspension, a suspended lease holder would consider
    its lease valid after the entry VMs that wait for it consider it expired.
    """

    def now_s(self) -> float:
        """Return the seconds since boot."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class UnixClock:
    """Implements `Clock` by the time of day, which may jump; for records only."""

    def now_s(self) -> float:
        """Return the Unix time, in seconds."""
        return time.time()


class StepFilteredUnixClock:
    """Implements `Clock` by the time of day, without steps that are soon reverted.

    A step of the time of day is adopted only once it has persisted for
    `STEP_CONFIRMATION_S`; until then, the clock advances with the monotonic clock.

    Parameters
    ----------
    monotonic : MonotonicClock
    unix : UnixClock
    """

    def __init__(self, monotonic: MonotonicClock, unix: UnixClock) -> None:
        self._monotonic = monotonic
        self._unix = unix
        self._offset_s = unix.now_s() - monotonic.now_s()
        self._step_seen_at_s: float | None = None

    def now_s(self) -> float:
        """Return the Unix time, in seconds."""
        monotonic_s = self._monotonic.now_s()
        offset_s = self._unix.now_s() - monotonic_s
        if abs(offset_s - self._offset_s) < MAX_DRIFT_S:
            self._offset_s = offset_s
            self._step_seen_at_s = None
        elif self._step_seen_at_s is None:
            self._step_seen_at_s = monotonic_s
        elif monotonic_s - self._step_seen_at_s > STEP_CONFIRMATION_S:
            self._offset_s = offset_s
            self._step_seen_at_s = None
        return monotonic_s + self._offset_s
