"""Keep one scope's allotments at this entry VM, and serve admission from them."""

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

#: Pause between two rounds of asking peers while work waits, in seconds.
ASK_AGAIN_S = 0.05


class AllotmentService:
    """The allotments of one scope at this entry VM.

    Parameters
    ----------
    scope : ScopeId
    own : EntryVmRow
        This start of the entry VM.
    configuration : Configuration
    limits_of : callable
        Returns the limits of the scope's resources under a fleet.
    store : StoreAccess
    peers : PeerService
    link : PeerLink
    clock : Clock
    on_change : callable
        Called when waiting work may find a slot that it did not find before.
    """

    def __init__(
        self,
        scope: ScopeId,
        own: EntryVmRow,
        configuration: Configuration,
        limits_of: Callable[[Fleet], Mapping[ResourceId, int]],
        store: StoreAccess,
        peers: PeerService,
        link: PeerLink,
        clock: Clock,
        on_change: Callable[[], None],
    ) -> None:
        self.scope = scope
        self.account = AllotmentAccount(own.incarnation)
        self._own = own
        self._configuration = configuration
        self._limits_of = limits_of
        self._peers = peers
        self._link = link
        self._clock = clock
        self._on_change = on_change
        self._exchange = AllotmentExchange(scope, self.account)
        self._settlement = AllotmentSettlement(store, scope, own.entry_vm, self.account)
        self._continuity = LeaseContinuity()
        self._needs_lease = scope == FLEET_SCOPE
        self._asking: asyncio.TimerHandle | None = None
        self._fleet: Fleet | None = None
        self._limits: Mapping[ResourceId, int] = {}
        self._max_work_s = 0.0

    def close(self) -> None:
        """Stop asking peers."""
        if self._asking is not None:
            self._asking.cancel()
            self._asking = None

    def startable_slots(self, resource: ResourceId) -> int:
        """Return how many slots work may take now; none left counts as a shortage."""
        slots = self.account.startable_slots(resource)
        if slots <= 0:
            self._want(resource)
        return slots

    def try_acquire(self, resource: ResourceId) -> bool:
        """Take one slot; a refusal sets off a search among the peers."""
        self._follow_fleet()
        if resource not in self._limits or not self._is_sure():
            return False
        if self.account.try_acquire(resource, self._max_work_s):
            return True
        self._want(resource)
        return False

    def release(self, resource: ResourceId) -> None:
        """Give one slot back, to a peer that waits for it if there is one."""
        self.account.release(resource)
        self._send(self._exchange.serve_peer_requests(resource, self._clock.now_s()))

    async def settle(self, runner: ProcedureRunner) -> None:
        """Settle with the table; raises `CoordinationError`."""
        expiry_s = self._configuration.lease.expiry_s
        settled = await runner.run(self._settlement.settle(self._needs()))
        self._continuity.settled(expiry_s)
        if settled is SettlementOutcome.RETIRED:
            log_message("currantstage:allotments-retired", scope=self.scope)
        self._on_change()

    def exchange(self) -> None:
        """Repeat unacknowledged transfers and ask for the even part."""
        self._is_sure()
        peers, now_s = self._scope_peers(), self._clock.now_s()
        self._send(self._exchange.resend_transfers())
        self._send(self._exchange.rebalance(now_s, peers, self._needs()))

    async def leave(self, runner: ProcedureRunner) -> None:
        """Hand everything back; call it once no work is running."""
        await runner.run(self._settlement.leave())

    def hear(self, frame: PeerFrame) -> None:
        """Take a message of a peer about this scope."""
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

    def _is_sure(self) -> bool:
        """Return whether nobody can have reclaimed what this holder has."""
        lease = self._configuration.lease
        return not self._needs_lease or self._continuity.is_continuous(
            self._clock.now_s(), lease.expiry_s
        )

    def _want(self, resource: ResourceId) -> None:
        self._exchange.record_shortage(resource, self._clock.now_s())
        if self._asking is None:
            self._ask()

    def _ask(self) -> None:
        self._asking = None
        now_s = self._clock.now_s()
        if not self._exchange.shortages(now_s):
            return
        peers = self._scope_peers()
        self._send(self._exchange.request_slots(now_s, peers, self._needs()))
        self._asking = asyncio.get_running_loop().call_later(ASK_AGAIN_S, self._ask)

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
        self._follow_fleet()
        return AllotmentNeeds(
            generation=self._configuration.fleet.generation,
            limits=self._limits,
            holders=len(self._scope_peers()) + 1,
            max_work_s=self._max_work_s,
            shortages=self._exchange.shortages(self._clock.now_s()),
        )

    def _follow_fleet(self) -> None:
        fleet = self._configuration.fleet
        if fleet is not self._fleet:
            self._fleet = fleet
            self._limits = self._limits_of(fleet)
            self._max_work_s = longest_work_s(fleet)
