"""The requesting side of claims: asks, repeats, gives up, settles."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

from currantstage.coordination.claims._claim_keys import bucket_of
from currantstage.coordination.claims._claim_ledger import ClaimState, ClaimVerdict
from currantstage.state import ClaimReleased, ClaimTaken

if TYPE_CHECKING:
    from currantstage.coordination.claims._claim_owners import ClaimOwners
    from currantstage.state import ClaimSettlement, EntryVmId, RequestId

#: Longest time that a request waits for its claim, in seconds.
CLAIM_TIMEOUT_S = 2.0
#: Pause before a claim is asked for again, in seconds.
CLAIM_REPEAT_S = 0.1
#: Pause before a settlement is told again, in seconds.
SETTLEMENT_REPEAT_S = 0.5


@dataclass(frozen=True, slots=True)
class SendWanted:
    """Effect: ask the owner of a claim's bucket for it."""

    receiver: EntryVmId
    claim: ClaimTaken


@dataclass(frozen=True, slots=True)
class SendSettlement:
    """Effect: tell the owner of a claim's bucket what became of the request."""

    receiver: EntryVmId
    settlement: ClaimSettlement


@dataclass(frozen=True, slots=True)
class ClaimResolved:
    """Effect: the waiting request has its verdict."""

    claim: ClaimTaken
    verdict: ClaimVerdict


ClaimantEffect: TypeAlias = SendWanted | SendSettlement | ClaimResolved


@dataclass(slots=True)
class _Wanted:
    claim: ClaimTaken
    deadline_s: float
    repeat_at_s: float


@dataclass(slots=True)
class _Unacknowledged:
    settlement: ClaimSettlement
    expires_at_s: float
    repeat_at_s: float


class Claimant:
    """Asks for claims on behalf of one entry VM's requests.

    A request that gave up is never started afterwards: a late grant is released.
    """

    def __init__(self) -> None:
        self._wanted: dict[RequestId, _Wanted] = {}
        self._granted: dict[RequestId, ClaimTaken] = {}
        self._unacknowledged: dict[RequestId, _Unacknowledged] = {}

    @property
    def is_idle(self) -> bool:
        """Whether nothing has to be repeated."""
        return not (self._wanted or self._unacknowledged)

    def want(
        self, claim: ClaimTaken, owners: ClaimOwners, now_s: float
    ) -> tuple[ClaimantEffect, ...]:
        """Ask for `claim`; `ClaimResolved` follows from an answer or from `tick`."""
        self._wanted[claim.request_id] = _Wanted(
            claim, now_s + CLAIM_TIMEOUT_S, now_s + CLAIM_REPEAT_S
        )
        return _send_wanted(claim, owners)

    def hear(
        self,
        claim: ClaimTaken,
        verdict: ClaimVerdict,
        owners: ClaimOwners,
        now_s: float,
    ) -> tuple[ClaimantEffect, ...]:
        """Take the owner's answer, which may be late or doubled."""
        if claim.request_id not in self._wanted:
            if verdict.state is ClaimState.GRANTED and not self._knows(claim):
                return self._release(claim, owners, now_s)
            return ()
        if verdict.state is ClaimState.UNAVAILABLE:
            # The owner may be about to change; `tick` asks again until the deadline.
            return ()
        del self._wanted[claim.request_id]
        if verdict.state is ClaimState.GRANTED:
            self._granted[claim.request_id] = claim
        return (ClaimResolved(claim, verdict),)

    def settle(
        self, settlement: ClaimSettlement, owners: ClaimOwners, now_s: float
    ) -> tuple[ClaimantEffect, ...]:
        """Tell what became of a granted request, until it is acknowledged."""
        claim = self._granted.pop(settlement.request_id, None)
        if claim is None:
            return ()
        return self._tell(settlement, claim.expires_at_s, owners, now_s)

    def give_up(
        self, request_id: RequestId, owners: ClaimOwners, now_s: float
    ) -> tuple[ClaimantEffect, ...]:
        """Stop waiting for a claim; the request will never start."""
        wanted = self._wanted.pop(request_id, None)
        if wanted is None:
            return ()
        return self._release(wanted.claim, owners, now_s)

    def acknowledge(self, request_id: RequestId) -> None:
        """Take the owner's word that a settlement need not be repeated."""
        self._unacknowledged.pop(request_id, None)

    def tick(
        self, owners: ClaimOwners, now_s: float, wall_s: float
    ) -> tuple[ClaimantEffect, ...]:
        """Repeat what got no answer, and give up what is past its deadline.

        Parameters
        ----------
        owners : ClaimOwners
        now_s : float
            Monotonic time, in seconds.
        wall_s : float
            Seconds since the epoch.
        """
        effects: list[ClaimantEffect] = []
        for request_id, wanted in tuple(self._wanted.items()):
            if wanted.deadline_s <= now_s:
                effects.extend(self.give_up(request_id, owners, now_s))
                unavailable = ClaimVerdict(ClaimState.UNAVAILABLE)
                effects.append(ClaimResolved(wanted.claim, unavailable))
            elif wanted.repeat_at_s <= now_s:
                wanted.repeat_at_s = now_s + CLAIM_REPEAT_S
                effects.extend(_send_wanted(wanted.claim, owners))
        for request_id, told in tuple(self._unacknowledged.items()):
            if told.expires_at_s < wall_s:
                del self._unacknowledged[request_id]
            elif told.repeat_at_s <= now_s:
                told.repeat_at_s = now_s + SETTLEMENT_REPEAT_S
                effects.extend(_send_settlement(told.settlement, owners))
        return tuple(effects)

    def _knows(self, claim: ClaimTaken) -> bool:
        """Return whether the request runs, or its end is still being told."""
        request_id = claim.request_id
        return request_id in self._granted or request_id in self._unacknowledged

    def _release(
        self, claim: ClaimTaken, owners: ClaimOwners, now_s: float
    ) -> tuple[ClaimantEffect, ...]:
        released = ClaimReleased(digest=claim.digest, request_id=claim.request_id)
        return self._tell(released, claim.expires_at_s, owners, now_s)

    def _tell(
        self,
        settlement: ClaimSettlement,
        expires_at_s: float,
        owners: ClaimOwners,
        now_s: float,
    ) -> tuple[ClaimantEffect, ...]:
        self._unacknowledged[settlement.request_id] = _Unacknowledged(
            settlement, expires_at_s, now_s + SETTLEMENT_REPEAT_S
        )
        return _send_settlement(settlement, owners)


def _send_wanted(claim: ClaimTaken, owners: ClaimOwners) -> tuple[SendWanted, ...]:
    owner = owners.owner_of(bucket_of(claim.digest))
    return () if owner is None else (SendWanted(owner.entry_vm, claim),)


def _send_settlement(
    settlement: ClaimSettlement, owners: ClaimOwners
) -> tuple[SendSettlement, ...]:
    owner = owners.owner_of(bucket_of(settlement.digest))
    return () if owner is None else (SendSettlement(owner.entry_vm, settlement),)
