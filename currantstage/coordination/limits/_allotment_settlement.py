"""Settle a holder's allotments with the table: grants, returns and closed peers."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from currantstage.coordination.limits._allotment_ledger import retire_holders
from currantstage.coordination.limits._allotment_plan import (
    HolderIncarnation,
    plan_settlement,
    work_ceilings,
)
from currantstage.state import (
    ABSENT,
    HolderRow,
    LedgerRow,
    RowWrite,
    holder_key,
    holder_prefix,
    ledger_key,
)

if TYPE_CHECKING:
    from currantstage.coordination.limits._allotment_account import AllotmentAccount
    from currantstage.coordination.limits._allotment_plan import (
        AllotmentNeeds,
        SettlementPlan,
    )
    from currantstage.coordination.store._procedures import Procedure
    from currantstage.coordination.store._store_access import StoreAccess
    from currantstage.state import EntryVmId, RowVersion, ScopeId, VersionedRow

#: Attempts at a settlement in one run while other holders change the ledger.
MAX_SETTLEMENT_ATTEMPTS = 5


class SettlementOutcome(Enum):
    """Outcome of a settlement."""

    UNCHANGED = "unchanged"
    RECORDED = "recorded"
    #: Other holders changed the ledger during each attempt; the next run retries.
    CONTENDED = "contended"
    #: This holder's slots are being reclaimed, so its account was closed.
    RETIRED = "retired"


class AllotmentSettlement:
    """Keeps one holder's row and the scope's ledger in sync with its account.

    Parameters
    ----------
    store : StoreAccess
    scope : ScopeId
    entry_vm : EntryVmId
    account : AllotmentAccount
    """

    def __init__(
        self,
        store: StoreAccess,
        scope: ScopeId,
        entry_vm: EntryVmId,
        account: AllotmentAccount,
    ) -> None:
        self._store = store
        self._scope = scope
        self._incarnation = HolderIncarnation(entry_vm, number=0)
        self._account = account
        self._ledger_key = ledger_key(scope)
        self._holder_key = holder_key(scope, account.holder)
        self._recorded: HolderRow | None = None
        self._is_certain = False
        self._seen_reclaims = 0

    def settle(self, needs: AllotmentNeeds) -> Procedure[SettlementOutcome]:
        """Apply the limits, take and return slots, and record closed peers.

        Writes nothing if nothing has changed. Raises `StoreUnreachableError` and
        `WriteUncertainError`; the account then uses no slot that may have been returned
        to the table, and the next call retries.
        """
        for _ in range(MAX_SETTLEMENT_ATTEMPTS):
            ledger_row = yield from self._store.read(self._ledger_key)
            ledger = ledger_of(ledger_row)
            if self._account.holder in ledger.retired:
                self._account.retire()
                return SettlementOutcome.RETIRED
            self._account.close_peers(ledger.retired)
            self._account.set_ceilings(work_ceilings(self._account, ledger, needs))
            if not self._must_record(ledger, needs):
                return SettlementOutcome.UNCHANGED
            if (yield from self._record(ledger_row, ledger, needs)):
                return SettlementOutcome.RECORDED
            if self._account.is_retired:
                return SettlementOutcome.RETIRED
        return SettlementOutcome.CONTENDED

    def leave(self) -> Procedure[bool]:
        """Close the account and release all slots for reclaiming.

        Must only be called when no work of this holder is running. Returns whether the
        table has certainly recorded it; if not, the slots are reclaimed like those of a
        failed holder.
        """
        self._account.retire()
        for _ in range(MAX_SETTLEMENT_ATTEMPTS):
            row = yield from self._store.read(self._ledger_key)
            ledger = ledger_of(row)
            if row is None or self._account.holder in ledger.retired:
                return True
            write = RowWrite(
                key=self._ledger_key,
                expected_version=row.version,
                record=retire_holders(ledger, (self._account.holder,)),
            )
            outcome = yield from self._store.transact([write])
            if outcome.is_applied:
                return True
        return False

    def _must_record(self, ledger: LedgerRow, needs: AllotmentNeeds) -> bool:
        # After each reclaim the holder reads its own row again, since the row was
        # deleted if the holder was presumed dead.
        if not self._is_certain or ledger.reclaims != self._seen_reclaims:
            return True
        plan = plan_settlement(
            self._account, self._incarnation, ledger, self._recorded, needs
        )
        return plan.holder != self._recorded or plan.ledger != ledger

    def _record(
        self,
        ledger_row: VersionedRow | None,
        ledger: LedgerRow,
        needs: AllotmentNeeds,
    ) -> Procedure[bool]:
        # Read the holder's row again: an earlier write may have taken effect although
        # its response was lost, or may still do so until the version has changed.
        holder_row = yield from self._store.read(self._holder_key)
        recorded = holder_of(holder_row)
        if recorded is None:
            if self._account.max_work_s > 0:
                self._account.retire()
                return False
            yield from self._assign_start_number()
        plan = plan_settlement(
            self._account, self._incarnation, ledger, recorded, needs
        )
        self._account.deduct(plan.returned_slots)
        self._is_certain = False
        outcome = yield from self._store.transact(
            self._writes(holder_row, ledger_row, ledger, plan)
        )
        if not outcome.is_applied:
            return False
        self._recorded = plan.holder
        self._is_certain = True
        self._seen_reclaims = ledger.reclaims
        self._account.confirm(
            plan.holder.granted_slots,
            ledger.retired,
            plan.holder.max_work_s,
            ledger.reclaims,
        )
        return True

    def _assign_start_number(self) -> Procedure[None]:
        """Assign a start number above those of earlier incarnations that have a row."""
        rows = yield from self._store.scan(holder_prefix(self._scope))
        numbers = [
            row.record.start_number
            for row in rows
            if isinstance(row.record, HolderRow)
            and row.record.entry_vm == self._incarnation.entry_vm
        ]
        number = max(numbers, default=0) + 1
        self._incarnation = HolderIncarnation(self._incarnation.entry_vm, number)

    def _writes(
        self,
        holder_row: VersionedRow | None,
        ledger_row: VersionedRow | None,
        ledger: LedgerRow,
        plan: SettlementPlan,
    ) -> list[RowWrite]:
        # The holder's own row comes first: no other process writes it, so after a lost
        # response reading it back shows whether the transaction took effect.
        writes = [
            RowWrite(
                key=self._holder_key,
                expected_version=version_of(holder_row),
                record=plan.holder,
            )
        ]
        # A new holder always writes the ledger, so that its row can't be added
        # concurrently with a reclaimer that has just counted the holders.
        if holder_row is None or plan.ledger != ledger:
            writes.append(
                RowWrite(
                    key=self._ledger_key,
                    expected_version=version_of(ledger_row),
                    record=plan.ledger,
                )
            )
        return writes


def ledger_of(row: VersionedRow | None) -> LedgerRow:
    """Return the ledger in `row`, or an empty one if there is none."""
    if row is None or not isinstance(row.record, LedgerRow):
        return LedgerRow()
    return row.record


def holder_of(row: VersionedRow | None) -> HolderRow | None:
    """Return the holder's record in `row`, if any."""
    if row is None or not isinstance(row.record, HolderRow):
        return None
    return row.record


def version_of(row: VersionedRow | None) -> RowVersion:
    """Return the version of `row`, ``ABSENT`` when there is none."""
    return ABSENT if row is None else row.version
