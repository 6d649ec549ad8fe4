"""State machine that races several schedulers, checked against an oracle.

Two or more daemons hold the lease or believe that they do, while writes and orders are
lost, delayed or unanswered, workers are partitioned, expire and restart, and jobs are
cancelled. Invariants: no task runs twice at the same time, or after its success was
acknowledged; no worker exceeds its capacity; steps run in order; no task starts once
its attempts are used up.
"""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from currantstage.state.jobs import EndKind, JobId
from tests.fuzz.fuzz_settings import machine_settings
from tests.fuzz.scheduler_world import (
    WORKERS,
    OrderFault,
    Owner,
    SchedulerWorld,
    WriteFault,
)
from tests.jobs.records import submission
from tests.jobs.site import step

MAX_JOBS = 20
#: Minimum number of jobs before one is cancelled.
MIN_JOBS_BEFORE_CANCEL = 6
picks = st.integers(0, 7)
workers = st.sampled_from(WORKERS)
waits = st.sampled_from((0.05, 0.3, 0.6, 1.0, 2.1, 2.1, 3.0, 4.4))
write_faults = st.sampled_from((WriteFault.NONE, WriteFault.NONE, *WriteFault))
order_faults = st.sampled_from((OrderFault.NONE, OrderFault.NONE, *OrderFault))


class SchedulerMachine(RuleBasedStateMachine):
    """Interleaves the steps of all daemons in any order."""

    @initialize()
    def set_up(self):
        self.world = SchedulerWorld()
        self.submit(count=2, has_second_step=True)
        self.take()
        self.go_on(pick=0)
        self.go_on(pick=0)

    def _up(self) -> list[Owner]:
        return [each for each in self.world.owners if each.is_up]

    def _owner(self, pick: int) -> Owner | None:
        owners = self._up()
        return owners[pick % len(owners)] if owners else None

    @rule(count=st.integers(1, 3), has_second_step=st.booleans())
    @precondition(lambda self: len(self.world.submissions) < MAX_JOBS)
    def submit(self, count, has_second_step):
        """Store a job and notify the lease holder."""
        steps = [step(count)]
        if has_second_step:
            steps.append(step(1, cpu=2000, after=(0,)))
        job = JobId(f"{len(self.world.submissions):016x}")
        self.world.submissions[job] = submission(job, *steps)
        holder = self.world.holder()
        if holder is not None:
            holder.scheduler.submit(self.world.submissions[job], self.world.now_s)

    @rule(pick=picks)
    @precondition(lambda self: len(self.world.submissions) >= MIN_JOBS_BEFORE_CANCEL)
    def cancel(self, pick):
        """Store the cancellation of an early job and notify every daemon."""
        jobs = list(self.world.submissions)
        job = jobs[pick % MIN_JOBS_BEFORE_CANCEL]
        self.world.cancelled.add(job)
        for owner in self.world.owners:
            if owner.is_up:
                owner.scheduler.cancel(job, self.world.now_s)

    @rule()
    def take(self):
        """Let another daemon take the lease, if that is permitted."""
        takeover = self.world.takeover()
        if takeover is not None:
            self.world.take(takeover)

    @rule(pick=picks, fault=order_faults)
    def go_on(self, pick, fault=OrderFault.NONE):
        """Run a full cycle of a daemon, with the same fault for all its starts."""
        owner = self._owner(pick)
        if owner is None:
            return
        for worker in (*WORKERS, *WORKERS):
            self.world.hold(owner, worker, OrderFault.NONE)
        self.tick(pick)
        self.world.write(owner, WriteFault.NONE)
        own = [sent for sent in self.world.sent if sent.owner is owner]
        for sent in own:
            self.world.deliver(self.world.sent.index(sent), fault)

    @rule(worker=workers, seconds=waits, is_killed=st.booleans())
    def change_holder(self, worker, seconds, is_killed):
        """Let a daemon that can't reach one of the workers take over."""
        holder = self.world.holder()
        if holder is not None:
            holder.is_up = not is_killed
            holder.reaches_store = False
        self.world.pass_time(seconds)
        known = set(self.world.owners)
        self.take()
        for owner in set(self.world.owners) - known:
            owner.unreachable_workers.add(worker)
            self.go_on(self._up().index(owner))

    @rule(pick=picks)
    def kill(self, pick):
        """Kill a daemon; its messages stay in transit."""
        owner = self._owner(pick)
        if owner is not None:
            owner.is_up = False

    @rule(pick=picks, fault=write_faults)
    def write(self, pick, fault):
        """Let a daemon place tasks and store its progress."""
        owner = self._owner(pick)
        if owner is not None:
            self.world.write(owner, fault)

    @rule(pick=picks)
    @precondition(lambda self: self.world.late_writes)
    def apply_late_write(self, pick):
        """Apply a delayed write."""
        self.world.apply_late_write(pick % len(self.world.late_writes))

    @rule(pick=picks, fault=order_faults)
    @precondition(lambda self: self.world.sent)
    def deliver(self, pick, fault):
        """Deliver a start order."""
        self.world.deliver(pick % len(self.world.sent), fault)

    @rule(pick=picks)
    @precondition(lambda self: self.world.late_orders)
    def deliver_late(self, pick):
        """Deliver a delayed start order."""
        self.world.deliver_late(pick % len(self.world.late_orders))

    @rule(pick=picks, worker=workers, fault=order_faults)
    def hold(self, pick, worker, fault):
        """Let a daemon renew a worker's lease."""
        owner = self._owner(pick)
        if owner is not None:
            self.world.hold(owner, worker, fault)

    @rule(pick=picks, worker=workers)
    def cut(self, pick, worker):
        """Break or restore the connection between a daemon and a worker."""
        owner = self._owner(pick)
        if owner is not None:
            owner.unreachable_workers ^= {worker}

    @rule(pick=picks)
    def tick(self, pick):
        """Let a daemon check its timeouts and deliver its stop orders."""
        owner = self._owner(pick)
        if owner is not None and owner.held.is_valid(self.world.now_s):
            owner.scheduler.tick(self.world.now_s)
            self.world.stop_runs(owner)

    @rule(pick=picks)
    def list_workers(self, pick):
        """Let a daemon read the list of workers."""
        owner = self._owner(pick)
        if owner is not None:
            owner.scheduler.update_workers(self.world.entries(), self.world.now_s)

    @rule(seconds=waits)
    def wait(self, seconds):
        """Advance the time, then let the daemons renew the leases of workers."""
        self.world.pass_time(seconds)
        for owner in self._up():
            for worker in WORKERS:
                self.world.hold(owner, worker, OrderFault.NONE)

    @rule(worker=workers, pick=picks, is_done=st.booleans())
    def end_run(self, worker, pick, is_done):
        """Let a run succeed or fail."""
        runs = list(self.world.workers[worker].runs)
        if runs:
            kind = EndKind.DONE if is_done else EndKind.FAILED
            self.world.workers[worker].end(runs[pick % len(runs)], kind)

    @rule(worker=workers)
    def rebirth(self, worker):
        """Restart a worker."""
        self.world.workers[worker].restart()

    @invariant()
    def nothing_is_broken(self):
        """Check that the oracle has found no violation."""
        assert self.world.violations == []


SchedulerMachine.TestCase.settings = machine_settings(100, 60)
TestScheduler = SchedulerMachine.TestCase
