"""Cost of a task's start and end at the scheduler, under a constant backlog."""

from __future__ import annotations

import sys
import time
from collections import Counter, defaultdict, deque
from typing import TYPE_CHECKING

import click

from currantstage.coordination.jobs import Scheduler, SchedulerTuning
from currantstage.protocol.jobs import encode_row
from currantstage.standin.jobs import POOLS, build_configuration
from currantstage.state import DataCentreId, QueueId, TeamId
from currantstage.state.jobs import (
    BornMs,
    EndedTask,
    EndKind,
    EndNumber,
    JobId,
    OrderOutcome,
    RenewalReply,
    Resources,
    RunningTask,
    Step,
    Submission,
    Term,
    WorkerEntry,
    WorkerId,
)

if TYPE_CHECKING:
    from collections.abc import Callable
    from types import FrameType
    from typing import Any

    from currantstage.coordination.jobs import Run

#: Time between two writes of the scheduler, in seconds.
TURN_S = 0.012
#: Number of turns between two checks of everything that has a deadline.
TURNS_PER_TICK = 8
#: Tasks that end in each turn, and are replaced by as many new jobs.
ENDS_PER_TURN = 6
#: Parts of the scheduler's work on a start and its end.
PARTS = ("placing", "batching", "encoding", "ordering", "renewing", "ticking")

_WORKER_COUNTS = (30, 180, 1100)
_WAITING_COUNTS = (10, 1000, 5000)
_RACK_SIZE = 20
_TASKS_PER_WORKER = 4
_TASK = Resources(2000, 2048)
_CAPACITY = Resources(
    _TASK.cpu_millicores * _TASKS_PER_WORKER, _TASK.memory_mb * _TASKS_PER_WORKER
)
_POOL = POOLS[0]
_UNIX_MS = 1_700_000_000_000


@click.command()
@click.option("--turns", default=50, show_default=True)
@click.option("--retired", default=0, help="Workers more, whose VMs have moved.")
def main(turns: int, retired: int) -> None:
    """Print function calls and time of a start and its end, by part."""
    print(f"| workers | waiting | figure | {' | '.join(PARTS)} | decisions |")
    print("|---|---|---|---|---|---|---|---|---|---|")
    for workers in _WORKER_COUNTS:
        for waiting in _WAITING_COUNTS:
            backlog = SteadyBacklog(workers, waiting, retired)
            with CallCounter() as counter:
                _print_row(workers, waiting, "calls", backlog.run(turns, counter.read))
            cost_us = backlog.run(turns, lambda: time.thread_time() * 1e6)
            _print_row(workers, waiting, "us", cost_us)


def _print_row(workers: int, waiting: int, figure: str, cost: dict[str, float]) -> None:
    parts = " | ".join(f"{cost[part]:.0f}" for part in PARTS)
    print(f"| {workers} | {waiting} | {figure} | {parts} | {decisions(cost):.0f} |")


def decisions(cost: dict[str, float]) -> float:
    """Return the cost of all parts but the encoding of what is stored."""
    return sum(cost[part] for part in PARTS if part != "encoding")


class CallCounter:
    """Counts calls of Python functions and of built-in ones."""

    def __init__(self) -> None:
        self._calls = 0

    def __enter__(self) -> CallCounter:
        sys.setprofile(self._count)
        return self

    def __exit__(self, *_: object) -> None:
        sys.setprofile(None)

    def read(self) -> float:
        """Return the number of calls so far."""
        return self._calls

    def _count(self, _frame: FrameType, event: str, _argument: Any) -> None:
        self._calls += event in ("call", "c_call")


class SteadyBacklog:
    """A scheduler whose pool is full: each end makes room for one waiting task.

    Workers answer at once, on a clock that only turns advance.

    Parameters
    ----------
    workers : int
    waiting : int
        Number of jobs, of one task each, that wait for room.
    retired : int
        Number of workers more that have ended, but are still listed.
    """

    def __init__(self, workers: int, waiting: int, retired: int = 0) -> None:
        self.scheduler = Scheduler(Term(1), build_configuration(), SchedulerTuning())
        self._now_s = 100.0
        self._jobs = 0
        self._turns = 0
        self._running: deque[Run] = deque()
        self._ends: Counter[WorkerId] = Counter()
        entries = [_entry(number) for number in range(workers + retired)]
        self.scheduler.update_workers(entries, self._now_s)
        for entry in entries:
            # The first reply sets the worker's clock.
            self._renew(entry.worker)
        for entry in entries[workers:]:
            self.scheduler.retire_worker(entry.worker)
        for _ in range(workers * _TASKS_PER_WORKER + waiting):
            self._submit()
        while self._commit(defaultdict(float), lambda: 0.0):
            pass

    @property
    def waiting_tasks(self) -> int:
        """Number of tasks that wait for room."""
        steps = self.scheduler.jobs.ready_steps()
        return sum(len(step.waiting_tasks(self._now_s)) for step in steps)

    def submit(self, submission: Submission) -> None:
        """Submit a job besides those that arrive in each turn."""
        self.scheduler.submit(submission, self._now_s)

    def run(self, turns: int, read_meter: Callable[[], float]) -> dict[str, float]:
        """Run turns; return the mean cost of a start and its end, by part.

        Parameters
        ----------
        turns : int
        read_meter : callable
            Returns the cost of everything so far.
        """
        cost: dict[str, float] = defaultdict(float)
        for _ in range(turns):
            self._run_turn(cost, read_meter)
        starts = turns * ENDS_PER_TURN
        return {part: cost[part] / starts for part in PARTS}

    def _run_turn(
        self, cost: dict[str, float], read_meter: Callable[[], float]
    ) -> None:
        self._now_s += TURN_S
        self._turns += 1
        ended = [self._running.popleft() for _ in range(ENDS_PER_TURN)]
        for _ in ended:
            self._submit()
        before = read_meter()
        for run in ended:
            self._renew(run.worker, run)
        between = read_meter()
        if self._turns % TURNS_PER_TICK == 0:
            self.scheduler.tick(self._now_s)
        cost["renewing"] += between - before
        cost["ticking"] += read_meter() - between
        self._commit(cost, read_meter)

    def _commit(self, cost: dict[str, float], read_meter: Callable[[], float]) -> bool:
        """Place, store and start; return whether anything was to be stored."""
        readings = [read_meter()]
        self.scheduler.place(self._now_s, _UNIX_MS)
        readings.append(read_meter())
        batch = self.scheduler.take_batch()
        readings.append(read_meter())
        if batch is None:
            return False
        for row in batch.rows:
            encode_row(row)
        readings.append(read_meter())
        for run in self.scheduler.on_batch_stored(batch):
            if self.scheduler.start_order(run, self._now_s) is not None:
                self.scheduler.on_start_outcome(run, OrderOutcome.ACCEPTED, self._now_s)
                self._running.append(run)
        readings.append(read_meter())
        for index, part in enumerate(("placing", "batching", "encoding", "ordering")):
            cost[part] += readings[index + 1] - readings[index]
        return True

    def _renew(self, worker: WorkerId, ended: Run | None = None) -> None:
        """Renew a worker's lease; its reply lists the end of a run."""
        state = self.scheduler.workers.get(worker)
        order = self.scheduler.next_renewal(worker, self._now_s)
        if order is None or state is None:
            return
        ends: tuple[EndedTask, ...] = ()
        if ended is not None:
            self._ends[worker] += 1
            number = EndNumber(self._ends[worker])
            ends = (EndedTask(number, ended.task.key, ended.number, EndKind.DONE, ""),)
        reply = RenewalReply(
            clock_ms=int(self._now_s * 1000),
            born_ms=order.worker.born_ms,
            running=tuple(
                RunningTask(run.task.key, run.number, "", 50, 0.0)
                for run in state.runs.values()
                if run is not ended
            ),
            ended=ends,
        )
        self.scheduler.on_renewal_outcome(order, reply, self._now_s, self._now_s)

    def _submit(self) -> None:
        self._jobs += 1
        submission = Submission(
            job=JobId(f"{self._jobs:016x}"),
            queue=QueueId(f"q-{_POOL}"),
            pool=_POOL,
            team=TeamId("east"),
            spec="work",
            steps=(Step(task_count=1, resources=_TASK, estimated_run_ms=500),),
        )
        self.submit(submission)


def _entry(number: int) -> WorkerEntry:
    return WorkerEntry(
        worker=WorkerId(f"w{number}"),
        pool=_POOL,
        address="127.0.0.1:1",
        data_centre=DataCentreId("dc"),
        is_draining=False,
        capacity=_CAPACITY,
        labels=("dc", f"rack-{number // _RACK_SIZE}"),
        born_ms=BornMs(1),
    )


if __name__ == "__main__":
    main()
