"""Exchange lease renewals and fleets with peers when the platform is unreachable."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from eliot import log_message

from currantstage.coordination import CoordinationError
from currantstage.coordination.membership import RequestFleet, RequestRenewal, SendFleet
from currantstage.protocol import (
    DecodeError,
    FleetAssembler,
    FleetPart,
    FleetRequest,
    Heartbeat,
    RenewalOutcomeMessage,
    RenewalRequestMessage,
    split_fleet,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from currantstage.application._peer_service import PeerService
    from currantstage.application._procedure_runner import ProcedureRunner
    from currantstage.coordination.membership import (
        Configuration,
        LeaseRelay,
        Membership,
        PeerLiveness,
        RelayEffect,
        RenewalRequest,
    )
    from currantstage.protocol import PeerFrame
    from currantstage.state import Clock, EntryVmId, PeerLink

#: Maximum number of concurrent renewals for peers; further requests are dropped.
MAX_RUNNING_RENEWALS = 32


class RelayService:
    """Passes peers' messages to the relay and carries out its effects.

    Parameters
    ----------
    peers : PeerService
    link : PeerLink
    runner : ProcedureRunner
    clock : Clock
    configuration : Configuration
    membership : Membership
    liveness : PeerLiveness
    relay : LeaseRelay
    on_newer_head : callable
        Called when a peer announces or sends a newer generation.
    """

    def __init__(
        self,
        peers: PeerService,
        link: PeerLink,
        runner: ProcedureRunner,
        clock: Clock,
        configuration: Configuration,
        membership: Membership,
        liveness: PeerLiveness,
        relay: LeaseRelay,
        on_newer_head: Callable[[], None],
    ) -> None:
        self._peers = peers
        self._link = link
        self._runner = runner
        self._clock = clock
        self._configuration = configuration
        self._membership = membership
        self._liveness = liveness
        self._relay = relay
        self._on_newer_head = on_newer_head
        self._assembly = FleetAssembler()
        self._renewals: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Accept peers' messages from now on."""
        self._peers.register_handler(Heartbeat, self._handle_heartbeat)
        self._peers.register_handler(
            RenewalRequestMessage, self._handle_renewal_request
        )
        self._peers.register_handler(
            RenewalOutcomeMessage, self._handle_renewal_outcome
        )
        self._peers.register_handler(FleetRequest, self._handle_fleet_request)
        self._peers.register_handler(FleetPart, self._handle_fleet_part)

    async def close(self) -> None:
        """Cancel the renewals in progress."""
        for task in self._renewals:
            task.cancel()
        await asyncio.gather(*self._renewals, return_exceptions=True)

    def report_store_outage(self) -> None:
        """Request help from peers, because this entry VM could not follow the head."""
        self._perform(self._relay.on_store_unreachable(self._clock.now_s()))

    def _perform(self, effects: Sequence[RelayEffect]) -> None:
        for effect in effects:
            match effect:
                case RequestRenewal(peer, request):
                    self._send(peer, RenewalRequestMessage(request=request))
                case RequestFleet(peer):
                    known = self._configuration.fleet.generation
                    self._send(peer, FleetRequest(known_generation=known))
                case SendFleet(peer, fleet):
                    for part in split_fleet(fleet):
                        self._send(peer, part)

    def _send(
        self,
        peer: EntryVmId,
        message: RenewalRequestMessage
        | RenewalOutcomeMessage
        | FleetRequest
        | FleetPart,
    ) -> None:
        self._peers.send(self._link, peer, message)

    def _handle_heartbeat(self, frame: PeerFrame) -> None:
        message = frame.message
        assert isinstance(message, Heartbeat)
        self._liveness.record_heartbeat(
            frame.sender, message.generation, self._clock.now_s()
        )
        if self._configuration.is_behind(message.generation):
            self._on_newer_head()

    def _handle_renewal_request(self, frame: PeerFrame) -> None:
        message = frame.message
        assert isinstance(message, RenewalRequestMessage)
        if len(self._renewals) >= MAX_RUNNING_RENEWALS:
            return
        task = asyncio.create_task(self._renew_for(frame.sender, message.request))
        self._renewals.add(task)
        task.add_done_callback(self._renewals.discard)

    async def _renew_for(self, peer: EntryVmId, request: RenewalRequest) -> None:
        try:
            outcome = await self._runner.run(self._membership.renew_for_peer(request))
        except CoordinationError as error:
            log_message("currantstage:relay-failed", peer=peer, reason=str(error))
            return
        self._send(peer, RenewalOutcomeMessage(outcome=outcome))

    def _handle_renewal_outcome(self, frame: PeerFrame) -> None:
        message = frame.message
        assert isinstance(message, RenewalOutcomeMessage)
        self._perform(self._relay.on_renewal_outcome(frame.sender, message.outcome))

    def _handle_fleet_request(self, frame: PeerFrame) -> None:
        message = frame.message
        assert isinstance(message, FleetRequest)
        self._perform(
            self._relay.on_fleet_request(frame.sender, message.known_generation)
        )

    def _handle_fleet_part(self, frame: PeerFrame) -> None:
        message = frame.message
        assert isinstance(message, FleetPart)
        try:
            fleet = self._assembly.add(message)
        except DecodeError as error:
            log_message(
                "currantstage:fleet-malformed", peer=frame.sender, reason=str(error)
            )
            return
        if fleet is not None:
            self._perform(self._relay.on_fleet(fleet, self._clock.now_s()))
            self._on_newer_head()
