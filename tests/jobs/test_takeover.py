"""What a scheduler concludes about runs that an earlier one has placed."""

from __future__ import annotations

from currantstage.coordination.jobs import (
    InheritedLeases,
    LeaseTakeover,
    Run,
    Scheduler,
    SchedulerTuning,
    TakeoverGround,
)
from currantstage.coordination.jobs._adopted_runs import AdoptionSummary
from currantstage.standin.jobs import build_configuration
from currantstage.state.jobs import (
    BornMs,
    JobId,
    RenewalReply,
    RunningTask,
    Term,
    WorkerId,
)
from tests.jobs.records import entry, placed_task, stored_progress, submission
from tests.jobs.site import step

TUNING = SchedulerTuning(max_stop_ms=900)
WORKER = WorkerId("w")
JOB = JobId("0" * 16)
LONG_RUNNING = step(3, run_ms=0, is_long_running=True, max_unavailable=1)


def _take_over() -> tuple[Scheduler, list[Run]]:
    """Return a scheduler after a takeover, and the runs of a long-running step."""
    scheduler = Scheduler(Term(2), build_configuration(), TUNING)
    scheduler.update_workers((entry(WORKER),), now_s=0.0)
    tasks = [placed_task(WORKER, index) for index in range(LONG_RUNNING.task_count)]
    progress = stored_progress(JOB, *tasks)
    takeover = LeaseTakeover(TakeoverGround.HOLDER_ENDED)
    leases = InheritedLeases(takeover, 0.0, TUNING)
    scheduler.restore(
        submission(JOB, LONG_RUNNING), progress, False, leases, 0.0, unix_ms=0.0
    )
    record = scheduler.jobs.get(JOB)
    assert record is not None
    return scheduler, record.runs()


def _list_runs(
    scheduler: Scheduler, runs: list[Run], clock_ms: int, now_s: float
) -> None:
    order = scheduler.next_renewal(WORKER, now_s)
    assert order is not None
    running = tuple(RunningTask(run.task.key, run.number, "", 100, 0) for run in runs)
    reply = RenewalReply(
        clock_ms=clock_ms, born_ms=BornMs(1), running=running, ended=()
    )
    scheduler.on_renewal_outcome(order, reply, sent_s=now_s, now_s=now_s)


def test_no_task_is_interrupted_while_an_earlier_scheduler_may_be_stopping_one() -> (
    None
):
    scheduler, runs = _take_over()
    _list_runs(scheduler, runs, clock_ms=5000, now_s=0.1)
    assert not scheduler.interrupt(runs[0], now_s=0.2)
    # Whether the list arrives late makes no difference.
    _list_runs(scheduler, runs, clock_ms=5890, now_s=2.0)
    assert not scheduler.interrupt(runs[0], now_s=2.1)
    _list_runs(scheduler, runs, clock_ms=5900, now_s=2.2)
    assert scheduler.interrupt(runs[0], now_s=2.3)
    assert not scheduler.interrupt(runs[1], now_s=2.3)


def test_adopted_runs_that_a_worker_lists_are_settled_at_once() -> None:
    scheduler, runs = _take_over()
    assert scheduler.adopted_runs.run_count == len(runs)
    assert scheduler.adopted_runs.worker_count == 1
    assert scheduler.adopted_runs.take_summary(now_s=0.1) is None
    _list_runs(scheduler, runs, clock_ms=5000, now_s=0.2)
    summary = scheduler.adopted_runs.take_summary(now_s=0.2)
    assert summary == AdoptionSummary(0.2, len(runs), 0, 0)
    assert scheduler.adopted_runs.take_summary(now_s=0.3) is None


def test_adopted_runs_that_no_list_has_are_settled_by_the_list() -> None:
    scheduler, runs = _take_over()
    _list_runs(scheduler, [], clock_ms=5000, now_s=0.2)
    summary = scheduler.adopted_runs.take_summary(now_s=0.2)
    assert summary == AdoptionSummary(0.2, len(runs), 0, 0)


def test_adopted_runs_are_settled_by_the_end_of_their_lease() -> None:
    scheduler, runs = _take_over()
    scheduler.tick(now_s=20.0)
    summary = scheduler.adopted_runs.take_summary(now_s=20.0)
    assert summary == AdoptionSummary(20.0, 0, len(runs), 0)


def test_adopted_runs_are_settled_by_the_end_of_their_process() -> None:
    scheduler, runs = _take_over()
    scheduler.retire_worker(WORKER)
    summary = scheduler.adopted_runs.take_summary(now_s=1.0)
    assert summary == AdoptionSummary(1.0, 0, 0, len(runs))
