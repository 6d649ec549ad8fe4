"""Exchange of idle slots between holders: requests to peers, and transfers."""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import TYPE_CHECKING

from currantstage.coordination.limits._allotment_demand import (
    ODD_SLOT_INTERVAL_S,
    PeerRequestQueue,
    ShortageTracker,
    equalizing_slots,
)
from currantstage.coordination.limits._allotment_messages import (
    AllotmentReceipt,
    AllotmentRequest,
    AllotmentTransfer,
    Need,
    Peer,
    SendToPeer,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from currantstage.coordination.limits._allotment_account import AllotmentAccount
    from currantstage.coordination.limits._allotment_plan import AllotmentNeeds
    from currantstage.state import EntryVmId, ResourceId, ScopeId

#: Number of peers that get the requests of one round; the next round continues with
#: the peers after them.
REQUEST_FANOUT = 3
#: Bounds of the time between two rounds of requests, in seconds. It doubles with each
#: round until slots arrive.
MIN_REQUEST_INTERVAL_S = 0.02
MAX_REQUEST_INTERVAL_S = 0.6
#: Time between two rounds of requests for the equal share, in seconds.
REBALANCE_INTERVAL_S = 2.0


class AllotmentExchange:
    """Decides which slots one holder requests and sends; methods return messages.

    Parameters
    ----------
    scope : ScopeId
    account : AllotmentAccount
    """

    def __init__(self, scope: ScopeId, account: AllotmentAccount) -> None:
        self._scope = scope
        self._account = account
        self._shortages = ShortageTracker()
        self._peer_requests = PeerRequestQueue()
        self._acknowledged: defaultdict[Peer, Counter[ResourceId]]
        self._acknowledged = defaultdict(Counter)
        self._last_transfer_s: dict[ResourceId, float] = {}
        self._next_peer = 0
        self._last_sender: EntryVmId | None = None
        self._last_request_s = -MAX_REQUEST_INTERVAL_S
        self._last_rebalance_s = -REBALANCE_INTERVAL_S
        self._request_interval_s = MIN_REQUEST_INTERVAL_S

    def record_shortage(self, resource: ResourceId, now_s: float) -> None:
        """Record that work found no slot of `resource`."""
        if not self._shortages.is_short(resource, now_s):
            self._request_interval_s = MIN_REQUEST_INTERVAL_S
        self._shortages.record(resource, now_s)

    def shortages(self, now_s: float) -> dict[ResourceId, int]:
        """Return the number of slots wanted by waiting work, by resource."""
        return self._shortages.current(now_s)

    def request_slots(
        self, now_s: float, peers: Sequence[EntryVmId], needs: AllotmentNeeds
    ) -> list[SendToPeer]:
        """Request slots for waiting work from the next few of `peers`."""
        wanted = {}
        for resource, count in self.shortages(now_s).items():
            held = self._account.held_slots(resource)
            lacking = needs.limits.get(resource, 0) - held
            if lacking > 0 and self._account.idle_slots(resource) <= 0:
                # Doubling the slots held meets any demand within few rounds.
                wanted[resource] = Need(
                    held_slots=held, wanted_slots=min(lacking, max(count, held))
                )
        if not wanted or now_s - self._last_request_s < self._request_interval_s:
            return []
        self._last_request_s = now_s
        self._request_interval_s = min(
            2 * self._request_interval_s, MAX_REQUEST_INTERVAL_S
        )
        return self._make_requests(wanted, peers)

    def rebalance(
        self, now_s: float, peers: Sequence[EntryVmId], needs: AllotmentNeeds
    ) -> list[SendToPeer]:
        """Request the missing part of the equal share, without waiting for a shortage.

        If this entry VM is disconnected later, it continues with the slots it got.
        """
        if now_s - self._last_rebalance_s < REBALANCE_INTERVAL_S:
            return []
        self._last_rebalance_s = now_s
        wanted = {}
        for resource in needs.limits:
            held = self._account.held_slots(resource)
            lacking = needs.equal_share_slots(resource) - held
            if lacking > 0:
                wanted[resource] = Need(
                    held_slots=held, wanted_slots=lacking, is_level=True
                )
        return self._make_requests(wanted, peers)

    def handle_request(
        self,
        now_s: float,
        peer: Peer,
        request: AllotmentRequest,
        needs: AllotmentNeeds,
    ) -> list[SendToPeer]:
        """Send idle slots, and queue the rest of the request until work finishes.

        Requests from a sender that has not seen the latest reclaim are ignored: the
        sender may itself have been reclaimed, and slots sent to it would be lost until
        this holder ends.
        """
        if request.reclaims < self._account.reclaims:
            return []
        is_sent = [
            self._handle_need(now_s, peer, resource, need, needs)
            for resource, need in request.needs.items()
        ]
        return self._make_transfers([peer] if any(is_sent) else [])

    def handle_transfer(
        self, now_s: float, peer: Peer, transfer: AllotmentTransfer
    ) -> list[SendToPeer]:
        """Add the new slots in `transfer` and acknowledge it."""
        if transfer.receiver != self._account.holder:
            return []
        if not self._account.receive(peer.incarnation, transfer.sent_slots):
            return []
        self._request_interval_s = MIN_REQUEST_INTERVAL_S
        self._last_sender = peer.entry_vm
        for resource in transfer.sent_slots:
            self._last_transfer_s[resource] = now_s
            if self._account.idle_slots(resource) > 0:
                self._shortages.clear(resource)
        receipt = AllotmentReceipt(
            scope=self._scope,
            sender=peer.incarnation,
            received_slots=transfer.sent_slots,
        )
        return [SendToPeer(peer.entry_vm, receipt)]

    def handle_receipt(self, peer: Peer, receipt: AllotmentReceipt) -> None:
        """Record the totals that `peer` has acknowledged; they are not resent."""
        if receipt.sender != self._account.holder:
            return
        seen = self._acknowledged[peer]
        for resource, slots in receipt.received_slots.items():
            seen[resource] = max(seen[resource], slots)

    def serve_peer_requests(
        self, resource: ResourceId, now_s: float
    ) -> list[SendToPeer]:
        """Send idle slots of `resource` to peers with queued requests."""
        served = []
        while self._account.idle_slots(resource) > 0:
            is_short = self._shortages.is_short(resource, now_s)
            peer = self._peer_requests.pop_next(resource, is_short, now_s)
            if peer is None or not self._send_slots(now_s, peer, resource, 1):
                break
            served.append(peer)
        return self._make_transfers(served)

    def resend_transfers(self) -> list[SendToPeer]:
        """Resend transfers that have not been acknowledged."""
        for peer in tuple(self._acknowledged):
            if self._account.is_closed(peer.incarnation):
                del self._acknowledged[peer]
        return self._make_transfers(self._acknowledged)

    def _make_requests(
        self, wanted: dict[ResourceId, Need], peers: Sequence[EntryVmId]
    ) -> list[SendToPeer]:
        if not wanted or not peers or not self._account.is_open:
            return []
        request = AllotmentRequest(
            scope=self._scope, needs=wanted, reclaims=self._account.reclaims
        )
        count = min(REQUEST_FANOUT, len(peers))
        first = self._next_peer % len(peers)
        self._next_peer = first + count
        receivers = [peers[(first + step) % len(peers)] for step in range(count)]
        # The peer that last sent slots probably has more, so it gets a request in
        # every round.
        last_sender = self._last_sender
        if (
            last_sender is not None
            and last_sender in peers
            and last_sender not in receivers
        ):
            receivers.append(last_sender)
        return [SendToPeer(peer, request) for peer in receivers]

    def _handle_need(
        self,
        now_s: float,
        peer: Peer,
        resource: ResourceId,
        need: Need,
        needs: AllotmentNeeds,
    ) -> bool:
        slots = self._available_slots(now_s, resource, need, needs)
        if not self._send_slots(now_s, peer, resource, slots):
            slots = 0
        if not need.is_level:
            left = Need(
                held_slots=need.held_slots + slots,
                wanted_slots=need.wanted_slots - slots,
            )
            fair = self._equalizing_slots(now_s, resource, left)
            self._peer_requests.put(resource, peer, left.wanted_slots, fair, now_s)
        return slots > 0

    def _available_slots(
        self, now_s: float, resource: ResourceId, need: Need, needs: AllotmentNeeds
    ) -> int:
        idle = min(self._account.idle_slots(resource), need.wanted_slots)
        is_short = self._shortages.is_short(resource, now_s)
        if not need.is_level:
            due = self._equalizing_slots(now_s, resource, need)
            return min(idle, due) if is_short else idle
        above = self._account.held_slots(resource) - needs.equal_share_slots(resource)
        return 0 if is_short else min(idle, above)

    def _send_slots(
        self, now_s: float, peer: Peer, resource: ResourceId, slots: int
    ) -> bool:
        if not self._account.send(peer.incarnation, resource, slots):
            return False
        self._acknowledged.setdefault(peer, Counter())
        self._last_transfer_s[resource] = now_s
        return True

    def _equalizing_slots(self, now_s: float, resource: ResourceId, need: Need) -> int:
        last_s = self._last_transfer_s.get(resource)
        may_send_odd_slot = last_s is None or now_s - last_s >= ODD_SLOT_INTERVAL_S
        return equalizing_slots(
            self._account.held_slots(resource), need, may_send_odd_slot
        )

    def _make_transfers(self, peers: Iterable[Peer]) -> list[SendToPeer]:
        sends = []
        for peer in sorted(set(peers), key=lambda each: each.incarnation):
            seen = self._acknowledged[peer]
            totals = {
                resource: slots
                for resource, slots in sorted(
                    self._account.sent_totals(peer.incarnation).items()
                )
                if slots > seen[resource]
            }
            if totals:
                transfer = AllotmentTransfer(
                    scope=self._scope, receiver=peer.incarnation, sent_slots=totals
                )
                sends.append(SendToPeer(peer.entry_vm, transfer))
        return sends
