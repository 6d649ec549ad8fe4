"""Races schedulers over the real decision code, against an oracle.

Two or more daemons hold the lease or believe so, while writes and orders are lost,
late or unanswered, workers are cut off, lapse and start anew, and jobs are cancelled.
The oracle: no task runs twice at a time, or after an end that is taken note of; no
worker is overfilled; steps go in order; no task starts once its attempts are used up.
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
from tests.fuzz.effort import machine_settings
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
#: Jobs that are there before one is cancelled.
LEAST_JOBS = 6
picks = st.integers(0, 7)
workers = st.sampled_from(WORKERS)
waits = st.sampled_from((0.05, 0.3, 0.6, 1.0, 2.1, 2.1, 3.0, 4.4))
write_faults = st.sampled_from((WriteFault.NONE, WriteFault.NONE, *WriteFault))
order_faults = st.sampled_from((OrderFault.NONE, OrderFault.NONE, *OrderFault))


class SchedulerMachine(RuleBasedStateMachine):
    """Takes every step in any order."""

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
        """Store a job, and tell the holder."""
        steps = [step(count)]
        if has_second_step:
            steps.append(step(1, cpu=2000, after=(0,)))
        job = JobId(f"{len(self.world.submissions):016x}")
        self.world.submissions[job] = submission(job, *steps)
        holder = self.world.holder()
        if holder is not None:
            holder.scheduler.submit(self.world.submissions[job], self.world.now_s)

    @rule(pick=picks)
    @precondition(lambda self: len(self.world.submissions) >= LEAST_JOBS)
    def cancel(self, pick):
        """Store the cancelling of an early job, and tell every daemon."""
        jobs = list(self.world.submissions)
        job = jobs[pick % LEAST_JOBS]
        self.world.cancelled.add(job)
        for owner in self.world.owners:
            if owner.is_up:
                owner.scheduler.cancel(job)

    @rule()
    def take(self):
        """Let another daemon take the lease, if it may."""
        takeover = self.world.takeover()
        if takeover is not None:
            self.world.take(takeover)

    @rule(pick=picks, fault=order_faults)
    def go_on(self, pick, fault=OrderFault.NONE):
        """Let a daemon work for a while; its starts share one fate."""
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
        """Let another daemon take over that can't reach one of the workers."""
        holder = self.world.holder()
        if holder is not None:
            holder.is_up = not is_killed
            holder.reaches_store = False
        self.world.pass_time(seconds)
        known = set(self.world.owners)
        self.take()
        for owner in set(self.world.owners) - known:
            owner.cut_from.add(worker)
            self.go_on(self._up().index(owner))

    @rule(pick=picks)
    def kill(self, pick):
        """End a daemon; what it has sent is under way still."""
        owner = self._owner(pick)
        if owner is not None:
            owner.is_up = False

    @rule(pick=picks, fault=write_faults)
    def write(self, pick, fault):
        """Let a daemon place and store."""
        owner = self._owner(pick)
        if owner is not None:
            self.world.write(owner, fault)

    @rule(pick=picks)
    @precondition(lambda self: self.world.late_writes)
    def apply_late_write(self, pick):
        """Let a late write take effect."""
        self.world.apply_late_write(pick % len(self.world.late_writes))

    @rule(pick=picks, fault=order_faults)
    @precondition(lambda self: self.world.sent)
    def deliver(self, pick, fault):
        """Let a start arrive."""
        self.world.deliver(pick % len(self.world.sent), fault)

    @rule(pick=picks)
    @precondition(lambda self: self.world.late_orders)
    def deliver_late(self, pick):
        """Let a late start arrive."""
        self.world.deliver_late(pick % len(self.world.late_orders))

    @rule(pick=picks, worker=workers, fault=order_faults)
    def hold(self, pick, worker, fault):
        """Let a daemon renew a worker's lease."""
        owner = self._owner(pick)
        if owner is not None:
            self.world.hold(owner, worker, fault)

    @rule(pick=picks, worker=workers)
    def cut(self, pick, worker):
        """Cut a daemon off from a worker, or heal the cut."""
        owner = self._owner(pick)
        if owner is not None:
            owner.cut_from ^= {worker}

    @rule(pick=picks)
    def tick(self, pick):
        """Let a daemon look at everything that has a deadline."""
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
        """Let time pass, while daemons renew the leases of workers."""
        self.world.pass_time(seconds)
        for owner in self._up():
            for worker in WORKERS:
                self.world.hold(owner, worker, OrderFault.NONE)

    @rule(worker=workers, pick=picks, is_done=st.booleans())
    def end_run(self, worker, pick, is_done):
        """Let a run end by itself."""
        runs = list(self.world.workers[worker].runs)
        if runs:
            kind = EndKind.DONE if is_done else EndKind.FAILED
            self.world.workers[worker].end(runs[pick % len(runs)], kind)

    @rule(worker=workers)
    def rebirth(self, worker):
        """Let a worker start anew."""
        self.world.workers[worker].rebirth()

    @invariant()
    def nothing_is_broken(self):
        """Check the oracle."""
        assert self.world.violations == []


SchedulerMachine.TestCase.settings = machine_settings(100, 60)
TestScheduler = SchedulerMachine.TestCase
