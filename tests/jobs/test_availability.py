"""Disruption budget of long-running steps."""

from __future__ import annotations

from currantstage.coordination.jobs import may_interrupt
from tests.jobs.records import open_step, running
from tests.jobs.site import step

LONG_RUNNING = step(3, is_long_running=True, max_unavailable=1)


def test_one_task_may_be_interrupted_while_all_are_available() -> None:
    record = open_step(LONG_RUNNING)
    runs = [running(record, number, listed_s=10.0) for number in range(3)]
    assert may_interrupt(runs[0], now_s=10.5)


def test_a_second_task_may_not_be_interrupted_before_the_first_is_available_again() -> (
    None
):
    record = open_step(LONG_RUNNING)
    runs = [running(record, number, listed_s=10.0) for number in range(3)]
    runs[1].is_stopping = True
    assert not may_interrupt(runs[0], now_s=10.5)


def test_a_task_on_a_silent_worker_counts_as_unavailable() -> None:
    """A task counted as available although its worker had stopped responding."""
    record = open_step(LONG_RUNNING)
    running(record, 0, listed_s=5.0, worker="silent")
    run = running(record, 1, listed_s=10.0)
    running(record, 2, listed_s=10.0)
    assert not may_interrupt(run, now_s=10.5)


def test_tasks_that_were_not_listed_recently_may_not_be_interrupted() -> None:
    """After one late list of tasks, two tasks of a step were stopped at once."""
    record = open_step(LONG_RUNNING)
    runs = [running(record, number, listed_s=5.0) for number in range(3)]
    assert not may_interrupt(runs[0], now_s=10.5)


def test_a_task_that_is_slowed_down_may_be_interrupted() -> None:
    record = open_step(LONG_RUNNING)
    runs = [running(record, number, listed_s=10.0) for number in range(3)]
    runs[0].percent = runs[0].pace_percent = 50
    runs[1].is_stopping = True
    assert may_interrupt(runs[0], now_s=10.5)


def test_a_task_that_was_starting_when_last_listed_may_not_be_interrupted() -> None:
    """Three tasks of a step were stopped at once while they started up."""
    record = open_step(LONG_RUNNING)
    runs = [running(record, number, listed_s=10.0) for number in range(3)]
    for run in runs:
        run.percent = 40
    assert not may_interrupt(runs[0], now_s=10.5)
