"""Reclaim the slots of holders that can't run anything any more."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from msgspec.structs import replace

from currantstage.coordination._allotment_ledger import move_from_free, retire_holders
from currantstage.coordination._allotment_settlement import ledger_of, version_of
from currantstage.state import (
    HolderRow,
    IncarnationId,
    RowWrite,
    holder_key,
    holder_prefix,
    ledger_key,
)

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping

    from currantstage.coordination._procedures import Procedure
    from currantstage.coordination._store_access import StoreAccess
    from currantstage.state import (
        EntryVmId,
        LedgerRow,
        ResourceId,
        RowVersion,
        ScopeId,
        VersionedRow,
    )

#: Longest time that the platform's list may lag behind, in seconds.
LIST_LAG_S = 15.0
#: Bound on how much faster one clock runs than another, as a fraction.
CLOCK_DRIFT = 0.01


@dataclass(frozen=True, slots=True)
class LiveView:
    """Which entry VMs and which starts of them are alive.

    Parameters
    ----------
    listed : collection of EntryVmId
        Entry VMs on the platform's list.
    members : mapping
        The newest start of each entry VM, from its membership row.
    """

    listed: Collection[EntryVmId]
    members: Mapping[EntryVmId, IncarnationId]


@dataclass(frozen=True, slots=True)
class ReclaimReport:
    """What a run of the reclaimer did.

    Parameters
    ----------
    retired : tuple of IncarnationId
        Holders declared retired in this run.
    reclaimed : tuple of IncarnationId
        Holders whose slots became free in this run.
    waiting_for : tuple of EntryVmId
        Entry VMs that have not yet recorded that they trade with the retired no
        more; until they do, nothing is reclaimed.
    """

    retired: tuple[IncarnationId, ...] = ()
    reclaimed: tuple[IncarnationId, ...] = ()
    waiting_for: tuple[EntryVmId, ...] = ()


class AllotmentReclaimer:
    """Declares dead holders retired and frees the slots of retired ones.

    Any number of reclaimers may run at once: each step is one compare-and-set.

    Parameters
    ----------
    store : StoreAccess
    scope : ScopeId
    """

    def __init__(self, store: StoreAccess, scope: ScopeId) -> None:
        self._store = store
        self._scope = scope
        self._gone_since_s: dict[IncarnationId, float] = {}

    def reclaim(self, now_s: float, live: LiveView) -> Procedure[ReclaimReport]:
        """Take the next step for every dead holder; raises `StoreAwayError`."""
        ledger_row = yield from self._store.read(ledger_key(self._scope))
        rows = yield from self._store.scan(holder_prefix(self._scope))
        holders = {
            row.record.incarnation: row
            for row in rows
            if isinstance(row.record, HolderRow)
        }
        ledger = ledger_of(ledger_row)
        dead = self._find_dead(now_s, live, holders, ledger.retired)
        if dead:
            updated = retire_holders(ledger, dead)
            is_applied = yield from self._write(ledger_row, updated, {})
            return ReclaimReport(retired=dead if is_applied else ())
        if not ledger.retired:
            return ReclaimReport()
        return (yield from self._free(ledger_row, ledger, holders))

    def _find_dead(
        self,
        now_s: float,
        live: LiveView,
        holders: Mapping[IncarnationId, VersionedRow],
        retired: Collection[IncarnationId],
    ) -> tuple[IncarnationId, ...]:
        records = [_record_of(row) for row in holders.values()]
        gone = {
            record.incarnation: record
            for record in records
            if record.incarnation not in retired and _is_gone(record, live, holders)
        }
        self._gone_since_s = {
            holder: self._gone_since_s.get(holder, now_s) for holder in gone
        }
        return tuple(
            sorted(
                holder
                for holder, record in gone.items()
                if now_s - self._gone_since_s[holder] >= quarantine_s(record)
            )
        )

    def _free(
        self,
        ledger_row: VersionedRow | None,
        ledger: LedgerRow,
        holders: Mapping[IncarnationId, VersionedRow],
    ) -> Procedure[ReclaimReport]:
        records = [_record_of(row) for row in holders.values()]
        dead = [each for each in records if each.incarnation in ledger.retired]
        living = [each for each in records if each.incarnation not in ledger.retired]
        waiting_for = tuple(
            sorted(
                record.entry_vm
                for record in living
                if not record.closed_slots.keys() >= set(ledger.retired)
            )
        )
        if waiting_for:
            return ReclaimReport(waiting_for=waiting_for)
        slots = reclaimable_slots(dead, living, ledger.retired)
        freed = replace(
            move_from_free(ledger, {name: -count for name, count in slots.items()}),
            retired=(),
            reclaims=ledger.reclaims + 1,
        )
        doomed = {each.incarnation: holders[each.incarnation].version for each in dead}
        is_applied = yield from self._write(ledger_row, freed, doomed)
        return ReclaimReport(reclaimed=ledger.retired if is_applied else ())

    def _write(
        self,
        ledger_row: VersionedRow | None,
        ledger: LedgerRow,
        doomed: Mapping[IncarnationId, RowVersion],
    ) -> Procedure[bool]:
        deletions = [
            RowWrite(
                key=holder_key(self._scope, holder),
                expected_version=version,
                record=None,
            )
            for holder, version in doomed.items()
        ]
        update = RowWrite(
            key=ledger_key(self._scope),
            expected_version=version_of(ledger_row),
            record=ledger,
        )
        outcome = yield from self._store.transact([update, *deletions])
        return outcome.is_applied


def quarantine_s(record: HolderRow) -> float:
    """Return how long a holder must have been gone before it is retired, in seconds.

    The last thing that it may have done is to start its longest work, just before
    it vanished and at most the list's lag after the list dropped it.
    """
    return (record.max_work_s + LIST_LAG_S) * (1 + CLOCK_DRIFT)


def reclaimable_slots(
    dead: Iterable[HolderRow],
    living: Iterable[HolderRow],
    retired: Collection[IncarnationId],
) -> Counter[ResourceId]:
    """Return the slots that the retired holders have together.

    They have what the table granted them, plus what living holders sent them, less
    what living holders took from them. Transfers among the retired cancel out.

    Parameters
    ----------
    dead : iterable of HolderRow
        The rows of all retired holders.
    living : iterable of HolderRow
        The rows of all others; each has closed its trade with every retired one.
    retired : collection of IncarnationId
    """
    slots: Counter[ResourceId] = Counter()
    for record in dead:
        slots.update(record.granted_slots)
        for peer, net_slots in record.closed_slots.items():
            # Reclaimed earlier, and not yet made part of this holder's grants.
            if peer not in retired:
                slots.update(net_slots)
    for record in living:
        for peer in retired:
            slots.subtract(record.closed_slots[peer])
    return slots


def _is_gone(
    record: HolderRow, live: LiveView, holders: Collection[IncarnationId]
) -> bool:
    if record.entry_vm not in live.listed:
        return True
    # A newer start counts only once it holds allotments: by then it listens at the
    # addresses of its entry VM, so the process before it has ended.
    newest = live.members.get(record.entry_vm)
    return newest != record.incarnation and newest in holders


def _record_of(row: VersionedRow) -> HolderRow:
    assert isinstance(row.record, HolderRow)
    return row.record
