"""What a holder lacks, what peers have asked of it, and who goes first."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from currantstage.coordination.limits._allotment_messages import Need, Peer
    from currantstage.state import ResourceId

#: How long work that found no slot counts as waiting, in seconds.
SHORTAGE_MEMORY_S = 0.5
#: How long a peer's unmet request is remembered, in seconds.
CLAIM_MEMORY_S = 2.0
#: Shortest time between two handovers of the odd slot while both sides want it.
CONTENDED_HOLD_S = 0.5


class ShortageLog:
    """Remembers for which resources work found no slot, and how often."""

    def __init__(self) -> None:
        self._counts: Counter[ResourceId] = Counter()
        self._last_s: dict[ResourceId, float] = {}

    def note(self, resource: ResourceId, now_s: float) -> None:
        """Record that work found no slot of `resource`."""
        if not self.is_short(resource, now_s):
            self._counts[resource] = 0
        self._counts[resource] += 1
        self._last_s[resource] = now_s

    def is_short(self, resource: ResourceId, now_s: float) -> bool:
        """Return whether work found no slot lately."""
        last_s = self._last_s.get(resource)
        return last_s is not None and now_s - last_s < SHORTAGE_MEMORY_S

    def current(self, now_s: float) -> dict[ResourceId, int]:
        """Return how often work lately found no slot, by resource."""
        self._last_s = {
            resource: last_s
            for resource, last_s in self._last_s.items()
            if now_s - last_s < SHORTAGE_MEMORY_S
        }
        return {resource: self._counts[resource] for resource in self._last_s}

    def clear(self, resource: ResourceId) -> None:
        """Forget a shortage that has been met."""
        self._last_s.pop(resource, None)


@dataclass(slots=True)
class _Claim:
    peer: Peer
    wanted_slots: int
    fair_slots: int
    until_s: float

    def due_slots(self, is_short: bool) -> int:
        return self.fair_slots if is_short else self.wanted_slots


class ClaimQueue:
    """Slots that peers wanted while there were none idle, oldest first."""

    def __init__(self) -> None:
        self._claims: dict[ResourceId, list[_Claim]] = {}

    def put(
        self, resource: ResourceId, peer: Peer, wanted: int, fair: int, now_s: float
    ) -> None:
        """Set what `peer` has coming; it keeps its place if it had one.

        Parameters
        ----------
        resource : ResourceId
        peer : Peer
        wanted : int
            Slots for the peer while the holder itself is not short.
        fair : int
            Slots for the peer in any case.
        now_s : float
        """
        claims = self._claims.setdefault(resource, [])
        new = _Claim(peer, wanted, fair, now_s + CLAIM_MEMORY_S)
        for index, claim in enumerate(claims):
            if claim.peer == peer:
                claims[index] = new
                return
        claims.append(new)

    def take_one(
        self, resource: ResourceId, is_short: bool, now_s: float
    ) -> Peer | None:
        """Return the peer that gets the next slot, if any has one coming."""
        claims = [
            claim
            for claim in self._claims.get(resource, ())
            if claim.wanted_slots > 0 and claim.until_s > now_s
        ]
        self._claims[resource] = claims
        for index, claim in enumerate(claims):
            if claim.due_slots(is_short) > 0:
                claim.wanted_slots -= 1
                claim.fair_slots -= 1
                claims.append(claims.pop(index))
                return claim.peer
        return None


def fair_excess(held_slots: int, need: Need, may_give_odd: bool) -> int:
    """Return the slots that evening out with a peer takes from `held_slots`.

    Parameters
    ----------
    held_slots : int
    need : Need
        What the peer holds and wants.
    may_give_odd : bool
        Whether a single slot more than the peer's may go; both sides want it, so it
        goes back and forth.

    Examples
    --------
    >>> from currantstage.coordination.limits._allotment_messages import Need
    >>> fair_excess(5, Need(held_slots=1, wanted_slots=9), may_give_odd=False)
    2
    """
    difference = held_slots - need.held_slots
    even = difference // 2 if difference > 1 else int(difference == 1 and may_give_odd)
    return max(0, min(need.wanted_slots, even))
