"""Settle a holder's allotments with the table: grants, returns, closed peers."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from currantstage.coordination.limits._allotment_ledger import retire_holders
from currantstage.coordination.limits._allotment_plan import (
    HolderStart,
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
    from currantstage.coordination.limits._allotment_book import AllotmentBook
    from currantstage.coordination.limits._allotment_plan import (
        AllotmentNeeds,
        SettlementPlan,
    )
    from currantstage.coordination.store._procedures import Procedure
    from currantstage.coordination.store._store_access import StoreAccess
    from currantstage.state import EntryVmId, RowVersion, ScopeId, VersionedRow

#: Settlements tried in one run while other holders change the ledger.
MAX_SETTLEMENT_TRIES = 5


class Settled(Enum):
    """How a settlement ended."""

    UNCHANGED = "unchanged"
    RECORDED = "recorded"
    #: Other holders changed the ledger at each try; the next run resumes.
    CONTENDED = "contended"
    #: This holder's slots are being reclaimed, so it has shut its book.
    RETIRED = "retired"


class AllotmentSettlement:
    """Keeps one holder's row and the scope's ledger in step with its book.

    Parameters
    ----------
    store : StoreAccess
    scope : ScopeId
    entry_vm : EntryVmId
    book : AllotmentBook
    """

    def __init__(
        self,
        store: StoreAccess,
        scope: ScopeId,
        entry_vm: EntryVmId,
        book: AllotmentBook,
    ) -> None:
        self._store = store
        self._scope = scope
        self._start = HolderStart(entry_vm, number=0)
        self._book = book
        self._ledger_key = ledger_key(scope)
        self._holder_key = holder_key(scope, book.holder)
        self._recorded: HolderRow | None = None
        self._is_certain = False
        self._seen_reclaims = 0

    def settle(self, needs: AllotmentNeeds) -> Procedure[Settled]:
        """Follow the limits, take and give back slots, record closed peers.

        Writes nothing when nothing has changed. Raises `StoreUnreachableError` and
        `WriteUncertainError`; the book then uses no slot that the table may have
        taken back, and the next call resumes.
        """
        for _ in range(MAX_SETTLEMENT_TRIES):
            ledger_row = yield from self._store.read(self._ledger_key)
            ledger = ledger_of(ledger_row)
            if self._book.holder in ledger.retired:
                self._book.retire()
                return Settled.RETIRED
            self._book.close_peers(ledger.retired)
            self._book.set_ceilings(work_ceilings(self._book, ledger, needs))
            if not self._must_record(ledger, needs):
                return Settled.UNCHANGED
            if (yield from self._record(ledger_row, ledger, needs)):
                return Settled.RECORDED
            if self._book.is_retired:
                return Settled.RETIRED
        return Settled.CONTENDED

    def leave(self) -> Procedure[bool]:
        """Shut the book and hand everything over for reclaiming.

        Must be called only when no work of this holder is running. Returns whether
        the table has certainly recorded it; if not, the slots are reclaimed as
        those of a holder that failed.
        """
        self._book.retire()
        for _ in range(MAX_SETTLEMENT_TRIES):
            row = yield from self._store.read(self._ledger_key)
            ledger = ledger_of(row)
            if row is None or self._book.holder in ledger.retired:
                return True
            write = RowWrite(
                key=self._ledger_key,
                expected_version=row.version,
                record=retire_holders(ledger, (self._book.holder,)),
            )
            outcome = yield from self._store.transact([write])
            if outcome.is_applied:
                return True
        return False

    def _must_record(self, ledger: LedgerRow, needs: AllotmentNeeds) -> bool:
        # After any reclaiming its own row is read again: a holder that was taken
        # for dead finds it deleted.
        if not self._is_certain or ledger.reclaims != self._seen_reclaims:
            return True
        plan = plan_settlement(self._book, self._start, ledger, self._recorded, needs)
        return plan.holder != self._recorded or plan.ledger != ledger

    def _record(
        self,
        ledger_row: VersionedRow | None,
        ledger: LedgerRow,
        needs: AllotmentNeeds,
    ) -> Procedure[bool]:
        # Its own row is read anew: an earlier write may have taken effect although
        # its answer was lost, or may still do so until the version has moved on.
        holder_row = yield from self._store.read(self._holder_key)
        recorded = holder_of(holder_row)
        if recorded is None:
            if self._book.max_work_s > 0:
                self._book.retire()
                return False
            yield from self._number_start()
        plan = plan_settlement(self._book, self._start, ledger, recorded, needs)
        self._book.deduct(plan.given_back)
        self._is_certain = False
        outcome = yield from self._store.transact(
            self._writes(holder_row, ledger_row, ledger, plan)
        )
        if not outcome.is_applied:
            return False
        self._recorded = plan.holder
        self._is_certain = True
        self._seen_reclaims = ledger.reclaims
        self._book.confirm(
            plan.holder.granted_slots,
            ledger.retired,
            plan.holder.max_work_s,
            ledger.reclaims,
        )
        return True

    def _number_start(self) -> Procedure[None]:
        """Give this start a higher number than the earlier ones that have a row."""
        rows = yield from self._store.scan(holder_prefix(self._scope))
        numbers = [
            row.record.start_number
            for row in rows
            if isinstance(row.record, HolderRow)
            and row.record.entry_vm == self._start.entry_vm
        ]
        number = max(numbers, default=0) + 1
        self._start = HolderStart(self._start.entry_vm, number)

    def _writes(
        self,
        holder_row: VersionedRow | None,
        ledger_row: VersionedRow | None,
        ledger: LedgerRow,
        plan: SettlementPlan,
    ) -> list[RowWrite]:
        # The holder's own row comes first: nobody else writes it, so reading it
        # back after a lost answer tells for certain whether the writes took effect.
        writes = [
            RowWrite(
                key=self._holder_key,
                expected_version=version_of(holder_row),
                record=plan.holder,
            )
        ]
        # A new holder always writes the ledger, so that it can't come into being
        # beside a reclaimer that has just counted the holders.
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
    """Return the ledger in `row`, or an empty one when it is absent."""
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
