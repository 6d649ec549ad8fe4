"""What one holder may use of each resource, and what it has traded with peers."""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping

    from currantstage.state import IncarnationId, ResourceId


class AllotmentBook:
    """The allotments of one start of an entry VM, in memory.

    A holder has what the table granted it, plus what it received from peers, less
    what it sent to them. Each pair of holders counts its transfers in totals that
    only rise, so a message that is lost, doubled or late changes nothing: the
    receiver takes the highest total that it has seen.

    Until the table has confirmed the holder's row, and after the holder was
    retired, the book is shut: nothing starts, and nothing is traded.

    Parameters
    ----------
    holder : IncarnationId
    """

    def __init__(self, holder: IncarnationId) -> None:
        self.holder = holder
        self._granted: Counter[ResourceId] = Counter()
        #: Granted and received slots less those sent; kept up with every change, since
        #: each request looks at every worker.
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
        """Whether work may start and slots be traded."""
        return self._is_open

    @property
    def is_retired(self) -> bool:
        """Whether this holder has given up everything for good."""
        return self._is_retired

    @property
    def is_busy(self) -> bool:
        """Whether any work has a slot."""
        return any(self._running.values())

    @property
    def max_work_s(self) -> float:
        """Longest work that the holder's row covers, in seconds."""
        return self._max_work_s

    @property
    def reclaims(self) -> int:
        """How many reclaimings the ledger had counted at the last settlement."""
        return self._reclaims

    @property
    def resources(self) -> set[ResourceId]:
        """Every resource of which it has ever had, or run, anything."""
        return set().union(self._held, self._running)

    def granted_slots(self, resource: ResourceId) -> int:
        """Return what is certainly granted by the table and not traded away."""
        return self._granted[resource]

    def held_slots(self, resource: ResourceId) -> int:
        """Return the slots that this holder has now."""
        return self._held[resource]

    def running_slots(self, resource: ResourceId) -> int:
        """Return the slots that work has taken."""
        return self._running[resource]

    def idle_slots(self, resource: ResourceId) -> int:
        """Return the slots held that no work has taken."""
        return self.held_slots(resource) - self._running[resource]

    def startable_slots(self, resource: ResourceId) -> int:
        """Return how many slots work may take now."""
        if not self._is_open:
            return 0
        ceiling = self._ceilings.get(resource)
        held = self.held_slots(resource)
        usable = held if ceiling is None else min(held, ceiling)
        return max(0, usable - self._running[resource])

    def try_acquire(self, resource: ResourceId, max_work_s: float) -> bool:
        """Take one slot for work of at most `max_work_s`; return whether it may run.

        Work that could outlast what the holder's row says is refused: whoever
        reclaims this holder's slots waits no longer than the row says.
        """
        if max_work_s > self._max_work_s or self.startable_slots(resource) <= 0:
            return False
        self._running[resource] += 1
        return True

    def release(self, resource: ResourceId) -> None:
        """Give one slot back."""
        self._running[resource] -= 1

    def set_ceilings(self, ceilings: Mapping[ResourceId, int]) -> None:
        """Bound the work in progress on resources whose limit was lowered."""
        self._ceilings = dict(ceilings)

    def send(self, peer: IncarnationId, resource: ResourceId, slots: int) -> bool:
        """Deduct `slots` for `peer`; return False when they may not go.

        They are gone from here before any message says so.
        """
        may_go = self._is_open and peer not in self._closed
        if not may_go or not 0 < slots <= self.idle_slots(resource):
            return False
        self._sent[peer][resource] += slots
        self._held[resource] -= slots
        return True

    def sent_totals(self, peer: IncarnationId) -> dict[ResourceId, int]:
        """Return all that was ever sent to `peer`, by resource."""
        return dict(self._sent[peer]) if peer in self._sent else {}

    def receive(self, peer: IncarnationId, totals: Mapping[ResourceId, int]) -> bool:
        """Add what `peer` sent and was not added before; return whether it is taken.

        Nothing is taken from a closed peer: its slots are being counted by whoever
        reclaims them.
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
        """Trade nothing with `peers` any more; a closed peer stays closed."""
        self._closed.update(peers)

    def is_closed(self, peer: IncarnationId) -> bool:
        """Return whether nothing is traded with `peer` any more."""
        return peer in self._closed

    def net_received(self, peer: IncarnationId) -> dict[ResourceId, int]:
        """Return what came from `peer` less what went to it, without zeros."""
        net = Counter(self._received.get(peer, {}))
        net.subtract(self._sent.get(peer, {}))
        return {resource: slots for resource, slots in net.items() if slots}

    def deduct(self, slots: Mapping[ResourceId, int]) -> None:
        """Give up granted `slots`, before the table is told."""
        self._granted.subtract(slots)
        self._held.subtract(slots)

    def confirm(
        self,
        granted: Mapping[ResourceId, int],
        reclaiming: Collection[IncarnationId],
        max_work_s: float,
        reclaims: int,
    ) -> None:
        """Adopt what the table has certainly recorded, and open the book.

        Parameters
        ----------
        granted : mapping
        reclaiming : collection of IncarnationId
            Closed peers whose slots are still being reclaimed. What was traded with
            the other closed ones is part of `granted` from now on.
        max_work_s : float
        reclaims : int
            Reclaimings that the ledger has counted.
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
        """Start and trade nothing any more."""
        self._is_open = False
        self._is_retired = True
