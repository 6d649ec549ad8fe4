"""The duty that reclaims the slots of dead holders in every scope."""

from __future__ import annotations

from typing import TYPE_CHECKING

from currantstage.coordination.limits._allotment_reclaim import (
    AllotmentReclaimer,
    FleetView,
)
from currantstage.state import (
    ENTRY_VM_PREFIX,
    FLEET_SCOPE,
    DutyKind,
    EntryVmId,
    EntryVmRow,
    data_centre_scope,
)

if TYPE_CHECKING:
    from currantstage.coordination.membership._configuration import Configuration
    from currantstage.coordination.store._duty_lease import DutyGrant
    from currantstage.coordination.store._procedures import Procedure
    from currantstage.coordination.store._store_access import StoreAccess
    from currantstage.state import ScopeId

#: Interval between two checks for dead holders, in seconds.
RECLAIM_INTERVAL_S = 2.0


class ReclaimingDuty:
    """Implements `Duty`: retires dead holders and frees their slots.

    Parameters
    ----------
    store : StoreAccess
    configuration : Configuration
    entry_vm : EntryVmId
        The entry VM that runs the duty.
    """

    def __init__(
        self, store: StoreAccess, configuration: Configuration, entry_vm: EntryVmId
    ) -> None:
        self._store = store
        self._configuration = configuration
        self._entry_vm = entry_vm
        self._reclaimers: dict[ScopeId, AllotmentReclaimer] = {}

    @property
    def kind(self) -> DutyKind:
        """Kind of the lease that the duty requires."""
        return DutyKind.RECLAIMING

    @property
    def interval_s(self) -> float:
        """Interval between two steps, in seconds."""
        return RECLAIM_INTERVAL_S

    def step(self, grant: DutyGrant) -> Procedure[None]:
        """Run the next step in every scope; raises `StoreUnreachableError`."""
        entries = yield from self._store.list_vms()
        listed = frozenset(EntryVmId(entry.vm_id) for entry in entries)
        # If the list lacks the entry VM that reads it, it does not show reliably which
        # others have been removed.
        if self._entry_vm not in listed:
            return
        rows = yield from self._store.scan(ENTRY_VM_PREFIX)
        memberships = {
            row.record.incarnation: row
            for row in rows
            if isinstance(row.record, EntryVmRow)
        }
        # The clock is read after the list, so that no holder counts as dead from before
        # the list showed it.
        now_s = yield from self._store.now_s()
        view = FleetView(listed, memberships)
        for scope in self._scopes():
            reclaimer = self._reclaimers.setdefault(
                scope, AllotmentReclaimer(self._store, scope)
            )
            yield from reclaimer.reclaim(now_s, view, grant.guard)

    def _scopes(self) -> list[ScopeId]:
        pools = self._configuration.fleet.pools.values()
        data_centres = {pool.data_centre for pool in pools}
        return [FLEET_SCOPE, *map(data_centre_scope, sorted(data_centres))]
