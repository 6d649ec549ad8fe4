"""Which stalls of a pool have a cause in common."""

from __future__ import annotations

import pytest

from currantstage.coordination.jobs import WorkerState
from currantstage.coordination.jobs._stall_watch import STALL_MEMORY_S, StallWatch
from currantstage.state.jobs import Fence
from tests.jobs.records import POOL, entry


def _workers(count: int) -> list[WorkerState]:
    return [WorkerState(entry(f"w{number}"), Fence(1)) for number in range(count)]


@pytest.mark.parametrize(
    ("busy", "stalled", "is_common"),
    [
        (1, 1, False),
        (2, 2, False),
        (3, 2, False),
        (3, 3, True),
        (6, 3, False),
        (8, 5, True),
    ],
)
def test_stalls_of_most_busy_workers_have_a_cause_in_common(
    busy: int, stalled: int, is_common: bool
) -> None:
    watch = StallWatch()
    workers = _workers(busy)
    watch.update(workers, workers[:stalled], now_s=1.0)
    assert watch.has_common_cause(POOL) is is_common


def test_stall_that_is_over_counts_for_a_while() -> None:
    watch = StallWatch()
    workers = _workers(4)
    watch.update(workers, workers, now_s=1.0)
    watch.update(workers, (), now_s=0.9 + STALL_MEMORY_S)
    assert watch.has_common_cause(POOL)
    watch.update(workers, (), now_s=1.0 + STALL_MEMORY_S)
    assert not watch.has_common_cause(POOL)
