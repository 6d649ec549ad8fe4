"""Claim log in the table: batches appended only by the owner of the buckets."""

from __future__ import annotations

from typing import TYPE_CHECKING

from currantstage.coordination.claims._claim_index import ClaimIndex
from currantstage.coordination.claims._claim_keys import bucket_of
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

#: Maximum number of rows deleted in one clean-up transaction.
MAX_DELETED_ROWS = 50


class ClaimLog:
    """Appends to the log of one owner, and reads the logs of all owners.

    Every append is conditional on the version of the owners' row, so an owner that was
    replaced can't record anything, even after an arbitrarily long pause.

    Parameters
    ----------
    store : StoreAccess
    owner : ClaimOwner
        This incarnation of this entry VM.
    """

    def __init__(self, store: StoreAccess, owner: ClaimOwner) -> None:
        self._store = store
        self._owner = owner
        self._next_sequence = 1

    def append(
        self, owners: ClaimOwners, events: Sequence[ClaimEvent], expires_at_s: float
    ) -> Procedure[bool]:
        """Record `events`; return False if the log must first be read again.

        Raises
        ------
        StoreUnreachableError
            Nothing was recorded.
        WriteUncertainError
            The events may have been recorded, or may still be.
        """
        # A sequence number is reused until a row exists under it. If an abandoned write
        # arrives late, either it or the write that reused its number fails.
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

    def load(self, buckets: frozenset[BucketId]) -> Procedure[ClaimIndex]:
        """Return the recorded claims of `buckets`, from the logs of all owners.

        Must be called after the owners' row has assigned the buckets to this owner:
        from then on no other owner can append claims of these buckets.
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
        index = ClaimIndex()
        index.apply(merge_events(events))
        return index

    def delete_expired(self, wall_s: float, *, others: bool) -> Procedure[int]:
        """Delete batches whose claims have all expired; return their number.

        Parameters
        ----------
        wall_s : float
            Seconds since the epoch.
        others : bool
            Whether to clean up the logs of other owners as well.
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
    """Return the events of several logs in an order that an index can apply.

    There is no order between the logs of different owners. Released claims are
    irrelevant, and at most one other claim exists for each digest. Released claims are
    therefore omitted, and the remaining claims sorted before their settlements.
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
