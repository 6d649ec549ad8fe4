"""Pauses of workers, and how they are reported."""

from __future__ import annotations

import asyncio

import pytest

from currantstage.application.jobs import JobMetrics
from currantstage.coordination.jobs import (
    PauseGround,
    SchedulerTuning,
    StartBlocker,
    WorkerState,
    count_by_pool,
)
from currantstage.standin.jobs import POOLS, SimulatedSite
from currantstage.state import PoolId
from currantstage.state.jobs import Fence
from tests.jobs.captured_log import captured_log
from tests.jobs.records import POOL, entry
from tests.jobs.site import SETTLE_S, run_scenario


def _worker_state(worker: str = "w") -> WorkerState:
    return WorkerState(entry(worker), Fence(1), is_synced=True)


@pytest.mark.parametrize("ground", PauseGround)
def test_ground_of_a_pause_is_reported(ground: PauseGround) -> None:
    """A worker that took no tasks was reported as paused, without the ground."""
    state = _worker_state()
    state.pauses.begin(ground, now_s=1.0, duration_s=2.0)
    blocker = state.start_blocker(1.0)
    assert blocker is not None
    assert blocker.value == f"paused-{ground.value}"
    assert state.start_blocker(3.0) is None


def test_shorter_pause_leaves_one_on_another_ground_as_it_is() -> None:
    """A worker that refused a start for lack of room left quarantine after 0.3 s."""
    state = _worker_state()
    state.pauses.begin(PauseGround.QUARANTINE, now_s=1.0, duration_s=4.0)
    state.pauses.begin(PauseGround.NO_CAPACITY, now_s=1.0, duration_s=0.3)
    assert state.start_blocker(1.1) is StartBlocker.QUARANTINED
    assert state.start_blocker(4.9) is StartBlocker.QUARANTINED
    assert state.start_blocker(5.0) is None


def test_pause_that_is_repeated_lasts_to_the_end_of_the_last_one() -> None:
    state = _worker_state()
    for now_s in (1.0, 2.0):
        state.pauses.begin(PauseGround.UNHEALTHY, now_s, duration_s=1.5)
    pause = state.pauses.current(2.0)
    assert pause is not None
    assert (pause.since_s, pause.until_s) == (1.0, 3.5)


def test_workers_are_counted_by_pool_and_ground() -> None:
    stalled, sound, retired = map(_worker_state, "abc")
    stalled.pauses.begin(PauseGround.STALL, now_s=1.0, duration_s=2.0)
    retired.is_retired = True
    counts = count_by_pool((stalled, sound, retired), now_s=1.0)
    assert counts == {POOL: {"paused-stall": 1, "none": 1}}


def test_metrics_count_the_workers_by_what_blocks_starts() -> None:
    metrics = JobMetrics()
    try:
        metrics.observe_workers(lambda: {PoolId("p"): {"paused-stall": 2}})
        rendered = metrics.render().decode()
    finally:
        metrics.close()
    line = next(
        each
        for each in rendered.splitlines()
        if each.startswith("currantstage_workers{")
    )
    assert 'blocker="paused-stall"' in line
    assert 'pool="p"' in line
    assert line.endswith(" 2.0")


def test_scheduler_reports_a_pool_that_starts_nothing() -> None:
    async def scenario() -> None:
        site = SimulatedSite(1)
        # No VM leaves its pool.
        site.tuning = SchedulerTuning()
        await site.start()
        await asyncio.sleep(SETTLE_S)
        name = site.scheduler_name()
        assert name is not None
        core = site.daemons[name]
        session = core.ownership.session
        assert session is not None
        assert session.scheduler is not None
        assert core.count_workers()[POOLS[0]] == {"none": 3}
        for state in session.scheduler.workers.in_pool(POOLS[0]):
            state.pauses.begin(
                PauseGround.UNHEALTHY, asyncio.get_running_loop().time(), 5.0
            )
        assert core.count_workers()[POOLS[0]] == {"paused-unhealthy": 3}
        await asyncio.sleep(1.1)

    with captured_log() as log:
        run_scenario(scenario())
    *_, latest = log.lines("scheduler-activity")
    assert latest["closed_pools"] == [POOLS[0]]
    assert latest["blocked_workers"] == {"paused-unhealthy": 3}
