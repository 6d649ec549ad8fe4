"""Decisions on calls by the configurations of peers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from currantstage.application.jobs._admission import RecentDecision
from currantstage.protocol.jobs import AdmissionReply

if TYPE_CHECKING:
    from collections.abc import Callable

    from currantstage.application.jobs._configuration import ConfigurationFollower
    from currantstage.application.jobs._directory import PeerDirectory
    from currantstage.protocol.jobs import AdmissionQuery, PeerReply
    from currantstage.state import Clock
    from currantstage.transport import PeerFailure

#: Number of peers that are asked at once.
SAMPLE_SIZE = 3
#: Timeout of a question to the peer that answered the last one, in seconds.
ADVISER_TIMEOUT_S = 0.3


class PeerAdmission:
    """Asks peers how to decide on calls: first the one whose last decision counted.

    Parameters
    ----------
    directory : PeerDirectory
    follower : ConfigurationFollower
        Learns which versions the peers have.
    clock : Clock
    """

    def __init__(
        self, directory: PeerDirectory, follower: ConfigurationFollower, clock: Clock
    ) -> None:
        self._directory = directory
        self._follower = follower
        self._clock = clock
        self._adviser = ""

    async def query(
        self, query: AdmissionQuery, is_recent: Callable[[RecentDecision], bool]
    ) -> RecentDecision | None:
        """Return the newest decision of some peers that `is_recent`, if any."""
        asked_s = self._clock.now_s()
        if self._adviser:
            reply = await self._directory.send_query(
                self._adviser, query, ADVISER_TIMEOUT_S
            )
            decided = self._decode(self._adviser, reply, asked_s)
            if decided is not None and is_recent(decided):
                return decided
            self._adviser = ""
        asked_s = self._clock.now_s()
        replies = await self._directory.query_next_peers(query, SAMPLE_SIZE)
        decisions = [
            self._decode(address, reply, asked_s) for address, reply in replies.items()
        ]
        recent = [each for each in decisions if each is not None and is_recent(each)]
        if not recent:
            return None
        newest = max(recent, key=lambda each: each.decision.configuration)
        self._adviser = newest.decided_by
        return newest

    def _decode(
        self, address: str, reply: PeerReply | PeerFailure, asked_s: float
    ) -> RecentDecision | None:
        if not isinstance(reply, AdmissionReply) or reply.decision is None:
            return None
        self._follower.note_version(reply.decision.configuration)
        if reply.confirmed_ago_s is None:
            return None
        confirmed_s = asked_s - reply.confirmed_ago_s
        return RecentDecision(reply.decision, confirmed_s, address)
