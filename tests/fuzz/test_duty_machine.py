"""Fuzz test of duty leases: one holder at a time, and no write of a former holder.

The oracle: when a write is applied, the fencing number in the fence row is that of
the writer, and no two entry VMs hold a valid grant of the duty at the same time.
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

from currantstage.coordination.store import DUTY_LEASE_S, MAX_CLOCK_DRIFT, DutyLeases
from currantstage.state import (
    ABSENT,
    AcceptedRow,
    DutyKind,
    Generation,
    RowKey,
    RowWrite,
    duty_fence_key,
)
from tests.fuzz.fuzz_settings import machine_settings
from tests.fuzz.note_world import CallFault, NoteWorld, RunningProcedure

DUTY = DutyKind.MAINTENANCE
EFFECT_KEY = RowKey("effect")
picks = st.integers(0, 2)
faults = st.sampled_from((CallFault.NONE, *CallFault))
waits = st.sampled_from((0.0, 1.0, 3.3, DUTY_LEASE_S - 0.05, DUTY_LEASE_S + 0.3))
clock_rates = st.sampled_from((1 - MAX_CLOCK_DRIFT, 1.0, 1 + MAX_CLOCK_DRIFT))


class DutyMachine(RuleBasedStateMachine):
    """Contenders with clock drift, pauses, partitions and lost or delayed writes."""

    @initialize(rates=st.tuples(clock_rates, clock_rates, clock_rates))
    def set_up(self, rates):
        self.world = NoteWorld()
        self.leases = {}
        self.paused: list[RunningProcedure] = []
        self.highest_fencing = 0
        for name, rate in zip(("e1", "e2", "e3"), rates, strict=True):
            process = self.world.start(name, rate)
            row = process.membership.row
            self.leases[name] = DutyLeases(
                process.access, row.entry_vm, row.incarnation
            )

    def contender(self, index):
        process = self.world.processes[index]
        return process, self.leases[process.name]

    @rule(duration_s=waits)
    def time_passes(self, duration_s):
        self.world.advance(duration_s)

    @rule(index=picks, fault=faults)
    def tend(self, index, fault):
        process, leases = self.contender(index)
        self.world.run(process, leases.renew_or_acquire([DUTY]), fault)

    @rule(index=picks, steps=st.integers(0, 5))
    def begin_to_tend(self, index, steps):
        process, leases = self.contender(index)
        running = RunningProcedure(self.world, process, leases.renew_or_acquire([DUTY]))
        for _ in range(steps):
            running.step(CallFault.NONE)
        self.paused.append(running)

    @rule(
        index=picks,
        rival=picks,
        steps=st.integers(0, 6),
        pauses_s=st.tuples(waits, waits),
    )
    def tend_slowly_beside_a_rival(self, index, rival, steps, pauses_s):
        process, leases = self.contender(index)
        running = RunningProcedure(self.world, process, leases.renew_or_acquire([DUTY]))
        for _ in range(steps):
            running.step(CallFault.NONE)
        self.tend(rival, CallFault.NONE)
        self.world.advance(pauses_s[0])
        running.finish()
        self.world.advance(pauses_s[1])
        self.tend(rival, CallFault.NONE)

    @rule(index=picks, fault=faults)
    def resign(self, index, fault):
        process, leases = self.contender(index)
        self.world.run(process, leases.release(), fault)

    @rule(index=picks, fault=faults, pause_s=waits, rival=picks)
    def write_after_a_pause(self, index, fault, pause_s, rival):
        """Write under a grant after a pause in which a rival tries to acquire it."""
        process, leases = self.contender(index)
        grant = leases.grant(DUTY, process.clock.now_s())
        if grant is None:
            return
        self.tend(rival, CallFault.NONE)
        self.world.advance(pause_s)
        self.tend(rival, CallFault.NONE)
        current = self.world.store.rows.get(EFFECT_KEY)
        write = RowWrite(
            key=EFFECT_KEY,
            expected_version=ABSENT if current is None else current.version,
            record=AcceptedRow(generation=Generation(grant.fencing)),
        )
        fence = self.world.store.rows[duty_fence_key(DUTY)].record.fencing
        outcome = self.world.run(
            process, process.access.transact(grant.guard([write])), fault
        )
        if outcome is not None and outcome.is_applied:
            assert grant.fencing == fence

    @precondition(lambda self: self.paused)
    @rule(index=picks, fault=faults)
    def go_on(self, index, fault):
        running = self.paused.pop(index % len(self.paused))
        running.finish(fault)

    @precondition(lambda self: self.world.delayed)
    @rule(index=picks)
    def delayed_write_arrives(self, index):
        self.world.apply_delayed(index % len(self.world.delayed))

    @rule(index=picks)
    def mend(self, index):
        self.world.processes[index].can_reach_table = True

    @invariant()
    def one_entry_vm_at_most_holds_the_duty(self):
        holders = [
            process.name
            for process in self.world.processes
            if self.leases[process.name].grant(DUTY, process.clock.now_s())
        ]
        assert len(holders) <= 1

    @invariant()
    def effects_never_go_back_to_an_older_holder(self):
        row = self.world.store.rows.get(EFFECT_KEY)
        if row is not None:
            assert row.record.generation >= self.highest_fencing
            self.highest_fencing = row.record.generation


DutyMachine.TestCase.settings = machine_settings(300, 30)
TestDutyMachine = DutyMachine.TestCase
