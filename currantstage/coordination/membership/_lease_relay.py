"""Renew the configuration lease through peers while the platform is unreachable."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    from collections.abc import Sequence

    from currantstage.coordination.membership._configuration import Configuration
    from currantstage.coordination.membership._membership import (
        Membership,
        RenewalOutcome,
        RenewalRequest,
    )
    from currantstage.coordination.membership._peer_liveness import PeerLiveness
    from currantstage.state import EntryVmId, Fleet, Generation

#: Number of peers that each renewal is requested from.
PEERS_PER_REQUEST = 2


@dataclass(frozen=True, slots=True)
class RequestRenewal:
    """Request that a peer renews this entry VM's lease."""

    peer: EntryVmId
    request: RenewalRequest


@dataclass(frozen=True, slots=True)
class RequestFleet:
    """Request the fleet that a peer has applied."""

    peer: EntryVmId


@dataclass(frozen=True, slots=True)
class SendFleet:
    """Send the fleet in force to a peer."""

    peer: EntryVmId
    fleet: Fleet


RelayEffect: TypeAlias = RequestRenewal | RequestFleet | SendFleet


class LeaseRelay:
    """Decides what to request from peers and what to send to them.

    Parameters
    ----------
    membership : Membership
    configuration : Configuration
    liveness : PeerLiveness
    """

    def __init__(
        self,
        membership: Membership,
        configuration: Configuration,
        liveness: PeerLiveness,
    ) -> None:
        self._membership = membership
        self._configuration = configuration
        self._liveness = liveness

    def on_store_unreachable(self, now_s: float) -> list[RelayEffect]:
        """Return the requests to send when this entry VM can't read the head itself."""
        peers = self._liveness.most_recent(now_s)
        ahead = [peer for peer in peers if self._is_ahead(peer)]
        if ahead:
            # A renewal must state the head, so the newer fleet is needed first.
            return [RequestFleet(ahead[0])]
        if not self._configuration.lease.is_due(now_s):
            return []
        return self._request_renewal(peers, now_s)

    def on_renewal_outcome(
        self, peer: EntryVmId, outcome: RenewalOutcome
    ) -> list[RelayEffect]:
        """Handle a peer's reply to a renewal request."""
        self._membership.handle_renewal_outcome(outcome)
        if self._configuration.is_behind(outcome.head_generation):
            return [RequestFleet(peer)]
        return []

    def on_fleet_request(self, peer: EntryVmId, known: Generation) -> list[RelayEffect]:
        """Return the fleet for a peer with generation `known`, if it is newer."""
        fleet = self._configuration.fleet
        return [SendFleet(peer, fleet)] if fleet.generation > known else []

    def on_fleet(self, fleet: Fleet, now_s: float) -> list[RelayEffect]:
        """Apply a fleet received from a peer, and request a renewal under it."""
        if not self._configuration.apply(fleet):
            return []
        return self._request_renewal(self._liveness.most_recent(now_s), now_s)

    def _request_renewal(
        self, peers: Sequence[EntryVmId], now_s: float
    ) -> list[RelayEffect]:
        if not peers:
            return []
        request = self._membership.request_renewal(now_s)
        return [RequestRenewal(peer, request) for peer in peers[:PEERS_PER_REQUEST]]

    def _is_ahead(self, peer: EntryVmId) -> bool:
        return self._configuration.is_behind(self._liveness.generation_of(peer))
