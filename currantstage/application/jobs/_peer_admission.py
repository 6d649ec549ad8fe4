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
    from currantstage.state.jobs import ConfigurationVersion
    from currantstage.transport import PeerFailure

#: Number of peers that are asked at once.
SAMPLE_SIZE = 8
#: Maximum number of calls whose decisions are asked for at once.
MAX_QUERIES = 16
#: Timeout of a question to the peer that answered the last one, in seconds.
ADVISER_TIMEOUT_S = 0.3


class PeerAdmission:
    """Asks peers how to decide on calls.

    The first is the one whose last decision counted or else the scheduler, which needs
    a fast link itself. Others are asked if that one can't decide.

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
        self._queries = 0

    async def query(
        self, query: AdmissionQuery, is_recent: Callable[[RecentDecision], bool]
    ) -> RecentDecision | None:
        """Return the newest decision of some peers that `is_recent`, if any.

        There is none if peers are asked about many other calls already.
        """
        if self._queries == MAX_QUERIES:
            return None
        self._queries += 1
        try:
            return await self._query_peers(query, is_recent)
        finally:
            self._queries -= 1

    async def _query_peers(
        self, query: AdmissionQuery, is_recent: Callable[[RecentDecision], bool]
    ) -> RecentDecision | None:
        adviser = self._adviser or self._directory.scheduler_address
        if adviser:
            decided = await self._query_adviser(adviser, query)
            if decided is not None and is_recent(decided):
                return decided
        recent = [each for each in await self._query_sample(query) if is_recent(each)]
        newest = max(recent, key=_version, default=None)
        self._adviser = newest.decided_by if newest is not None else ""
        return newest

    async def _query_adviser(
        self, adviser: str, query: AdmissionQuery
    ) -> RecentDecision | None:
        asked_s = self._clock.now_s()
        reply = await self._directory.send_query(adviser, query, ADVISER_TIMEOUT_S)
        return self._decode(adviser, reply, asked_s)

    async def _query_sample(self, query: AdmissionQuery) -> list[RecentDecision]:
        asked_s = self._clock.now_s()
        replies = await self._directory.query_next_peers(query, SAMPLE_SIZE)
        decisions = [
            self._decode(address, reply, asked_s) for address, reply in replies.items()
        ]
        return [each for each in decisions if each is not None]

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


def _version(decided: RecentDecision) -> ConfigurationVersion:
    return decided.decision.configuration
