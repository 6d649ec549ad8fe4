"""Which peers have been heard of lately; a hint that no promise rests on."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from currantstage.state import EntryVmId, Generation

#: Silence after which a peer is not asked for anything, in seconds.
MAX_SILENCE_S = 20.0


@dataclass(frozen=True, slots=True)
class PeerSign:
    """The last sign of life of a peer.

    Parameters
    ----------
    heard_s : float
        When it was heard, in seconds.
    generation : Generation
        The generation in force there.
    """

    heard_s: float
    generation: Generation


class PeerLiveness:
    """Remembers the last heartbeat of each peer."""

    def __init__(self) -> None:
        self._signs: dict[EntryVmId, PeerSign] = {}

    def hear(self, peer: EntryVmId, generation: Generation, now_s: float) -> None:
        """Note a heartbeat of `peer`."""
        self._signs[peer] = PeerSign(now_s, generation)

    def latest(self, now_s: float) -> list[EntryVmId]:
        """Return the peers heard of lately, the most recent first."""
        alive = [
            peer
            for peer, sign in self._signs.items()
            if now_s - sign.heard_s <= MAX_SILENCE_S
        ]
        return sorted(alive, key=lambda peer: (-self._signs[peer].heard_s, peer))

    def generation_of(self, peer: EntryVmId) -> Generation:
        """Return the generation that `peer` stated last."""
        return self._signs[peer].generation
