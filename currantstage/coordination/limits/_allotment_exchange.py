"""Move idle slots between holders: whom to ask, and what to hand over."""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import TYPE_CHECKING

from currantstage.coordination.limits._allotment_demand import (
    CONTENDED_HOLD_S,
    ClaimQueue,
    ShortageLog,
    fair_excess,
)
from currantstage.coordination.limits._allotment_messages import (
    AllotmentAsk,
    AllotmentReceipt,
    AllotmentTransfer,
    Need,
    Peer,
    SendToPeer,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from currantstage.coordination.limits._allotment_book import AllotmentBook
    from currantstage.coordination.limits._allotment_plan import AllotmentNeeds
    from currantstage.state import EntryVmId, ResourceId, ScopeId

#: Peers that are asked at once; the next round asks the ones that follow.
ASK_FANOUT = 3
#: Bounds of the time between two rounds of asking, in seconds; it doubles with each
#: round that brings nothing.
MIN_ASK_INTERVAL_S = 0.02
MAX_ASK_INTERVAL_S = 0.6
#: Time between two rounds of asking for the even part, in seconds.
LEVEL_INTERVAL_S = 2.0


class AllotmentExchange:
    """Decides about one holder's transfers; every method returns what to send.

    Parameters
    ----------
    scope : ScopeId
    book : AllotmentBook
    """

    def __init__(self, scope: ScopeId, book: AllotmentBook) -> None:
        self._scope = scope
        self._book = book
        self._shortages = ShortageLog()
        self._claims = ClaimQueue()
        self._acknowledged: defaultdict[Peer, Counter[ResourceId]]
        self._acknowledged = defaultdict(Counter)
        self._last_handover_s: dict[ResourceId, float] = {}
        self._next_peer = 0
        self._last_giver: EntryVmId | None = None
        self._last_ask_s = -MAX_ASK_INTERVAL_S
        self._last_level_s = -LEVEL_INTERVAL_S
        self._ask_interval_s = MIN_ASK_INTERVAL_S

    def note_shortage(self, resource: ResourceId, now_s: float) -> None:
        """Record that work found no slot of `resource`."""
        if not self._shortages.is_short(resource, now_s):
            self._ask_interval_s = MIN_ASK_INTERVAL_S
        self._shortages.note(resource, now_s)

    def shortages(self, now_s: float) -> dict[ResourceId, int]:
        """Return the slots that work waits for, by resource."""
        return self._shortages.current(now_s)

    def ask(
        self, now_s: float, peers: Sequence[EntryVmId], needs: AllotmentNeeds
    ) -> list[SendToPeer]:
        """Ask the next few of `peers` for what work lacks."""
        wanted = {}
        for resource, count in self.shortages(now_s).items():
            held = self._book.held_slots(resource)
            lacking = needs.limits.get(resource, 0) - held
            if lacking > 0 and self._book.idle_slots(resource) <= 0:
                # Doubling what it holds reaches any demand in few rounds.
                wanted[resource] = Need(
                    held_slots=held, wanted_slots=min(lacking, max(count, held))
                )
        if not wanted or now_s - self._last_ask_s < self._ask_interval_s:
            return []
        self._last_ask_s = now_s
        self._ask_interval_s = min(2 * self._ask_interval_s, MAX_ASK_INTERVAL_S)
        return self._send_asks(wanted, peers)

    def level(
        self, now_s: float, peers: Sequence[EntryVmId], needs: AllotmentNeeds
    ) -> list[SendToPeer]:
        """Ask the next few of `peers` for the even part, while nothing waits.

        An entry VM that is cut off later goes on with what it got.
        """
        if now_s - self._last_level_s < LEVEL_INTERVAL_S:
            return []
        self._last_level_s = now_s
        wanted = {}
        for resource in needs.limits:
            held = self._book.held_slots(resource)
            lacking = needs.baseline_slots(resource) - held
            if lacking > 0:
                wanted[resource] = Need(
                    held_slots=held, wanted_slots=lacking, is_level=True
                )
        return self._send_asks(wanted, peers)

    def hear_ask(
        self, now_s: float, peer: Peer, ask: AllotmentAsk, needs: AllotmentNeeds
    ) -> list[SendToPeer]:
        """Hand over what is idle, and remember the rest for when work finishes.

        A sender that has not seen the newest reclaiming may be one of those that were
        reclaimed; what went to it would be lost until this holder ends.
        """
        if ask.reclaims < self._book.reclaims:
            return []
        gave = [
            self._answer(now_s, peer, resource, need, needs)
            for resource, need in ask.needs.items()
        ]
        return self._transfers([peer] if any(gave) else [])

    def hear_transfer(
        self, now_s: float, peer: Peer, transfer: AllotmentTransfer
    ) -> list[SendToPeer]:
        """Add what is new in `transfer` and acknowledge it."""
        if transfer.receiver != self._book.holder:
            return []
        if not self._book.receive(peer.incarnation, transfer.sent_slots):
            return []
        self._ask_interval_s = MIN_ASK_INTERVAL_S
        self._last_giver = peer.entry_vm
        for resource in transfer.sent_slots:
            self._last_handover_s[resource] = now_s
            if self._book.idle_slots(resource) > 0:
                self._shortages.clear(resource)
        receipt = AllotmentReceipt(
            scope=self._scope,
            sender=peer.incarnation,
            received_slots=transfer.sent_slots,
        )
        return [SendToPeer(peer.entry_vm, receipt)]

    def hear_receipt(self, peer: Peer, receipt: AllotmentReceipt) -> None:
        """Stop repeating what `peer` has acknowledged."""
        if receipt.sender != self._book.holder:
            return
        seen = self._acknowledged[peer]
        for resource, slots in receipt.received_slots.items():
            seen[resource] = max(seen[resource], slots)

    def released(self, resource: ResourceId, now_s: float) -> list[SendToPeer]:
        """Hand idle slots to the peers that have been waiting for them."""
        served = []
        while self._book.idle_slots(resource) > 0:
            is_short = self._shortages.is_short(resource, now_s)
            peer = self._claims.take_one(resource, is_short, now_s)
            if peer is None or not self._hand_over(now_s, peer, resource, 1):
                break
            served.append(peer)
        return self._transfers(served)

    def repeat(self) -> list[SendToPeer]:
        """Repeat the transfers that were not acknowledged."""
        for peer in tuple(self._acknowledged):
            if self._book.is_closed(peer.incarnation):
                del self._acknowledged[peer]
        return self._transfers(self._acknowledged)

    def _send_asks(
        self, wanted: dict[ResourceId, Need], peers: Sequence[EntryVmId]
    ) -> list[SendToPeer]:
        if not wanted or not peers or not self._book.is_open:
            return []
        ask = AllotmentAsk(
            scope=self._scope, needs=wanted, reclaims=self._book.reclaims
        )
        count = min(ASK_FANOUT, len(peers))
        first = self._next_peer % len(peers)
        self._next_peer = first + count
        asked = [peers[(first + step) % len(peers)] for step in range(count)]
        # Who gave last is likely to have more, and is asked in every round.
        giver = self._last_giver
        if giver is not None and giver in peers and giver not in asked:
            asked.append(giver)
        return [SendToPeer(peer, ask) for peer in asked]

    def _answer(
        self,
        now_s: float,
        peer: Peer,
        resource: ResourceId,
        need: Need,
        needs: AllotmentNeeds,
    ) -> bool:
        slots = self._spare_for(now_s, resource, need, needs)
        if not self._hand_over(now_s, peer, resource, slots):
            slots = 0
        if not need.is_level:
            left = Need(
                held_slots=need.held_slots + slots,
                wanted_slots=need.wanted_slots - slots,
            )
            fair = self._fair_excess(now_s, resource, left)
            self._claims.put(resource, peer, left.wanted_slots, fair, now_s)
        return slots > 0

    def _spare_for(
        self, now_s: float, resource: ResourceId, need: Need, needs: AllotmentNeeds
    ) -> int:
        idle = min(self._book.idle_slots(resource), need.wanted_slots)
        is_short = self._shortages.is_short(resource, now_s)
        if not need.is_level:
            due = self._fair_excess(now_s, resource, need)
            return min(idle, due) if is_short else idle
        above = self._book.held_slots(resource) - needs.baseline_slots(resource)
        return 0 if is_short else min(idle, above)

    def _hand_over(
        self, now_s: float, peer: Peer, resource: ResourceId, slots: int
    ) -> bool:
        if not self._book.send(peer.incarnation, resource, slots):
            return False
        self._acknowledged.setdefault(peer, Counter())
        self._last_handover_s[resource] = now_s
        return True

    def _fair_excess(self, now_s: float, resource: ResourceId, need: Need) -> int:
        last_s = self._last_handover_s.get(resource)
        may_give_odd = last_s is None or now_s - last_s >= CONTENDED_HOLD_S
        return fair_excess(self._book.held_slots(resource), need, may_give_odd)

    def _transfers(self, peers: Iterable[Peer]) -> list[SendToPeer]:
        sends = []
        for peer in sorted(set(peers), key=lambda each: each.incarnation):
            seen = self._acknowledged[peer]
            totals = {
                resource: slots
                for resource, slots in sorted(
                    self._book.sent_totals(peer.incarnation).items()
                )
                if slots > seen[resource]
            }
            if totals:
                transfer = AllotmentTransfer(
                    scope=self._scope, receiver=peer.incarnation, sent_slots=totals
                )
                sends.append(SendToPeer(peer.entry_vm, transfer))
        return sends
