"""Shortages of a holder, pending requests of its peers, and their order."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from currantstage.coordination.limits._allotment_messages import Need, Peer
    from currantstage.state import ResourceId

#: Time after which a shortage that was not seen again expires, in seconds.
SHORTAGE_EXPIRY_S = 0.5
#: Time after which an unmet request of a peer expires, in seconds.
PEER_REQUEST_EXPIRY_S = 2.0
#: Minimum time between two transfers of the odd slot while both sides need it, in
#: seconds.
ODD_SLOT_INTERVAL_S = 0.5


class ShortageTracker:
    """Counts, by resource, how often work recently found no slot."""

    def __init__(self) -> None:
        self._counts: Counter[ResourceId] = Counter()
        self._last_s: dict[ResourceId, float] = {}

    def record(self, resource: ResourceId, now_s: float) -> None:
        """Record that work found no slot of `resource`."""
        if not self.is_short(resource, now_s):
            self._counts[resource] = 0
        self._counts[resource] += 1
        self._last_s[resource] = now_s

    def is_short(self, resource: ResourceId, now_s: float) -> bool:
        """Return whether work recently found no slot of `resource`."""
        last_s = self._last_s.get(resource)
        return last_s is not None and now_s - last_s < SHORTAGE_EXPIRY_S

    def current(self, now_s: float) -> dict[ResourceId, int]:
        """Return how often work recently found no slot, by resource."""
        self._last_s = {
            resource: last_s
            for resource, last_s in self._last_s.items()
            if now_s - last_s < SHORTAGE_EXPIRY_S
        }
        return {resource: self._counts[resource] for resource in self._last_s}

    def clear(self, resource: ResourceId) -> None:
        """Remove a shortage that has been met."""
        self._last_s.pop(resource, None)


@dataclass(slots=True)
class _PeerRequest:
    peer: Peer
    wanted_slots: int
    fair_slots: int
    until_s: float

    def due_slots(self, is_short: bool) -> int:
        return self.fair_slots if is_short else self.wanted_slots


class PeerRequestQueue:
    """Peers' requests that found no idle slot, oldest first."""

    def __init__(self) -> None:
        self._requests: dict[ResourceId, list[_PeerRequest]] = {}

    def put(
        self, resource: ResourceId, peer: Peer, wanted: int, fair: int, now_s: float
    ) -> None:
        """Add or update the request of `peer`; an update keeps its position.

        Parameters
        ----------
        resource : ResourceId
        peer : Peer
        wanted : int
            Slots due to the peer while the holder itself has no shortage.
        fair : int
            Slots due to the peer in any case.
        now_s : float
        """
        requests = self._requests.setdefault(resource, [])
        new = _PeerRequest(peer, wanted, fair, now_s + PEER_REQUEST_EXPIRY_S)
        for index, request in enumerate(requests):
            if request.peer == peer:
                requests[index] = new
                return
        requests.append(new)

    def pop_next(
        self, resource: ResourceId, is_short: bool, now_s: float
    ) -> Peer | None:
        """Return the peer that gets the next slot, or None; rotate it to the end."""
        requests = [
            request
            for request in self._requests.get(resource, ())
            if request.wanted_slots > 0 and request.until_s > now_s
        ]
        self._requests[resource] = requests
        for index, request in enumerate(requests):
            if request.due_slots(is_short) > 0:
                request.wanted_slots -= 1
                request.fair_slots -= 1
                requests.append(requests.pop(index))
                return request.peer
        return None


def equalizing_slots(held_slots: int, need: Need, may_send_odd_slot: bool) -> int:
    """Return how many of `held_slots` to send so that both sides hold the same.

    Parameters
    ----------
    held_slots : int
    need : Need
        Slots that the peer holds and requests.
    may_send_odd_slot : bool
        Whether to send the slot if this side holds exactly one more. Both sides need
        it, so it alternates between them.

    Examples
    --------
    >>> from currantstage.coordination.limits._allotment_messages import Need
    >>> equalizing_slots(5, Need(held_slots=1, wanted_slots=9), may_send_odd_slot=False)
    2
    """
    difference = held_slots - need.held_slots
    even = (
        difference // 2
        if difference > 1
        else int(difference == 1 and may_send_odd_slot)
    )
    return max(0, min(need.wanted_slots, even))
