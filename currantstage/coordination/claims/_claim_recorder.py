"""Owner side of claims: decides on claims and records them in batches."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from currantstage.coordination._errors import StoreUnreachableError, WriteUncertainError
from currantstage.coordination.claims._claim_index import (
    ClaimDecision,
    ClaimIndex,
    ClaimState,
)
from currantstage.coordination.claims._claim_keys import bucket_of
from currantstage.coordination.claims._claim_owners import ClaimOwners
from currantstage.state import BucketId, ClaimTaken

if TYPE_CHECKING:
    from currantstage.coordination.claims._claim_log import ClaimLog
    from currantstage.coordination.store._procedures import Procedure
    from currantstage.state import (
        ClaimDigest,
        ClaimEvent,
        ClaimOwner,
        ClaimSettlement,
        EntryVmId,
        RequestId,
    )

#: Maximum number of events recorded in one row.
MAX_BATCH_EVENTS = 256
#: Maximum number of events that wait to be recorded; further claims are refused.
MAX_QUEUED_EVENTS = 4096

UNAVAILABLE = ClaimDecision(ClaimState.UNAVAILABLE)


@dataclass(frozen=True, slots=True)
class AnswerClaim:
    """Effect: send a decision to the entry VM that requested the claim."""

    claim: ClaimTaken
    decision: ClaimDecision

    @property
    def receiver(self) -> EntryVmId:
        """The entry VM that requested the claim."""
        return self.claim.holder.entry_vm


@dataclass(frozen=True, slots=True)
class AcknowledgeSettlement:
    """Effect: acknowledge a settlement, so that its sender stops resending it."""

    receiver: EntryVmId
    request_id: RequestId


RecorderEffect = AnswerClaim | AcknowledgeSettlement


@dataclass(frozen=True, slots=True)
class _QueuedEvent:
    event: ClaimEvent
    sender: EntryVmId


class ClaimRecorder:
    """Records the claims of the buckets that this entry VM owns.

    A claim is only granted once its row has been written. Requests that arrive during
    a write form the next batch, so the write rate is bounded by the latency of the
    table and not by the request rate.

    Parameters
    ----------
    log : ClaimLog
    owner : ClaimOwner
        This incarnation of this entry VM.
    """

    def __init__(self, log: ClaimLog, owner: ClaimOwner) -> None:
        self._log = log
        self._owner = owner
        self._owners = ClaimOwners()
        self._index = ClaimIndex()
        self._is_loaded = False
        self._queue: list[_QueuedEvent] = []
        #: Claims and settlements that are queued or being recorded.
        self._pending_claims: dict[ClaimDigest, RequestId] = {}
        self._pending_settlements: set[RequestId] = set()

    @property
    def owners(self) -> ClaimOwners:
        """The owners of all buckets as last read."""
        return self._owners

    @property
    def is_loaded(self) -> bool:
        """Whether the log has been read since the owners last changed."""
        return self._is_loaded

    @property
    def has_waiting(self) -> bool:
        """Whether events wait to be recorded."""
        return bool(self._queue)

    @property
    def has_work(self) -> bool:
        """Whether events wait to be recorded, or the log must be read again."""
        return bool(self._queue) or not self._is_loaded

    def request_claim(
        self, claim: ClaimTaken, live: frozenset[ClaimOwner]
    ) -> tuple[RecorderEffect, ...]:
        """Handle a request for a claim, and answer it now or once its batch is written.

        Parameters
        ----------
        claim : ClaimTaken
        live : frozenset of ClaimOwner
            Incarnations of entry VMs that may still settle their claims.
        """
        if not self._owns(bucket_of(claim.digest)):
            return (self._answer(claim, UNAVAILABLE),)
        pending = self._pending_claims.get(claim.digest)
        if pending is not None:
            if pending == claim.request_id:
                return ()
            return (self._answer(claim, ClaimDecision(ClaimState.IN_PROGRESS)),)
        decision = self._index.decide(claim, live)
        if decision is not None:
            return (self._answer(claim, decision),)
        if len(self._queue) >= MAX_QUEUED_EVENTS:
            return (self._answer(claim, UNAVAILABLE),)
        self._queue.append(_QueuedEvent(claim, claim.holder.entry_vm))
        self._pending_claims[claim.digest] = claim.request_id
        return ()

    def settle(
        self, settlement: ClaimSettlement, sender: EntryVmId
    ) -> tuple[RecorderEffect, ...]:
        """Handle the settlement of a claim; it is acknowledged once recorded."""
        if not self._owns(bucket_of(settlement.digest)):
            return ()
        if settlement.request_id in self._pending_settlements:
            return ()
        is_pending = (
            self._pending_claims.get(settlement.digest) == settlement.request_id
        )
        if is_pending or self._index.accepts(settlement):
            self._queue.append(_QueuedEvent(settlement, sender))
            self._pending_settlements.add(settlement.request_id)
            return ()
        return (AcknowledgeSettlement(sender, settlement.request_id),)

    def update_owners(self, owners: ClaimOwners) -> tuple[RecorderEffect, ...]:
        """Set a newer version of the owners; the log is read before further grants."""
        if owners == self._owners:
            return ()
        self._owners = owners
        return self._invalidate()

    def load(self) -> Procedure[None]:
        """Read the claims of the owned buckets; raises `StoreUnreachableError`."""
        owners = self._owners
        if owners.owns_any(self._owner):
            buckets = frozenset(
                BucketId(bucket)
                for bucket, owner in enumerate(owners.owners)
                if owner == self._owner
            )
            index = yield from self._log.load(buckets)
        else:
            index = ClaimIndex()
        if owners == self._owners:
            self._index = index
            self._is_loaded = True

    def record(self) -> Procedure[tuple[RecorderEffect, ...]]:
        """Write the next batch and return the resulting effects."""
        if not self._queue or not self._is_loaded:
            return ()
        batch = self._queue[:MAX_BATCH_EVENTS]
        del self._queue[: len(batch)]
        try:
            return (yield from self._record(batch))
        finally:
            self._discard_pending(batch)

    def expire(self, wall_s: float) -> None:
        """Remove the claims whose keys have expired on all entry VMs."""
        self._index.expire(wall_s)

    def _record(
        self, batch: list[_QueuedEvent]
    ) -> Procedure[tuple[RecorderEffect, ...]]:
        owners = self._owners
        events = [each.event for each in batch]
        expires_at_s = max(self._expiry_of(event) for event in events)
        try:
            is_recorded = yield from self._log.append(owners, events, expires_at_s)
        except StoreUnreachableError:
            return self._refuse(batch)
        except WriteUncertainError:
            return (*self._refuse(batch), *self._invalidate())
        if not is_recorded:
            return (*self._refuse(batch), *self._invalidate())
        self._index.apply(events)
        return tuple(self._confirm(each) for each in batch)

    def _expiry_of(self, event: ClaimEvent) -> float:
        if isinstance(event, ClaimTaken):
            return event.expires_at_s
        # 0 if the claim is in the same batch, whose expiry it then determines itself.
        return self._index.expiry_of(event.digest)

    def _confirm(self, each: _QueuedEvent) -> RecorderEffect:
        if isinstance(each.event, ClaimTaken):
            return self._answer(each.event, ClaimDecision(ClaimState.GRANTED))
        return AcknowledgeSettlement(each.sender, each.event.request_id)

    def _invalidate(self) -> tuple[RecorderEffect, ...]:
        """Invalidate the index, and drop queued events, which were decided by it."""
        self._is_loaded = False
        dropped, self._queue = self._queue, []
        self._discard_pending(dropped)
        return self._refuse(dropped)

    def _refuse(self, batch: list[_QueuedEvent]) -> tuple[RecorderEffect, ...]:
        # Settlements need no answer, since their senders resend them.
        return tuple(
            self._answer(each.event, UNAVAILABLE)
            for each in batch
            if isinstance(each.event, ClaimTaken)
        )

    def _answer(self, claim: ClaimTaken, decision: ClaimDecision) -> AnswerClaim:
        return AnswerClaim(claim, decision)

    def _owns(self, bucket: BucketId) -> bool:
        return self._is_loaded and self._owners.owner_of(bucket) == self._owner

    def _discard_pending(self, batch: list[_QueuedEvent]) -> None:
        for each in batch:
            if isinstance(each.event, ClaimTaken):
                self._pending_claims.pop(each.event.digest, None)
            else:
                self._pending_settlements.discard(each.event.request_id)
