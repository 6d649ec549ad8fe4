"""Leases on periodic duties, protected by fencing numbers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from currantstage.coordination.store._lease_time import lease_expiry_s, observer_wait_s
from currantstage.coordination.store._row_observer import RowObserver
from currantstage.state import (
    ABSENT,
    DUTY_PREFIX,
    DutyFenceRow,
    DutyKind,
    DutyLeaseRow,
    FencingNumber,
    RowCheck,
    RowVersion,
    RowWrite,
    duty_fence_key,
    duty_lease_key,
)

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from currantstage.coordination.store._procedures import Procedure
    from currantstage.coordination.store._store_access import StoreAccess
    from currantstage.state import (
        EntryVmId,
        IncarnationId,
        RowKey,
        TransactionItem,
        VersionedRow,
    )

#: Default length of a duty lease, counted from its last renewal, in seconds.
DUTY_LEASE_S = 10.0


@dataclass(frozen=True, slots=True)
class DutyGrant:
    """The right to carry out a duty until its lease expires.

    Parameters
    ----------
    duty : DutyKind
    fencing : FencingNumber
    fence_version : RowVersion
        Version of the fence row that this holder wrote when it acquired the lease.
    expiry_s : float
        When the lease expires on the holder's monotonic clock, in seconds.
    """

    duty: DutyKind
    fencing: FencingNumber
    fence_version: RowVersion
    expiry_s: float

    def is_held(self, now_s: float) -> bool:
        """Return whether the lease has not expired yet."""
        return now_s < self.expiry_s

    def guard(self, items: Sequence[TransactionItem]) -> tuple[TransactionItem, ...]:
        """Return `items` with a check that no newer holder exists.

        Every write of a duty must be guarded. When a holder was paused beyond the
        expiry of its lease, a newer holder has rewritten the fence row, and the
        transaction changes nothing.
        """
        check = RowCheck(
            key=duty_fence_key(self.duty), expected_version=self.fence_version
        )
        return (*items, check)


class Duty(Protocol):
    """A periodic task that one entry VM at a time carries out."""

    @property
    def kind(self) -> DutyKind:
        """Kind of the duty, which names its lease."""

    @property
    def interval_s(self) -> float:
        """Interval between two steps, in seconds."""

    def step(self, grant: DutyGrant) -> Procedure[None]:
        """Perform the work that is due now.

        A step starts from the stored rows, since the previous holder may have
        stopped at any point, and passes every transaction through `grant.guard`.
        """


class DutyLeases:
    """Acquires, renews and releases the duty leases of one entry VM.

    Parameters
    ----------
    store : StoreAccess
    holder : EntryVmId
    incarnation : IncarnationId
    lease_s : float
        Length of the leases that this entry VM acquires, in seconds.
    """

    def __init__(
        self,
        store: StoreAccess,
        holder: EntryVmId,
        incarnation: IncarnationId,
        lease_s: float = DUTY_LEASE_S,
    ) -> None:
        self._store = store
        self._holder = holder
        self._incarnation = incarnation
        self._lease_s = lease_s
        self._observer = RowObserver()
        self._grants: dict[DutyKind, DutyGrant] = {}
        self._holders: dict[DutyKind, EntryVmId | None] = {}

    def grant(self, duty: DutyKind, now_s: float) -> DutyGrant | None:
        """Return the grant of `duty`, or None when this entry VM does not hold it."""
        grant = self._grants.get(duty)
        return grant if grant is not None and grant.is_held(now_s) else None

    def holder(self, duty: DutyKind) -> EntryVmId | None:
        """Return the holder of `duty` as last read; it may be out of date."""
        return self._holders.get(duty)

    def renew_or_acquire(self, duties: Sequence[DutyKind]) -> Procedure[None]:
        """Renew the leases held, and acquire those that are free or have expired.

        Raises `StoreUnreachableError` and `WriteUncertainError`. Grants then remain
        valid until they expire, and the next call tries again.
        """
        scanned = yield from self._store.scan(DUTY_PREFIX)
        # Read after the scan: an observation must not start before the row was read.
        now_s = yield from self._store.now_s()
        rows = {row.key: row for row in scanned}
        self._holders = {
            row.record.duty: row.record.holder
            for row in scanned
            if isinstance(row.record, DutyLeaseRow)
        }
        for duty in duties:
            yield from self._renew_or_acquire_one(duty, rows, now_s)

    def release(self) -> Procedure[None]:
        """Release all leases held, so that others need not wait for their expiry."""
        grants, self._grants = self._grants, {}
        for grant in grants.values():
            row = yield from self._store.read(duty_lease_key(grant.duty))
            if row is not None and self._is_own(row):
                yield from self._store.transact(
                    grant.guard([self._lease_write(row, grant.fencing, None)])
                )

    def _renew_or_acquire_one(
        self, duty: DutyKind, rows: Mapping[RowKey, VersionedRow], now_s: float
    ) -> Procedure[None]:
        lease = rows.get(duty_lease_key(duty))
        if lease is not None and self._is_own(lease):
            yield from self._renew(lease, rows.get(duty_fence_key(duty)))
            return
        self._grants.pop(duty, None)
        if lease is None or self._has_expired(lease, now_s):
            yield from self._acquire(duty, lease, rows.get(duty_fence_key(duty)))

    def _is_own(self, row: VersionedRow) -> bool:
        record = row.record
        return (
            isinstance(record, DutyLeaseRow)
            and record.holder == self._holder
            and record.incarnation == self._incarnation
        )

    def _has_expired(self, row: VersionedRow, now_s: float) -> bool:
        record = row.record
        assert isinstance(record, DutyLeaseRow)
        if record.holder is None:
            return True
        unchanged_s = self._observer.unchanged_s(row, now_s)
        return unchanged_s >= observer_wait_s(record.lease_s)

    def _renew(
        self, lease: VersionedRow, fence: VersionedRow | None
    ) -> Procedure[None]:
        """Renew a lease whose row names this incarnation.

        This also resumes a lease whose acquisition got no reply.
        """
        record = lease.record
        assert isinstance(record, DutyLeaseRow)
        assert fence is not None
        sent_s = yield from self._store.now_s()
        outcome = yield from self._store.transact(
            [self._lease_write(lease, record.fencing, self._holder)]
        )
        if not outcome.is_applied:
            self._grants.pop(record.duty, None)
            return
        self._grants[record.duty] = DutyGrant(
            record.duty,
            record.fencing,
            fence.version,
            lease_expiry_s(sent_s, self._lease_s),
        )

    def _acquire(
        self, duty: DutyKind, lease: VersionedRow | None, fence: VersionedRow | None
    ) -> Procedure[None]:
        fencing = _next_fencing(fence)
        sent_s = yield from self._store.now_s()
        outcome = yield from self._store.transact(
            [
                RowWrite(
                    key=duty_lease_key(duty),
                    expected_version=ABSENT if lease is None else lease.version,
                    record=self._lease_row(duty, fencing, self._holder),
                ),
                RowWrite(
                    key=duty_fence_key(duty),
                    expected_version=ABSENT if fence is None else fence.version,
                    record=DutyFenceRow(duty=duty, fencing=fencing),
                ),
            ]
        )
        if not outcome.is_applied:
            return
        # The reply does not include the new version of the fence row.
        new_fence = yield from self._store.read(duty_fence_key(duty))
        if new_fence is None or not isinstance(new_fence.record, DutyFenceRow):
            return
        if new_fence.record.fencing == fencing:
            self._grants[duty] = DutyGrant(
                duty, fencing, new_fence.version, lease_expiry_s(sent_s, self._lease_s)
            )

    def _lease_write(
        self, row: VersionedRow, fencing: FencingNumber, holder: EntryVmId | None
    ) -> RowWrite:
        record = row.record
        assert isinstance(record, DutyLeaseRow)
        return RowWrite(
            key=row.key,
            expected_version=row.version,
            record=self._lease_row(record.duty, fencing, holder),
        )

    def _lease_row(
        self, duty: DutyKind, fencing: FencingNumber, holder: EntryVmId | None
    ) -> DutyLeaseRow:
        return DutyLeaseRow(
            duty=duty,
            fencing=fencing,
            holder=holder,
            incarnation=self._incarnation,
            lease_s=self._lease_s,
        )


def _next_fencing(fence: VersionedRow | None) -> FencingNumber:
    if fence is None or not isinstance(fence.record, DutyFenceRow):
        return FencingNumber(1)
    return FencingNumber(fence.record.fencing + 1)
