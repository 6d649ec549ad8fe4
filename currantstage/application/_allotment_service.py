"""Manage the allotments of one scope at this entry VM, and admit work from them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from eliot import log_message

from currantstage.coordination.limits import (
    AllotmentAccount,
    AllotmentExchange,
    AllotmentNeeds,
    AllotmentReceipt,
    AllotmentRequest,
    AllotmentSettlement,
    AllotmentTransfer,
    Peer,
    SettlementOutcome,
    longest_work_s,
)
from currantstage.coordination.membership import LeaseContinuity
from currantstage.state import FLEET_SCOPE, member_scopes

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence

    from currantstage.application._peer_service import PeerService
    from currantstage.application._procedure_runner import ProcedureRunner
    from currantstage.coordination.limits import SendToPeer
    from currantstage.coordination.membership import Configuration
    from currantstage.coordination.store import StoreAccess
    from currantstage.protocol import PeerFrame
    from currantstage.state import (
        Clock,
        EntryVmId,
        EntryVmRow,
        Fleet,
        PeerLink,
        ResourceId,
        ScopeId,
    )

#: Interval between requests to peers for slots while work waits, in seconds.
SLOT_REQUEST_INTERVAL_S = 0.05


class AllotmentService:
    """Manages the allotments of one scope at this entry VM.

    Parameters
    ----------
    scope : ScopeId
    own_row : EntryVmRow
        The row of this incarnation of the entry VM.
    configuration : Configuration
    limits_of : callable
        Returns the limits of the scope's resources in a given fleet.
    store : StoreAccess
    peers : PeerService
    link : PeerLink
    clock : Clock
    on_change : callable
        Called when slots may have become available to waiting work.
    """

    def __init__(
        self,
        scope: ScopeId,
        own_row: EntryVmRow,
        configuration: Configuration,
        limits_of: Callable[[Fleet], Mapping[ResourceId, int]],
        store: StoreAccess,
        peers: PeerService,
        link: PeerLink,
        clock: Clock,
        on_change: Callable[[], None],
    ) -> None:
        self.scope = scope
        self.account = AllotmentAccount(own_row.incarnation)
        self._own_row = own_row
        self._configuration = configuration
        self._limits_of = limits_of
        self._peers = peers
        self._link = link
        self._clock = clock
        self._on_change = on_change
        self._exchange = AllotmentExchange(scope, self.account)
        self._settlement = AllotmentSettlement(
            store, scope, own_row.entry_vm, self.account
        )
        self._continuity = LeaseContinuity()
        self._needs_lease = scope == FLEET_SCOPE
        self._request_timer: asyncio.TimerHandle | None = None
        self._fleet: Fleet | None = None
        self._limits: Mapping[ResourceId, int] = {}
        self._max_work_s = 0.0

    def close(self) -> None:
        """Stop requesting slots from peers."""
        if self._request_timer is not None:
            self._request_timer.cancel()
            self._request_timer = None

    def startable_slots(self, resource: ResourceId) -> int:
        """Return how many slots can be acquired now; if none, record a shortage."""
        slots = self.account.startable_slots(resource)
        if slots <= 0:
            self._record_shortage(resource)
        return slots

    def try_acquire(self, resource: ResourceId) -> bool:
        """Acquire one slot or return False; a shortage triggers requests to peers."""
        self._update_limits()
        if resource not in self._limits or not self._are_allotments_valid():
            return False
        if self.account.try_acquire(resource, self._max_work_s):
            return True
        self._record_shortage(resource)
        return False

    def release(self, resource: ResourceId) -> None:
        """Release one slot, and send it to a peer whose request is pending, if any."""
        self.account.release(resource)
        self._send(self._exchange.serve_peer_requests(resource, self._clock.now_s()))

    async def settle(self, runner: ProcedureRunner) -> None:
        """Settle with the table; raise `CoordinationError` if that fails."""
        expiry_s = self._configuration.lease.expiry_s
        settled = await runner.run(self._settlement.settle(self._needs()))
        self._continuity.settled(expiry_s)
        if settled is SettlementOutcome.RETIRED:
            log_message("currantstage:allotments-retired", scope=self.scope)
        self._on_change()

    def exchange(self) -> None:
        """Resend unacknowledged transfers, and rebalance towards the equal share."""
        self._are_allotments_valid()
        peers, now_s = self._scope_peers(), self._clock.now_s()
        self._send(self._exchange.resend_transfers())
        self._send(self._exchange.rebalance(now_s, peers, self._needs()))

    async def leave(self, runner: ProcedureRunner) -> None:
        """Return all allotments; call it only when no work is running."""
        await runner.run(self._settlement.leave())

    def handle_frame(self, frame: PeerFrame) -> None:
        """Handle a message from a peer about this scope."""
        peer = Peer(frame.sender, frame.incarnation)
        now_s = self._clock.now_s()
        match frame.message:
            case AllotmentRequest():
                needs = self._needs()
                sends = self._exchange.handle_request(now_s, peer, frame.message, needs)
            case AllotmentTransfer():
                sends = self._exchange.handle_transfer(now_s, peer, frame.message)
                self._on_change()
            case AllotmentReceipt():
                self._exchange.handle_receipt(peer, frame.message)
                return
            case _:
                return
        self._send(sends)

    def _are_allotments_valid(self) -> bool:
        """Return whether no other entry VM can have reclaimed these allotments."""
        lease = self._configuration.lease
        return not self._needs_lease or self._continuity.is_continuous(
            self._clock.now_s(), lease.expiry_s
        )

    def _record_shortage(self, resource: ResourceId) -> None:
        self._exchange.record_shortage(resource, self._clock.now_s())
        if self._request_timer is None:
            self._request_slots()

    def _request_slots(self) -> None:
        self._request_timer = None
        now_s = self._clock.now_s()
        if not self._exchange.shortages(now_s):
            return
        peers = self._scope_peers()
        self._send(self._exchange.request_slots(now_s, peers, self._needs()))
        self._request_timer = asyncio.get_running_loop().call_later(
            SLOT_REQUEST_INTERVAL_S, self._request_slots
        )

    def _send(self, sends: Sequence[SendToPeer]) -> None:
        for each in sends:
            self._peers.send(self._link, each.receiver, each.message)

    def _scope_peers(self) -> tuple[EntryVmId, ...]:
        return tuple(
            name
            for name, row in sorted(self._peers.members.items())
            if self.scope in member_scopes(row.data_centre)
        )

    def _needs(self) -> AllotmentNeeds:
        self._update_limits()
        return AllotmentNeeds(
            generation=self._configuration.fleet.generation,
            limits=self._limits,
            holders=len(self._scope_peers()) + 1,
            max_work_s=self._max_work_s,
            shortages=self._exchange.shortages(self._clock.now_s()),
        )

    def _update_limits(self) -> None:
        fleet = self._configuration.fleet
        if fleet is not self._fleet:
            self._fleet = fleet
            self._limits = self._limits_of(fleet)
            self._max_work_s = longest_work_s(fleet)
