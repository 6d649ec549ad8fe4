"""Circuit breaker for the platform's services, and limits of the retry budget."""

from __future__ import annotations

from enum import Enum

#: Consecutive failures that open the circuit.
FAILURE_THRESHOLD = 5
#: Time before an open circuit lets a probe through, in seconds.
CIRCUIT_OPEN_S = 1.0
#: Retries that may be made in a row without a successful call.
MAX_RETRY_TOKENS = 20.0
#: Fraction of a retry that each successful call adds to the budget.
RETRY_TOKENS_PER_SUCCESS = 0.2


class StoreService(Enum):
    """Services of the platform, which fail independently of each other."""

    TABLE = "table"
    OBJECTS = "objects"
    DIRECTORY = "directory"


class CircuitBreaker:
    """Blocks calls to a service that keeps failing, apart from one probe at a time."""

    def __init__(self) -> None:
        self._failures = 0
        self._open_until_s: float | None = None

    @property
    def is_open(self) -> bool:
        """Whether the circuit is open, so that calls need `try_probe`."""
        return self._open_until_s is not None

    @property
    def is_tripped(self) -> bool:
        """Whether enough consecutive calls have failed to open the circuit."""
        return self._failures >= FAILURE_THRESHOLD

    def try_probe(self, now_s: float) -> bool:
        """Return whether a call may be made now as a probe."""
        if self._open_until_s is not None and now_s < self._open_until_s:
            return False
        self._open_until_s = now_s + CIRCUIT_OPEN_S
        return True

    def open(self, now_s: float) -> None:
        """Block calls for `CIRCUIT_OPEN_S`."""
        self._open_until_s = now_s + CIRCUIT_OPEN_S

    def record_success(self) -> None:
        """Reset the failure count and close the circuit."""
        self._failures = 0
        self._open_until_s = None

    def record_failure(self) -> None:
        """Count a failed call."""
        self._failures += 1
