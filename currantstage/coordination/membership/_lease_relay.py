"""Reach the platform through peers when it can't be reached directly."""

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

#: Peers that are asked for one renewal.
PEERS_PER_REQUEST = 2


@dataclass(frozen=True, slots=True)
class AskRenewal:
    """Ask a peer to renew this entry VM's lease."""

    peer: EntryVmId
    request: RenewalRequest


@dataclass(frozen=True, slots=True)
class AskFleet:
    """Ask a peer for the fleet that it has applied."""

    peer: EntryVmId


@dataclass(frozen=True, slots=True)
class GiveFleet:
    """Send a peer the fleet in force here."""

    peer: EntryVmId
    fleet: Fleet


RelayEffect: TypeAlias = AskRenewal | AskFleet | GiveFleet


class LeaseRelay:
    """Decides what to ask of peers, and what to give them.

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

    def on_store_away(self, now_s: float) -> list[RelayEffect]:
        """Return what to ask when this entry VM could not follow the head itself."""
        peers = self._liveness.latest(now_s)
        ahead = [peer for peer in peers if self._is_ahead(peer)]
        if ahead:
            # A renewal states the head, so the newer fleet has to come first.
            return [AskFleet(ahead[0])]
        if not self._configuration.lease.is_due(now_s):
            return []
        return self._ask_renewal(peers, now_s)

    def on_outcome(self, peer: EntryVmId, outcome: RenewalOutcome) -> list[RelayEffect]:
        """Take a peer's answer to a renewal."""
        self._membership.take_outcome(outcome)
        if self._configuration.lacks(outcome.head_generation):
            return [AskFleet(peer)]
        return []

    def on_ask_fleet(self, peer: EntryVmId, known: Generation) -> list[RelayEffect]:
        """Return the fleet for a peer that knows `known`, if it is newer."""
        fleet = self._configuration.fleet
        return [GiveFleet(peer, fleet)] if fleet.generation > known else []

    def on_fleet(self, fleet: Fleet, now_s: float) -> list[RelayEffect]:
        """Apply a fleet that came from a peer, and ask for a renewal under it."""
        if not self._configuration.apply(fleet):
            return []
        return self._ask_renewal(self._liveness.latest(now_s), now_s)

    def _ask_renewal(
        self, peers: Sequence[EntryVmId], now_s: float
    ) -> list[RelayEffect]:
        if not peers:
            return []
        request = self._membership.request_renewal(now_s)
        return [AskRenewal(peer, request) for peer in peers[:PEERS_PER_REQUEST]]

    def _is_ahead(self, peer: EntryVmId) -> bool:
        return self._configuration.lacks(self._liveness.generation_of(peer))
