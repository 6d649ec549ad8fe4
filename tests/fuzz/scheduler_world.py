"""Synchronous model of store, workers and schedulers for the state machine."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum

from currantstage.application.jobs._commit_attempts import CommitAttempt
from currantstage.coordination.jobs import (
    HolderAnswer,
    InheritedLeases,
    LeaseRow,
    LeaseTakeover,
    LeaseWatch,
    Run,
    Scheduler,
    SchedulerTuning,
)
from currantstage.coordination.jobs._worker_lease import PROMPT_ORDER_DELAY_MS
from currantstage.standin.jobs import build_configuration
from currantstage.state import EntryVmId
from currantstage.state.jobs import (
    JobId,
    OrderOutcome,
    RenewalOrder,
    RenewalReply,
    StartOrder,
    StoredProgress,
    TaskKey,
    TaskPhase,
    TaskProgress,
    Term,
    WorkerId,
)
from tests.fuzz.fake_worker import FakeWorker
from tests.fuzz.scheduler_oracle import CAPACITY_MILLICORES, SchedulerOracle
from tests.fuzz.scheduler_owner import Owner
from tests.jobs.records import entry, listing_fields

TUNING = SchedulerTuning(max_lease_ms=10_000)
CONFIGURATION = build_configuration()
WORKERS = tuple(WorkerId(name) for name in ("u", "v"))
#: Id of the daemon that reads the lease; no holder has it.
READER = EntryVmId("reader")
#: Time from the start of the workers to that of the machine, in seconds.
WORKER_AGE_S = 60.0
#: Longer than any time between two observations of the lease, in seconds.
OBSERVATION_INTERVAL_S = 3600.0
#: Age from which on a daemon that reaches the store reads the list of workers again,
#: in seconds.
MAX_WORKERS_AGE_S = 1.0


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


@dataclass(frozen=True)
class StoredLease:
    """Stored row of the lease."""

    version: int = 0
    row: LeaseRow | None = None
    written_s: float = 0.0


@dataclass(frozen=True, eq=False)
class SentStart:
    """A start order in transit."""

    owner: Owner
    run: Run
    order: StartOrder
    sent_s: float


@dataclass(frozen=True, eq=False)
class LateHold:
    """A renewal whose sender has timed out."""

    order: RenewalOrder
    sent_s: float


@dataclass(frozen=True, eq=False)
class LateWrite:
    """A delayed write, applied only if the lease still has the expected version."""

    attempt: CommitAttempt
    expected: int


class SchedulerWorld:
    """State shared by the schedulers, and an oracle of their invariants.

    Parameters
    ----------
    strict_workers : tuple of WorkerId
        Workers that refuse orders that are meant for another incarnation.
    """

    def __init__(self, strict_workers: tuple[WorkerId, ...] = ()) -> None:
        self.now_s = 100.0
        self.lease = StoredLease()
        self.oracle = SchedulerOracle()
        self.submissions = self.oracle.submissions
        self.cancelled: set[JobId] = set()
        self.progress: dict[JobId, StoredProgress] = {}
        self.workers = {
            name: FakeWorker(
                name,
                self.oracle,
                TUNING.max_lease_ms / 1000,
                self.now_s - WORKER_AGE_S,
                name in strict_workers,
            )
            for name in WORKERS
        }
        self.oracle.workers.extend(self.workers.values())
        self.owners: list[Owner] = []
        self.sent: list[SentStart] = []
        self.late_orders: list[StartOrder] = []
        self.late_holds: list[LateHold] = []
        self.late_writes: list[LateWrite] = []
        #: Workers that no daemon can reach.
        self.cut_off: set[WorkerId] = set()

    # Schedulers.

    def holder(self) -> Owner | None:
        """Return the daemon that the lease row names, if it is up."""
        row = self.lease.row
        if row is None:
            return None
        holders = [
            each
            for each in self.owners
            if each.is_up
            and (each.lease.holder, each.lease.term) == (row.holder, row.term)
        ]
        return holders[0] if holders else None

    def takeover(self) -> LeaseTakeover | None:
        """Return the takeover permission of a daemon that reads the lease now."""
        has_ended = self.holder() is None
        return self._permit(
            HolderAnswer.NOT_HOLDER if has_ended else HolderAnswer.UNKNOWN
        )

    def _permit(self, answer: HolderAnswer) -> LeaseTakeover | None:
        watch = LeaseWatch(OBSERVATION_INTERVAL_S, TUNING)
        watch.observe(self.lease.version, self.lease.written_s)
        watch.observe(self.lease.version, self.now_s)
        return watch.takeover(self.lease.row, READER, answer)

    def take(self, takeover: LeaseTakeover) -> Owner:
        """Let a new daemon take the lease."""
        leases = InheritedLeases(takeover, self.now_s, TUNING)
        former = self.lease.row
        term = Term(former.term + 1 if former else 1)
        name = EntryVmId(f"d{term}")
        row = LeaseRow(
            holder=name,
            address=name,
            term=term,
            earlier_acts_ms=math.ceil(takeover.holder_active_s * 1000),
            **listing_fields(leases.listing(self.now_s)),
        )
        self.lease = StoredLease(self.lease.version + 1, row, self.now_s)
        scheduler = Scheduler(term, CONFIGURATION, TUNING)
        owner = Owner.from_takeover(
            row, self.lease.version, self.now_s, leases, scheduler, TUNING
        )
        self.owners.append(owner)
        return owner

    def load(self, owner: Owner) -> None:
        """Let a daemon that has taken the lease restore all jobs."""
        owner.scheduler.jobs.open_due(0)
        self.read_workers(owner)
        for job, submission in self.submissions.items():
            owner.scheduler.restore(
                submission,
                self.progress.get(job),
                job in self.cancelled,
                owner.leases,
                self.now_s,
                unix_ms=0.0,
            )
        owner.book.follow(owner.scheduler.workers)
        owner.is_loaded = True

    def read_workers(self, owner: Owner) -> None:
        """Let a daemon read the list of workers."""
        entries = [
            entry(each.name, CAPACITY_MILLICORES, born_ms=each.born_ms)
            for each in self.workers.values()
        ]
        owner.scheduler.update_workers(entries, self.now_s)
        owner.workers_read_s = self.now_s

    def release(self, owner: Owner, fault: WriteFault) -> None:
        """Let a daemon write the lease on its way to its end."""
        owner.is_releasing = True
        self.write(owner, fault)

    def write(self, owner: Owner, fault: WriteFault) -> None:
        """Place ready tasks and store them together with the lease."""
        attempt = owner.next_attempt(self.now_s)
        if not owner.reaches_store:
            fault = WriteFault.LOST
        is_stored = fault in (WriteFault.NONE, WriteFault.REPLY_LOST)
        is_stored = is_stored and self._apply(attempt, owner.version)
        if fault is WriteFault.LATE:
            self.late_writes.append(LateWrite(attempt, owner.version))
        if fault is not WriteFault.NONE:
            owner.on_unanswered(attempt)
            return
        if is_stored:
            runs = owner.on_stored(attempt, self.lease.version)
        else:
            runs = owner.on_conflict(attempt, self.lease.row, self.lease.version)
        if not owner.is_up:
            return
        if owner.is_loaded and self.now_s - owner.workers_read_s > MAX_WORKERS_AGE_S:
            self.read_workers(owner)
        self._send(owner, runs)

    def apply_late_write(self, index: int) -> None:
        """Apply a delayed write, or let it fail."""
        write = self.late_writes.pop(index)
        self._apply(write.attempt, write.expected)

    def _apply(self, attempt: CommitAttempt, expected: int) -> bool:
        if expected != self.lease.version:
            return False
        self.lease = StoredLease(expected + 1, attempt.lease, self.now_s)
        for row in attempt.batch.rows if attempt.batch else ():
            self.progress.setdefault(row.job, StoredProgress()).put(row)
        return True

    def _send(self, owner: Owner, runs: list[Run]) -> None:
        for run in runs:
            if not owner.may_send(self.now_s):
                return
            order = owner.scheduler.start_order(run, self.now_s)
            if order is not None:
                self.sent.append(SentStart(owner, run, order, self.now_s))

    # Orders.

    def deliver(self, index: int, fault: OrderFault) -> None:
        """Deliver a start order to its worker, subject to `fault`."""
        sent = self.sent.pop(index)
        name = sent.order.worker.worker
        outcome = OrderOutcome.UNKNOWN
        if fault is OrderFault.LATE:
            self.late_orders.append(sent.order)
        elif (
            fault is not OrderFault.LOST
            and self._reaches(sent.owner, name)
            and self._may_carry_out(sent, fault)
        ):
            outcome = self.workers[name].start(sent.order, self.now_s)
        if fault is not OrderFault.NONE:
            outcome = OrderOutcome.UNKNOWN
        if sent.owner.is_up:
            sent.owner.scheduler.on_start_outcome(sent.run, outcome, self.now_s)

    def _may_carry_out(self, sent: SentStart, fault: OrderFault) -> bool:
        """Return whether the present incarnation may carry out a start."""
        worker = self.workers[sent.order.worker.worker]
        if worker.is_strict or worker.is_meant_by(sent.order):
            return True
        # No start without an answer reaches a later incarnation: KNOWN-RED.txt.
        is_answered = fault is OrderFault.NONE and sent.owner.is_up
        return is_answered and self._is_prompt(sent.sent_s)

    def _is_prompt(self, sent_s: float) -> bool:
        return self.now_s - sent_s <= PROMPT_ORDER_DELAY_MS / 1000

    def deliver_late(self, index: int) -> None:
        """Deliver a start order long after its sender has timed out."""
        order = self.late_orders.pop(index)
        worker = self.workers[order.worker.worker]
        # A later incarnation that carries it out is a known fault: KNOWN-RED.txt.
        if worker.is_meant_by(order):
            worker.start(order, self.now_s)

    def hold(self, owner: Owner, name: WorkerId, fault: OrderFault) -> None:
        """Renew a worker's lease and apply its lists."""
        if not owner.may_send(self.now_s):
            return
        order = owner.scheduler.next_renewal(name, self.now_s)
        if order is None:
            return
        if fault is OrderFault.LATE:
            self.late_holds.append(LateHold(order, self.now_s))
        reply: RenewalReply | OrderOutcome = OrderOutcome.UNKNOWN
        is_lost = fault in (OrderFault.LOST, OrderFault.LATE)
        if not is_lost and self._reaches(owner, name):
            reply = self.workers[name].hold(order, self.now_s)
        if fault is not OrderFault.NONE:
            reply = OrderOutcome.UNKNOWN
        owner.scheduler.on_renewal_outcome(order, reply, self.now_s, self.now_s)
        if owner.scheduler.is_superseded:
            owner.is_up = False
        self.stop_runs(owner)

    def _reaches(self, owner: Owner, name: WorkerId) -> bool:
        return name not in self.cut_off and name not in owner.unreachable_workers

    def hold_late(self, index: int) -> None:
        """Let a worker carry out a renewal long after its sender has timed out."""
        late = self.late_holds.pop(index)
        if self.now_s - late.sent_s <= TUNING.max_order_delay_ms / 1000:
            self.workers[late.order.worker.worker].hold(late.order, self.now_s)

    def stop_runs(self, owner: Owner) -> None:
        """Deliver the pending stop orders."""
        for order in owner.scheduler.take_stop_orders():
            if self._reaches(owner, order.worker.worker):
                self.workers[order.worker.worker].stop(order)

    def pass_time(self, seconds: float) -> None:
        """Advance the time and expire leases."""
        self.now_s += seconds
        for worker in self.workers.values():
            worker.expire_lease(self.now_s)

    # Invariants.

    @property
    def violations(self) -> list[str]:
        """What the oracle has found."""
        return self.oracle.violations

    def check_stored_ends(self) -> None:
        """Check that a successor would keep each listed run until its lease is over.

        It takes over now from a holder that is known to have ended.
        """
        takeover = self._permit(HolderAnswer.NOT_HOLDER)
        leases = InheritedLeases(takeover, self.now_s, TUNING)
        for worker in self.workers.values():
            end_s = leases.ends(worker.name).listed_s
            for task in worker.runs:
                if not self._is_stored_as_listed(worker, task):
                    continue
                if worker.lease_until_s > end_s:
                    late_s = worker.lease_until_s - end_s
                    self.violations.append(f"LEASE: {task} goes on for {late_s:.3f} s")

    def _is_stored_as_listed(self, worker: FakeWorker, task: TaskKey) -> bool:
        """Return whether the run of `task` on `worker` is stored as listed by it."""
        stored = self._stored_task(task)
        if stored is None or stored.phase is not TaskPhase.PLACED:
            return False
        is_run = (stored.worker, stored.run) == (worker.name, worker.runs[task])
        if is_run and stored.is_listed and stored.born_ms != worker.born_ms:
            self.violations.append(f"LISTED: {task} runs in another incarnation")
        return is_run and stored.is_listed

    def _stored_task(self, task: TaskKey) -> TaskProgress | None:
        stored = self.progress.get(task.job, StoredProgress())
        key = (task.occurrence, task.step, task.number)
        for row in stored.rows():
            for each in row.tasks:
                if (each.occurrence, each.step, each.index) == key:
                    return each
        return None
