"""Tasks that only a worker with a stalled run can take."""

from __future__ import annotations

from currantstage.coordination.jobs import RunPhase, Scheduler, SchedulerTuning
from currantstage.standin.jobs import build_configuration
from currantstage.state.jobs import BornMs, RenewalReply, Step, Term
from tests.jobs.records import entry, start_runs, submission
from tests.jobs.site import step

TUNING = SchedulerTuning()
LABEL = "only-here"
#: Longest time that a job may have nothing running with room for it, in seconds.
MAX_STANDSTILL_S = 3.0


def _scheduler() -> Scheduler:
    """Return a scheduler of two workers, one of which has the label."""
    labels = ("a", "rack-1", LABEL)
    entries = (entry("labelled", labels=labels), entry("other"))
    scheduler = Scheduler(Term(1), build_configuration(), TUNING)
    scheduler.update_workers(entries, now_s=0.0)
    reply = RenewalReply(clock_ms=1000, born_ms=BornMs(1), running=(), ended=())
    for each in entries:
        order = scheduler.next_renewal(each.worker, 0.0)
        assert order is not None
        scheduler.on_renewal_outcome(order, reply, sent_s=0.0, now_s=0.1)
    return scheduler


def _labelled_step() -> Step:
    return step(1, needed_label=LABEL)


def test_job_that_only_a_stalled_worker_can_run_starts_in_time() -> None:
    """The pause of a worker after a stall was longer than jobs may stand still."""
    scheduler = _scheduler()
    scheduler.submit(submission("0" * 16, _labelled_step()), now_s=0.1)
    ((run, _),) = start_runs(scheduler, now_s=0.1)
    run.listed_clock_ms = TUNING.stall_ms + 1
    scheduler.tick(now_s=2.0)
    assert run.is_stopping
    assert run.phase is RunPhase.RUNNING
    scheduler.submit(submission("1" * 16, _labelled_step()), now_s=2.0)
    assert start_runs(scheduler, now_s=2.0) == []
    assert len(start_runs(scheduler, now_s=1.9 + MAX_STANDSTILL_S)) == 1
