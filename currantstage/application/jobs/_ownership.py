"""Observation and takeover of the scheduler's lease."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

from eliot import log_message

from currantstage.application.jobs._repository import StoredLease
from currantstage.application.jobs._session import SchedulerSession
from currantstage.coordination.jobs import (
    NO_HOLDER,
    HolderAnswer,
    InheritedLeases,
    LeaseRow,
    LeaseWatch,
    takeover_deference_s,
)
from currantstage.protocol.jobs import (
    Acknowledged,
    LeaseOffer,
    LeaseReleased,
    LeaseRequest,
    NotScheduler,
)
from currantstage.state.jobs import StoreUnavailable, Term
from currantstage.transport import PeerFailure
from currantstage.util import SupervisedTask, wait_for_event

if TYPE_CHECKING:
    import random

    from currantstage.application.jobs._configuration import ConfigurationFollower
    from currantstage.application.jobs._directory import PeerDirectory
    from currantstage.application.jobs._ports import SchedulerPorts
    from currantstage.application.jobs._relay_client import RelayClient
    from currantstage.application.jobs._repository import JobRepository
    from currantstage.coordination.jobs import (
        LeaseTakeover,
        SchedulerTuning,
        StoreHealth,
    )
    from currantstage.protocol.jobs import PeerReply

#: Interval between reads of the lease, in seconds.
LEASE_READ_INTERVAL_S = 0.4
#: Timeout of a query to the holder, in seconds; it delays the next read of the lease.
HOLDER_TIMEOUT_S = 0.2
#: Maximum time in which a daemon that is offered the lease checks whether it can read
#: the stored state, in seconds.
STATE_CHECK_TIMEOUT_S = 0.5
#: Time that a daemon leaves a lease that it has given up to its peers, in seconds;
#: longer than the pauses before a takeover.
HANDED_OVER_S = 1.0
#: Maximum random delay before a takeover, in seconds, so that daemons don't all try at
#: the same time.
MAX_JITTER_S = 0.1
#: Term that stands for no offered lease.
NO_TERM = Term(0)


class LeaseOwnership:
    """Takes over the lease when allowed; runs a `SchedulerSession` while it is held."""

    def __init__(
        self,
        directory: PeerDirectory,
        repository: JobRepository,
        follower: ConfigurationFollower,
        ports: SchedulerPorts,
        tuning: SchedulerTuning,
        health: StoreHealth,
        relays: RelayClient,
        random: random.Random,
    ) -> None:
        self._directory = directory
        self._repository = repository
        self._follower = follower
        self._ports = ports
        self._tuning = tuning
        self._health = health
        self._relays = relays
        self._random = random
        self._watch = LeaseWatch(LEASE_READ_INTERVAL_S, tuning)
        self._wake = asyncio.Event()
        self._is_closing = False
        self._offered_term = NO_TERM
        self._handed_over_s = float("-inf")
        self._task = SupervisedTask("lease", self._run)
        self.session: SchedulerSession | None = None
        follower.add_listener(self._configure)

    async def start(self) -> None:
        """Start observing the lease."""
        self._task.start()

    async def close(self) -> None:
        """Release the lease if this daemon holds it, and stop."""
        self._is_closing = True
        if self.session is not None:
            await self.session.release()
            await self._notify_peers(LeaseReleased())
        await self._task.close()
        if self.session is not None:
            await self.session.close()
            self.session = None

    def update_tuning(self, tuning: SchedulerTuning) -> None:
        """Use `tuning` from the next term onwards."""
        self._tuning = tuning

    def check_lease(self, offered_term: Term = NO_TERM) -> None:
        """Read the lease at once; its holder may have offered `offered_term`."""
        self._offered_term = max(self._offered_term, offered_term)
        self._wake.set()

    def holds(self, term: Term) -> bool:
        """Return whether this daemon holds the lease in `term` or a later one."""
        return self.session is not None and self.session.lease.term >= term

    async def hand_over(self, term: Term) -> None:
        """End the session of `term` if it needs a successor.

        After this has returned, no more orders are sent in that term.
        """
        session = self.session
        if session is None or session.lease.term != term:
            return
        if not session.has_ended:
            if not session.needs_successor():
                return
            log_message("currantstage:lease-lost", term=term, by="hand-over")
            self._handed_over_s = self._ports.clock.now_s()
        await session.close()
        if self.session is session:
            self.session = None

    async def _run(self) -> None:
        while not self._is_closing:
            try:
                await self._check_lease_once()
            except StoreUnavailable as error:
                log_message("currantstage:lease-read-failed", reason=str(error))
                self._watch.record_failed_read()
                await self._directory.read_lease_from_peers()
            self._wake.clear()
            await wait_for_event(self._wake, LEASE_READ_INTERVAL_S)

    async def _check_lease_once(self) -> None:
        stored = await self._repository.read_lease()
        self._directory.lease = stored.row
        self._watch.observe(stored.version, self._ports.clock.now_s())
        if self._follower.current is None:
            return
        answer = await self._query_holder(stored.row)
        takeover = self._watch.takeover(
            stored.row, self._directory.own.entry_vm, answer
        )
        if takeover is None or self._leaves_to_peers(stored.row):
            return
        await asyncio.sleep(self._takeover_delay_s())
        await self._take_lease(stored, takeover)

    def _takeover_delay_s(self) -> float:
        """Return the pause before a takeover; the first write of any daemon wins."""
        deference_s = takeover_deference_s(
            self._directory.own.capacity, self._directory.peer_capacities()
        )
        return deference_s + self._random.random() * MAX_JITTER_S

    async def _query_holder(self, row: LeaseRow | None) -> HolderAnswer:
        if row is None or not row.address:
            return HolderAnswer.UNKNOWN
        if not self._watch.is_suspect() and not await self._accepts_offer(row.term):
            return HolderAnswer.UNKNOWN
        reply = await self._directory.send_query(
            row.address, LeaseRequest(row.term), HOLDER_TIMEOUT_S
        )
        if reply is PeerFailure.REFUSED:
            return HolderAnswer.REFUSED
        if isinstance(reply, NotScheduler):
            return HolderAnswer.NOT_HOLDER
        if isinstance(reply, Acknowledged):
            self._offered_term = NO_TERM
            return HolderAnswer.HOLDS
        return HolderAnswer.UNKNOWN

    async def _accepts_offer(self, term: Term) -> bool:
        """Return whether the lease of `term` is offered and this daemon can use it.

        An offer is repeated, so that one that comes too early may be forgotten.
        """
        if term != self._offered_term:
            return False
        try:
            async with asyncio.timeout(STATE_CHECK_TIMEOUT_S):
                await self._repository.check_readable()
        except (StoreUnavailable, TimeoutError) as error:
            log_message("currantstage:lease-offer-declined", reason=repr(error))
            self._offered_term = NO_TERM
            return False
        return True

    def _leaves_to_peers(self, row: LeaseRow | None) -> bool:
        """Return whether this daemon has just given up the lease in `row`."""
        if row is None or row.holder not in (NO_HOLDER, self._directory.own.entry_vm):
            return False
        return self._ports.clock.now_s() - self._handed_over_s < HANDED_OVER_S

    async def _take_lease(self, stored: StoredLease, takeover: LeaseTakeover) -> None:
        own = self._directory.own
        sent_s = self._ports.clock.now_s()
        leases = InheritedLeases(takeover, sent_s, self._tuning)
        listing = leases.listing(sent_s)
        term = Term(stored.row.term + 1 if stored.row else 1)
        lease = LeaseRow(
            holder=own.entry_vm,
            address=own.peer_address,
            term=term,
            vm_orders=stored.row.vm_orders if stored.row else (),
            ordered_vms=stored.row.ordered_vms if stored.row else (),
            upkeep_vms=stored.row.upkeep_vms if stored.row else (),
            earlier_acts_ms=math.ceil(takeover.holder_active_s * 1000),
            worker_leases=listing.worker_leases,
            other_leases=listing.other_leases,
            are_others_renewed=listing.are_others_renewed,
            lists_late_orders=listing.lists_late_orders,
        )
        outcome = await self._repository.write_lease(lease, stored.version)
        if isinstance(outcome, StoredLease):
            self._directory.lease = outcome.row
            return
        log_message(
            "currantstage:lease-taken",
            term=term,
            earlier=stored.row.holder if stored.row else None,
            ground=takeover.ground.value,
        )
        self._directory.lease = lease
        await self._run_session(lease, outcome, sent_s, leases)

    async def _run_session(
        self, lease: LeaseRow, version: int, sent_s: float, leases: InheritedLeases
    ) -> None:
        self.session = session = SchedulerSession(
            lease,
            version,
            sent_s,
            leases,
            self._repository,
            self._follower,
            self._ports,
            self._tuning,
            self._health,
            self._relays,
            self._offer,
        )
        try:
            await session.start()
            await session.wait_ended()
        finally:
            if not self._is_closing:
                await session.close()
                self.session = None

    async def _offer(self, term: Term) -> None:
        """Offer the lease; if no peer hears of it, release one that can't be used."""
        replies = await self._notify_peers(LeaseOffer(term))
        is_heard = any(isinstance(each, Acknowledged) for each in replies)
        session = self.session
        if is_heard or not replies or session is None or session.lease.term != term:
            return
        if not session.is_only_renewed():
            return
        self._handed_over_s = self._ports.clock.now_s()
        session.request_release()

    async def _notify_peers(
        self, message: LeaseOffer | LeaseReleased
    ) -> list[PeerReply | PeerFailure]:
        addresses = self._directory.peer_addresses()
        return await asyncio.gather(
            *(self._directory.send_query(each, message) for each in addresses)
        )

    def _configure(self) -> None:
        if self.session is not None:
            self.session.configure()
