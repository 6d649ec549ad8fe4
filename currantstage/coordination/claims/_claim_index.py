"""Index of the claims in the buckets that one entry VM owns."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from currantstage.state import ClaimCompleted, ClaimReleased, ClaimTaken, StoredResponse

if TYPE_CHECKING:
    from collections.abc import Container, Iterable

    from currantstage.state import ClaimDigest, ClaimEvent, ClaimOwner, ClaimSettlement


class ClaimState(Enum):
    """State of a claim that its owner reports to a request."""

    #: The request may run; no other request under its key may.
    GRANTED = "granted"
    #: The first request under the key has ended; its answer may have been stored.
    COMPLETED = "completed"
    #: The first request under the key has not ended.
    IN_PROGRESS = "in-progress"
    #: The first request under the key may have run.
    UNKNOWN = "unknown"
    #: The key was already used with different content.
    KEY_REUSED = "key-reused"
    #: The claim could not be recorded, or another entry VM owns its bucket.
    UNAVAILABLE = "unavailable"


@dataclass(frozen=True, slots=True)
class ClaimDecision:
    """Decision on a request for a claim, with the stored answer of the first run."""

    state: ClaimState
    answer: StoredResponse | None = None


@dataclass(slots=True)
class _Claim:
    taken: ClaimTaken
    settlement: ClaimSettlement | None = None


class ClaimIndex:
    """Index of recorded claims; only updated by events that are in the log."""

    def __init__(self) -> None:
        self._claims: dict[ClaimDigest, _Claim] = {}

    def __len__(self) -> int:
        return len(self._claims)

    def apply(self, events: Iterable[ClaimEvent]) -> None:
        """Apply recorded events, in the order of the log."""
        for event in events:
            if isinstance(event, ClaimTaken):
                self._claims[event.digest] = _Claim(event)
            else:
                self._settle(event)

    def decide(
        self, requested: ClaimTaken, live: Container[ClaimOwner]
    ) -> ClaimDecision | None:
        """Return the decision on a request for a claim.

        Parameters
        ----------
        requested : ClaimTaken
            The event to record if the request may run.
        live : container of ClaimOwner
            Incarnations of entry VMs that may still settle their claims.

        Returns
        -------
        ClaimDecision or None
            None if the claim is free; record `requested` before granting it.
        """
        claim = self._claims.get(requested.digest)
        if claim is None or isinstance(claim.settlement, ClaimReleased):
            return None
        if claim.taken.fingerprint != requested.fingerprint:
            return ClaimDecision(ClaimState.KEY_REUSED)
        if isinstance(claim.settlement, ClaimCompleted):
            return ClaimDecision(ClaimState.COMPLETED, claim.settlement.answer)
        if claim.settlement is not None:
            return ClaimDecision(ClaimState.UNKNOWN)
        if claim.taken.request_id == requested.request_id:
            # The first grant was lost in transit, so the request has not started.
            return ClaimDecision(ClaimState.GRANTED)
        if claim.taken.holder in live:
            return ClaimDecision(ClaimState.IN_PROGRESS)
        return ClaimDecision(ClaimState.UNKNOWN)

    def accepts(self, settlement: ClaimSettlement) -> bool:
        """Return whether `settlement` is new and from the claim's holder."""
        claim = self._claims.get(settlement.digest)
        return (
            claim is not None
            and claim.settlement is None
            and claim.taken.request_id == settlement.request_id
        )

    def expiry_of(self, digest: ClaimDigest) -> float:
        """Return when a claim expires, in seconds since the epoch; 0 if unknown."""
        claim = self._claims.get(digest)
        return 0.0 if claim is None else claim.taken.expires_at_s

    def expire(self, wall_s: float) -> None:
        """Remove the claims whose keys have expired on all entry VMs."""
        expired = [
            digest
            for digest, claim in self._claims.items()
            if claim.taken.expires_at_s < wall_s
        ]
        for digest in expired:
            del self._claims[digest]

    def _settle(self, settlement: ClaimSettlement) -> None:
        if self.accepts(settlement):
            self._claims[settlement.digest].settlement = settlement
