"""Who the other daemons are, and which of them is the scheduler."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Protocol

from currantstage.protocol.jobs import (
    ConfigurationQuery,
    ConfigurationReply,
    LeaseHolderQuery,
    LeaseLookup,
    LeaseReply,
    MemberRow,
)
from currantstage.state.jobs import StoreUnavailable
from currantstage.transport import PeerFailure

if TYPE_CHECKING:
    from collections.abc import Sequence

    from currantstage.application.jobs._repository import JobRepository
    from currantstage.coordination.jobs import LeaseRow
    from currantstage.protocol.jobs import PeerQuery, PeerReply
    from currantstage.state import Clock
    from currantstage.state.jobs import ConfigurationVersion

#: Longest that a peer may take to answer, in seconds.
PEER_TIMEOUT_S = 0.5
#: Longest that the scheduler may take to show that it is there, in seconds.
PROBE_TIMEOUT_S = 0.3
#: How long the scheduler counts as reachable after an answer, in seconds.
HEARD_S = 2.5
#: How many peers are asked at once.
PEERS_ASKED = 3
#: How often the list of daemons is read, in seconds.
MEMBERS_INTERVAL_S = 2.0


class PeerQueries(Protocol):
    """Carries queries to peers."""

    async def ask(
        self, address: str, query: PeerQuery, timeout_s: float
    ) -> PeerReply | PeerFailure:
        """Return a peer's reply, or why there is none."""


class PeerDirectory:
    """Finds peers, and sends them queries.

    Parameters
    ----------
    own : MemberRow
    seeds : sequence of str
        Peer addresses from the settings; they may be out of date.
    """

    def __init__(
        self,
        own: MemberRow,
        seeds: Sequence[str],
        repository: JobRepository,
        client: PeerQueries,
        clock: Clock,
        random: random.Random,
    ) -> None:
        self.own = own
        self._seeds = seeds
        self._repository = repository
        self._client = client
        self._clock = clock
        self._random = random
        self._heard_s = float("-inf")
        self._members: tuple[MemberRow, ...] = ()
        self._task: asyncio.Task[None] | None = None
        #: The scheduler's lease as it was last read.
        self.lease: LeaseRow | None = None

    async def start(self) -> None:
        """Announce this daemon, and start reading the list of daemons."""
        self._task = asyncio.create_task(self._follow())

    async def close(self) -> None:
        """Stop, and take this daemon from the list."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        try:
            await self._repository.leave(self.own.entry_vm)
        except StoreUnavailable:
            # Peers find out when this daemon doesn't answer.
            return

    async def ask_scheduler(
        self, query: PeerQuery, timeout_s: float = PEER_TIMEOUT_S
    ) -> PeerReply | PeerFailure:
        """Return the scheduler's reply, or why there is none."""
        if self.lease is None or not self.lease.address:
            return PeerFailure.REFUSED
        reply = await self._client.ask(self.lease.address, query, timeout_s)
        if not isinstance(reply, PeerFailure):
            self._heard_s = self._clock.now_s()
        return reply

    def hears_scheduler(self) -> bool:
        """Return whether the scheduler has answered lately."""
        return self._clock.now_s() - self._heard_s < HEARD_S

    async def learn_lease(self) -> None:
        """Ask peers which lease is in force, while the store can't be read."""
        if self.lease is not None:
            await self.ask_scheduler(LeaseHolderQuery(self.lease.term), PROBE_TIMEOUT_S)
        for reply in await self._ask_some(LeaseLookup()):
            if not isinstance(reply, LeaseReply) or reply.lease is None:
                continue
            if self.lease is None or reply.lease.term > self.lease.term:
                self.lease = reply.lease

    async def ask(
        self, address: str, query: PeerQuery, timeout_s: float = PEER_TIMEOUT_S
    ) -> PeerReply | PeerFailure:
        """Return the reply of the daemon at `address`, or why there is none."""
        return await self._client.ask(address, query, timeout_s)

    async def ask_configuration(self, newer_than: ConfigurationVersion) -> bytes:
        """Return the newest configuration of some peers; empty if none is newer."""
        replies = await self._ask_some(ConfigurationQuery(newer_than))
        values = [
            reply.value
            for reply in replies
            if isinstance(reply, ConfigurationReply) and reply.value
        ]
        return values[0] if values else b""

    async def _ask_some(self, query: PeerQuery) -> list[PeerReply | PeerFailure]:
        addresses = self.peer_addresses()
        asked = self._random.sample(addresses, min(PEERS_ASKED, len(addresses)))
        return await asyncio.gather(*(self.ask(each, query) for each in asked))

    def peer_addresses(self) -> list[str]:
        """Return the addresses of all other daemons that are known."""
        known = {member.peer_address for member in self._members}
        if self.lease is not None and self.lease.address:
            known.add(self.lease.address)
        known.update(self._seeds)
        known.discard(self.own.peer_address)
        return sorted(known)

    async def _follow(self) -> None:
        is_announced = False
        while True:
            try:
                if not is_announced:
                    await self._repository.join(self.own)
                    is_announced = True
                self._members = await self._repository.read_members()
            except StoreUnavailable:
                await asyncio.sleep(PEER_TIMEOUT_S)
                continue
            await asyncio.sleep(MEMBERS_INTERVAL_S)
