"""The claims of the buckets that one entry VM owns."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from currantstage.state import ClaimCompleted, ClaimReleased, ClaimTaken, StoredResponse

if TYPE_CHECKING:
    from collections.abc import Container, Iterable

    from currantstage.state import ClaimDigest, ClaimEvent, ClaimOwner, ClaimSettlement


class ClaimState(Enum):
    """What the owner of a claim answers to a request."""

    #: The request may run; it is the only one under its key.
    GRANTED = "granted"
    #: The first request under the key has ended; its answer may be kept.
    COMPLETED = "completed"
    #: The first request under the key has not ended.
    IN_PROGRESS = "in-progress"
    #: The first request under the key may have run.
    UNKNOWN = "unknown"
    #: The key was used for another content.
    KEY_REUSED = "key-reused"
    #: The claim could not be recorded, or another entry VM owns its bucket.
    UNAVAILABLE = "unavailable"


@dataclass(frozen=True, slots=True)
class ClaimVerdict:
    """The answer to a request for a claim, with the kept answer of the first run."""

    state: ClaimState
    answer: StoredResponse | None = None


@dataclass(slots=True)
class _Claim:
    taken: ClaimTaken
    settlement: ClaimSettlement | None = None


class ClaimLedger:
    """Index of recorded claims; changed only by events that the log holds."""

    def __init__(self) -> None:
        self._claims: dict[ClaimDigest, _Claim] = {}

    def __len__(self) -> int:
        return len(self._claims)

    def apply(self, events: Iterable[ClaimEvent]) -> None:
        """Take recorded events, in the order of the log."""
        for event in events:
            if isinstance(event, ClaimTaken):
                self._claims[event.digest] = _Claim(event)
            else:
                self._settle(event)

    def judge(
        self, wanted: ClaimTaken, live: Container[ClaimOwner]
    ) -> ClaimVerdict | None:
        """Return the answer to a request for a claim.

        Parameters
        ----------
        wanted : ClaimTaken
            What would be recorded if the request may run.
        live : container of ClaimOwner
            Starts of entry VMs that may still settle their claims.

        Returns
        -------
        ClaimVerdict or None
            None when the claim is free: record `wanted` before granting it.
        """
        claim = self._claims.get(wanted.digest)
        if claim is None or isinstance(claim.settlement, ClaimReleased):
            return None
        if claim.taken.fingerprint != wanted.fingerprint:
            return ClaimVerdict(ClaimState.KEY_REUSED)
        if isinstance(claim.settlement, ClaimCompleted):
            return ClaimVerdict(ClaimState.COMPLETED, claim.settlement.answer)
        if claim.settlement is not None:
            return ClaimVerdict(ClaimState.UNKNOWN)
        if claim.taken.request_id == wanted.request_id:
            # The first grant was lost on its way, so the request has not started.
            return ClaimVerdict(ClaimState.GRANTED)
        if claim.taken.holder in live:
            return ClaimVerdict(ClaimState.IN_PROGRESS)
        return ClaimVerdict(ClaimState.UNKNOWN)

    def needs(self, settlement: ClaimSettlement) -> bool:
        """Return whether `settlement` is new and belongs to the claim's holder."""
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
        """Forget the claims whose keys no entry VM takes any more."""
        expired = [
            digest
            for digest, claim in self._claims.items()
            if claim.taken.expires_at_s < wall_s
        ]
        for digest in expired:
            del self._claims[digest]

    def _settle(self, settlement: ClaimSettlement) -> None:
        if self.needs(settlement):
            self._claims[settlement.digest].settlement = settlement
