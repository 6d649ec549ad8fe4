"""Slots that one holder may use of each resource, and its transfers with peers."""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping

    from currantstage.state import IncarnationId, ResourceId


class AllotmentAccount:
    """In-memory allotments of one incarnation of an entry VM.

    A holder has the slots that the table granted it, plus those received from peers,
    less those sent to them. Each pair of holders counts its transfers in totals that
    only increase, so lost, duplicated or delayed messages do no harm: the receiver
    uses the highest total that it has seen.

    The account is closed until the table has confirmed the holder's row, and again
    once the holder is retired. No work starts and no slots are transferred while it
    is closed.

    Parameters
    ----------
    holder : IncarnationId
    """

    def __init__(self, holder: IncarnationId) -> None:
        self.holder = holder
        self._granted: Counter[ResourceId] = Counter()
        #: Granted and received slots less those sent. Updated on every change rather
        #: than computed on demand, since each request looks at every worker.
        self._held: Counter[ResourceId] = Counter()
        self._running: Counter[ResourceId] = Counter()
        self._sent: defaultdict[IncarnationId, Counter[ResourceId]]
        self._sent = defaultdict(Counter)
        self._received: defaultdict[IncarnationId, Counter[ResourceId]]
        self._received = defaultdict(Counter)
        self._closed: set[IncarnationId] = set()
        self._ceilings: dict[ResourceId, int] = {}
        self._max_work_s = 0.0
        self._reclaims = 0
        self._is_open = False
        self._is_retired = False

    @property
    def is_open(self) -> bool:
        """Whether work may start and slots may be transferred."""
        return self._is_open

    @property
    def is_retired(self) -> bool:
        """Whether this holder has permanently given up all its slots."""
        return self._is_retired

    @property
    def is_busy(self) -> bool:
        """Whether any slot is in use."""
        return any(self._running.values())

    @property
    def max_work_s(self) -> float:
        """Longest work that the holder's row covers, in seconds."""
        return self._max_work_s

    @property
    def reclaims(self) -> int:
        """Number of reclaims that the ledger had counted at the last settlement."""
        return self._reclaims

    @property
    def resources(self) -> set[ResourceId]:
        """Resources of which this holder has ever held or used slots."""
        return set().union(self._held, self._running)

    def granted_slots(self, resource: ResourceId) -> int:
        """Return the slots certainly granted by the table and not returned to it."""
        return self._granted[resource]

    def held_slots(self, resource: ResourceId) -> int:
        """Return the slots that this holder currently has, in use or idle."""
        return self._held[resource]

    def running_slots(self, resource: ResourceId) -> int:
        """Return the slots that are in use."""
        return self._running[resource]

    def idle_slots(self, resource: ResourceId) -> int:
        """Return the slots held but not in use."""
        return self.held_slots(resource) - self._running[resource]

    def startable_slots(self, resource: ResourceId) -> int:
        """Return how many slots can be acquired now."""
        if not self._is_open:
            return 0
        ceiling = self._ceilings.get(resource)
        held = self.held_slots(resource)
        usable = held if ceiling is None else min(held, ceiling)
        return max(0, usable - self._running[resource])

    def try_acquire(self, resource: ResourceId, max_work_s: float) -> bool:
        """Acquire one slot for work of at most `max_work_s`; return whether it may run.

        Work that could run longer than the holder's row states is refused, because
        a reclaimer of this holder's slots waits only for the time in the row.
        """
        if max_work_s > self._max_work_s or self.startable_slots(resource) <= 0:
            return False
        self._running[resource] += 1
        return True

    def release(self, resource: ResourceId) -> None:
        """Release one slot."""
        self._running[resource] -= 1

    def set_ceilings(self, ceilings: Mapping[ResourceId, int]) -> None:
        """Set the upper bounds on slots in use of resources whose limit was lowered."""
        self._ceilings = dict(ceilings)

    def send(self, peer: IncarnationId, resource: ResourceId, slots: int) -> bool:
        """Deduct `slots` for `peer`; return False if they may not be sent.

        Slots are deducted here before any message announces them.
        """
        may_send = self._is_open and peer not in self._closed
        if not may_send or not 0 < slots <= self.idle_slots(resource):
            return False
        self._sent[peer][resource] += slots
        self._held[resource] -= slots
        return True

    def sent_totals(self, peer: IncarnationId) -> dict[ResourceId, int]:
        """Return the cumulative slots sent to `peer`, by resource."""
        return dict(self._sent[peer]) if peer in self._sent else {}

    def receive(self, peer: IncarnationId, totals: Mapping[ResourceId, int]) -> bool:
        """Add the slots sent by `peer` since the last call; return whether accepted.

        Transfers from a closed peer are rejected, because a reclaimer is counting its
        slots.
        """
        if not self._is_open or peer in self._closed:
            return False
        received = self._received[peer]
        for resource, slots in totals.items():
            new_slots = max(0, slots - received[resource])
            received[resource] += new_slots
            self._held[resource] += new_slots
        return True

    def close_peers(self, peers: Iterable[IncarnationId]) -> None:
        """Stop all transfers with `peers`; a closed peer stays closed."""
        self._closed.update(peers)

    def is_closed(self, peer: IncarnationId) -> bool:
        """Return whether transfers with `peer` have stopped."""
        return peer in self._closed

    def net_received(self, peer: IncarnationId) -> dict[ResourceId, int]:
        """Return slots received from `peer` less those sent to it, without zeros."""
        net = Counter(self._received.get(peer, {}))
        net.subtract(self._sent.get(peer, {}))
        return {resource: slots for resource, slots in net.items() if slots}

    def deduct(self, slots: Mapping[ResourceId, int]) -> None:
        """Deduct granted `slots`, before they are returned to the table."""
        self._granted.subtract(slots)
        self._held.subtract(slots)

    def confirm(
        self,
        granted: Mapping[ResourceId, int],
        reclaiming: Collection[IncarnationId],
        max_work_s: float,
        reclaims: int,
    ) -> None:
        """Apply a settlement that the table has certainly recorded; open the account.

        Parameters
        ----------
        granted : mapping
        reclaiming : collection of IncarnationId
            Closed peers whose slots are still being reclaimed. Transfers with other
            closed peers are part of `granted` from now on.
        max_work_s : float
        reclaims : int
            Number of reclaims that the ledger has counted.
        """
        self._reclaims = reclaims
        self._granted = Counter(granted)
        for peer in self._closed.difference(reclaiming):
            self._sent.pop(peer, None)
            self._received.pop(peer, None)
        self._held = self._count_held()
        self._max_work_s = max_work_s
        self._is_open = not self._is_retired

    def _count_held(self) -> Counter[ResourceId]:
        held = Counter(self._granted)
        for totals in self._received.values():
            held.update(totals)
        for totals in self._sent.values():
            held.subtract(totals)
        return held

    def retire(self) -> None:
        """Close the account permanently."""
        self._is_open = False
        self._is_retired = True
