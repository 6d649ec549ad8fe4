"""Observation and takeover of the scheduler's lease."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

from eliot import log_message

from currantstage.application.jobs._repository import StoredLease
from currantstage.application.jobs._session import SchedulerSession
from currantstage.coordination.jobs import (
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

#: Interval between reads of the lease, in seconds.
LEASE_READ_INTERVAL_S = 0.4
#: Timeout of a query to the holder, in seconds; it delays the next read of the lease.
HOLDER_TIMEOUT_S = 0.2
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
        """End the session of `term` if the store does not confirm its renewals.

        After this has returned, no more orders are sent in that term.
        """
        session = self.session
        if session is None or session.lease.term != term:
            return
        if not session.has_ended:
            if not session.needs_successor():
                return
            log_message("currantstage:lease-lost", term=term, by="hand-over")
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
        if takeover is None:
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
        if not self._watch.is_suspect() and row.term != self._offered_term:
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
        await self._notify_peers(LeaseOffer(term))

    async def _notify_peers(self, message: LeaseOffer | LeaseReleased) -> None:
        addresses = self._directory.peer_addresses()
        await asyncio.gather(
            *(self._directory.send_query(each, message) for each in addresses)
        )

    def _configure(self) -> None:
        if self.session is not None:
            self.session.configure()
