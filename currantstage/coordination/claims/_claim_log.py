"""The log of claims in the table: batches that only the buckets' owner appends."""

from __future__ import annotations

from typing import TYPE_CHECKING

from currantstage.coordination.claims._claim_keys import bucket_of
from currantstage.coordination.claims._claim_ledger import ClaimLedger
from currantstage.state import (
    ABSENT,
    CLAIM_LOG_PREFIX,
    CLAIM_OWNERS_KEY,
    ClaimBatchRow,
    ClaimReleased,
    ClaimTaken,
    RowCheck,
    RowWrite,
    claim_batch_key,
    claim_log_prefix,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from currantstage.coordination.claims._claim_owners import ClaimOwners
    from currantstage.coordination.store._procedures import Procedure
    from currantstage.coordination.store._store_access import StoreAccess
    from currantstage.state import BucketId, ClaimEvent, ClaimOwner

#: Rows that one cleaning deletes in a transaction.
MAX_DELETED_ROWS = 50


class ClaimLog:
    """Appends to one owner's log and reads the logs of all.

    Every append depends on the version of the row that names the owners, so an
    owner that was replaced can record nothing any more, however long it paused.

    Parameters
    ----------
    store : StoreAccess
    owner : ClaimOwner
        This start of this entry VM.
    """

    def __init__(self, store: StoreAccess, owner: ClaimOwner) -> None:
        self._store = store
        self._owner = owner
        self._next_sequence = 1

    def append(
        self, owners: ClaimOwners, events: Sequence[ClaimEvent], expires_at_s: float
    ) -> Procedure[bool]:
        """Record `events`; return False when the log must be read again first.

        Raises
        ------
        StoreUnreachableError
            Nothing was recorded.
        WriteUncertainError
            The events may have been recorded, now or later.
        """
        # A number is used until a row stands under it: if a write that was given up
        # arrives late, then either it or the one that took its number fails.
        write = RowWrite(
            key=claim_batch_key(self._owner, self._next_sequence),
            expected_version=ABSENT,
            record=ClaimBatchRow(events=tuple(events), expires_at_s=expires_at_s),
        )
        check = RowCheck(key=CLAIM_OWNERS_KEY, expected_version=owners.version)
        outcome = yield from self._store.transact([write, check])
        if outcome.is_applied:
            self._next_sequence += 1
        return outcome.is_applied

    def load(self, buckets: frozenset[BucketId]) -> Procedure[ClaimLedger]:
        """Return the recorded claims of `buckets`, whoever recorded them.

        Call it after the row of owners gave the buckets to this owner: from then
        on nobody else can append to them.
        """
        rows = yield from self._store.scan(CLAIM_LOG_PREFIX)
        own_prefix = claim_log_prefix(self._owner)
        own = [row.key for row in rows if row.key.startswith(own_prefix)]
        if own:
            last = int(own[-1].removeprefix(own_prefix))
            self._next_sequence = max(self._next_sequence, last + 1)
        events = [
            event
            for row in rows
            if isinstance(row.record, ClaimBatchRow)
            for event in row.record.events
            if bucket_of(event.digest) in buckets
        ]
        ledger = ClaimLedger()
        ledger.apply(merge_events(events))
        return ledger

    def clean(self, wall_s: float, *, others: bool) -> Procedure[int]:
        """Delete batches whose claims have all expired; return how many.

        Parameters
        ----------
        wall_s : float
            Seconds since the epoch.
        others : bool
            Whether to clean the logs of other owners as well.
        """
        prefix = CLAIM_LOG_PREFIX if others else claim_log_prefix(self._owner)
        rows = yield from self._store.scan(prefix)
        writes = [
            RowWrite(key=row.key, expected_version=row.version, record=None)
            for row in rows
            if isinstance(row.record, ClaimBatchRow)
            and row.record.expires_at_s < wall_s
        ][:MAX_DELETED_ROWS]
        if writes:
            yield from self._store.transact(writes)
        return len(writes)


def merge_events(events: Sequence[ClaimEvent]) -> list[ClaimEvent]:
    """Return events of several logs in an order that a ledger can take.

    Logs of different owners have no common order. A claim that was released does
    not matter any more, and of the others at most one exists for each digest; so
    released ones are left out, and takings go before settlements.
    """
    released = {
        (event.digest, event.request_id)
        for event in events
        if isinstance(event, ClaimReleased)
    }
    kept = [
        event for event in events if (event.digest, event.request_id) not in released
    ]
    return sorted(kept, key=lambda event: not isinstance(event, ClaimTaken))
