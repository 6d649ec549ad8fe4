"""Checkpoints that the members of a gang are started with."""

from __future__ import annotations

import pytest

from currantstage.coordination.jobs import Run, Scheduler, SchedulerTuning
from currantstage.standin.jobs import build_configuration
from currantstage.state.jobs import (
    BornMs,
    EndedTask,
    EndKind,
    EndNumber,
    JobId,
    RenewalReply,
    RunningTask,
    StartOrder,
    Term,
    WorkerId,
)
from tests.jobs.records import entry, start_runs, submission
from tests.jobs.site import step

TUNING = SchedulerTuning()
WORKERS = tuple(WorkerId(f"w{number}") for number in range(3))


class Gang:
    """A gang of three, each member on a worker of its own."""

    def __init__(self) -> None:
        self.scheduler = Scheduler(Term(1), build_configuration(), TUNING)
        self.now_s = 0.0
        self.born_ms = dict.fromkeys(WORKERS, BornMs(1))
        self.update()
        for worker in WORKERS:
            self.renew(worker)
        work = step(3, cpu=5000, is_gang=True, is_checkpointing=True)
        self.scheduler.submit(submission(JobId("0" * 16), work), self.now_s)

    def update(self) -> None:
        entries = [entry(each, born_ms=self.born_ms[each]) for each in WORKERS]
        self.scheduler.update_workers(entries, self.now_s)

    def start(self) -> list[tuple[Run, StartOrder]]:
        """Place the gang and have all starts accepted."""
        self.now_s += 1.0
        return start_runs(self.scheduler, self.now_s)

    def renew(
        self, worker: WorkerId, *running: RunningTask, ended: tuple[EndedTask, ...] = ()
    ) -> None:
        """Answer a renewal of a worker."""
        self.now_s += 0.1
        state = self.scheduler.workers.get(worker)
        assert state is not None
        order = state.next_renewal(self.now_s, TUNING)
        clock_ms = int(self.now_s * 1000) + 1
        reply = RenewalReply(clock_ms, self.born_ms[worker], running, ended)
        self.scheduler.on_renewal_outcome(order, reply, self.now_s, self.now_s)

    def crash(self, worker: WorkerId) -> None:
        """Let a worker come back as a new process."""
        self.born_ms[worker] = BornMs(int(self.now_s * 1000))
        self.update()
        self.renew(worker)


def _listed(run: Run, checkpoint: str) -> RunningTask:
    return RunningTask(run.task.key, run.number, checkpoint, 20, 0.0)


# Review case 8: members with different checkpoints waited for each other for good.
@pytest.mark.parametrize("crashed", range(3))
def test_members_of_a_gang_start_with_the_latest_checkpoint_of_any(
    crashed: int,
) -> None:
    gang = Gang()
    runs = [run for run, _ in gang.start()]
    for run in runs:
        gang.renew(run.worker, _listed(run, "after-2-s"))
    gang.crash(runs[crashed].worker)
    for run in runs:
        if run is not runs[crashed]:
            end = EndedTask(
                EndNumber(1), run.task.key, run.number, EndKind.PEER_ENDED, "after-4-s"
            )
            gang.renew(run.worker, ended=(end,))
    again = gang.start()
    assert len(again) == len(WORKERS)
    assert {order.checkpoint for _, order in again} == {"after-4-s"}


def test_first_start_of_a_gang_carries_no_checkpoint() -> None:
    assert {order.checkpoint for _, order in Gang().start()} == {""}


def test_gang_without_room_for_all_members_leaves_nothing_to_store() -> None:
    """Each pass stored its progress anew, and used up a number of its runs."""
    gang = Gang()
    (record,) = gang.scheduler.jobs.open_jobs()
    gang.scheduler.cancel(record.job, gang.now_s)
    large = step(len(WORKERS) + 1, cpu=5000, is_gang=True)
    gang.scheduler.submit(submission(JobId("1" * 16), large), gang.now_s)
    assert gang.scheduler.take_batch() is not None
    for _ in range(5):
        assert gang.start() == []
        assert gang.scheduler.take_batch() is None
    (record,) = gang.scheduler.jobs.open_jobs()
    assert {task.run_number for task in record.occurrences[0][0].tasks} == {0}
