"""Requesting side of claims: sends, resends and cancels requests, and settles."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

from currantstage.coordination.claims._claim_index import ClaimDecision, ClaimState
from currantstage.coordination.claims._claim_keys import bucket_of
from currantstage.state import ClaimReleased, ClaimTaken

if TYPE_CHECKING:
    from currantstage.coordination.claims._claim_owners import ClaimOwners
    from currantstage.state import ClaimSettlement, EntryVmId, RequestId

#: Maximum time that a request waits for its claim, in seconds.
CLAIM_TIMEOUT_S = 2.0
#: Interval after which a request for a claim is resent, in seconds.
CLAIM_RESEND_INTERVAL_S = 0.1
#: Interval after which a settlement is resent, in seconds.
SETTLEMENT_RESEND_INTERVAL_S = 0.5


@dataclass(frozen=True, slots=True)
class SendClaimRequest:
    """Effect: request a claim from the owner of its bucket."""

    receiver: EntryVmId
    claim: ClaimTaken


@dataclass(frozen=True, slots=True)
class SendSettlement:
    """Effect: send the settlement of a claim to the owner of its bucket."""

    receiver: EntryVmId
    settlement: ClaimSettlement


@dataclass(frozen=True, slots=True)
class ClaimResolved:
    """Effect: the claim of a waiting request was decided."""

    claim: ClaimTaken
    decision: ClaimDecision


ClaimRequesterEffect: TypeAlias = SendClaimRequest | SendSettlement | ClaimResolved


@dataclass(slots=True)
class _PendingRequest:
    claim: ClaimTaken
    deadline_s: float
    resend_at_s: float


@dataclass(slots=True)
class _UnacknowledgedSettlement:
    settlement: ClaimSettlement
    expires_at_s: float
    resend_at_s: float


class ClaimRequester:
    """Requests claims on behalf of the requests at one entry VM.

    A cancelled request is never started afterwards: a late grant is released.
    """

    def __init__(self) -> None:
        self._pending: dict[RequestId, _PendingRequest] = {}
        self._granted: dict[RequestId, ClaimTaken] = {}
        self._unacknowledged: dict[RequestId, _UnacknowledgedSettlement] = {}

    @property
    def is_idle(self) -> bool:
        """Whether there is nothing to resend."""
        return not (self._pending or self._unacknowledged)

    def request_claim(
        self, claim: ClaimTaken, owners: ClaimOwners, now_s: float
    ) -> tuple[ClaimRequesterEffect, ...]:
        """Request `claim`; an answer or `tick` leads to `ClaimResolved`."""
        self._pending[claim.request_id] = _PendingRequest(
            claim, now_s + CLAIM_TIMEOUT_S, now_s + CLAIM_RESEND_INTERVAL_S
        )
        return _send_claim_request(claim, owners)

    def handle_decision(
        self,
        claim: ClaimTaken,
        decision: ClaimDecision,
        owners: ClaimOwners,
        now_s: float,
    ) -> tuple[ClaimRequesterEffect, ...]:
        """Handle the owner's decision, which may be late or duplicated."""
        if claim.request_id not in self._pending:
            if decision.state is ClaimState.GRANTED and not self._is_active(claim):
                return self._release(claim, owners, now_s)
            return ()
        if decision.state is ClaimState.UNAVAILABLE:
            # The owner may be about to change; `tick` retries until the deadline.
            return ()
        del self._pending[claim.request_id]
        if decision.state is ClaimState.GRANTED:
            self._granted[claim.request_id] = claim
        return (ClaimResolved(claim, decision),)

    def settle(
        self, settlement: ClaimSettlement, owners: ClaimOwners, now_s: float
    ) -> tuple[ClaimRequesterEffect, ...]:
        """Send the settlement of a granted claim until it is acknowledged."""
        claim = self._granted.pop(settlement.request_id, None)
        if claim is None:
            return ()
        return self._track_settlement(settlement, claim.expires_at_s, owners, now_s)

    def cancel_request(
        self, request_id: RequestId, owners: ClaimOwners, now_s: float
    ) -> tuple[ClaimRequesterEffect, ...]:
        """Stop waiting for a claim; the request will never start."""
        pending = self._pending.pop(request_id, None)
        if pending is None:
            return ()
        return self._release(pending.claim, owners, now_s)

    def acknowledge(self, request_id: RequestId) -> None:
        """Stop resending a settlement that its owner has acknowledged."""
        self._unacknowledged.pop(request_id, None)

    def tick(
        self, owners: ClaimOwners, now_s: float, wall_s: float
    ) -> tuple[ClaimRequesterEffect, ...]:
        """Resend unanswered messages, and cancel requests past their deadline.

        Parameters
        ----------
        owners : ClaimOwners
        now_s : float
            Monotonic time, in seconds.
        wall_s : float
            Seconds since the epoch.
        """
        effects: list[ClaimRequesterEffect] = []
        for request_id, pending in tuple(self._pending.items()):
            if pending.deadline_s <= now_s:
                effects.extend(self.cancel_request(request_id, owners, now_s))
                unavailable = ClaimDecision(ClaimState.UNAVAILABLE)
                effects.append(ClaimResolved(pending.claim, unavailable))
            elif pending.resend_at_s <= now_s:
                pending.resend_at_s = now_s + CLAIM_RESEND_INTERVAL_S
                effects.extend(_send_claim_request(pending.claim, owners))
        for request_id, unacknowledged in tuple(self._unacknowledged.items()):
            if unacknowledged.expires_at_s < wall_s:
                del self._unacknowledged[request_id]
            elif unacknowledged.resend_at_s <= now_s:
                unacknowledged.resend_at_s = now_s + SETTLEMENT_RESEND_INTERVAL_S
                effects.extend(_send_settlement(unacknowledged.settlement, owners))
        return tuple(effects)

    def _is_active(self, claim: ClaimTaken) -> bool:
        """Return whether the claim is granted, or its settlement unacknowledged."""
        request_id = claim.request_id
        return request_id in self._granted or request_id in self._unacknowledged

    def _release(
        self, claim: ClaimTaken, owners: ClaimOwners, now_s: float
    ) -> tuple[ClaimRequesterEffect, ...]:
        released = ClaimReleased(digest=claim.digest, request_id=claim.request_id)
        return self._track_settlement(released, claim.expires_at_s, owners, now_s)

    def _track_settlement(
        self,
        settlement: ClaimSettlement,
        expires_at_s: float,
        owners: ClaimOwners,
        now_s: float,
    ) -> tuple[ClaimRequesterEffect, ...]:
        self._unacknowledged[settlement.request_id] = _UnacknowledgedSettlement(
            settlement, expires_at_s, now_s + SETTLEMENT_RESEND_INTERVAL_S
        )
        return _send_settlement(settlement, owners)


def _send_claim_request(
    claim: ClaimTaken, owners: ClaimOwners
) -> tuple[SendClaimRequest, ...]:
    owner = owners.owner_of(bucket_of(claim.digest))
    return () if owner is None else (SendClaimRequest(owner.entry_vm, claim),)


def _send_settlement(
    settlement: ClaimSettlement, owners: ClaimOwners
) -> tuple[SendSettlement, ...]:
    owner = owners.owner_of(bucket_of(settlement.digest))
    return () if owner is None else (SendSettlement(owner.entry_vm, settlement),)
