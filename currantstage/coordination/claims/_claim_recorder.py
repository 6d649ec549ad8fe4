"""The owner's side of claims: judges, collects and records them in batches."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from currantstage.coordination._errors import StoreUnreachableError, WriteUncertainError
from currantstage.coordination.claims._claim_keys import bucket_of
from currantstage.coordination.claims._claim_ledger import (
    ClaimLedger,
    ClaimState,
    ClaimVerdict,
)
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

#: Events that are recorded in one row.
MAX_BATCH_EVENTS = 256
#: Events that may wait to be recorded before further claims are refused.
MAX_WAITING_EVENTS = 4096

UNAVAILABLE = ClaimVerdict(ClaimState.UNAVAILABLE)


@dataclass(frozen=True, slots=True)
class AnswerClaim:
    """Effect: send a verdict to the entry VM that wants the claim."""

    claim: ClaimTaken
    verdict: ClaimVerdict

    @property
    def receiver(self) -> EntryVmId:
        """The entry VM that asked."""
        return self.claim.holder.entry_vm


@dataclass(frozen=True, slots=True)
class AcknowledgeSettlement:
    """Effect: tell an entry VM that it need not repeat a settlement."""

    receiver: EntryVmId
    request_id: RequestId


RecorderEffect = AnswerClaim | AcknowledgeSettlement


@dataclass(frozen=True, slots=True)
class _Waiting:
    event: ClaimEvent
    sender: EntryVmId


class ClaimRecorder:
    """Records the claims of the buckets that this entry VM owns.

    A claim is granted only after its row is written. Requests that arrive while a
    write is under way form the next batch, so the rate of writes is bounded by the
    table's latency and not by the rate of requests.

    Parameters
    ----------
    log : ClaimLog
    owner : ClaimOwner
        This start of this entry VM.
    """

    def __init__(self, log: ClaimLog, owner: ClaimOwner) -> None:
        self._log = log
        self._owner = owner
        self._owners = ClaimOwners()
        self._ledger = ClaimLedger()
        self._is_loaded = False
        self._waiting: list[_Waiting] = []
        #: Takings and settlements that wait to be recorded or are being recorded.
        self._pending_claims: dict[ClaimDigest, RequestId] = {}
        self._pending_settlements: set[RequestId] = set()

    @property
    def owners(self) -> ClaimOwners:
        """The owners of all buckets as last read."""
        return self._owners

    @property
    def is_loaded(self) -> bool:
        """Whether the log was read since the owners last changed."""
        return self._is_loaded

    @property
    def has_waiting(self) -> bool:
        """Whether events wait to be recorded."""
        return bool(self._waiting)

    @property
    def has_work(self) -> bool:
        """Whether events wait to be recorded, or the log must be read again."""
        return bool(self._waiting) or not self._is_loaded

    def want(
        self, claim: ClaimTaken, live: frozenset[ClaimOwner]
    ) -> tuple[RecorderEffect, ...]:
        """Take a request for a claim; it is answered now or after its batch.

        Parameters
        ----------
        claim : ClaimTaken
        live : frozenset of ClaimOwner
            Starts of entry VMs that may still settle their claims.
        """
        if not self._owns(bucket_of(claim.digest)):
            return (self._answer(claim, UNAVAILABLE),)
        pending = self._pending_claims.get(claim.digest)
        if pending is not None:
            if pending == claim.request_id:
                return ()
            return (self._answer(claim, ClaimVerdict(ClaimState.IN_PROGRESS)),)
        verdict = self._ledger.judge(claim, live)
        if verdict is not None:
            return (self._answer(claim, verdict),)
        if len(self._waiting) >= MAX_WAITING_EVENTS:
            return (self._answer(claim, UNAVAILABLE),)
        self._waiting.append(_Waiting(claim, claim.holder.entry_vm))
        self._pending_claims[claim.digest] = claim.request_id
        return ()

    def settle(
        self, settlement: ClaimSettlement, sender: EntryVmId
    ) -> tuple[RecorderEffect, ...]:
        """Take what became of a request; it is acknowledged once recorded."""
        if not self._owns(bucket_of(settlement.digest)):
            return ()
        if settlement.request_id in self._pending_settlements:
            return ()
        is_pending = (
            self._pending_claims.get(settlement.digest) == settlement.request_id
        )
        if is_pending or self._ledger.needs(settlement):
            self._waiting.append(_Waiting(settlement, sender))
            self._pending_settlements.add(settlement.request_id)
            return ()
        return (AcknowledgeSettlement(sender, settlement.request_id),)

    def adopt(self, owners: ClaimOwners) -> tuple[RecorderEffect, ...]:
        """Take a newer version of the owners; the log is read before new grants."""
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
            ledger = yield from self._log.load(buckets)
        else:
            ledger = ClaimLedger()
        if owners == self._owners:
            self._ledger = ledger
            self._is_loaded = True

    def record(self) -> Procedure[tuple[RecorderEffect, ...]]:
        """Write the next batch and return the answers that follow from it."""
        if not self._waiting or not self._is_loaded:
            return ()
        batch = self._waiting[:MAX_BATCH_EVENTS]
        del self._waiting[: len(batch)]
        try:
            return (yield from self._record(batch))
        finally:
            self._forget_pending(batch)

    def expire(self, wall_s: float) -> None:
        """Forget the claims whose keys no entry VM takes any more."""
        self._ledger.expire(wall_s)

    def _record(self, batch: list[_Waiting]) -> Procedure[tuple[RecorderEffect, ...]]:
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
        self._ledger.apply(events)
        return tuple(self._confirm(each) for each in batch)

    def _expiry_of(self, event: ClaimEvent) -> float:
        if isinstance(event, ClaimTaken):
            return event.expires_at_s
        # A settlement whose taking stands in the same batch is kept by that.
        return self._ledger.expiry_of(event.digest)

    def _confirm(self, each: _Waiting) -> RecorderEffect:
        if isinstance(each.event, ClaimTaken):
            return self._answer(each.event, ClaimVerdict(ClaimState.GRANTED))
        return AcknowledgeSettlement(each.sender, each.event.request_id)

    def _invalidate(self) -> tuple[RecorderEffect, ...]:
        """Distrust the ledger, and with it what was judged by it and still waits."""
        self._is_loaded = False
        dropped, self._waiting = self._waiting, []
        self._forget_pending(dropped)
        return self._refuse(dropped)

    def _refuse(self, batch: list[_Waiting]) -> tuple[RecorderEffect, ...]:
        # Settlements need no answer here: their senders repeat them.
        return tuple(
            self._answer(each.event, UNAVAILABLE)
            for each in batch
            if isinstance(each.event, ClaimTaken)
        )

    def _answer(self, claim: ClaimTaken, verdict: ClaimVerdict) -> AnswerClaim:
        return AnswerClaim(claim, verdict)

    def _owns(self, bucket: BucketId) -> bool:
        return self._is_loaded and self._owners.owner_of(bucket) == self._owner

    def _forget_pending(self, batch: list[_Waiting]) -> None:
        for each in batch:
            if isinstance(each.event, ClaimTaken):
                self._pending_claims.pop(each.event.digest, None)
            else:
                self._pending_settlements.discard(each.event.request_id)
