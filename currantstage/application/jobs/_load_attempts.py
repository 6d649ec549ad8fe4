"""Attempts of a new holder of the scheduler's lease to load the stored state."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from currantstage.coordination.jobs import SchedulerTuning

#: Failed attempts after which a peer may do better; one may be due to a lost answer.
MIN_FAILED_ATTEMPTS = 2


class LoadAttempts:
    """Tells for how long the stored state could not be loaded.

    Parameters
    ----------
    tuning : SchedulerTuning
    """

    def __init__(self, tuning: SchedulerTuning) -> None:
        self._tuning = tuning
        self._failing_since_s: float | None = None
        #: Number of failed attempts.
        self.failed_count = 0

    def record_failure(self, begun_s: float) -> None:
        """Record that an attempt has failed that was begun at `begun_s`."""
        self.failed_count += 1
        if self._failing_since_s is None:
            self._failing_since_s = begun_s

    def record_success(self) -> None:
        """Record that the state is loaded."""
        self._failing_since_s = None
        self.failed_count = 0

    def failing_s(self, now_s: float) -> float:
        """Return the time since the first of the failed attempts was begun."""
        return 0.0 if self._failing_since_s is None else now_s - self._failing_since_s

    def needs_successor(self, now_s: float) -> bool:
        """Return whether a daemon that can read the state should take over."""
        if self.failed_count < MIN_FAILED_ATTEMPTS:
            return False
        return self.failing_s(now_s) >= self._tuning.hand_over_ms / 1000
