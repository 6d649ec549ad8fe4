"""Which losses of runs are held against their tasks, and what follows from them."""

from __future__ import annotations

import pytest
from msgspec.structs import replace

from currantstage.coordination.jobs import Run, Scheduler, SchedulerTuning
from currantstage.standin.jobs import build_configuration
from currantstage.state.jobs import (
    BornMs,
    EndedTask,
    EndKind,
    EndNumber,
    JobId,
    JobState,
    OrderOutcome,
    RenewalReply,
    Resources,
    RunningTask,
    Step,
    StoredProgress,
    Term,
    WorkerEntry,
    WorkerId,
)
from tests.jobs.records import entry, start_runs, submission
from tests.jobs.site import step

JOB = JobId("0" * 16)
TURN_S = 10.0


class Fleet:
    """A scheduler and its workers, each of which answers when it is told to."""

    def __init__(self, *steps: Step, workers: int = 2) -> None:
        self.scheduler = Scheduler(Term(1), build_configuration(), SchedulerTuning())
        self.entries = {
            WorkerId(f"w{number}"): entry(f"w{number}") for number in range(workers)
        }
        self.now_s = 0.0
        self._update()
        self.scheduler.submit(submission(JOB, *steps), self.now_s)
        for worker in self.entries:
            self.renew(worker)

    @property
    def state(self) -> JobState:
        record = self.scheduler.jobs.get(JOB)
        assert record is not None
        return record.state

    def place(self, outcome: OrderOutcome = OrderOutcome.ACCEPTED) -> list[Run]:
        """Place, store and start what can be; return the runs."""
        return [run for run, _ in start_runs(self.scheduler, self.now_s, outcome)]

    def renew(
        self,
        worker: WorkerId,
        *running: RunningTask,
        ended: tuple[EndedTask, ...] = (),
    ) -> None:
        """Answer a worker's renewal with lists."""
        self.now_s += 0.01
        state = self.scheduler.workers.get(worker)
        assert state is not None
        order = state.next_renewal(self.now_s, SchedulerTuning())
        reply = RenewalReply(
            clock_ms=int(self.now_s * 1000) + 1,
            born_ms=self.entries[worker].born_ms,
            running=running,
            ended=ended,
        )
        self.scheduler.on_renewal_outcome(order, reply, self.now_s, self.now_s)

    def crash(self, worker: WorkerId) -> None:
        """Let a worker come back as a new process that runs nothing."""
        self.now_s += TURN_S
        born_ms = BornMs(int(self.now_s * 1000))
        self._replace(worker, born_ms=born_ms)
        self.renew(worker)
        self.renew(worker)

    def silence(self, worker: WorkerId) -> None:
        """Let a worker be silent until its lease has expired."""
        state = self.scheduler.workers.get(worker)
        assert state is not None
        for _ in range(2):
            self.now_s += TURN_S
            order = state.next_renewal(self.now_s, SchedulerTuning())
            self.scheduler.on_renewal_outcome(
                order, OrderOutcome.UNKNOWN, self.now_s, self.now_s
            )
        self.now_s += TURN_S
        self.scheduler.tick(self.now_s)

    def return_after_silence(self, worker: WorkerId) -> None:
        """Let a silent worker come back as a new process, which runs nothing."""
        self.crash(worker)
        self.scheduler.tick(self.now_s)

    def replace_after_silence(self, worker: WorkerId) -> None:
        """Let another worker have the address of a silent one."""
        self.now_s += TURN_S
        successor = WorkerId(f"{worker}-new")
        self.entries[successor] = replace(
            self.entries.pop(worker),
            worker=successor,
            born_ms=BornMs(int(self.now_s * 1000)),
        )
        self._update()
        self.renew(successor)
        self.scheduler.tick(self.now_s)

    def drain(self, worker: WorkerId) -> None:
        """Let a worker report that it will leave."""
        self._replace(worker, is_draining=True)

    def shrink(self, worker: WorkerId, capacity: Resources) -> None:
        """Let a worker report less room."""
        self._replace(worker, capacity=capacity)

    def _replace(self, worker: WorkerId, **changes: object) -> None:
        self.entries[worker] = replace(self.entries[worker], **changes)
        self._update()

    def _update(self) -> None:
        entries: list[WorkerEntry] = list(self.entries.values())
        self.scheduler.update_workers(entries, self.now_s)


def _listed(run: Run, percent: int = 50) -> RunningTask:
    return RunningTask(run.task.key, run.number, "", percent, 0.0)


def test_task_alone_with_two_crashes_is_given_up() -> None:
    fleet = Fleet(step(1, run_ms=700))
    for _ in range(2):
        (run,) = fleet.place()
        fleet.crash(run.worker)
    assert fleet.state is JobState.FAILED
    assert fleet.place() == []


def _lose(fleet: Fleet, losses: str) -> list[Run]:
    """Start the only task again and again; each run is lost as a letter says.

    In a crash (``c``), the worker's process ends; in a cut (``s``), it is silent.
    """
    runs = []
    for loss in losses:
        fleet.now_s += TURN_S
        (run,) = fleet.place()
        fleet.renew(run.worker, _listed(run))
        lose = fleet.crash if loss == "c" else fleet.silence
        lose(run.worker)
        runs.append(run)
    return runs


# A worker that is only silent may be cut off: no job may end as failed for it.
@pytest.mark.parametrize("losses", ["cs", "sc", "ss", "css", "scss", "cssss", "ssssss"])
def test_silence_of_workers_and_one_crash_dont_fail_a_job(losses: str) -> None:
    fleet = Fleet(step(1, run_ms=700), workers=8)
    _lose(fleet, losses)
    fleet.now_s += TURN_S
    assert fleet.state is not JobState.FAILED
    assert len(fleet.place()) == 1


@pytest.mark.parametrize("losses", ["cc", "csc", "scc"])
def test_two_crashes_of_workers_fail_a_job_also_beside_a_cut(losses: str) -> None:
    fleet = Fleet(step(1, run_ms=700), workers=4)
    _lose(fleet, losses)
    assert fleet.state is JobState.FAILED


@pytest.mark.parametrize("come_back", ["return", "replace"])
def test_task_whose_workers_come_back_after_their_lease_is_given_up(
    come_back: str,
) -> None:
    fleet = Fleet(step(1, run_ms=700), workers=2)
    for turn in range(5):
        assert fleet.state is not JobState.FAILED
        fleet.now_s += TURN_S
        (run,) = fleet.place()
        worker = run.worker
        fleet.renew(worker, _listed(run))
        fleet.silence(worker)
        if come_back == "return":
            fleet.return_after_silence(worker)
        else:
            fleet.replace_after_silence(worker)
        assert len(run.task.crashes) == turn + 1
    assert fleet.state is JobState.FAILED
    assert fleet.place() == []


def test_worker_that_is_replaced_after_it_answered_again_has_not_crashed() -> None:
    fleet = Fleet(step(1, run_ms=700), workers=2)
    (run,) = _lose(fleet, "s")
    end = EndedTask(EndNumber(1), run.task.key, run.number, EndKind.LEASE_EXPIRED, "")
    fleet.renew(run.worker, ended=(end,))
    fleet.return_after_silence(run.worker)
    assert run.task.crashes == {}


def test_planned_end_of_a_silent_worker_is_no_crash() -> None:
    fleet = Fleet(step(1, run_ms=700), workers=2)
    (run,) = _lose(fleet, "s")
    fleet.scheduler.retire_worker(run.worker)
    fleet.scheduler.tick(fleet.now_s)
    assert not any(each.is_crash for each in run.task.crashes.values())


@pytest.mark.parametrize("unanswered_starts", [1, 2, 3])
def test_start_that_may_never_have_run_and_one_crash_dont_fail_a_job(
    unanswered_starts: int,
) -> None:
    fleet = Fleet(step(1, run_ms=700), workers=3)
    for _ in range(unanswered_starts):
        (run,) = fleet.place(OrderOutcome.UNKNOWN)
        fleet.crash(run.worker)
    (run,) = fleet.place()
    fleet.crash(run.worker)
    assert fleet.state is not JobState.FAILED
    assert len(fleet.place()) == 1


def test_task_whose_starts_are_never_answered_is_given_up_after_five_crashes() -> None:
    fleet = Fleet(step(1, run_ms=700), workers=3)
    for _ in range(5):
        (run,) = fleet.place(OrderOutcome.UNKNOWN)
        fleet.crash(run.worker)
    assert fleet.state is JobState.FAILED
    assert fleet.place() == []


def test_tasks_lost_together_are_spread_and_those_that_end_are_not_given_up() -> None:
    fleet = Fleet(step(6, cpu=1000, run_ms=700), workers=3)
    runs = fleet.place()
    first = runs[0].worker
    together = [run for run in runs if run.worker == first]
    fleet.crash(first)
    again = [run for run in fleet.place() if run.task in {r.task for r in together}]
    assert len(again) == len(together)
    per_worker = [sum(run.worker == each for run in again) for each in fleet.entries]
    assert max(per_worker) - min(per_worker) <= 1


def test_crash_of_a_worker_that_drains_is_not_held_against_its_tasks() -> None:
    fleet = Fleet(step(1, run_ms=700))
    (run,) = fleet.place()
    fleet.drain(run.worker)
    fleet.crash(run.worker)
    assert run.task.crashes == {}


def test_planned_end_of_a_worker_is_not_held_against_its_tasks() -> None:
    fleet = Fleet(step(1, run_ms=700))
    (run,) = fleet.place()
    fleet.scheduler.retire_worker(run.worker)
    assert run.task.crashes == {}


def test_start_that_another_process_refused_is_not_held_against_its_task() -> None:
    fleet = Fleet(step(1, run_ms=700))
    fleet.scheduler.place(fleet.now_s, 0)
    record = fleet.scheduler.jobs.get(JOB)
    assert record is not None
    fleet.scheduler.jobs.mark_unsaved(record)
    batch = fleet.scheduler.take_batch()
    assert batch is not None
    (run,) = fleet.scheduler.on_batch_stored(batch)
    fleet.scheduler.start_order(run, fleet.now_s)
    fleet.scheduler.on_start_outcome(run, OrderOutcome.OTHER_WORKER, fleet.now_s)
    assert run.task.crashes == {}
    assert run.task.run is None


def test_crash_is_taken_back_when_the_worker_lists_the_end_of_the_run() -> None:
    fleet = Fleet(step(1, run_ms=700))
    (run,) = fleet.place()
    fleet.renew(run.worker, _listed(run))
    state = fleet.scheduler.workers.get(run.worker)
    assert state is not None
    for _ in range(3):
        fleet.now_s += TURN_S
        order = state.next_renewal(fleet.now_s, SchedulerTuning())
        fleet.scheduler.on_renewal_outcome(
            order, OrderOutcome.UNKNOWN, fleet.now_s, fleet.now_s
        )
    fleet.scheduler.tick(fleet.now_s + TURN_S)
    assert set(run.task.crashes) == {run.number}
    end = EndedTask(EndNumber(1), run.task.key, run.number, EndKind.LEASE_EXPIRED, "")
    fleet.renew(run.worker, ended=(end,))
    assert run.task.crashes == {}


def test_long_running_task_at_work_is_not_held_to_blame_for_a_crash() -> None:
    fleet = Fleet(step(1, run_ms=0, is_long_running=True))
    (run,) = fleet.place()
    fleet.renew(run.worker, _listed(run, percent=100))
    fleet.crash(run.worker)
    assert run.task.crashes == {}


def test_task_on_trial_has_a_worker_to_itself() -> None:
    fleet = Fleet(step(2, cpu=100, run_ms=700), workers=2)
    first = fleet.place()
    fleet.crash(first[0].worker)
    suspect = first[0].task
    assert suspect.needs_trial
    (trial,) = [run for run in fleet.place() if run.task is suspect]
    fleet.scheduler.submit(submission(JobId("1" * 16), step(4, cpu=100)), fleet.now_s)
    assert trial.worker not in {run.worker for run in fleet.place()}


def test_crashes_are_stored_with_the_progress_and_restored() -> None:
    fleet = Fleet(step(1, run_ms=700))
    (run,) = fleet.place()
    fleet.crash(run.worker)
    fleet.place()
    record = fleet.scheduler.jobs.get(JOB)
    assert record is not None
    fleet.scheduler.jobs.mark_unsaved(record)
    batch = fleet.scheduler.take_batch()
    assert batch is not None
    stored = StoredProgress.by_job(batch.rows)[JOB]
    restored = Fleet(step(1, run_ms=700)).scheduler.jobs
    copy = restored.get(JOB)
    assert copy is not None
    restored.restore(copy, stored)
    assert copy.steps()[0].tasks[0].crashes == run.task.crashes


@pytest.mark.parametrize("cpu", [3000, 0])
def test_worker_whose_capacity_has_shrunk_gets_no_start_beyond_it(cpu: int) -> None:
    fleet = Fleet(step(3, cpu=1000, run_ms=700), workers=1)
    runs = fleet.place()
    assert len(runs) == 3
    worker = runs[0].worker
    fleet.shrink(worker, Resources(cpu, 16384, 0))
    other = submission(JobId("1" * 16), step(1, cpu=1000))
    fleet.scheduler.submit(other, fleet.now_s)
    assert fleet.place() == []
    fleet.shrink(worker, Resources(4000, 16384, 0))
    assert len(fleet.place()) == 1
