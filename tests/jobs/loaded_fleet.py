"""A scheduler and its fleet of VMs under a load of jobs, without network or store.

Time advances in turns. Writes are confirmed at once and workers reply in the turn in
which a run ends, so that only the decisions of the scheduler tell how long jobs take.
"""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from typing import TYPE_CHECKING

from msgspec.structs import replace

from currantstage.coordination.jobs import (
    FleetManager,
    RunPhase,
    Scheduler,
    SchedulerTuning,
    VmOrder,
    VmOrderCooldown,
    VmWork,
)
from currantstage.standin.jobs import SPARE_POOL, build_configuration
from currantstage.state import DataCentreId, PoolId, QueueId, TeamId, VmId
from currantstage.state.jobs import (
    BornMs,
    EndedTask,
    EndKind,
    EndNumber,
    JobId,
    JobState,
    JobTeam,
    MaintenanceWave,
    OrderOutcome,
    RenewalReply,
    Resources,
    RunningTask,
    Step,
    Submission,
    TaskKey,
    Term,
    VmCondition,
    VmOrderOutcome,
    VmRecord,
    WorkerEntry,
    WorkerId,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from currantstage.coordination.jobs import Run

#: Time between two passes of the scheduler, in seconds.
TURN_S = 0.05
#: Turns between two plans of the fleet, and between two renewals of a worker.
TURNS_PER_PLAN = 4
TURNS_PER_RENEWAL = 14
#: Downtime of a VM for a move and for maintenance, in seconds.
MOVE_S = 1.5
MAINTENANCE_S = 2.0
#: Time until the worker of a VM that is up again is listed, in seconds.
LISTING_S = 0.2
VM_CAPACITY = Resources(32_000, 65_536, 0)
#: Time up to which a late job is still of use, as a multiple of its objective.
MAX_LATENESS = 3.0
#: Team of the jobs that name none.
EAST = TeamId("east")

#: All queues have the objective of this one.
_QUEUE = build_configuration().queues[0]


@dataclass(frozen=True, slots=True)
class Arrival:
    """A job that is handed in at `at_s`; its tasks run for `run_s`, step by step."""

    at_s: float
    pool: PoolId
    steps: tuple[Step, ...]
    run_s: tuple[float, ...]
    team: TeamId = EAST

    @property
    def objective_s(self) -> float:
        """Time in which the job should end."""
        return sum(self.run_s) * _QUEUE.stretch + _QUEUE.slack_ms / 1000

    @property
    def core_s(self) -> float:
        """Work of the job, in core-seconds."""
        return sum(
            step.task_count * step.resources.cpu_millicores * run_s / 1000
            for step, run_s in zip(self.steps, self.run_s, strict=True)
        )


@dataclass(slots=True)
class Served:
    """What became of the jobs of one pool."""

    asked: int = 0
    in_time: int = 0
    late: int = 0
    too_late: int = 0
    open: int = 0

    @property
    def in_time_share(self) -> float:
        """Share of the jobs that ended within their objective."""
        return self.in_time / max(1, self.asked)


@dataclass(slots=True)
class VmService:
    """Faults of the platform's service for VMs.

    Parameters
    ----------
    fails_orders, fails_lists : bool
        Whether orders and requests for the list get no answer.
    """

    fails_orders: bool = False
    fails_lists: bool = False


@dataclass(slots=True)
class _Vm:
    record: VmRecord
    up_at_s: float = float("inf")
    restarts: int = 0


@dataclass(slots=True)
class LoadedFleet:
    """Plays arrivals of jobs against a scheduler and counts what callers get.

    Parameters
    ----------
    vms : dict of PoolId to int
        Number of VMs of each pool at the start; `SPARE_POOL` holds the spare ones.
    tuning : SchedulerTuning
    teams : tuple of JobTeam
        Teams instead of those of the standard configuration.
    start_delay_s : float
        Time from the storing of a placement until the worker accepts the start.
    vm_service : VmService
    """

    vms: dict[PoolId, int]
    tuning: SchedulerTuning = field(
        default_factory=lambda: SchedulerTuning(min_vms_per_pool=3)
    )
    teams: tuple[JobTeam, ...] = ()
    start_delay_s: float = 0.0
    vm_service: VmService = field(default_factory=VmService)
    scheduler: Scheduler = field(init=False)
    manager: FleetManager = field(init=False)
    moves: int = 0
    #: Number of runs of short tasks that were stopped.
    stopped_short: int = 0
    now_s: float = 100.0
    vm_s: Counter[PoolId] = field(default_factory=Counter)
    _vms: dict[VmId, _Vm] = field(default_factory=dict)
    _entries: dict[WorkerId, WorkerEntry] = field(default_factory=dict)
    _stored: deque[tuple[float, Run]] = field(default_factory=deque)
    _ends: list[tuple[float, int, Run]] = field(default_factory=list)
    _end_numbers: Counter[WorkerId] = field(default_factory=Counter)
    _jobs: dict[JobId, Arrival] = field(default_factory=dict)
    _ended_s: dict[JobId, float] = field(default_factory=dict)
    _started_s: dict[TaskKey, float] = field(default_factory=dict)
    _away_since_s: dict[TaskKey, float] = field(default_factory=dict)
    _longest_away_s: dict[TaskKey, float] = field(default_factory=dict)
    _order: count[int] = field(default_factory=count)

    def __post_init__(self) -> None:
        pools = [pool for pool in self.vms if pool != SPARE_POOL]
        configuration = build_configuration(pools=pools)
        if self.teams:
            configuration = replace(configuration, teams=self.teams)
        self.scheduler = Scheduler(Term(1), configuration, self.tuning)
        cooldown = VmOrderCooldown((), self.now_s, self.tuning)
        self.manager = FleetManager(self.scheduler, self.tuning, cooldown)
        for pool, number in self.vms.items():
            for index in range(number):
                self._add_vm(pool, index)
        self._list()

    def announce(self, wave: MaintenanceWave) -> None:
        """Announce a wave of maintenance."""
        self.manager.maintenance.announce(wave, (), self.now_s)

    def vm_names(self) -> list[VmId]:
        """Return the names of all VMs."""
        return list(self._vms)

    def long_running_vms(self) -> list[VmId]:
        """Return the names of the VMs that run long-running tasks."""
        return [
            name
            for name, vm in self._vms.items()
            if (worker := self.scheduler.workers.get(vm.record.worker)) is not None
            and any(run.step.is_long_running for run in worker.runs.values())
        ]

    def remove(self, vms: Iterable[VmId]) -> None:
        """Take VMs away for good, as when a rack is lost."""
        for vm in vms:
            worker = self._vms.pop(vm).record.worker
            self._entries.pop(worker, None)
            self.scheduler.retire_worker(worker)
        self._list()

    def pool_size(self, pool: PoolId) -> int:
        """Return how many VMs are in a pool or moving to it."""
        return sum(each.record.pool == pool for each in self._vms.values())

    def play(
        self,
        arrivals: Sequence[Arrival],
        until_s: float,
        on_turn: Callable[[float], None] | None = None,
    ) -> None:
        """Hand in the jobs and schedule until `until_s`, counted from the start.

        `on_turn` is called after each turn with the time since the start.
        """
        start_s = self.now_s
        waiting = sorted(arrivals, key=lambda each: each.at_s)
        turn = 0
        while self.now_s - start_s < until_s:
            while waiting and waiting[0].at_s <= self.now_s - start_s:
                self._submit(waiting.pop(0))
            self._run_turn(turn)
            turn += 1
            if on_turn is not None:
                on_turn(self.now_s - start_s)
            self.now_s += TURN_S

    def outcomes(self) -> list[tuple[Arrival, float | None]]:
        """Return each job that was handed in and the time that it took, if it ended."""
        return [
            (arrival, self._ended_s[job] - self._accepted_s(job))
            if job in self._ended_s
            else (arrival, None)
            for job, arrival in self._jobs.items()
        ]

    def first_waits_s(self, arrival: Arrival) -> list[float]:
        """Return how long each task of a job has waited for its first start so far."""
        job = next(job for job, each in self._jobs.items() if each is arrival)
        accepted_s = self._accepted_s(job)
        return [
            self._started_s.get(TaskKey(job, 0, step, number), self.now_s) - accepted_s
            for step, each in enumerate(arrival.steps)
            for number in range(each.task_count)
        ]

    def longest_away_s(self, arrival: Arrival) -> float:
        """Return for how long at most a task of a job has not run after its start."""
        return max(
            (
                away_s
                for task, away_s in self._longest_away_s.items()
                if self._jobs[task.job] is arrival
            ),
            default=0.0,
        )

    def served(self, pool: PoolId, team: TeamId | None = None) -> Served:
        """Return what became of the jobs handed in to a pool, or of a team's alone."""
        result = Served()
        for arrival, took_s in self.outcomes():
            if arrival.pool != pool or team not in (None, arrival.team):
                continue
            result.asked += 1
            if took_s is None:
                result.open += 1
            elif took_s <= arrival.objective_s:
                result.in_time += 1
            elif took_s <= arrival.objective_s * MAX_LATENESS:
                result.late += 1
            else:
                result.too_late += 1
        return result

    def _accepted_s(self, job: JobId) -> float:
        record = self.scheduler.jobs.get(job)
        assert record is not None
        return record.accepted_s

    def _run_turn(self, turn: int) -> None:
        self._bring_up()
        for worker, runs in self._take_ended().items():
            self._renew(worker, runs)
        if turn % TURNS_PER_RENEWAL == 0:
            for worker in list(self._entries):
                self._renew(worker, [])
        self.scheduler.tick(self.now_s)
        self._start()
        if turn % TURNS_PER_PLAN == 0:
            self._plan()
        self._note_away()
        for vm in self._vms.values():
            self.vm_s[vm.record.pool] += TURN_S

    def _note_away(self) -> None:
        """Note for how long each long-running task that has started has been away."""
        for key in self._started_s:
            task = self.scheduler.jobs.task(key)
            if task is None or not task.step.step.is_long_running:
                continue
            if task.run is not None and task.run.phase is RunPhase.RUNNING:
                self._away_since_s.pop(key, None)
                continue
            away_s = self.now_s - self._away_since_s.setdefault(key, self.now_s)
            longest_s = self._longest_away_s.get(key, 0.0)
            self._longest_away_s[key] = max(longest_s, away_s + TURN_S)

    def _plan(self) -> None:
        if self.vm_service.fails_lists:
            self.manager.on_list_failed(self.now_s)
            return
        self.manager.observe([vm.record for vm in self._vms.values()], self.now_s)
        for order in self.manager.plan(self.now_s):
            outcome = self._execute(order)
            self.manager.on_order_outcome(order, outcome, self.now_s)
        self._stop_interrupted()

    def _execute(self, order: VmOrder) -> VmOrderOutcome:
        if self.vm_service.fails_orders:
            return VmOrderOutcome.UNAVAILABLE
        vm = self._vms[order.vm]
        if vm.record.condition is not VmCondition.UP:
            return VmOrderOutcome.BUSY
        self._entries.pop(vm.record.worker, None)
        pool, condition = vm.record.pool, VmCondition.MAINTENANCE
        downtime_s = MAINTENANCE_S
        if order.goal.work is VmWork.MOVE:
            assert order.goal.pool is not None
            pool, condition = order.goal.pool, VmCondition.MOVING
            downtime_s = MOVE_S
            self.moves += 1
        vm.record = replace(
            vm.record, pool=pool, condition=condition, worker=WorkerId("")
        )
        vm.up_at_s = self.now_s + downtime_s + LISTING_S
        return VmOrderOutcome.DONE

    def _bring_up(self) -> None:
        due = [vm for vm in self._vms.values() if vm.up_at_s <= self.now_s]
        for vm in due:
            vm.up_at_s = float("inf")
            vm.restarts += 1
            self._set_worker(vm)
        if due:
            self._list()

    def _add_vm(self, pool: PoolId, index: int) -> None:
        name = VmId(f"{pool}-{index}")
        record = VmRecord(
            vm=name,
            pool=pool,
            condition=VmCondition.UP,
            data_centre=DataCentreId("dc"),
            labels=("dc", f"rack-{index // 8}"),
            capacity=VM_CAPACITY,
            worker=WorkerId(""),
        )
        self._vms[name] = vm = _Vm(record)
        self._set_worker(vm)

    def _set_worker(self, vm: _Vm) -> None:
        record = replace(vm.record, condition=VmCondition.UP)
        if record.pool != SPARE_POOL:
            worker = WorkerId(f"w-{record.vm}-{vm.restarts}")
            record = replace(record, worker=worker)
            self._entries[worker] = WorkerEntry(
                worker=worker,
                pool=record.pool,
                address="127.0.0.1:1",
                data_centre=record.data_centre,
                is_draining=False,
                capacity=record.capacity,
                labels=record.labels,
                born_ms=BornMs(1 + vm.restarts),
            )
        vm.record = record

    def _list(self) -> None:
        self.scheduler.update_workers(self._entries.values(), self.now_s)
        for worker in self._entries:
            worker_state = self.scheduler.workers.get(worker)
            if worker_state is not None and not worker_state.is_synced:
                self._renew(worker, [])

    def _submit(self, arrival: Arrival) -> None:
        job = JobId(f"{len(self._jobs):016x}")
        self._jobs[job] = arrival
        submission = Submission(
            job=job,
            queue=QueueId(f"q-{arrival.pool}"),
            pool=arrival.pool,
            team=arrival.team,
            spec="work",
            steps=arrival.steps,
        )
        self.scheduler.submit(submission, self.now_s)

    def _start(self) -> None:
        self.scheduler.place(self.now_s, 1_700_000_000_000 + self.now_s * 1000)
        batch = self.scheduler.take_batch()
        if batch is not None:
            due_s = self.now_s + self.start_delay_s
            self._stored.extend(
                (due_s, run) for run in self.scheduler.on_batch_stored(batch)
            )
        while self._stored and self._stored[0][0] <= self.now_s + TURN_S / 2:
            self._start_run(self._stored.popleft()[1])
        for job in self._jobs.keys() - self._ended_s.keys():
            if self.scheduler.state_of(job) is JobState.COMPLETED:
                self._ended_s[job] = self.now_s

    def _start_run(self, run: Run) -> None:
        if self.scheduler.start_order(run, self.now_s) is None:
            return
        self.scheduler.on_start_outcome(run, OrderOutcome.ACCEPTED, self.now_s)
        self._started_s.setdefault(run.task.key, self.now_s)
        if not run.step.is_long_running:
            run_s = self._jobs[run.task.key.job].run_s[run.task.key.step]
            heappush(self._ends, (self.now_s + run_s, next(self._order), run))

    def _take_ended(self) -> dict[WorkerId, list[Run]]:
        ended: dict[WorkerId, list[Run]] = {}
        while self._ends and self._ends[0][0] <= self.now_s:
            run = heappop(self._ends)[2]
            if run.task.run is run and run.worker in self._entries:
                ended.setdefault(run.worker, []).append(run)
        return ended

    def _stop_interrupted(self) -> None:
        for stop in self.scheduler.take_stop_orders():
            task = self.scheduler.jobs.task(stop.task)
            if task is not None and task.run is not None:
                self.stopped_short += not task.run.step.is_long_running
                self._renew(task.run.worker, [task.run], EndKind.STOPPED)

    def _renew(
        self, worker: WorkerId, ended: list[Run], kind: EndKind = EndKind.DONE
    ) -> None:
        """Renew a worker's lease; its reply lists the runs that have ended."""
        worker_state = self.scheduler.workers.get(worker)
        order = self.scheduler.next_renewal(worker, self.now_s)
        if order is None or worker_state is None:
            return
        ends = []
        for run in ended:
            self._end_numbers[worker] += 1
            number = EndNumber(self._end_numbers[worker])
            ends.append(EndedTask(number, run.task.key, run.number, kind, ""))
        running = tuple(
            RunningTask(run.task.key, run.number, "", self._percent(run), 0.0)
            for run in worker_state.runs.values()
            if run.has_started and run not in ended
        )
        reply = RenewalReply(
            clock_ms=int(self.now_s * 1000),
            born_ms=order.worker.born_ms,
            running=running,
            ended=tuple(ends),
        )
        self.scheduler.on_renewal_outcome(order, reply, self.now_s, self.now_s)

    def _percent(self, run: Run) -> int:
        """Return the progress of a run, which has to rise for it not to be stalled."""
        if run.step.is_long_running:
            return 100
        run_s = self._jobs[run.task.key.job].run_s[run.task.key.step]
        return min(99, int(100 * (self.now_s - run.accepted_s) / run_s))
