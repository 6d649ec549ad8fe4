"""Test harness: a fleet on the fake platform, entry VMs and fleet duty holders."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Iterable

from currantstage.coordination.fleet import DrainFollower, FleetDuty, plan_waves
from currantstage.coordination.notes import commit_note
from currantstage.coordination.store import (
    DutyGrant,
    DutyLeases,
    RetryPolicy,
    StoreAccess,
)
from currantstage.state import (
    ABSENT,
    BUDGET_PREFIX,
    DEFAULT_CONFIG_LEASE_S,
    PLACEMENT_PREFIX,
    VM_PREFIX,
    Additions,
    BudgetRow,
    Changes,
    DataCentreId,
    DutyKind,
    EntryVmId,
    EntryVmRow,
    Fleet,
    Generation,
    IncarnationId,
    ListedVm,
    NoteId,
    PlacementRow,
    Pool,
    PoolId,
    RackId,
    ReleaseNote,
    RowWrite,
    Vm,
    VmId,
    VmLiveness,
    VmRow,
    Wave,
    WaveId,
    Withdrawals,
    entry_vm_key,
)
from tests.fakes import FakeClock, FakeStore, make_store_access

DATA_CENTRE = DataCentreId("a")
#: Exceeds the time after which other processes take over a duty, in seconds.
TAKEOVER_S = 60.0
#: A VM that the platform lists but that is not part of the fleet.
OTHER_VM = VmId("other")
NOTHING_ADDED = Additions()
NOTHING_CHANGED = Changes()
NOTHING_WITHDRAWN = Withdrawals()


def make_pool(name: str, **fields) -> Pool:
    return Pool(pool_id=PoolId(name), data_centre=DATA_CENTRE, **fields)


def make_vm(name: str, pool: str, rack: str = "r1") -> Vm:
    port = 1 + sum(ord(letter) * 31**place for place, letter in enumerate(name)) % 60000
    return Vm(
        vm_id=VmId(name),
        pool=PoolId(pool),
        rack=RackId(rack),
        address=f"127.0.0.1:{port}",
    )


def make_wave(pools: Iterable[str], period_s: int = 3600) -> Wave:
    return Wave(wave_id=WaveId("w"), pools=tuple(map(PoolId, pools)), period_s=period_s)


class EntryVm:
    """An entry VM that follows the placement and holds requests."""

    def __init__(self, store: FakeStore, name: str, seed: int) -> None:
        self.store = store
        self.held_requests: Counter[VmId] = Counter()
        self.row = EntryVmRow(
            entry_vm=EntryVmId(name),
            incarnation=IncarnationId(f"{name}-{seed}"),
            data_centre=DATA_CENTRE,
            http_address="127.0.0.1:1",
            peer_address="127.0.0.1:2",
            applied_generation=Generation(0),
            config_lease_s=DEFAULT_CONFIG_LEASE_S,
        )
        access = make_store_access(seed)
        write = RowWrite(
            key=entry_vm_key(self.row.entry_vm, self.row.incarnation),
            expected_version=ABSENT,
            record=self.row,
        )
        store.run(access.transact([write]))
        self.follower = DrainFollower(
            access, DATA_CENTRE, self.row.entry_vm, self.row.incarnation
        )
        self.follow()

    def follow(self) -> None:
        self.store.run(self.follower.follow())

    def acknowledge(self) -> None:
        self.store.run(self.follower.acknowledge(lambda vm: self.held_requests[vm]))

    def start_request(self, vm: VmId) -> bool:
        if vm not in (self.follower.pools() or {}):
            return False
        self.held_requests[vm] += 1
        return True

    def finish_requests(self) -> None:
        self.held_requests.clear()

    def terminate(self) -> None:
        self.held_requests.clear()
        del self.store.rows[entry_vm_key(self.row.entry_vm, self.row.incarnation)]


class Holder:
    """A process that competes for the fleet duty."""

    def __init__(
        self, store: FakeStore, name: str, seed: int, planners=(plan_waves,)
    ) -> None:
        self.store = store
        self.clock = FakeClock()
        access = StoreAccess(random.Random(seed), RetryPolicy())
        incarnation = IncarnationId(f"{name}-{seed}")
        self.leases = DutyLeases(access, EntryVmId(name), incarnation)
        self.duty = (
            FleetDuty(access) if planners is None else FleetDuty(access, planners)
        )

    def renew_or_acquire(self) -> DutyGrant | None:
        self.store.run(self.leases.renew_or_acquire([DutyKind.MAINTENANCE]), self.clock)
        return self.leases.grant(DutyKind.MAINTENANCE, self.clock.now_s())

    def step(self) -> bool:
        grant = self.renew_or_acquire()
        if grant is not None:
            self.store.run(self.duty.step(grant), self.clock)
        return grant is not None


class FleetHarness:
    """A fleet with a store, the platform's list, two entry VMs and a duty holder."""

    def __init__(
        self,
        pools: Iterable[Pool],
        vms: Iterable[Vm],
        waves: Iterable[Wave] = (),
        store: FakeStore | None = None,
    ) -> None:
        self.store = store or FakeStore()
        self._notes = 0
        vms = tuple(vms)
        self.down: set[VmId] = set()
        self.submit_note(
            added=Additions(pools=tuple(pools), vms=vms, waves=tuple(waves)),
        )
        self.entry_vms = [EntryVm(self.store, f"e{n}", n) for n in (1, 2)]
        self.holder = Holder(self.store, "h1", 11)

    @property
    def fleet(self) -> Fleet:
        newest = max(self.store.objects.values(), key=lambda o: o.fleet.generation)
        return newest.fleet

    @property
    def vms(self) -> dict[VmId, VmRow]:
        return {row.vm_id: row for row in self._records(VM_PREFIX)}

    @property
    def budgets(self) -> dict[PoolId, BudgetRow]:
        return {row.pool: row for row in self._records(BUDGET_PREFIX)}

    @property
    def placement(self) -> PlacementRow:
        (row,) = self._records(PLACEMENT_PREFIX)
        return row

    def submit_note(
        self,
        added: Additions = NOTHING_ADDED,
        changed: Changes = NOTHING_CHANGED,
        withdrawn: Withdrawals = NOTHING_WITHDRAWN,
    ) -> None:
        """Commit a release note, which must be valid."""
        self.try_submit_note(added, changed, withdrawn).unwrap()

    def try_submit_note(
        self,
        added: Additions = NOTHING_ADDED,
        changed: Changes = NOTHING_CHANGED,
        withdrawn: Withdrawals = NOTHING_WITHDRAWN,
    ):
        """Commit a release note, and return the result."""
        self._notes += 1
        note = ReleaseNote(
            note_id=NoteId(f"n{self._notes}"),
            added=added,
            changed=changed,
            withdrawn=withdrawn,
        )
        access = make_store_access(1000 + self._notes)
        result = self.store.run(commit_note(access, note, note.note_id))
        self.list_vms()
        return result

    def list_vms(self) -> None:
        """Update the platform's list."""
        live = [vm for vm in self.fleet.vms if vm not in self.down]
        self.store.vms = tuple(
            ListedVm(vm_id=vm, liveness=VmLiveness.LIVE) for vm in (*live, OTHER_VM)
        )

    def fail(self, *vms: str) -> None:
        self.down.update(map(VmId, vms))
        self.list_vms()

    def recover(self, *vms: str) -> None:
        self.down.difference_update(map(VmId, vms))
        self.list_vms()

    def pass_time(self, duration_s: float) -> None:
        self.store.unix_clock.time_s += duration_s
        self.holder.clock.time_s += duration_s

    def run_cycles(self, times: int = 1) -> None:
        """Run the periodic work of the entry VMs and the holder `times` times."""
        for _ in range(times):
            self.pass_time(6.0)
            for entry_vm in self.entry_vms:
                entry_vm.follow()
                entry_vm.acknowledge()
            self.holder.step()

    def _records(self, prefix: str) -> list:
        keys = sorted(key for key in self.store.rows if key.startswith(prefix))
        return [self.store.rows[key].record for key in keys]
