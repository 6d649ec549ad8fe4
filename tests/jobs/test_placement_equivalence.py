"""`TaskPlacer` places as the algorithm that looks at every step and worker does."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any

import msgspec
import pytest

from currantstage.coordination.jobs import (
    AdviceTracker,
    InheritedLeases,
    LeaseTakeover,
    PauseGround,
    RunPhase,
    Scheduler,
    SchedulerTuning,
    TakeoverGround,
)
from currantstage.coordination.jobs._leaving_runs import LeavingRun
from currantstage.standin.jobs import POOLS, build_configuration
from currantstage.state import TeamId
from currantstage.state.jobs import (
    Advice,
    AdvicePolicy,
    BornMs,
    ConfigurationVersion,
    EndedTask,
    EndKind,
    EndNumber,
    JobId,
    OrderOutcome,
    RenewalReply,
    Resources,
    RunningTask,
    Schedule,
    Step,
    StoredProgress,
    Term,
    Ticket,
    WorkerId,
)
from tests.jobs.records import entry, submission
from tests.jobs.reference_placer import ReferencePlacer

if TYPE_CHECKING:
    from currantstage.coordination.jobs import Run, WorkerState
    from currantstage.state.jobs import Submission, WorkerEntry

#: With the last ones, the capacity of a worker becomes less than what is reserved.
SEEDS = (*range(20), 1066, 1102, 1111)
TURNS = 120
WORKERS = 14
ADVICE = AdvicePolicy(decide_ms=1, per_worker_ms=1, valid_ms=900)
Placement = tuple[tuple[object, ...], int, str]


@pytest.mark.parametrize("seed", SEEDS)
def test_placements_equal_those_of_the_plain_algorithm(seed: int) -> None:
    fast, plain = _Site(seed), _Site(seed)
    plain.use_reference()
    placed = 0
    for turn in range(TURNS):
        placements = fast.turn()
        assert placements == plain.turn(), f"turn {turn}"
        assert fast.interrupted == plain.interrupted, f"turn {turn}"
        assert fast.held() == plain.held(), f"turn {turn}"
        assert fast.take_preempted() == plain.take_preempted(), f"turn {turn}"
        placed += len(placements)
    assert placed > TURNS // 4


class _Site:
    """A scheduler and what happens to it, drawn from a seed."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)
        self._now_s = 50.0
        self._jobs = 0
        self._ends: dict[WorkerId, int] = {}
        self._configuration = build_configuration()
        self._is_reference = False
        self._submissions: dict[JobId, Submission] = {}
        self._stored: dict[JobId, StoredProgress] = {}
        self._cancelled: set[JobId] = set()
        self._leaving: list[LeavingRun] = []
        #: Number of leaving runs that were stopped since there was room for their task.
        self.interrupted = 0
        self._begin_term(Term(1))
        self._entries = {each.worker: each for each in map(self._entry, range(WORKERS))}
        self._update_workers()

    def use_reference(self) -> None:
        """Place by the plain algorithm from now on."""
        self._is_reference = True
        self.scheduler._task_placer = ReferencePlacer(  # type: ignore[assignment]
            self.scheduler
        )

    def _begin_term(self, term: Term) -> None:
        self.scheduler = Scheduler(term, self._configuration, SchedulerTuning())
        self._advice = AdviceTracker(self.scheduler)
        if self._is_reference:
            self.use_reference()

    def _take_over(self) -> None:
        """Let another scheduler go on from what is stored."""
        if self._random.random() < 0.7:
            return
        self._begin_term(Term(self.scheduler.term + 1))
        self._update_workers()
        takeover = LeaseTakeover(TakeoverGround.HOLDER_ENDED)
        leases = InheritedLeases(takeover, self._now_s, SchedulerTuning())
        for job, stored in self._submissions.items():
            self.scheduler.restore(
                stored,
                self._stored.get(job),
                job in self._cancelled,
                leases,
                self._now_s,
                self._now_s * 1000,
            )

    def turn(self) -> list[Placement]:
        """Let something happen, then place; return what was placed where."""
        rng = self._random
        self._now_s += rng.choice((0.012, 0.05, 0.4))
        for _ in range(rng.randint(0, 3)):
            self._submit()
        events = (
            self._renew_all,
            self._renew_all,
            self._advise,
            self._cancel,
            self._block_worker,
            self._move_worker,
            self._refit_worker,
            self._retire_worker,
            self._uncordon_all,
            self._interrupt,
            self._leave,
            self._leave,
            self._interrupt_with_room,
            self._toggle_worker,
            self._take_over,
            self._configure,
            self._miss_renewal,
        )
        rng.choice(events)()
        self.scheduler.tick(self._now_s)
        self.scheduler.place(self._now_s, self._now_s * 1000)
        placed = [
            (tuple(run.task.key), int(run.number), str(run.worker))
            for run in self.scheduler._batcher.unsent
            if run.placed_s == self._now_s
        ]
        self._commit()
        return placed

    def held(self) -> list[tuple[object, list[str]]]:
        """Return the workers that are held for each step, in their order."""
        scheduler = self.scheduler
        return [
            (
                step.key,
                [
                    str(each.entry.worker)
                    for each in scheduler._task_placer.holds.held_for(
                        step, scheduler.pool_of(step.job)
                    )
                ],
            )
            for step in scheduler.jobs.ready_long_running_steps()
        ]

    def take_preempted(self) -> list[tuple[object, int, object]]:
        """Return the runs that were stopped for other tasks since the last call."""
        return [
            (each.run.task.key, int(each.run.number), each.step)
            for each in self.scheduler.take_preempted_runs()
        ]

    def _entry(self, number: int) -> WorkerEntry:
        rng = self._random
        return entry(
            f"w{number}",
            pool=rng.choice(POOLS),
            capacity=Resources(rng.choice((4000, 8000)), rng.choice((4096, 8192)), 2),
            labels=(rng.choice(("ssd", "disk")), f"rack-{rng.randint(1, 3)}"),
        )

    def _submit(self) -> None:
        rng = self._random
        self._jobs += 1
        pool = rng.choice(POOLS)
        steps = [self._step(())]
        if rng.random() < 0.4:
            steps.append(self._step((0,)))
        options: dict[str, Any] = {}
        if rng.random() < 0.1:
            options["schedule"] = Schedule(
                count=3, start_unix_ms=int(self._now_s * 1000), period_ms=700
            )
        job = submission(f"{self._jobs:016x}", *steps, **options)
        job = msgspec.structs.replace(
            job,
            queue=f"q-{pool}" if rng.random() < 0.95 else "q-withdrawn",
            pool=pool,
            team=TeamId(rng.choice(("east", "west", "west"))),
        )
        self._submissions[job.job] = job
        self.scheduler.submit(job, self._now_s)

    def _step(self, after: tuple[int, ...]) -> Step:
        rng = self._random
        options: dict[str, Any] = {}
        kind = rng.random()
        if kind < 0.1:
            options["is_long_running"] = True
            options["max_per_worker"] = rng.choice((0, 1))
            options["is_gang"] = rng.random() < 0.3
        elif kind < 0.2:
            options["is_gang"] = True
        elif kind < 0.3:
            options["same_rack"] = True
        elif kind < 0.4:
            options["preferred_rack"] = "rack-2"
        elif kind < 0.5:
            options["needed_label"] = "ssd"
        elif kind < 0.6:
            options["is_filler"] = True
        elif kind < 0.7:
            options["max_per_worker"] = 1
        return Step(
            task_count=rng.randint(1, 5),
            resources=Resources(
                rng.choice((500, 1000, 3000)),
                rng.choice((500, 2000)),
                int(self._jobs % 7 == 0),
            ),
            estimated_run_ms=rng.choice((200, 500, 3000)),
            after=after,
            **options,
        )

    def _commit(self) -> None:
        batch = self.scheduler.take_batch()
        if batch is None:
            return
        if self._random.random() < 0.1:
            self.scheduler.on_batch_failed(batch)
            return
        outcomes = (OrderOutcome.ACCEPTED,) * 12 + (
            OrderOutcome.UNKNOWN,
            OrderOutcome.NO_CAPACITY,
            OrderOutcome.MALFORMED,
            OrderOutcome.NO_TICKET,
        )
        for row in batch.rows:
            self._stored.setdefault(row.job, StoredProgress()).put(row)
        for run in self.scheduler.on_batch_stored(batch):
            if self.scheduler.start_order(run, self._now_s) is not None:
                outcome = self._random.choice(outcomes)
                self.scheduler.on_start_outcome(run, outcome, self._now_s)

    def _renew_all(self) -> None:
        for state in list(self.scheduler.workers.states()):
            order = self.scheduler.next_renewal(state.entry.worker, self._now_s)
            if order is None:
                continue
            listed = [r for r in state.runs.values() if r.phase is not RunPhase.UNSENT]
            ended = [run for run in listed if self._has_ended(run)]
            reply = RenewalReply(
                clock_ms=int(self._now_s * 1000),
                born_ms=state.entry.born_ms,
                running=tuple(
                    RunningTask(run.task.key, run.number, "", 50, 0.0)
                    for run in listed
                    if run not in ended
                ),
                ended=tuple(self._end(state, run) for run in ended),
            )
            sent_s = self._now_s - 0.001
            self.scheduler.on_renewal_outcome(order, reply, sent_s, self._now_s)

    def _has_ended(self, run: Run) -> bool:
        return not run.step.is_long_running and self._random.random() < 0.5

    def _end(self, state: WorkerState, run: Run) -> EndedTask:
        worker = state.entry.worker
        self._ends[worker] = self._ends.get(worker, 0) + 1
        kind = self._random.choice((EndKind.DONE,) * 6 + (EndKind.FAILED,))
        if run.is_stopping and kind is EndKind.DONE:
            kind = EndKind.STOPPED
        number = EndNumber(self._ends[worker])
        return EndedTask(number, run.task.key, run.number, kind, "")

    def _advise(self) -> None:
        step = self._advice.next_step(self._now_s)
        if step is None:
            return
        workers = self._advice.candidates(step, self._now_s)
        tickets = tuple(Ticket(each, "t") for each in workers[::2])
        self._advice.record_advice(step, Advice(tickets, 900), self._now_s)

    def _cancel(self) -> None:
        if self._jobs:
            job = JobId(f"{self._random.randint(1, self._jobs):016x}")
            self._cancelled.add(job)
            self.scheduler.cancel(job, self._now_s)

    def _block_worker(self) -> None:
        state = self._draw_worker()
        state.pauses.begin(PauseGround.NO_CAPACITY, self._now_s, 0.3)
        state.is_cordoned = self._random.random() < 0.3

    def _move_worker(self) -> None:
        worker = self._random.choice(list(self._entries))
        self._entries[worker] = msgspec.structs.replace(
            self._entries[worker],
            pool=self._random.choice(POOLS),
            is_draining=self._random.random() < 0.1,
        )
        self._update_workers()

    def _refit_worker(self) -> None:
        """List a worker with other capacity and labels, perhaps as it was restarted."""
        old = self._random.choice(list(self._entries.values()))
        fitted = self._entry(int(old.worker.removeprefix("w")))
        self._entries[old.worker] = msgspec.structs.replace(
            fitted,
            pool=old.pool,
            born_ms=BornMs(old.born_ms + self._random.randint(0, 1)),
        )
        self._update_workers()

    def _retire_worker(self) -> None:
        self.scheduler.retire_worker(self._draw_worker().entry.worker)

    def _uncordon_all(self) -> None:
        for state in self.scheduler.workers.states():
            state.is_cordoned = False

    def _interrupt(self) -> None:
        """Stop a run, as planned work does."""
        runs = [
            run
            for state in self.scheduler.workers.states()
            for run in state.runs.values()
        ]
        if runs:
            self.scheduler.interrupt(self._random.choice(runs), self._now_s)

    def _leave(self) -> None:
        """Have room held for some long-running runs, and cordon their workers."""
        self._leaving = []
        for state in self.scheduler.workers.states():
            runs = [run for run in state.runs.values() if run.step.is_long_running]
            if runs and self._random.random() < 0.5:
                state.is_cordoned = True
                self._leaving.extend(
                    LeavingRun(run, may_preempt=self._random.random() < 0.5)
                    for run in runs
                )
        self.scheduler.hold_room_for(self._leaving, self._now_s)

    def _interrupt_with_room(self) -> None:
        """Stop the leaving runs for which there is room."""
        for leaving in self._leaving:
            run = leaving.run
            if self.scheduler.held_rooms(run.task.step, self._now_s):
                self.interrupted += self.scheduler.interrupt(run, self._now_s)

    def _toggle_worker(self) -> None:
        """Take a worker off the list, or list one that has been off."""
        worker = WorkerId(f"w{self._random.randrange(WORKERS + 3)}")
        if self._entries.pop(worker, None) is None:
            self._entries[worker] = self._entry(int(worker.removeprefix("w")))
        if self._random.random() < 0.3:
            self._now_s += 40.0
        self._update_workers()

    def _update_workers(self) -> None:
        self.scheduler.update_workers(self._entries.values(), self._now_s)

    def _configure(self) -> None:
        rng = self._random
        queues = tuple(
            msgspec.structs.replace(
                queue,
                pool=rng.choice(POOLS),
                priority=rng.randint(0, 2),
                advice=rng.choice((None, None, ADVICE)),
            )
            for queue in self._configuration.queues
        )
        self._configuration = msgspec.structs.replace(
            self._configuration,
            version=ConfigurationVersion(self._configuration.version + 1),
            queues=queues,
        )
        self.scheduler.configure(self._configuration)

    def _miss_renewal(self) -> None:
        state = self._draw_worker()
        order = self.scheduler.next_renewal(state.entry.worker, self._now_s)
        if order is not None:
            for _ in range(self._random.randint(1, 3)):
                self.scheduler.on_renewal_outcome(
                    order, OrderOutcome.UNKNOWN, self._now_s, self._now_s
                )

    def _draw_worker(self) -> WorkerState:
        return self._random.choice(list(self.scheduler.workers.states()))
