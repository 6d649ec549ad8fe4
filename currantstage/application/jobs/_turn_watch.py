"""Computations that keep the event loop busy for long, and the jobs behind them."""

from __future__ import annotations

from contextlib import contextmanager
from enum import Enum
from typing import TYPE_CHECKING

from eliot import log_message

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from currantstage.application.jobs._metrics import JobMetrics
    from currantstage.coordination.jobs import JobRecord
    from currantstage.state import Clock

#: Duration from which on a computation is logged, in seconds; a scheduler that computes
#: for a few times as long loses its lease.
SLOW_TURN_S = 0.2


class TurnWork(Enum):
    """What is computed in one turn of the event loop."""

    ACCEPT = "accept"
    RESTORE = "restore"
    PLACE = "place"


class TurnWatch:
    """Measures computations over jobs, and logs the long ones with the job.

    Parameters
    ----------
    clock : Clock
    metrics : JobMetrics
    """

    def __init__(self, clock: Clock, metrics: JobMetrics) -> None:
        self._clock = clock
        self._metrics = metrics

    @contextmanager
    def watch(
        self, work: TurnWork, find_job: Callable[[], JobRecord | None]
    ) -> Iterator[None]:
        """Measure the block; `find_job` returns the job that it takes longest for."""
        started_s = self._clock.now_s()
        yield
        took_s = self._clock.now_s() - started_s
        self._metrics.observe_turn(work.value, took_s)
        if took_s < SLOW_TURN_S:
            return
        record = find_job()
        log_message(
            "currantstage:turn-slow",
            work=work.value,
            took_s=round(took_s, 3),
            job=record.job if record else None,
            steps=len(record.submission.steps) if record else None,
            tasks=record.submission.task_count if record else None,
        )
