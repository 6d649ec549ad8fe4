"""Periodic duty that moves and maintains VMs and follows the platform's list."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeAlias

from currantstage.coordination._errors import StoreUnreachableError, WriteUncertainError
from currantstage.coordination.fleet._fleet_actions import AbandonDrain
from currantstage.coordination.fleet._fleet_snapshot import FleetRows, FleetSnapshot
from currantstage.coordination.fleet._fleet_writer import FleetWriter
from currantstage.coordination.fleet._reconcile_plan import plan_reconciliation
from currantstage.coordination.fleet._vm_listing import VmListing
from currantstage.coordination.fleet._wave_plan import plan_waves
from currantstage.coordination.notes._note_commit import load_head
from currantstage.state import (
    BUDGET_PREFIX,
    DRAIN_ACK_PREFIX,
    ENTRY_VM_PREFIX,
    HEAD_KEY,
    PLACEMENT_PREFIX,
    VM_PREFIX,
    WAVE_PREFIX,
    BudgetRow,
    DrainAckRow,
    DutyKind,
    EntryVmRow,
    FencingNumber,
    PlacementRow,
    RebootStatus,
    VmRow,
    VmState,
    WaveRow,
    reboot_ticket,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from currantstage.coordination.fleet._fleet_actions import Action
    from currantstage.coordination.notes._note_commit import Head
    from currantstage.coordination.store._duty_lease import DutyGrant
    from currantstage.coordination.store._procedures import Procedure
    from currantstage.coordination.store._store_access import StoreAccess
    from currantstage.state import IncarnationId, VersionedRow, VmId

    Planner: TypeAlias = Callable[[FleetSnapshot], tuple[Action, ...]]

#: Interval between two steps of the duty, in seconds.
FLEET_INTERVAL_S = 2.0
#: Age at which the platform's list is refreshed, in seconds.
LISTING_MAX_AGE_S = 5.0
#: Time for which a VM is not drained again after an abandoned drain, in seconds.
DRAIN_COOLDOWN_S = 600.0


class FleetDuty:
    """Implements `Duty` for all changes of the fleet rows.

    Moves and maintenance share one lease: both use the same budgets, and a VM
    undergoes one disruption at a time.

    Parameters
    ----------
    store : StoreAccess
    planners : iterable of callable
        Called in order, after reconciliation, for actions that take VMs out of
        service.
    """

    kind = DutyKind.MAINTENANCE
    interval_s = FLEET_INTERVAL_S

    def __init__(
        self, store: StoreAccess, planners: Iterable[Planner] = (plan_waves,)
    ) -> None:
        self._store = store
        self._planners = (plan_reconciliation, *planners)
        self._listing = VmListing()
        self._listed_at_s: float | None = None
        self._head: Head | None = None
        self._rows: FleetRows | None = None
        self._rows_fencing: FencingNumber | None = None
        self._cooldown_until_s: dict[VmId, float] = {}

    def step(self, grant: DutyGrant) -> Procedure[None]:
        """Plan and apply the actions that are due according to the rows."""
        snapshot = yield from self._load(grant)
        for plan in self._planners:
            for action in plan(snapshot):
                yield from self._apply(grant, snapshot, action)

    def _apply(
        self, grant: DutyGrant, snapshot: FleetSnapshot, action: Action
    ) -> Procedure[None]:
        writer = FleetWriter(self._store, grant, snapshot)
        try:
            is_applied = yield from writer.apply(action)
        except (StoreUnreachableError, WriteUncertainError):
            self._rows = None
            raise
        if not is_applied:
            # The rows differ from those that the plan was based on.
            self._rows = None
        elif isinstance(action, AbandonDrain):
            now_s = yield from self._store.now_s()
            self._cooldown_until_s[action.vm] = now_s + DRAIN_COOLDOWN_S

    def _load(self, grant: DutyGrant) -> Procedure[FleetSnapshot]:
        head = yield from self._load_head()
        if self._rows is None or self._rows_fencing != grant.fencing:
            self._rows = yield from load_fleet_rows(self._store)
            self._rows_fencing = grant.fencing
        now_s = yield from self._store.now_s()
        yield from self._observe_listing(now_s)
        entry_vms: tuple[EntryVmRow, ...] = ()
        acks: dict[IncarnationId, DrainAckRow] = {}
        if any(row.state is VmState.DRAINING for row in self._rows.vms.values()):
            # Load in this order: an entry VM that starts later reads the drain first.
            acks = yield from load_drain_acks(self._store)
            entry_vms = yield from load_entry_vms(self._store)
        return FleetSnapshot(
            now_s=(yield from self._store.unix_time_s()),
            fleet=head.fleet,
            head_version=head.version,
            rows=self._rows,
            liveness=self._listing.liveness(
                {**head.fleet.vms, **self._rows.vms}, now_s
            ),
            entry_vms=entry_vms,
            drain_acks=acks,
            reboots=(yield from self._request_reboots(self._rows)),
            cooling_down=frozenset(
                vm for vm, until_s in self._cooldown_until_s.items() if now_s < until_s
            ),
        )

    def _load_head(self) -> Procedure[Head]:
        """Return the newest head; fetch its snapshot only if the head has changed."""
        if self._head is not None:
            row = yield from self._store.read(HEAD_KEY)
            if row is not None and row.version == self._head.version:
                return self._head
        self._head = yield from load_head(self._store)
        return self._head

    def _observe_listing(self, now_s: float) -> Procedure[None]:
        age_s = None if self._listed_at_s is None else now_s - self._listed_at_s
        if age_s is None or age_s >= LISTING_MAX_AGE_S:
            self._listing.observe((yield from self._store.list_vms()))
            self._listed_at_s = now_s

    def _request_reboots(self, rows: FleetRows) -> Procedure[dict[VmId, RebootStatus]]:
        statuses: dict[VmId, RebootStatus] = {}
        for row in rows.vms.values():
            if row.state is VmState.IN_MAINTENANCE:
                assert row.disruption is not None
                ticket = reboot_ticket(row.vm_id, row.disruption.drain)
                statuses[row.vm_id] = yield from self._store.reboot(row.vm_id, ticket)
        return statuses


def load_drain_acks(
    store: StoreAccess,
) -> Procedure[dict[IncarnationId, DrainAckRow]]:
    """Return drain acknowledgements by incarnation; raises `StoreUnreachableError`."""
    rows = yield from store.scan(DRAIN_ACK_PREFIX)
    acks = (row.record for row in rows if isinstance(row.record, DrainAckRow))
    return {ack.incarnation: ack for ack in acks}


def load_entry_vms(store: StoreAccess) -> Procedure[tuple[EntryVmRow, ...]]:
    """Return the rows of the entry VMs; raises `StoreUnreachableError`."""
    rows = yield from store.scan(ENTRY_VM_PREFIX)
    return tuple(row.record for row in rows if isinstance(row.record, EntryVmRow))


def load_fleet_rows(store: StoreAccess) -> Procedure[FleetRows]:
    """Return the rows of the fleet; raises `StoreUnreachableError`."""
    rows = FleetRows()
    for prefix in (VM_PREFIX, BUDGET_PREFIX, PLACEMENT_PREFIX, WAVE_PREFIX):
        for row in (yield from store.scan(prefix)):
            _add_row(rows, row)
    return rows


def _add_row(rows: FleetRows, row: VersionedRow) -> None:
    match row.record:
        case VmRow() as vm:
            rows.vms[vm.vm_id] = vm
        case BudgetRow() as budget:
            rows.budgets[budget.pool] = budget
        case PlacementRow() as placement:
            rows.placements[placement.data_centre] = placement
        case WaveRow() as wave:
            rows.waves[wave.wave] = wave
