"""Order of steps, placement of tasks, team limits and pacing."""

from __future__ import annotations

from currantstage.coordination.jobs import (
    CandidateWorkers,
    JobRecord,
    LeastWorkFirst,
    PaceController,
    SpreadPlacement,
    StepRecord,
    TaskRecord,
    TeamUsage,
    Timeliness,
    WorkerState,
)
from currantstage.standin.jobs import build_configuration
from currantstage.state import TeamId
from currantstage.state.jobs import Fence, Resources, Step, WorkerId
from tests.jobs.records import POOL, entry, open_step, running, submission
from tests.jobs.site import step

QUEUE = build_configuration().queues[1]


def _worker_state(worker: str, cpu: int, **options: object) -> WorkerState:
    return WorkerState(entry(worker, cpu, **options), Fence(1), is_synced=True)


def _choose(task: TaskRecord, states: list[WorkerState]) -> WorkerState | None:
    return SpreadPlacement().choose(task, CandidateWorkers.of(states, POOL))


def _known(accepted_s: float, *steps: Step) -> StepRecord:
    record = JobRecord(submission("0" * 16, *steps), accepted_s=accepted_s)
    return record.open_occurrence(0)[0]


def test_short_jobs_go_before_long_ones() -> None:
    order = LeastWorkFirst()
    short = order.rank(_known(1.0, step(1)), QUEUE, now_s=1.0)
    long = order.rank(_known(0.5, step(8, run_ms=2000)), QUEUE, now_s=1.0)
    assert short < long


def test_jobs_that_can_not_meet_their_deadline_go_last() -> None:
    """An overloaded pool should not spend its capacity on jobs that are late anyway."""
    order = LeastWorkFirst()
    late = order.rank(_known(0.0, step(1)), QUEUE, now_s=10.0)
    fresh = order.rank(_known(9.9, step(8, run_ms=2000)), QUEUE, now_s=10.0)
    assert fresh < late


def test_jobs_that_can_still_be_served_late_go_before_those_that_expired() -> None:
    """Long past its time, a small job took the room of one that was only late."""
    order = LeastWorkFirst()
    expired = order.rank(_known(0.0, step(1)), QUEUE, now_s=10.0)
    late = order.rank(_known(5.0, step(8, run_ms=2000)), QUEUE, now_s=10.0)
    assert late.timeliness is Timeliness.LATE
    assert expired.timeliness is Timeliness.EXPIRED
    assert late < expired


def test_rank_is_valid_until_the_time_that_is_given_for_it() -> None:
    order = LeastWorkFirst()
    waiting = _known(0.0, step(1, run_ms=500))
    seen = []
    now_s = 0.0
    while now_s != float("inf"):
        seen.append(order.rank(waiting, QUEUE, now_s).timeliness)
        now_s = order.stable_until_s(waiting, QUEUE, now_s) + 1e-6
    assert seen == [Timeliness.IN_TIME, Timeliness.LATE, Timeliness.EXPIRED]


def test_long_running_steps_go_first() -> None:
    order = LeastWorkFirst()
    long_running = order.rank(_known(9.0, step(3, is_long_running=True)), QUEUE, 10.0)
    short = order.rank(_known(1.0, step(1)), QUEUE, now_s=1.0)
    assert long_running < short


def test_short_tasks_are_spread_and_long_running_ones_are_packed() -> None:
    states = [_worker_state("small", 2000), _worker_state("large", 8000)]
    short = open_step(step(1)).tasks[0]
    long_running = open_step(step(1, is_long_running=True)).tasks[0]
    chosen = [_choose(task, states) for task in (short, long_running)]
    assert [state.entry.worker for state in chosen if state] == ["large", "small"]


def test_preferred_rack_comes_before_free_cores() -> None:
    states = [
        _worker_state("far", 8000),
        _worker_state("near", 2000, labels=("a", "rack-9")),
    ]
    task = open_step(step(1, preferred_rack="rack-9")).tasks[0]
    chosen = _choose(task, states)
    assert chosen is not None
    assert chosen.entry.worker == "near"


def test_worker_on_which_a_task_has_failed_comes_last() -> None:
    states = [_worker_state("large", 8000), _worker_state("small", 2000)]
    task = open_step(step(1)).tasks[0]
    task.failed_on |= {WorkerId("large")}
    chosen = _choose(task, states)
    assert chosen is not None
    assert chosen.entry.worker == "small"


def test_needed_label_capacity_and_tasks_per_worker_are_respected() -> None:
    states = [_worker_state("w", 2000)]
    assert _choose(open_step(step(1, cpu=3000)).tasks[0], states) is None
    assert _choose(open_step(step(1, needed_label="ssd")).tasks[0], states) is None
    apart = open_step(step(2, max_per_worker=1))
    running(apart, 0, listed_s=0.0, worker="w")
    assert _choose(apart.tasks[1], states) is None


def test_filler_reserves_no_cpu_of_a_worker() -> None:
    states = [_worker_state("w", 500)]
    task = open_step(step(1, cpu=4000, is_filler=True)).tasks[0]
    assert _choose(task, states) is states[0]


def test_upper_limit_counts_running_tasks() -> None:
    configuration = build_configuration()
    usage = TeamUsage()
    west = TeamId("west")
    usage.add(west, Resources(11_000, 0, 0))
    assert usage.allows(west, Resources(1000, 0, 0), configuration)
    assert not usage.allows(west, Resources(1001, 0, 0), configuration)
    assert usage.allows(TeamId("east"), Resources(99_000, 0, 0), configuration)
    usage.remove(west, Resources(11_000, 0, 0))
    assert usage.allows(west, Resources(12_000, 0, 0), configuration)


def test_fillers_are_slowed_before_a_serving_task_misses_its_target() -> None:
    state = _worker_state("w", 8000)
    serving = running(
        open_step(step(1, is_long_running=True, target_latency_ms=100)), 0, listed_s=0.0
    )
    filler = running(open_step(step(1, is_filler=True), job="f" * 16), 0, listed_s=0.0)
    state.runs = {run.task.key: run for run in (serving, filler)}
    controller = PaceController()
    serving.gauge = 50.0
    assert controller.adjust(state, now_s=0.0) == []
    paces = []
    for number in range(4):
        serving.gauge = 95.0
        paces += [order.percent for order in controller.adjust(state, float(number))]
    assert paces[:3] == [40, 16, 0]
    serving.gauge = 10.0
    assert [order.percent for order in controller.adjust(state, 10.0)] == [15]
    assert controller.adjust(state, 10.5) == []
