"""Circuit breaker and retry budget around the platform's services."""

from __future__ import annotations

from enum import Enum

#: Failures in a row that open the circuit.
FAILURES_TO_OPEN = 5
#: Time for which an open circuit lets no call through, in seconds.
OPEN_S = 1.0
#: Retries that may be made in a row before a success earns more.
MAX_RETRY_TOKENS = 20.0
#: Part of a retry that each success earns.
TOKENS_PER_SUCCESS = 0.2


class StoreService(Enum):
    """Services of the platform, each with outages of its own."""

    TABLE = "table"
    OBJECTS = "objects"
    DIRECTORY = "directory"


class CircuitBreaker:
    """Stops calls to a service that keeps failing, but for one probe at a time."""

    def __init__(self) -> None:
        self._failures = 0
        self._open_until_s: float | None = None

    @property
    def is_open(self) -> bool:
        """Whether a call needs `try_probe` first."""
        return self._open_until_s is not None

    @property
    def is_tripped(self) -> bool:
        """Whether the failures in a row are enough to open the circuit."""
        return self._failures >= FAILURES_TO_OPEN

    def try_probe(self, now_s: float) -> bool:
        """Return whether a call may go through now as the probe."""
        if self._open_until_s is not None and now_s < self._open_until_s:
            return False
        self._open_until_s = now_s + OPEN_S
        return True

    def open(self, now_s: float) -> None:
        """Let no call through for a while."""
        self._open_until_s = now_s + OPEN_S

    def record_success(self) -> None:
        """Close the circuit."""
        self._failures = 0
        self._open_until_s = None

    def record_failure(self) -> None:
        """Count a call that got no answer."""
        self._failures += 1
