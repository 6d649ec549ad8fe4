"""Moves, maintenance and failures in any order, against a one-page oracle."""

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
from tests.fleet_world import (
    TAKEOVER_S,
    EntryVm,
    FleetWorld,
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
two = st.integers(0, 1)


def first_vm(name: str) -> object:
    index = VMS.index(name)
    return make_vm(name, POOLS[index % 2], f"r{index // 4}")


class Oracle(FakeStore):
    """A store that checks each transaction against the promises of the fleet."""

    world: FleetWorld

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
        is_taken = (
            before is not None
            and before.state is VmState.SERVING
            and after is not None
            and after.state is VmState.DRAINING
            and after.disruption.kind is not DisruptionKind.WITHDRAWAL
        )
        if is_taken:
            self._check_budget(after, rows)

    def _check_budget(self, taken: VmRow, rows) -> None:
        """Count from the VM rows alone whether the pool could spare the VM."""
        pool = self.world.fleet.pools[taken.pool]
        out = [
            row
            for row in rows.values()
            if row.pool == taken.pool
            and row.state is not VmState.SERVING
            and not _is_withdrawn(row)
        ]
        assert len(out) <= pool.max_unavailable
        in_rack = [row for row in out if row.rack == taken.rack]
        assert len(in_rack) <= pool.max_unavailable_per_rack

    def check_unused(self, vm: VmId) -> None:
        assert not any(entry.held[vm] for entry in self.world.entry_vms)


def _is_withdrawn(row: VmRow) -> bool:
    disruption = row.disruption
    return disruption is not None and disruption.kind is DisruptionKind.WITHDRAWAL


class FleetMachine(RuleBasedStateMachine):
    """Two processes compete for the duty while everything fails around them."""

    @initialize()
    def start(self) -> None:
        self.store = Oracle()
        members = [make_pool(name, max_unavailable=2) for name in POOLS]
        self.world = FleetWorld(
            members, map(first_vm, VMS), [make_wave(POOLS, 300)], self.store
        )
        self.store.world = self.world
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

    @rule(which=two, fault_at=st.integers(0, 12), fault=st.sampled_from(Fault))
    def step_duty(self, which: int, fault_at: int, fault: Fault) -> None:
        """Let a process do a whole step, with one call of it failing for a while."""
        calls = 0

        def choose(call) -> Fault:
            nonlocal calls
            calls += 1
            return fault if fault_at <= calls < fault_at + 3 else Fault.NONE

        self.store.choose_fault = choose
        self.begin_step(which)
        self._advance(which, 10_000)
        self.store.choose_fault = lambda call: Fault.NONE

    @rule(which=two, turns=st.integers(1, 3))
    def work_a_while(self, which: int, turns: int) -> None:
        """Let everyone do their periodic work, with one process on duty."""
        for _ in range(turns):
            self.pass_time(6.0)
            for entry in self.world.entry_vms:
                entry.follow()
                entry.acknowledge()
            self.step_duty(which, 0, Fault.NONE)

    @rule(which=two)
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

    @rule(which=two, calls=st.integers(1, 20))
    def advance_step(self, which: int, calls: int) -> None:
        """Let a process go on from where it was paused."""
        self._advance(which, calls)

    @rule(which=two, calls=st.integers(1, 9), vm=vms, pool=pools)
    def lose_duty_in_a_step(
        self, which: int, calls: int, vm: VmId, pool: PoolId
    ) -> None:
        """Pause a process in a step until the other one has taken the duty over."""
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

    @rule(which=two, calls=st.integers(1, 9), vm=vms, pool=pools)
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

    @rule(which=two)
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
            assert fence.fencing == grant.fencing, "a former holder wrote"
        return reply

    @rule(duration_s=st.sampled_from([1.0, 6.0, TAKEOVER_S, 4000.0]))
    def pass_time(self, duration_s: float) -> None:
        self.store.unix_clock.time_s += duration_s
        for holder in self.holders:
            holder.clock.time_s += duration_s

    @rule(which=two, names=st.sets(vms, min_size=1))
    def start_requests(self, which: int, names: set[VmId]) -> None:
        for vm in sorted(names):
            self.world.entry_vms[which].start_request(vm)

    @rule(which=two)
    def finish_requests(self, which: int) -> None:
        self.world.entry_vms[which].finish_requests()

    @rule(which=two)
    def follow_placement(self, which: int) -> None:
        self.world.entry_vms[which].follow()

    @rule(which=two)
    def acknowledge(self, which: int) -> None:
        self.world.entry_vms[which].acknowledge()

    @rule(which=two)
    def restart_entry_vm(self, which: int) -> None:
        self.world.entry_vms[which].die()
        self.seed += 1
        self.world.entry_vms[which] = EntryVm(self.store, f"e{which + 1}", self.seed)

    @rule(vm=vms, is_down=st.booleans(), is_listed=st.booleans())
    def fail_or_recover(self, vm: VmId, is_down: bool, is_listed: bool) -> None:
        (self.world.down.add if is_down else self.world.down.discard)(vm)
        if is_listed:
            self.world.list_vms()

    @rule()
    def finish_reboots(self) -> None:
        self.pending.clear()

    @rule(vm=vms, pool=pools)
    def note_pool(self, vm: VmId, pool: PoolId) -> None:
        if vm in self.world.fleet.vms:
            self.world.try_note(changed=Changes(vms=(VmChange(vm_id=vm, pool=pool),)))

    @rule(which=two, entry=two, vm=vms, pool=pools)
    def move_busy_vm(self, which: int, entry: int, vm: VmId, pool: PoolId) -> None:
        """Have a VM moved or maintained while one entry VM holds a request there."""
        self.world.entry_vms[entry].follow()
        self.start_requests(entry, {vm})
        self.note_pool(vm, pool)
        self.work_a_while(which, 2)

    @rule(vm=vms)
    def note_withdrawal_or_return(self, vm: VmId) -> None:
        if vm in self.world.fleet.vms:
            self.world.try_note(withdrawn=Withdrawals(vms=(vm,)))
        else:
            self.world.try_note(added=Additions(vms=(first_vm(vm),)))

    @rule(pool=pools, budget=st.integers(0, 3), per_rack=st.integers(0, 2))
    def note_budget(self, pool: PoolId, budget: int, per_rack: int) -> None:
        # A note may not name a budget above the pool's size.
        size = len(self.world.fleet.vms_of_pool(pool))
        change = PoolChange(
            pool_id=pool,
            max_unavailable=min(budget, size) if size else budget,
            max_unavailable_per_rack=per_rack,
        )
        self.world.try_note(changed=Changes(pools=(change,)))

    @precondition(lambda self: hasattr(self, "world"))
    @invariant()
    def each_vm_takes_work_for_one_pool(self) -> None:
        for vm in VMS:
            known = {
                (entry.follower.pools() or {}).get(VmId(vm))
                for entry in self.world.entry_vms
            }
            assert len(known - {None}) <= 1

    def teardown(self) -> None:
        """When faults stop, every VM of the note serves at home and is maintained."""
        if not hasattr(self, "world"):
            return
        self.pending.clear()
        self.steps = [None, None]
        self.holders = [self._new_holder()]
        self.store.choose_fault = lambda call: Fault.NONE
        for pool in POOLS:
            self.note_budget(PoolId(pool), 1, 1)
        self.world.down.clear()
        self.world.list_vms()
        self.pass_time(4000.0)
        self.begin_step(0)
        self.pass_time(TAKEOVER_S)
        for entry in self.world.entry_vms:
            entry.finish_requests()
        for _ in range(60):
            if self._is_settled():
                break
            self.pending.clear()
            self.work_a_while(0, 1)
        for vm, row in self.world.vms.items():
            assert row.state is VmState.SERVING
            assert row.pool == row.home == self.world.fleet.vms[vm].pool
            assert row.completed_rounds[WAVE] == self._round()
        assert self.world.vms.keys() == self.world.fleet.vms.keys()
        assert not any(budget.unavailable for budget in self.world.budgets.values())

    def _is_settled(self) -> bool:
        return self.world.vms.keys() == self.world.fleet.vms.keys() and all(
            row.state is VmState.SERVING
            and row.pool == self.world.fleet.vms[vm].pool
            and row.completed_rounds.get(WAVE) == self._round()
            for vm, row in self.world.vms.items()
        )

    def _round(self) -> int:
        return self.store.rows["wave/w"].record.round


FleetMachine.TestCase.settings = machine_settings(140, 60)
TestFleetMachine = FleetMachine.TestCase
