"""Tracks which peers are alive; only a hint, which no guarantee depends on."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from currantstage.state import EntryVmId, Generation

#: Time without a heartbeat after which no requests go to a peer, in seconds.
MAX_SILENCE_S = 20.0


@dataclass(frozen=True, slots=True)
class PeerHeartbeat:
    """The last heartbeat of a peer.

    Parameters
    ----------
    received_s : float
        When it was received, in seconds.
    generation : Generation
        The generation in force at the peer.
    """

    received_s: float
    generation: Generation


class PeerLiveness:
    """Records the last heartbeat of each peer."""

    def __init__(self) -> None:
        self._heartbeats: dict[EntryVmId, PeerHeartbeat] = {}

    def record_heartbeat(
        self, peer: EntryVmId, generation: Generation, now_s: float
    ) -> None:
        """Record a heartbeat of `peer`."""
        self._heartbeats[peer] = PeerHeartbeat(now_s, generation)

    def most_recent(self, now_s: float) -> list[EntryVmId]:
        """Return the peers that are alive, the most recently heard first."""
        alive = [
            peer
            for peer, heartbeat in self._heartbeats.items()
            if now_s - heartbeat.received_s <= MAX_SILENCE_S
        ]
        return sorted(
            alive, key=lambda peer: (-self._heartbeats[peer].received_s, peer)
        )

    def generation_of(self, peer: EntryVmId) -> Generation:
        """Return the generation in the last heartbeat of `peer`."""
        return self._heartbeats[peer].generation
