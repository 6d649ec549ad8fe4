"""Limits of what pauses on suspicion close of a pool."""

from __future__ import annotations

from collections.abc import Sequence

import pytest

from currantstage.coordination.jobs import PauseGround, PauseLimits, WorkerState
from currantstage.state import PoolId
from currantstage.state.jobs import Fence
from tests.jobs.records import entry

PAUSE_S = 4.0


def _workers(count: int, prefix: str = "w", **options: object) -> list[WorkerState]:
    return [
        WorkerState(entry(f"{prefix}{number}", **options), Fence(1), is_synced=True)
        for number in range(count)
    ]


def _pause(workers: Sequence[WorkerState], ground: PauseGround, now_s: float) -> None:
    """Pause the workers, each a little later than the one before."""
    for number, each in enumerate(workers):
        each.pauses.begin(ground, now_s + number / 100, PAUSE_S)


def _open(workers: Sequence[WorkerState], now_s: float) -> list[int]:
    """Return which workers accept starts once the limits are applied."""
    PauseLimits().apply(workers, now_s)
    return [number for number, each in enumerate(workers) if each.accepts_starts(now_s)]


@pytest.mark.parametrize(
    ("count", "open_workers"),
    [(1, [0]), (2, [0]), (3, [0, 1]), (8, [0, 1, 2, 3])],
)
def test_stalls_leave_half_of_a_pool_open(count: int, open_workers: list[int]) -> None:
    """All workers of a pool were paused at once, since runs on each had stalled."""
    workers = _workers(count)
    _pause(workers, PauseGround.STALL, 1.0)
    assert _open(workers, 1.5) == open_workers


def test_stalls_of_half_of_a_pool_close_it() -> None:
    workers = _workers(8)
    _pause(workers[:4], PauseGround.STALL, 1.0)
    assert _open(workers, 1.5) == [4, 5, 6, 7]


def test_workers_that_could_not_start_anything_do_not_count_as_open() -> None:
    workers = _workers(8)
    for each in workers[:2]:
        each.missed_renewals = 2
    for each in workers[2:4]:
        each.is_cordoned = True
    _pause(workers[4:], PauseGround.STALL, 1.0)
    assert _open(workers, 1.5) == [4, 5]


def test_workers_of_another_pool_do_not_count_as_open() -> None:
    workers = [*_workers(4), *_workers(4, "other", pool=PoolId("other"))]
    _pause(workers[:4], PauseGround.STALL, 1.0)
    assert _open(workers, 1.5) == [0, 1, 4, 5, 6, 7]


def test_workers_in_quarantine_do_not_count_as_open() -> None:
    workers = _workers(8)
    _pause(workers[:4], PauseGround.QUARANTINE, 1.0)
    _pause(workers[4:], PauseGround.STALL, 1.5)
    assert _open(workers, 1.9) == [4, 5]


@pytest.mark.parametrize(
    "ground",
    [PauseGround.QUARANTINE, PauseGround.UNHEALTHY, PauseGround.NO_CAPACITY],
)
def test_pause_of_a_worker_that_is_known_to_be_at_fault_is_not_ended(
    ground: PauseGround,
) -> None:
    """Opened at once, it would refuse or fail the next start."""
    workers = _workers(8)
    _pause(workers, ground, 1.0)
    _pause(workers, PauseGround.STALL, 1.0)
    assert _open(workers, 1.5) == []


def test_workers_are_not_all_looked_at_in_each_pass() -> None:
    """Guards against long passes while one worker of a large pool is paused."""
    workers = _workers(2)
    limits = PauseLimits()
    limits.apply(workers, 1.0)
    _pause(workers, PauseGround.STALL, 1.0)
    limits.apply(workers, 1.1)
    assert not any(each.accepts_starts(1.1) for each in workers)
    limits.apply(workers, 1.25)
    assert sum(each.accepts_starts(1.25) for each in workers) == 1
