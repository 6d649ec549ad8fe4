"""Stateful test of moves, maintenance and failures in any order."""

from __future__ import annotations

from collections.abc import Iterator

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from currantstage.coordination import CoordinationError
from currantstage.coordination.store import RebootVm, Transact
from currantstage.state import (
    VM_PREFIX,
    Additions,
    Changes,
    DisruptionKind,
    DutyKind,
    PoolChange,
    PoolId,
    RebootStatus,
    VmChange,
    VmId,
    VmRow,
    VmState,
    WaveId,
    Withdrawals,
    duty_fence_key,
)
from tests.fakes import FakeStore, Fault
from tests.fleet_harness import (
    TAKEOVER_S,
    EntryVm,
    FleetHarness,
    Holder,
    make_pool,
    make_vm,
    make_wave,
)
from tests.fuzz.fuzz_settings import machine_settings

POOLS = ("a", "b")
VMS = tuple(f"v{n}" for n in range(6))
WAVE = WaveId("w")
pools = st.sampled_from(POOLS).map(PoolId)
vms = st.sampled_from(VMS).map(VmId)
indexes = st.integers(0, 1)


def initial_vm(name: str) -> object:
    index = VMS.index(name)
    return make_vm(name, POOLS[index % 2], f"r{index // 4}")


class Oracle(FakeStore):
    """A store that checks each transaction against the invariants of the fleet."""

    harness: FleetHarness

    def _transact(self, call: Transact):
        before = dict(self._vm_rows())
        outcome = super()._transact(call)
        after = dict(self._vm_rows())
        for vm in before.keys() | after.keys():
            if before.get(vm) != after.get(vm):
                self._check_change(vm, before.get(vm), after.get(vm), after)
        return outcome

    def _vm_rows(self) -> Iterator[tuple[VmId, VmRow]]:
        for key, row in self.rows.items():
            if key.startswith(VM_PREFIX):
                yield row.record.vm_id, row.record

    def _check_change(self, vm, before, after, rows) -> None:
        if after is None or (before is not None and before.pool != after.pool):
            self.check_unused(vm)
        is_disrupted = (
            before is not None
            and before.state is VmState.SERVING
            and after is not None
            and after.state is VmState.DRAINING
            and after.disruption.kind is not DisruptionKind.WITHDRAWAL
        )
        if is_disrupted:
            self._check_budget(after, rows)

    def _check_budget(self, disrupted: VmRow, rows) -> None:
        """Check from the VM rows alone that the pool's budget allows the disruption."""
        pool = self.harness.fleet.pools[disrupted.pool]
        unavailable = [
            row
            for row in rows.values()
            if row.pool == disrupted.pool
            and row.state is not VmState.SERVING
            and not _is_withdrawn(row)
        ]
        assert len(unavailable) <= pool.max_unavailable
        in_rack = [row for row in unavailable if row.rack == disrupted.rack]
        assert len(in_rack) <= pool.max_unavailable_per_rack

    def check_unused(self, vm: VmId) -> None:
        assert not any(entry.held_requests[vm] for entry in self.harness.entry_vms)


def _is_withdrawn(row: VmRow) -> bool:
    disruption = row.disruption
    return disruption is not None and disruption.kind is DisruptionKind.WITHDRAWAL


class FleetMachine(RuleBasedStateMachine):
    """Two processes compete for the duty while calls, VMs and entry VMs fail."""

    @initialize()
    def start(self) -> None:
        self.store = Oracle()
        members = [make_pool(name, max_unavailable=2) for name in POOLS]
        self.harness = FleetHarness(
            members, map(initial_vm, VMS), [make_wave(POOLS, 300)], self.store
        )
        self.store.harness = self.harness
        self.store.reboot_status = self._reboot_status
        self.pending: set[str] = set()
        self.seed = 100
        self.holders = [self._new_holder(), self._new_holder()]
        self.steps: list = [None, None]
        self.work_a_while(0, 3)

    def _new_holder(self) -> Holder:
        self.seed += 1
        return Holder(self.store, f"h{self.seed}", self.seed)

    def _reboot_status(self, ticket: str) -> RebootStatus:
        return RebootStatus.PENDING if ticket in self.pending else RebootStatus.DONE

    @rule(which=indexes, fault_at=st.integers(0, 12), fault=st.sampled_from(Fault))
    def step_duty(self, which: int, fault_at: int, fault: Fault) -> None:
        """Run a complete step of a process in which up to three calls in a row fail."""
        calls = 0

        def choose(call) -> Fault:
            nonlocal calls
            calls += 1
            return fault if fault_at <= calls < fault_at + 3 else Fault.NONE

        self.store.choose_fault = choose
        self.begin_step(which)
        self._advance(which, 10_000)
        self.store.choose_fault = lambda call: Fault.NONE

    @rule(which=indexes, turns=st.integers(1, 3))
    def work_a_while(self, which: int, turns: int) -> None:
        """Run the periodic work of the entry VMs and of one process."""
        for _ in range(turns):
            self.pass_time(6.0)
            for entry in self.harness.entry_vms:
                entry.follow()
                entry.acknowledge()
            self.step_duty(which, 0, Fault.NONE)

    @rule(which=indexes)
    def begin_step(self, which: int) -> None:
        holder = self.holders[which]
        if self.steps[which] is not None:
            return
        try:
            grant = holder.renew_or_acquire()
        except CoordinationError:
            return
        if grant is not None:
            self.steps[which] = (holder.duty.step(grant), grant, None)

    @rule(which=indexes, calls=st.integers(1, 20))
    def advance_step(self, which: int, calls: int) -> None:
        """Resume a paused process."""
        self._advance(which, calls)

    @rule(which=indexes, calls=st.integers(1, 9), vm=vms, pool=pools)
    def lose_duty_in_a_step(
        self, which: int, calls: int, vm: VmId, pool: PoolId
    ) -> None:
        """Pause a process during a step until the other one has taken over the duty."""
        self._advance(which, 10_000)
        self.note_pool(vm, pool)
        self.begin_step(which)
        self._advance(which, calls)
        other = 1 - which
        for _ in range(2):
            self.steps[other] = None
            self.begin_step(other)
            self.pass_time(TAKEOVER_S)
        self._advance(which, 10_000)

    @rule(which=indexes, calls=st.integers(1, 9), vm=vms, pool=pools)
    def lower_budgets_in_a_step(
        self, which: int, calls: int, vm: VmId, pool: PoolId
    ) -> None:
        self._advance(which, 10_000)
        for each in POOLS:
            self.note_budget(PoolId(each), 1, 1)
        self.note_pool(vm, pool)
        self.begin_step(which)
        self._advance(which, calls)
        for each in POOLS:
            self.note_budget(PoolId(each), 0, 0)
        self._advance(which, 10_000)

    @rule(which=indexes)
    def crash_holder(self, which: int) -> None:
        self.steps[which] = None
        self.holders[which] = self._new_holder()

    def _advance(self, which: int, calls: int) -> None:
        if self.steps[which] is None:
            return
        step, grant, reply = self.steps[which]
        try:
            for _ in range(calls):
                call = step.send(reply)
                reply = self._answer(call, grant, self.holders[which].clock)
        except (StopIteration, CoordinationError):
            self.steps[which] = None
            return
        self.steps[which] = (step, grant, reply)

    def _answer(self, call, grant, clock):
        if isinstance(call, RebootVm) and call.ticket not in self.store.reboots:
            self.store.check_unused(call.vm)
            self.pending.add(call.ticket)
        before = dict(self.store.rows)
        reply = self.store.answer(call, clock)
        if self.store.rows != before:
            fence = self.store.rows[duty_fence_key(DutyKind.MAINTENANCE)].record
            assert fence.fencing == grant.fencing, (
                "write by a former holder of the duty"
            )
        return reply

    @rule(duration_s=st.sampled_from([1.0, 6.0, TAKEOVER_S, 4000.0]))
    def pass_time(self, duration_s: float) -> None:
        self.store.unix_clock.time_s += duration_s
        for holder in self.holders:
            holder.clock.time_s += duration_s

    @rule(which=indexes, names=st.sets(vms, min_size=1))
    def start_requests(self, which: int, names: set[VmId]) -> None:
        for vm in sorted(names):
            self.harness.entry_vms[which].start_request(vm)

    @rule(which=indexes)
    def finish_requests(self, which: int) -> None:
        self.harness.entry_vms[which].finish_requests()

    @rule(which=indexes)
    def follow_placement(self, which: int) -> None:
        self.harness.entry_vms[which].follow()

    @rule(which=indexes)
    def acknowledge(self, which: int) -> None:
        self.harness.entry_vms[which].acknowledge()

    @rule(which=indexes)
    def restart_entry_vm(self, which: int) -> None:
        self.harness.entry_vms[which].terminate()
        self.seed += 1
        self.harness.entry_vms[which] = EntryVm(self.store, f"e{which + 1}", self.seed)

    @rule(vm=vms, is_down=st.booleans(), is_listed=st.booleans())
    def fail_or_recover(self, vm: VmId, is_down: bool, is_listed: bool) -> None:
        (self.harness.down.add if is_down else self.harness.down.discard)(vm)
        if is_listed:
            self.harness.list_vms()

    @rule()
    def finish_reboots(self) -> None:
        self.pending.clear()

    @rule(vm=vms, pool=pools)
    def note_pool(self, vm: VmId, pool: PoolId) -> None:
        if vm in self.harness.fleet.vms:
            self.harness.try_submit_note(
                changed=Changes(vms=(VmChange(vm_id=vm, pool=pool),))
            )

    @rule(which=indexes, entry=indexes, vm=vms, pool=pools)
    def move_busy_vm(self, which: int, entry: int, vm: VmId, pool: PoolId) -> None:
        """Move or maintain a VM while an entry VM holds a request at it."""
        self.harness.entry_vms[entry].follow()
        self.start_requests(entry, {vm})
        self.note_pool(vm, pool)
        self.work_a_while(which, 2)

    @rule(vm=vms)
    def note_withdrawal_or_return(self, vm: VmId) -> None:
        if vm in self.harness.fleet.vms:
            self.harness.try_submit_note(withdrawn=Withdrawals(vms=(vm,)))
        else:
            self.harness.try_submit_note(added=Additions(vms=(initial_vm(vm),)))

    @rule(pool=pools, budget=st.integers(0, 3), per_rack=st.integers(0, 2))
    def note_budget(self, pool: PoolId, budget: int, per_rack: int) -> None:
        # A note may not set a budget above the pool's size.
        size = len(self.harness.fleet.vms_of_pool(pool))
        change = PoolChange(
            pool_id=pool,
            max_unavailable=min(budget, size) if size else budget,
            max_unavailable_per_rack=per_rack,
        )
        self.harness.try_submit_note(changed=Changes(pools=(change,)))

    @precondition(lambda self: hasattr(self, "harness"))
    @invariant()
    def each_vm_takes_work_for_one_pool(self) -> None:
        for vm in VMS:
            known = {
                (entry.follower.pools() or {}).get(VmId(vm))
                for entry in self.harness.entry_vms
            }
            assert len(known - {None}) <= 1

    def teardown(self) -> None:
        """Check that without faults every VM serves in its home and is maintained."""
        if not hasattr(self, "harness"):
            return
        self.pending.clear()
        self.steps = [None, None]
        self.holders = [self._new_holder()]
        self.store.choose_fault = lambda call: Fault.NONE
        for pool in POOLS:
            self.note_budget(PoolId(pool), 1, 1)
        self.harness.down.clear()
        self.harness.list_vms()
        self.pass_time(4000.0)
        self.begin_step(0)
        self.pass_time(TAKEOVER_S)
        for entry in self.harness.entry_vms:
            entry.finish_requests()
        for _ in range(60):
            if self._is_settled():
                break
            self.pending.clear()
            self.work_a_while(0, 1)
        for vm, row in self.harness.vms.items():
            assert row.state is VmState.SERVING
            assert row.pool == row.home == self.harness.fleet.vms[vm].pool
            assert row.completed_rounds[WAVE] == self._round()
        assert self.harness.vms.keys() == self.harness.fleet.vms.keys()
        assert not any(budget.unavailable for budget in self.harness.budgets.values())

    def _is_settled(self) -> bool:
        return self.harness.vms.keys() == self.harness.fleet.vms.keys() and all(
            row.state is VmState.SERVING
            and row.pool == self.harness.fleet.vms[vm].pool
            and row.completed_rounds.get(WAVE) == self._round()
            for vm, row in self.harness.vms.items()
        )

    def _round(self) -> int:
        return self.store.rows["wave/w"].record.round


FleetMachine.TestCase.settings = machine_settings(140, 60)
TestFleetMachine = FleetMachine.TestCase
