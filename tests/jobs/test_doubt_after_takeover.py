"""How long work waits for one run that is in doubt after a takeover."""

from __future__ import annotations

import pytest

from currantstage.coordination.jobs import (
    RELAY_PERMIT_S,
    InheritedLeases,
    LeaseTakeover,
    Scheduler,
    SchedulerTuning,
    TakeoverGround,
)
from currantstage.coordination.jobs._worker_clock import (
    PROMPT_ORDER_DELAY_MS,
    longest_lease_s,
)
from currantstage.standin.jobs import build_configuration
from currantstage.state import TeamId
from currantstage.state.jobs import (
    BornMs,
    EndedTask,
    EndKind,
    EndNumber,
    JobId,
    JobState,
    OrderOutcome,
    RenewalReply,
    RunningTask,
    RunNumber,
    Step,
    Submission,
    TaskKey,
    Term,
    WorkerId,
)
from tests.jobs.records import (
    POOL,
    QUEUE,
    entry,
    placed_task,
    start_runs,
    stored_progress,
)
from tests.jobs.site import step

TUNING = SchedulerTuning()
SILENT = WorkerId("w0")
WORKERS = tuple(WorkerId(f"w{number}") for number in range(4))
JOB, NEXT_JOB = JobId("0" * 16), JobId("1" * 16)
RUN = RunNumber(1)
TURN_S = 0.1
#: Time in which a task is started anew once nothing is in doubt, in seconds.
RESTART_S = 0.5
#: How long a run without other evidence may be in doubt, and the turns in which that is
#: noticed and its task started.
LONGEST_DOUBT_S = (
    RELAY_PERMIT_S
    + PROMPT_ORDER_DELAY_MS / 1000
    + longest_lease_s(TUNING.max_lease_ms)
    + 3 * TURN_S
)


def _submission(job: JobId, *steps: Step, team: str = "") -> Submission:
    return Submission(
        job=job, queue=QUEUE, pool=POOL, team=TeamId(team), spec="work", steps=steps
    )


class TakenOverFleet:
    """Workers of which one answers no more, and the scheduler that has taken over.

    The stored job has one run on each of the first workers, the first one being silent.
    """

    def __init__(
        self, *steps: Step, team: str = "", is_cancelled: bool = False
    ) -> None:
        self.scheduler = Scheduler(Term(2), build_configuration(), TUNING)
        self.now_s = 0.0
        self.running: dict[WorkerId, dict[TaskKey, RunNumber]] = {
            worker: {} for worker in WORKERS
        }
        self.ended: dict[WorkerId, list[EndedTask]] = {worker: [] for worker in WORKERS}
        self.started_s: dict[TaskKey, float] = {}
        self.scheduler.jobs.open_due(0)
        self.scheduler.update_workers([entry(each) for each in WORKERS], self.now_s)
        tasks = [
            placed_task(WORKERS[index], index) for index in range(steps[0].task_count)
        ]
        for each in tasks:
            self.running[each.worker][self.task(each.index)] = RUN
        takeover = LeaseTakeover(TakeoverGround.HOLDER_ENDED)
        leases = InheritedLeases(takeover, self.now_s, TUNING)
        self.scheduler.restore(
            _submission(JOB, *steps, team=team),
            stored_progress(JOB, *tasks),
            is_cancelled,
            leases,
            self.now_s,
            unix_ms=0.0,
        )

    def task(self, number: int, step: int = 0, job: JobId = JOB) -> TaskKey:
        return TaskKey(job, 0, step, number)

    def end(self, worker: WorkerId, task: TaskKey, kind: EndKind) -> None:
        """Let a run end as a worker lists it."""
        run = self.running[worker].pop(task)
        number = EndNumber(len(self.ended[worker]) + 1)
        self.ended[worker].append(EndedTask(number, task, run, kind, ""))

    def pass_turn(self) -> None:
        """Renew all leases, stop runs and start what waits."""
        self.now_s += TURN_S
        for worker in WORKERS:
            self._renew(worker)
        self.scheduler.tick(self.now_s)
        for stop in self.scheduler.take_stop_orders():
            if self.running[stop.worker.worker].get(stop.task) == stop.run:
                self.end(stop.worker.worker, stop.task, EndKind.STOPPED)
        for run, _ in start_runs(self.scheduler, self.now_s):
            self.running[run.worker][run.task.key] = run.number
            self.started_s.setdefault(run.task.key, self.now_s)

    def wait_for_start(self, task: TaskKey) -> float:
        """Return when this scheduler has first started a task."""
        while task not in self.started_s:
            self.pass_turn()
        return self.started_s[task]

    def _renew(self, worker: WorkerId) -> None:
        order = self.scheduler.next_renewal(worker, self.now_s)
        if order is None:
            return
        reply: RenewalReply | OrderOutcome = OrderOutcome.UNKNOWN
        if worker != SILENT:
            # Runs that make no progress would be stopped as stalled.
            percent = int(self.now_s / TURN_S)
            listed = [
                RunningTask(task, run, "", percent, 0.0)
                for task, run in self.running[worker].items()
            ]
            clock_ms = int(self.now_s * 1000) + 1
            ended = tuple(self.ended[worker])
            reply = RenewalReply(clock_ms, BornMs(1), tuple(listed), ended)
        self.scheduler.on_renewal_outcome(order, reply, self.now_s, self.now_s)


GANG = step(3, run_ms=0, is_gang=True, is_long_running=True)


@pytest.mark.parametrize("kind", [EndKind.PEER_ENDED, EndKind.GANG_TIMEOUT])
def test_gang_waits_no_longer_for_a_member_in_doubt_than_a_single_task(
    kind: EndKind,
) -> None:
    fleet = TakenOverFleet(GANG)
    for number in range(1, GANG.task_count):
        fleet.end(WORKERS[number], fleet.task(number), kind)
    started_s = {fleet.wait_for_start(fleet.task(number)) for number in range(3)}
    assert len(started_s) == 1
    assert max(started_s) <= LONGEST_DOUBT_S


def test_gang_that_lists_no_end_is_started_anew_once_its_member_is_lost() -> None:
    fleet = TakenOverFleet(GANG)
    while fleet.scheduler.adopted_runs.run_count:
        fleet.pass_turn()
    lost_s = fleet.now_s
    assert lost_s <= LONGEST_DOUBT_S
    assert fleet.wait_for_start(fleet.task(1)) - lost_s <= RESTART_S


def test_cancelled_job_in_doubt_holds_its_team_up_no_longer_than_its_run() -> None:
    team = build_configuration().team(TeamId("west"))
    assert team is not None
    half_cpu = team.upper_limit.cpu_millicores // 2
    fleet = TakenOverFleet(step(2, cpu=half_cpu), team="west", is_cancelled=True)
    assert fleet.scheduler.state_of(JOB) is JobState.CANCELLED
    next_job = _submission(NEXT_JOB, step(2, cpu=half_cpu, run_ms=60_000), team="west")
    fleet.scheduler.submit(next_job, fleet.now_s)
    # The run that its worker lists is stopped; the other one may still take its share.
    assert fleet.wait_for_start(fleet.task(0, job=NEXT_JOB)) <= RESTART_S
    assert fleet.wait_for_start(fleet.task(1, job=NEXT_JOB)) <= LONGEST_DOUBT_S


def test_step_waits_no_longer_for_its_last_task_in_doubt_than_for_its_run() -> None:
    fleet = TakenOverFleet(step(3), step(1, after=(0,)))
    last = fleet.task(0)
    for number in range(1, 3):
        fleet.end(WORKERS[number], fleet.task(number), EndKind.DONE)
    started_s = fleet.wait_for_start(last)
    assert started_s <= LONGEST_DOUBT_S
    worker = next(each for each in WORKERS[1:] if last in fleet.running[each])
    fleet.end(worker, last, EndKind.DONE)
    assert fleet.wait_for_start(fleet.task(0, step=1)) - started_s <= RESTART_S
