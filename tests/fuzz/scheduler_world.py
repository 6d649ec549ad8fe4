"""Synchronous model of store, workers and schedulers for the state machine."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field, replace
from enum import Enum

from currantstage.coordination.jobs import (
    HeldLease,
    InheritedLeases,
    LeaseTakeover,
    ProgressBatch,
    Run,
    Scheduler,
    SchedulerTuning,
    TakeoverGround,
)
from currantstage.standin.jobs import build_configuration
from currantstage.state.jobs import (
    BornMs,
    EndedTask,
    EndKind,
    EndNumber,
    Fence,
    JobId,
    OrderOutcome,
    RenewalOrder,
    RenewalReply,
    RunningTask,
    RunNumber,
    StartOrder,
    StopOrder,
    StoredProgress,
    Submission,
    TaskKey,
    Term,
    WorkerId,
)
from tests.jobs.records import entry

TUNING = SchedulerTuning()
CONFIGURATION = build_configuration()
MAX_ATTEMPTS = 3
CAPACITY_MILLICORES = 3000
NO_TERM = Term(0)
WORKERS = tuple(WorkerId(name) for name in ("u", "v"))


class WriteFault(Enum):
    """Fault of a write to the store."""

    NONE = "none"
    REPLY_LOST = "answer-lost"
    LOST = "lost"
    LATE = "late"


class OrderFault(Enum):
    """Fault of an order to a worker."""

    NONE = "none"
    REPLY_LOST = "answer-lost"
    LOST = "lost"
    LATE = "late"


@dataclass(eq=False)
class FakeWorker:
    """A worker that behaves as the platform specifies."""

    name: WorkerId
    born_ms: BornMs = BornMs(1)
    fence: Fence = Fence(0)
    lease_until_s: float = 0.0
    runs: dict[TaskKey, RunNumber] = field(default_factory=dict)
    ends: list[EndedTask] = field(default_factory=list)
    end_count: int = 0
    highest_ended: dict[TaskKey, RunNumber] = field(default_factory=dict)

    def end(self, task: TaskKey, kind: EndKind) -> None:
        """End a run and add it to the list of ends."""
        run = self.runs.pop(task)
        self.end_count += 1
        self.highest_ended[task] = run
        self.ends.append(EndedTask(EndNumber(self.end_count), task, run, kind, ""))

    def expire_lease(self, now_s: float) -> None:
        """End all runs if the lease has expired."""
        if now_s > self.lease_until_s:
            for task in list(self.runs):
                self.end(task, EndKind.LEASE_EXPIRED)

    def restart(self) -> None:
        """Restart under the same id."""
        self.born_ms = BornMs(self.born_ms + 1)
        self.fence = Fence(0)
        self.lease_until_s = 0.0
        self.runs = {}
        self.ends = []
        self.end_count = 0
        self.highest_ended = {}


@dataclass(eq=False)
class Owner:
    """A daemon that holds the lease or believes that it does."""

    scheduler: Scheduler
    held: HeldLease
    version: int
    earlier_act_until_s: float
    is_up: bool = True
    reaches_store: bool = True
    unreachable_workers: set[WorkerId] = field(default_factory=set)


@dataclass(frozen=True)
class StoredLease:
    """Stored row of the lease."""

    version: int = 0
    term: Term = NO_TERM
    written_s: float = 0.0
    earlier_act_until_s: float = 0.0


@dataclass(eq=False)
class SentStart:
    """A start order in transit."""

    owner: Owner
    run: Run
    order: StartOrder


@dataclass(frozen=True, eq=False)
class LateWrite:
    """A delayed write, applied only if the lease still has the expected version."""

    owner: Owner
    expected: int
    batch: ProgressBatch | None


class SchedulerWorld:
    """State shared by the schedulers, and an oracle of their invariants."""

    def __init__(self) -> None:
        self.now_s = 100.0
        self.lease = StoredLease()
        self.submissions: dict[JobId, Submission] = {}
        self.cancelled: set[JobId] = set()
        self.progress: dict[JobId, StoredProgress] = {}
        self.workers = {name: FakeWorker(name) for name in WORKERS}
        self.owners: list[Owner] = []
        self.sent: list[SentStart] = []
        self.late_orders: list[StartOrder] = []
        self.late_writes: list[LateWrite] = []
        self.acknowledged_done: set[TaskKey] = set()
        #: Tasks whose success a worker, which may have restarted, has listed before.
        self.listed_done: set[TaskKey] = set()
        self.acknowledged_failures: dict[TaskKey, int] = defaultdict(int)
        self.violations: list[str] = []

    # Schedulers.

    def holder(self) -> Owner | None:
        """Return the daemon whose term is in the lease row, if it is up."""
        holders = [
            each
            for each in self.owners
            if each.is_up and each.scheduler.term == self.lease.term
        ]
        return holders[0] if holders else None

    def takeover(self) -> LeaseTakeover | None:
        """Return the takeover permission of a daemon that reads the lease now."""
        earlier_s = max(0.0, self.lease.earlier_act_until_s - self.now_s)
        if self.holder() is None:
            return LeaseTakeover(TakeoverGround.HOLDER_ENDED, earlier_s)
        unchanged_s = self.now_s - self.lease.written_s
        if unchanged_s < TUNING.takeover_ms / 1000:
            return None
        left_s = TUNING.owner_lease_ms / 1000 - unchanged_s
        return LeaseTakeover(TakeoverGround.HOLDER_SILENT, max(0.0, earlier_s, left_s))

    def take(self, takeover: LeaseTakeover) -> None:
        """Let a new daemon take the lease and restore all jobs."""
        until_s = self.now_s + takeover.holder_active_s
        leases = InheritedLeases(takeover, self.now_s, TUNING)
        term = Term(self.lease.term + 1)
        self.lease = StoredLease(self.lease.version + 1, term, self.now_s, until_s)
        scheduler = Scheduler(term, CONFIGURATION, TUNING)
        scheduler.jobs.open_due(0)
        scheduler.update_workers(self.entries(), self.now_s)
        for job, submission in self.submissions.items():
            scheduler.restore(
                submission,
                self.progress.get(job),
                job in self.cancelled,
                leases,
                self.now_s,
                unix_ms=0.0,
            )
        held = HeldLease(TUNING, self.now_s)
        self.owners.append(Owner(scheduler, held, self.lease.version, until_s))

    def entries(self):
        """Return the list of workers."""
        return [
            entry(each.name, CAPACITY_MILLICORES, born_ms=each.born_ms)
            for each in self.workers.values()
        ]

    def write(self, owner: Owner, fault: WriteFault) -> None:
        """Place ready tasks and store them together with the lease."""
        owner.scheduler.place(self.now_s, 0)
        batch = owner.scheduler.take_batch()
        expected = owner.version
        if not owner.reaches_store:
            fault = WriteFault.LOST
        is_applied = fault in (WriteFault.NONE, WriteFault.REPLY_LOST)
        is_conflict = is_applied and not self._apply(owner, expected, batch)
        if fault is WriteFault.LATE:
            self.late_writes.append(LateWrite(owner, expected, batch))
        if is_conflict or fault is not WriteFault.NONE:
            if batch is not None:
                owner.scheduler.on_batch_failed(batch)
            if is_conflict and fault is WriteFault.NONE:
                self._handle_conflict(owner)
            return
        owner.version = self.lease.version
        owner.held.confirm(self.now_s)
        if batch is not None:
            self._send(owner, owner.scheduler.on_batch_stored(batch))

    def apply_late_write(self, index: int) -> None:
        """Apply a delayed write, or let it fail."""
        write = self.late_writes.pop(index)
        self._apply(write.owner, write.expected, write.batch)

    def _apply(self, owner: Owner, expected: int, batch: ProgressBatch | None) -> bool:
        if expected != self.lease.version:
            return False
        self.lease = replace(
            self.lease, version=self.lease.version + 1, written_s=self.now_s
        )
        for row in batch.rows if batch else ():
            self.progress.setdefault(row.job, StoredProgress()).put(row)
        return True

    def _handle_conflict(self, owner: Owner) -> None:
        if owner.scheduler.term == self.lease.term:
            owner.version = self.lease.version
        else:
            owner.is_up = False

    def _send(self, owner: Owner, runs: list[Run]) -> None:
        for run in runs:
            if not owner.held.is_valid(self.now_s):
                return
            order = owner.scheduler.start_order(run, self.now_s)
            if order is not None:
                self.sent.append(SentStart(owner, run, order))

    # Orders.

    def deliver(self, index: int, fault: OrderFault) -> None:
        """Deliver a start order to its worker, subject to `fault`."""
        sent = self.sent.pop(index)
        outcome = OrderOutcome.UNKNOWN
        is_unreachable = sent.order.worker.worker in sent.owner.unreachable_workers
        if fault is OrderFault.LATE:
            self.late_orders.append(sent.order)
        elif fault is not OrderFault.LOST and not is_unreachable:
            outcome = self._start(sent.order)
        if fault is not OrderFault.NONE:
            outcome = OrderOutcome.UNKNOWN
        if sent.owner.is_up:
            sent.owner.scheduler.on_start_outcome(sent.run, outcome, self.now_s)

    def deliver_late(self, index: int) -> None:
        """Deliver a start order long after its sender has timed out."""
        self._start(self.late_orders.pop(index))

    def hold(self, owner: Owner, name: WorkerId, fault: OrderFault) -> None:
        """Renew a worker's lease and apply its lists."""
        if not owner.held.is_valid(self.now_s):
            return
        order = owner.scheduler.next_renewal(name, self.now_s)
        if order is None:
            return
        reply: RenewalReply | OrderOutcome = OrderOutcome.UNKNOWN
        is_lost = fault in (OrderFault.LOST, OrderFault.LATE)
        if not is_lost and name not in owner.unreachable_workers:
            reply = self._hold(order)
        if fault is not OrderFault.NONE:
            reply = OrderOutcome.UNKNOWN
        owner.scheduler.on_renewal_outcome(order, reply, self.now_s, self.now_s)
        if owner.scheduler.is_superseded:
            owner.is_up = False
        self.stop_runs(owner)

    def stop_runs(self, owner: Owner) -> None:
        """Deliver the pending stop orders."""
        for order in owner.scheduler.take_stop_orders():
            if order.worker.worker not in owner.unreachable_workers:
                self._stop(order)

    def pass_time(self, seconds: float) -> None:
        """Advance the time and expire leases."""
        self.now_s += seconds
        for worker in self.workers.values():
            worker.expire_lease(self.now_s)

    def _start(self, order: StartOrder) -> OrderOutcome:
        worker = self.workers[order.worker.worker]
        if order.worker.born_ms != worker.born_ms:
            return OrderOutcome.OTHER_WORKER
        if order.fence < worker.fence:
            return OrderOutcome.FENCED
        worker.fence = order.fence
        if order.until_ms / 1000 <= self.now_s:
            return OrderOutcome.TOO_LATE
        worker.lease_until_s = max(worker.lease_until_s, order.until_ms / 1000)
        if worker.runs.get(order.task) == order.run:
            return OrderOutcome.ACCEPTED
        if order.run <= worker.highest_ended.get(order.task, 0):
            return OrderOutcome.OUTDATED
        self._check_start(worker, order.task)
        worker.runs[order.task] = order.run
        return OrderOutcome.ACCEPTED

    def _stop(self, order: StopOrder) -> None:
        worker = self.workers[order.worker.worker]
        is_current = order.worker.born_ms == worker.born_ms
        if not is_current or order.fence < worker.fence:
            return
        worker.fence = order.fence
        if worker.runs.get(order.task) == order.run:
            worker.end(order.task, EndKind.STOPPED)

    def _hold(self, order: RenewalOrder) -> RenewalReply | OrderOutcome:
        worker = self.workers[order.worker.worker]
        if order.worker.born_ms != worker.born_ms:
            return OrderOutcome.OTHER_WORKER
        if order.fence < worker.fence:
            return OrderOutcome.FENCED
        worker.fence = order.fence
        if order.until_ms is not None:
            worker.lease_until_s = max(worker.lease_until_s, order.until_ms / 1000)
        self._acknowledge_ends(worker, order.seen_upto)
        self.listed_done.update(
            ended.task for ended in worker.ends if ended.kind is EndKind.DONE
        )
        running = tuple(
            RunningTask(task, run, "", 50, 0.0) for task, run in worker.runs.items()
        )
        clock_ms = int(self.now_s * 1000)
        return RenewalReply(clock_ms, worker.born_ms, running, tuple(worker.ends))

    def _acknowledge_ends(self, worker: FakeWorker, upto: EndNumber) -> None:
        for ended in worker.ends:
            if ended.number <= upto and ended.kind is EndKind.DONE:
                self.acknowledged_done.add(ended.task)
            if ended.number <= upto and ended.kind is EndKind.FAILED:
                self.acknowledged_failures[ended.task] += 1
        worker.ends = [each for each in worker.ends if each.number > upto]

    # Invariants.

    def _check_start(self, worker: FakeWorker, task: TaskKey) -> None:
        if any(task in each.runs for each in self.workers.values()):
            self.violations.append(f"TWICE: {task}")
        if task in self.acknowledged_done:
            self.violations.append(f"TWICE: {task} has ended as done")
        if self.acknowledged_failures[task] >= MAX_ATTEMPTS:
            self.violations.append(f"BUDGET: {task}")
        if task.job not in self.submissions:
            self.violations.append(f"UNASKED: {task}")
            return
        steps = self.submissions[task.job].steps
        for earlier in steps[task.step].after:
            for number in range(steps[earlier].task_count):
                if task._replace(step=earlier, number=number) not in self._done():
                    self.violations.append(f"ORDER: {task}")
        reserved_millicores = steps[task.step].reserved_resources.cpu_millicores
        used = sum(
            self.submissions[each.job]
            .steps[each.step]
            .reserved_resources.cpu_millicores
            for each in worker.runs
        )
        if used + reserved_millicores > CAPACITY_MILLICORES:
            self.violations.append(f"LIMIT: {worker.name}")

    def _done(self) -> set[TaskKey]:
        listed = {
            ended.task
            for worker in self.workers.values()
            for ended in worker.ends
            if ended.kind is EndKind.DONE
        }
        return listed | self.listed_done | self.acknowledged_done
