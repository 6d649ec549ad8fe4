"""Reclaim the slots of holders that can no longer run anything."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

from msgspec.structs import replace

from currantstage.coordination.limits._allotment_ledger import (
    retire_holders,
    take_free_slots,
)
from currantstage.coordination.limits._allotment_settlement import ledger_of, version_of
from currantstage.coordination.store._lease_time import observer_wait_s
from currantstage.coordination.store._row_observer import RowObserver
from currantstage.state import (
    EntryVmRow,
    HolderRow,
    IncarnationId,
    RowCheck,
    RowWrite,
    entry_vm_key,
    holder_prefix,
    ledger_key,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable, Mapping, Sequence

    from currantstage.coordination.store._procedures import Procedure
    from currantstage.coordination.store._store_access import StoreAccess
    from currantstage.state import (
        EntryVmId,
        LedgerRow,
        ResourceId,
        ScopeId,
        TransactionItem,
        VersionedRow,
    )

    TransactionGuard: TypeAlias = Callable[
        [Sequence[TransactionItem]], Sequence[TransactionItem]
    ]

#: Maximum lag of the platform's list of VMs, in seconds.
MAX_VM_LIST_LAG_S = 15.0


@dataclass(frozen=True, slots=True)
class FleetView:
    """Entry VMs as the platform lists them, and their membership rows.

    Parameters
    ----------
    listed : collection of EntryVmId
        Entry VMs on the platform's list.
    memberships : mapping
        The membership row of each incarnation, which is also its configuration lease.
    """

    listed: Collection[EntryVmId]
    memberships: Mapping[IncarnationId, VersionedRow]


@dataclass(frozen=True, slots=True)
class ReclaimReport:
    """Result of one run of the reclaimer.

    Parameters
    ----------
    retired : tuple of IncarnationId
        Holders marked as retired in this run.
    reclaimed : tuple of IncarnationId
        Holders whose slots were freed in this run.
    waiting_for : tuple of EntryVmId
        Entry VMs that have not yet recorded that they have stopped transfers with the
        retired holders; until they do, nothing is reclaimed.
    """

    retired: tuple[IncarnationId, ...] = ()
    reclaimed: tuple[IncarnationId, ...] = ()
    waiting_for: tuple[EntryVmId, ...] = ()


class AllotmentReclaimer:
    """Marks dead holders as retired, and frees the slots of retired ones.

    Several reclaimers may run concurrently: each step is one compare-and-set.

    Parameters
    ----------
    store : StoreAccess
    scope : ScopeId
    """

    def __init__(self, store: StoreAccess, scope: ScopeId) -> None:
        self._store = store
        self._scope = scope
        self._dead_since_s: dict[IncarnationId, float] = {}
        self._leases = RowObserver()

    def reclaim(
        self, now_s: float, view: FleetView, guard: TransactionGuard
    ) -> Procedure[ReclaimReport]:
        """Run the next step of reclaiming dead holders; raises `StoreUnreachableError`.

        Parameters
        ----------
        now_s : float
            Time by which `view` had been read, in seconds.
        view : FleetView
        guard : callable
            Adds conditions to the items of each transaction.
        """
        ledger_row = yield from self._store.read(ledger_key(self._scope))
        rows = yield from self._store.scan(holder_prefix(self._scope))
        holders = {
            row.record.incarnation: row
            for row in rows
            if isinstance(row.record, HolderRow)
        }
        ledger = ledger_of(ledger_row)
        dead = self._find_dead(now_s, view, holders, ledger.retired)
        if dead:
            updated = retire_holders(ledger, dead)
            checks = [_lease_check(holders[holder], view) for holder in dead]
            is_applied = yield from self._write(ledger_row, updated, checks, guard)
            return ReclaimReport(retired=dead if is_applied else ())
        if not ledger.retired:
            return ReclaimReport()
        return (yield from self._free(ledger_row, ledger, holders, guard))

    def _find_dead(
        self,
        now_s: float,
        view: FleetView,
        holders: Mapping[IncarnationId, VersionedRow],
        retired: Collection[IncarnationId],
    ) -> tuple[IncarnationId, ...]:
        records = [_record_of(row) for row in holders.values()]
        self._leases.retain_only(row.key for row in view.memberships.values())
        dead = {
            record.incarnation: record
            for record in records
            if record.incarnation not in retired
            and self._is_dead(record, view, records, now_s)
        }
        self._dead_since_s = {
            holder: self._dead_since_s.get(holder, now_s) for holder in dead
        }
        return tuple(
            sorted(
                holder
                for holder, record in dead.items()
                if now_s - self._dead_since_s[holder] >= quarantine_s(record)
            )
        )

    def _is_dead(
        self,
        record: HolderRow,
        view: FleetView,
        holders: Iterable[HolderRow],
        now_s: float,
    ) -> bool:
        """Return whether the holder's process has ended and its lease has expired."""
        row = view.memberships.get(record.incarnation)
        if row is not None:
            assert isinstance(row.record, EntryVmRow)
            wait_s = observer_wait_s(row.record.config_lease_s)
            if self._leases.unchanged_s(row, now_s) < wait_s:
                return False
        return _is_ended(record, view, holders)

    def _free(
        self,
        ledger_row: VersionedRow | None,
        ledger: LedgerRow,
        holders: Mapping[IncarnationId, VersionedRow],
        guard: TransactionGuard,
    ) -> Procedure[ReclaimReport]:
        records = [_record_of(row) for row in holders.values()]
        dead = [each for each in records if each.incarnation in ledger.retired]
        live = [each for each in records if each.incarnation not in ledger.retired]
        waiting_for = tuple(
            sorted(
                record.entry_vm
                for record in live
                if not record.closed_slots.keys() >= set(ledger.retired)
            )
        )
        if waiting_for:
            return ReclaimReport(waiting_for=waiting_for)
        slots = reclaimable_slots(dead, live, ledger.retired)
        freed = replace(
            take_free_slots(ledger, {name: -count for name, count in slots.items()}),
            retired=(),
            reclaims=ledger.reclaims + 1,
        )
        deletions = [
            RowWrite(key=row.key, expected_version=row.version, record=None)
            for row in (holders[each.incarnation] for each in dead)
        ]
        is_applied = yield from self._write(ledger_row, freed, deletions, guard)
        return ReclaimReport(reclaimed=ledger.retired if is_applied else ())

    def _write(
        self,
        ledger_row: VersionedRow | None,
        ledger: LedgerRow,
        others: Sequence[TransactionItem],
        guard: TransactionGuard,
    ) -> Procedure[bool]:
        update = RowWrite(
            key=ledger_key(self._scope),
            expected_version=version_of(ledger_row),
            record=ledger,
        )
        outcome = yield from self._store.transact(guard([update, *others]))
        return outcome.is_applied


def quarantine_s(record: HolderRow) -> float:
    """Return how long a holder must have been dead before it is retired, in seconds.

    It may have started its longest work as late as the lag of the platform's list after
    its VM disappeared from the list.
    """
    return observer_wait_s(record.max_work_s + MAX_VM_LIST_LAG_S)


def reclaimable_slots(
    dead: Iterable[HolderRow],
    live: Iterable[HolderRow],
    retired: Collection[IncarnationId],
) -> Counter[ResourceId]:
    """Return the slots that the retired holders have together.

    These are the slots that the table granted them, plus those that live holders
    sent them, less those that live holders received from them. Transfers among
    retired holders cancel out.

    Parameters
    ----------
    dead : iterable of HolderRow
        The rows of all retired holders.
    live : iterable of HolderRow
        The rows of all others, each closed to every retired holder.
    retired : collection of IncarnationId
    """
    slots: Counter[ResourceId] = Counter()
    for record in dead:
        slots.update(record.granted_slots)
        for peer, net_slots in record.closed_slots.items():
            # Reclaimed earlier, but not yet included in this holder's grants.
            if peer not in retired:
                slots.update(net_slots)
    for record in live:
        for peer in retired:
            slots.subtract(record.closed_slots[peer])
    return slots


def _is_ended(record: HolderRow, view: FleetView, holders: Iterable[HolderRow]) -> bool:
    """Return whether the VM list or a later incarnation shows that it has ended."""
    if record.entry_vm not in view.listed:
        return True
    # A later incarnation gets a row only once it listens on the addresses of its entry
    # VM, so the process of the earlier one has ended.
    return any(
        other.entry_vm == record.entry_vm and other.start_number > record.start_number
        for other in holders
    )


def _lease_check(holder: VersionedRow, view: FleetView) -> RowCheck:
    """Return the condition that the holder has not renewed its lease since the read.

    A holder whose lease has expired renews it before it reads the ledger again.
    """
    record = _record_of(holder)
    return RowCheck(
        key=entry_vm_key(record.entry_vm, record.incarnation),
        expected_version=version_of(view.memberships.get(record.incarnation)),
    )


def _record_of(row: VersionedRow) -> HolderRow:
    assert isinstance(row.record, HolderRow)
    return row.record
