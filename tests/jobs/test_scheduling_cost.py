"""What a start and its end cost the scheduler, in function calls."""

from __future__ import annotations

import pytest

from bench.scheduling import ENDS_PER_TURN, CallCounter, SteadyBacklog

#: Most function calls that placing may take for each task.
MAX_PLACING_CALLS = 270
#: Most function calls for the orders of a start and for the renewal that lists its end.
MAX_ORDER_CALLS = 190
#: Most function calls for its part in the batches to store.
MAX_BATCH_CALLS = 35
#: Most function calls of a pass for each worker on which no task may be placed.
MAX_BLOCKED_CALLS = 4
TURNS = 8


@pytest.mark.parametrize(
    ("workers", "waiting"),
    [(30, 10), (30, 5000), (180, 1000), (1100, 10), (1100, 5000)],
)
def test_cost_of_placing_grows_neither_with_workers_nor_with_the_backlog(
    workers: int, waiting: int
) -> None:
    """Guards against passes over all steps and workers, which kept a core busy."""
    backlog = SteadyBacklog(workers, waiting)
    assert backlog.waiting_tasks == waiting
    with CallCounter() as counter:
        cost = backlog.run(TURNS, counter.read)
    assert backlog.waiting_tasks == waiting
    assert cost["placing"] <= MAX_PLACING_CALLS
    assert cost["ordering"] + cost["renewing"] <= MAX_ORDER_CALLS
    assert cost["batching"] <= MAX_BATCH_CALLS


def test_retired_workers_are_looked_at_once_in_a_pass_and_not_for_each_task() -> None:
    """Guards against idle workers that are first in order and can't take a task."""
    retired = 600
    backlog = SteadyBacklog(180, 1000, retired)
    with CallCounter() as counter:
        cost = backlog.run(TURNS, counter.read)
    looks = MAX_BLOCKED_CALLS * retired / ENDS_PER_TURN
    assert cost["placing"] <= MAX_PLACING_CALLS + looks


def test_no_timer_is_kept_for_a_step_that_no_longer_waits() -> None:
    """Guards against a memory of all jobs placed until their deadlines are over."""
    waiting = 10
    backlog = SteadyBacklog(30, waiting)
    backlog.run(50, lambda: 0.0)
    timers = backlog.scheduler._task_placer._waiting._timers
    assert len(timers) <= waiting + ENDS_PER_TURN
