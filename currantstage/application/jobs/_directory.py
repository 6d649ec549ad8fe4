"""Discovery of the other daemons and of the scheduler."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Protocol

from eliot import log_message

from currantstage.protocol.jobs import (
    LeaseHolderQuery,
    LeaseLookup,
    LeaseReply,
    MemberRow,
)
from currantstage.state.jobs import StoreUnavailable
from currantstage.transport import PeerFailure
from currantstage.util import SupervisedTask

if TYPE_CHECKING:
    from collections.abc import Sequence

    from currantstage.application.jobs._repository import JobRepository
    from currantstage.coordination.jobs import LeaseRow, SchedulerCapacity
    from currantstage.protocol.jobs import PeerQuery, PeerReply
    from currantstage.state import Clock

#: Default timeout of a query to a peer, in seconds.
PEER_TIMEOUT_S = 0.5
#: Timeout of a query that probes the scheduler, in seconds.
PROBE_TIMEOUT_S = 0.3
#: Time that the scheduler counts as reachable after an answer, in seconds.
REACHABLE_S = 2.5
#: Number of randomly chosen peers that are queried at once.
PEER_SAMPLE_SIZE = 3
#: Interval between reads of the list of daemons, in seconds.
MEMBERS_INTERVAL_S = 2.0


class PeerQueries(Protocol):
    """Client for queries to peers."""

    async def send_query(
        self, address: str, query: PeerQuery, timeout_s: float
    ) -> PeerReply | PeerFailure:
        """Return the reply of the peer at `address`, or the reason for the failure."""


class PeerDirectory:
    """Keeps the list of peers and the last known lease, and sends queries.

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
        self._scheduler_answered_s = float("-inf")
        self._members: tuple[MemberRow, ...] = ()
        # Peers that `query_next_peers` has not asked yet in this round.
        self._not_asked: list[str] = []
        self._task = SupervisedTask("members", self._follow_members)
        #: The scheduler's lease as it was last read.
        self.lease: LeaseRow | None = None

    async def start(self) -> None:
        """Add this daemon to the members, and start reading the list of them."""
        self._task.start()

    async def close(self) -> None:
        """Stop, and remove this daemon from the members."""
        await self._task.close()
        try:
            await self._repository.leave(self.own.entry_vm)
        except StoreUnavailable as error:
            # Peers notice when this daemon no longer answers.
            log_message("currantstage:leave-failed", reason=str(error))

    async def query_scheduler(
        self, query: PeerQuery, timeout_s: float = PEER_TIMEOUT_S
    ) -> PeerReply | PeerFailure:
        """Return the scheduler's reply, or the reason for the failure."""
        if self.lease is None or not self.lease.address:
            return PeerFailure.REFUSED
        reply = await self._client.send_query(self.lease.address, query, timeout_s)
        if not isinstance(reply, PeerFailure):
            self._scheduler_answered_s = self._clock.now_s()
        return reply

    @property
    def scheduler_address(self) -> str:
        """Address of the scheduler; empty if unknown or if it is this daemon."""
        if self.lease is None or self.lease.address == self.own.peer_address:
            return ""
        return self.lease.address

    def is_scheduler_reachable(self) -> bool:
        """Return whether the scheduler has answered recently."""
        return self._clock.now_s() - self._scheduler_answered_s < REACHABLE_S

    async def read_lease_from_peers(self) -> None:
        """Read the lease in force from peers while the store can't be read."""
        if self.lease is not None:
            await self.query_scheduler(
                LeaseHolderQuery(self.lease.term), PROBE_TIMEOUT_S
            )
        for reply in await self._query_sample(LeaseLookup()):
            if not isinstance(reply, LeaseReply) or reply.lease is None:
                continue
            if self.lease is None or reply.lease.term > self.lease.term:
                self.lease = reply.lease

    async def send_query(
        self, address: str, query: PeerQuery, timeout_s: float = PEER_TIMEOUT_S
    ) -> PeerReply | PeerFailure:
        """Return the reply of the peer at `address`, or the reason for the failure."""
        return await self._client.send_query(address, query, timeout_s)

    async def query_next_peers(
        self, query: PeerQuery, count: int
    ) -> dict[str, PeerReply | PeerFailure]:
        """Return the replies of the scheduler and the next peers, `count` in all.

        All peers have been asked before one but the scheduler is asked again.
        """
        known = self.peer_addresses()
        self._not_asked = [each for each in self._not_asked if each in known]
        if not self._not_asked:
            self._not_asked = self._random.sample(known, len(known))
        addresses = [each for each in (self.scheduler_address,) if each in known]
        others = [each for each in self._not_asked if each not in addresses]
        left = count - len(addresses)
        addresses += others[:left]
        self._not_asked = others[left:]
        replies = await asyncio.gather(
            *(self.send_query(each, query) for each in addresses)
        )
        return dict(zip(addresses, replies, strict=True))

    async def _query_sample(self, query: PeerQuery) -> list[PeerReply | PeerFailure]:
        addresses = self.peer_addresses()
        sample = self._random.sample(addresses, min(PEER_SAMPLE_SIZE, len(addresses)))
        return await asyncio.gather(*(self.send_query(each, query) for each in sample))

    def peer_addresses(self) -> list[str]:
        """Return the addresses of all other known daemons."""
        known = {member.peer_address for member in self._members}
        if self.lease is not None and self.lease.address:
            known.add(self.lease.address)
        known.update(self._seeds)
        known.discard(self.own.peer_address)
        return sorted(known)

    def peer_capacities(self) -> list[SchedulerCapacity]:
        """Return the capacities of all other known daemons."""
        return [
            member.capacity
            for member in self._members
            if member.entry_vm != self.own.entry_vm
        ]

    def largest_peers(self) -> list[str]:
        """Return the addresses of all other known daemons, by falling capacity."""
        others = [
            member for member in self._members if member.entry_vm != self.own.entry_vm
        ]
        others.sort(key=_by_capacity)
        return [member.peer_address for member in others]

    async def _follow_members(self) -> None:
        has_joined = False
        while True:
            try:
                if not has_joined:
                    await self._repository.join(self.own)
                    has_joined = True
                self._members = await self._repository.read_members()
            except StoreUnavailable as error:
                log_message("currantstage:members-read-failed", reason=str(error))
                await asyncio.sleep(PEER_TIMEOUT_S)
                continue
            await asyncio.sleep(MEMBERS_INTERVAL_S)


def _by_capacity(member: MemberRow) -> tuple[float, str]:
    return -member.capacity.starts_per_s(), member.peer_address
