"""State machine that races several schedulers, checked against an oracle.

Two or more daemons hold the lease or believe that they do, while writes and orders are
lost, delayed or unanswered, workers are partitioned, expire and restart, daemons end
gracefully or not, and jobs are cancelled. Invariants: no task runs twice at the same
time, or after its success was acknowledged; no worker exceeds its capacity; steps run
in order; no task starts once its attempts are used up; no lease of a worker outlasts
what is stored of it.
"""

from __future__ import annotations

from itertools import combinations

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from currantstage.state.jobs import EndKind, JobId, Step
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
#: Maximum number of long-running tasks that are not cancelled; each takes one core.
MAX_LONG_RUNNING_TASKS = 2
#: Minimum number of jobs before one is cancelled.
MIN_JOBS_BEFORE_CANCEL = 6
#: Time between the renewals of a daemon that goes on, in seconds.
CYCLE_S = 0.5
picks = st.integers(0, 7)
workers = st.sampled_from(WORKERS)
waits = st.sampled_from((0.05, 0.3, 0.6, 1.0, 2.1, 2.1, 3.0, 4.4))
short_waits = st.sampled_from((0.0, 0.05, 0.3))
write_faults = st.sampled_from((WriteFault.NONE, WriteFault.NONE, *WriteFault))
order_faults = st.sampled_from((OrderFault.NONE, OrderFault.NONE, *OrderFault))


class SchedulerMachine(RuleBasedStateMachine):
    """Interleaves the steps of all daemons in any order."""

    @initialize(strict_workers=st.sampled_from(((), (), *combinations(WORKERS, 1))))
    def set_up(self, strict_workers=()):
        self.world = SchedulerWorld(strict_workers)
        self.submit(count=2, has_second_step=True)
        self.submit_long_running(count=1)
        self.take()
        self.go_on(pick=0)
        self.go_on(pick=0)

    def _up(self) -> list[Owner]:
        return [each for each in self.world.owners if each.is_up]

    def _owner(self, pick: int) -> Owner | None:
        return _pick(self._up(), pick)

    def _scheduling(self, pick: int) -> Owner | None:
        """Return a daemon that has restored the jobs."""
        return _pick([each for each in self._up() if each.is_loaded], pick)

    @rule(count=st.integers(1, 3), has_second_step=st.booleans())
    @precondition(lambda self: len(self.world.submissions) < MAX_JOBS)
    def submit(self, count, has_second_step):
        """Store a job and notify the lease holder."""
        steps = [step(count)]
        if has_second_step:
            steps.append(step(1, cpu=2000, after=(0,)))
        self._submit(steps)

    @rule(count=st.integers(1, 2))
    @precondition(lambda self: self._has_room_for_long_running())
    def submit_long_running(self, count):
        """Store a job whose tasks run until they are stopped."""
        self._submit([step(count, run_ms=0, is_long_running=True)])

    def _has_room_for_long_running(self) -> bool:
        """Return whether long-running tasks would leave room for others."""
        going_on = [
            each
            for job, submission in self.world.submissions.items()
            for each in submission.steps
            if each.is_long_running and job not in self.world.cancelled
        ]
        tasks = sum(each.task_count for each in going_on)
        is_full = len(self.world.submissions) >= MAX_JOBS
        return tasks < MAX_LONG_RUNNING_TASKS and not is_full

    def _submit(self, steps: list[Step]) -> None:
        job = JobId(f"{len(self.world.submissions):016x}")
        self.world.submissions[job] = submission(job, *steps)
        holder = self.world.holder()
        if holder is not None and holder.is_loaded:
            holder.scheduler.submit(self.world.submissions[job], self.world.now_s)

    @rule(pick=picks)
    @precondition(lambda self: len(self.world.submissions) >= MIN_JOBS_BEFORE_CANCEL)
    def cancel(self, pick):
        """Store the cancellation of an early job and notify every daemon."""
        jobs = list(self.world.submissions)
        job = jobs[pick % MIN_JOBS_BEFORE_CANCEL]
        self.world.cancelled.add(job)
        for owner in self._up():
            if owner.is_loaded:
                owner.scheduler.cancel(job, self.world.now_s)

    @rule(is_loaded=st.booleans())
    def take(self, is_loaded=True):
        """Let another daemon take the lease, if that is permitted."""
        takeover = self.world.takeover()
        if takeover is None:
            return
        owner = self.world.take(takeover)
        if is_loaded:
            self.world.load(owner)

    @rule()
    def load(self):
        """Let the daemons that have taken the lease restore the jobs."""
        for owner in self._up():
            if not owner.is_loaded:
                self.world.load(owner)

    @rule(pick=picks, fault=order_faults)
    def go_on(self, pick, fault=OrderFault.NONE):
        """Run a full cycle of a daemon, with the same fault for all its starts."""
        owner = self._scheduling(pick)
        if owner is None:
            return
        self._go_on(owner, fault)

    def _go_on(self, owner, fault=OrderFault.NONE, write_fault=WriteFault.NONE):
        for worker in (*WORKERS, *WORKERS):
            self.world.hold(owner, worker, OrderFault.NONE)
        self._tick(owner)
        self.world.write(owner, write_fault)
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
        self._take_without(worker)

    @rule(
        worker=workers,
        faults=st.tuples(write_faults, write_faults),
        seconds=short_waits,
    )
    def hand_over(self, worker, faults, seconds):
        """Let the holder end, and a daemon take over that can't reach a worker."""
        holder = self.world.holder()
        for fault in faults:
            if holder is not None and holder.is_up:
                self.world.release(holder, fault)
        self.world.pass_time(seconds)
        self._take_without(worker)

    def _take_without(self, worker):
        known = set(self.world.owners)
        self.take()
        for owner in set(self.world.owners) - known:
            owner.unreachable_workers.add(worker)
            self._go_on(owner)

    @rule(pick=picks)
    def kill(self, pick):
        """Kill a daemon; its messages stay in transit."""
        owner = self._owner(pick)
        if owner is not None:
            owner.is_up = False

    @rule(pick=picks, fault=write_faults)
    def release(self, pick, fault):
        """Let a daemon that ends gracefully write what it has, or its last row."""
        owner = self._owner(pick)
        if owner is not None:
            self.world.release(owner, fault)

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

    @rule(pick=picks)
    @precondition(lambda self: self.world.late_holds)
    def hold_late(self, pick):
        """Deliver a delayed renewal."""
        self.world.hold_late(pick % len(self.world.late_holds))

    @rule(pick=picks, worker=workers, fault=order_faults)
    def hold(self, pick, worker, fault):
        """Let a daemon renew a worker's lease."""
        owner = self._scheduling(pick)
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
        owner = self._scheduling(pick)
        if owner is not None:
            self._tick(owner)

    def _tick(self, owner):
        if owner.may_send(self.world.now_s):
            owner.scheduler.tick(self.world.now_s)
            self.world.stop_runs(owner)

    @rule(pick=picks)
    def list_workers(self, pick):
        """Let a daemon read the list of workers."""
        owner = self._scheduling(pick)
        if owner is not None:
            self.world.read_workers(owner)

    @rule(seconds=waits)
    def wait(self, seconds):
        """Advance the time, then let the daemons renew the leases of workers."""
        self.world.pass_time(seconds)
        for owner in self._up():
            for worker in WORKERS:
                self.world.hold(owner, worker, OrderFault.NONE)

    @rule(seconds=st.integers(1, 5), fault=write_faults)
    def work(self, seconds, fault):
        """Let all daemons go on for some time, with the same fault for all writes."""
        for _ in range(int(seconds / CYCLE_S)):
            self.world.pass_time(CYCLE_S)
            for owner in self._up():
                if owner.is_loaded:
                    self._go_on(owner, write_fault=fault)

    @rule(worker=workers, pick=picks, is_done=st.booleans())
    def end_run(self, worker, pick, is_done):
        """Let a run succeed or fail."""
        runs = list(self.world.workers[worker].runs)
        if runs:
            task = runs[pick % len(runs)]
            can_succeed = not self.world.oracle.step(task).is_long_running
            kind = EndKind.DONE if is_done and can_succeed else EndKind.FAILED
            self.world.workers[worker].end(task, kind)

    @rule(worker=workers)
    def rebirth(self, worker):
        """Restart a worker."""
        self.world.workers[worker].restart(self.world.now_s)

    @rule(pick=picks, worker=workers, is_killed=st.booleans(), seconds=short_waits)
    def rebirth_before_hold(self, pick, worker, is_killed, seconds):
        """Restart a worker, which then takes a renewal for its earlier incarnation.

        The daemon that sent it may be killed, and another one take over in between.
        """
        owner = self._scheduling(pick)
        if owner is None:
            return
        known = len(self.world.late_holds)
        self.world.hold(owner, worker, OrderFault.LATE)
        owner.is_up = not is_killed
        self.rebirth(worker)
        self.world.pass_time(seconds)
        self.take()
        if len(self.world.late_holds) > known:
            self.world.hold_late(known)

    @rule(
        pick=picks,
        worker=workers,
        hold_fault=order_faults,
        is_handed_over=st.booleans(),
    )
    def lose_after_rebirth(self, pick, worker, hold_fault, is_handed_over):
        """Let a worker's next incarnation take starts and be cut off soon after."""
        owner = self._scheduling(pick)
        if owner is None:
            return
        if len(self.world.submissions) < MAX_JOBS:
            # Small tasks find room on the other worker once they are released.
            self._submit([step(2, cpu=250)])
        self.world.write(owner, WriteFault.NONE)
        self.rebirth(worker)
        for sent in [each for each in self.world.sent if each.owner is owner]:
            self.world.deliver(self.world.sent.index(sent), OrderFault.NONE)
        self.world.hold(owner, worker, hold_fault)
        self.world.cut_off.add(worker)
        if is_handed_over:
            self.hand_over(worker, (WriteFault.NONE, WriteFault.NONE), 0.0)
        self.work(5, WriteFault.NONE)

    @rule(worker=workers)
    def cut_off(self, worker):
        """Cut a worker off from all daemons, or end that."""
        self.world.cut_off ^= {worker}

    @invariant()
    def nothing_is_broken(self):
        """Check that the oracle has found no violation."""
        self.world.check_stored_ends()
        assert self.world.violations == []


def _pick(owners: list[Owner], pick: int) -> Owner | None:
    return owners[pick % len(owners)] if owners else None


SchedulerMachine.TestCase.settings = machine_settings(100, 60)
TestScheduler = SchedulerMachine.TestCase
