"""Service level indicators: count results of requests over sliding windows."""

from __future__ import annotations

from array import array
from enum import Enum
from typing import TYPE_CHECKING

from msgspec import Struct

from currantstage.coordination.requests._outcomes import (
    Answer,
    Refusal,
    RefusalReason,
    Uncertain,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from currantstage.coordination.requests._outcomes import RequestEnd
    from currantstage.state import Queue, QueueId, TeamId

#: Lengths of the windows in which requests are counted, shortest first, in seconds.
WINDOWS_S = (300, 3_600, 21_600, 259_200)
#: Number of buckets into which each window is divided.
BUCKETS_PER_WINDOW = 60
#: Maximum number of pairs of queue and team that are counted separately, which bounds
#: memory. Requests of further pairs only add to `ServiceLevelRecorder.uncounted`.
MAX_SERIES = 4_096
#: Lowest status code of an answer that reports a server error.
FIRST_SERVER_ERROR = 500

#: Refusals caused by the caller's request or by the limit of its team.
CALLER_REFUSALS = frozenset(
    {
        RefusalReason.KEY_REFUSED,
        RefusalReason.QUEUE_UNKNOWN,
        RefusalReason.MALFORMED,
        RefusalReason.JOB_TOO_LARGE,
        RefusalReason.CANCELLED,
        RefusalReason.TEAM_AT_LIMIT,
        RefusalReason.IDEMPOTENCY_KEY_MALFORMED,
        RefusalReason.IDEMPOTENCY_KEY_EXPIRED,
        RefusalReason.IDEMPOTENCY_KEY_REUSED,
        RefusalReason.IN_PROGRESS,
    }
)


class ServiceLevelResult(Enum):
    """Classification of a request for its queue's service level objectives."""

    GOOD = "good"
    #: Answered completely, but later than the queue's latency bound.
    SLOW = "slow"
    FAILED = "failed"
    #: Not attributable to the service, and not counted.
    EXCLUDED = "excluded"


class WindowCount(Struct, frozen=True):
    """Request counts of one queue and team in one window.

    Parameters
    ----------
    window_s : int
    total, failed, slow : int
        Number of all requests, of those that failed, and of those answered late.
    """

    window_s: int
    total: int = 0
    failed: int = 0
    slow: int = 0


def classify_request(
    end: RequestEnd, duration_s: float, queue: Queue
) -> ServiceLevelResult:
    """Classify a request of `queue` by how it ended and how long it took.

    A refusal counts as a failure unless the caller or its team caused it. Missing
    capacity, a stopping entry VM and an expired lease are failures of the service.
    """
    if isinstance(end, Refusal):
        is_caller_error = end.reason in CALLER_REFUSALS
        return (
            ServiceLevelResult.EXCLUDED
            if is_caller_error
            else ServiceLevelResult.FAILED
        )
    if isinstance(end, Uncertain):
        return ServiceLevelResult.FAILED
    if isinstance(end, Answer) and end.status >= FIRST_SERVER_ERROR:
        return ServiceLevelResult.FAILED
    is_slow = duration_s * 1000 > queue.latency_bound_ms
    return ServiceLevelResult.SLOW if is_slow else ServiceLevelResult.GOOD


class _WindowCounter:
    """Ring of buckets that counts one window, clearing buckets before their reuse."""

    __slots__ = ("_bucket_s", "_failed", "_newest", "_slow", "_total")

    def __init__(self, window_s: int) -> None:
        self._bucket_s = window_s / BUCKETS_PER_WINDOW
        self._newest = 0
        self._total = array("L", bytes(BUCKETS_PER_WINDOW * array("L").itemsize))
        self._failed = self._total[:]
        self._slow = self._total[:]

    def add(self, result: ServiceLevelResult, now_s: float) -> None:
        index = self._advance(now_s)
        self._total[index] += 1
        self._failed[index] += result is ServiceLevelResult.FAILED
        self._slow[index] += result is ServiceLevelResult.SLOW

    def count(self, window_s: int, now_s: float) -> WindowCount:
        self._advance(now_s)
        return WindowCount(
            window_s, sum(self._total), sum(self._failed), sum(self._slow)
        )

    def _advance(self, now_s: float) -> int:
        """Clear the expired buckets and return the index of the current one."""
        number = int(now_s / self._bucket_s)
        for started in range(
            max(self._newest + 1, number - BUCKETS_PER_WINDOW + 1), number + 1
        ):
            index = started % BUCKETS_PER_WINDOW
            self._total[index] = self._failed[index] = self._slow[index] = 0
        self._newest = max(self._newest, number)
        return self._newest % BUCKETS_PER_WINDOW


class ServiceLevelRecorder:
    """Counts the requests of this entry VM by queue and team, in bounded memory.

    Parameters
    ----------
    now_s : float
        When counting starts, on the daemon's clock.
    """

    def __init__(self, now_s: float) -> None:
        self._started_s = now_s
        self._series: dict[tuple[QueueId, TeamId], list[_WindowCounter]] = {}
        #: Number of requests not counted because `MAX_SERIES` was reached.
        self.uncounted = 0

    def add(
        self,
        queue: Queue,
        team: TeamId,
        end: RequestEnd,
        duration_s: float,
        now_s: float,
    ) -> None:
        """Count a request that has ended."""
        result = classify_request(end, duration_s, queue)
        if result is ServiceLevelResult.EXCLUDED:
            return
        counters = self._series.get((queue.queue_id, team))
        if counters is None:
            if len(self._series) >= MAX_SERIES:
                self.uncounted += 1
                return
            counters = [_WindowCounter(window_s) for window_s in WINDOWS_S]
            self._series[queue.queue_id, team] = counters
        for counter in counters:
            counter.add(result, now_s)

    def covered_s(self, now_s: float) -> float:
        """Return how long requests have been counted, in seconds."""
        return now_s - self._started_s

    def counts(
        self, now_s: float
    ) -> Iterator[tuple[QueueId, TeamId, tuple[WindowCount, ...]]]:
        """Yield the counts of each queue and team, by window."""
        for (queue, team), counters in self._series.items():
            yield (
                queue,
                team,
                tuple(
                    counter.count(window_s, now_s)
                    for counter, window_s in zip(counters, WINDOWS_S, strict=True)
                ),
            )
