"""Renewal of the scheduler's lease, together with all writes of progress."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

from eliot import log_message
from msgspec.structs import replace

from currantstage.application.jobs._commit_attempts import (
    CommitAttempt,
    CommitAttempts,
)
from currantstage.application.jobs._repository import StoredLease
from currantstage.application.jobs._store_probe import StoreProbe
from currantstage.coordination.jobs import (
    NO_HOLDER,
    HeldLease,
    LeaseRow,
    VmOrderCooldown,
    WorkerLeaseBook,
)
from currantstage.state.jobs import StoreRefused, StoreUnavailable
from currantstage.util import Notifier, wait_for_event

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from currantstage.application.jobs._ports import SchedulerPorts
    from currantstage.application.jobs._progress_source import ProgressSource
    from currantstage.application.jobs._repository import JobRepository
    from currantstage.coordination.jobs import (
        InheritedLeases,
        ProgressBatch,
        SchedulerTuning,
        StoreHealth,
        VmOrder,
    )
    from currantstage.state.jobs import PageKey

#: Minimum interval between writes, in seconds; a partition takes 150 a second.
COMMIT_INTERVAL_S = 0.012
#: Pause after a failed write, in seconds.
COMMIT_RETRY_S = 0.05
#: Maximum time that a release waits for the outcomes of starts and stops, in seconds.
MAX_OUTCOME_WAIT_S = 0.3
#: Maximum number of progress rows that one write removes, alone and beside others.
MAX_REMOVED_ROWS = 50
MAX_REMOVED_BESIDE = 8


class LeaseWriter:
    """Renews the lease in the store, from its takeover until it is lost or released.

    Each write renews the lease and stores a batch of progress with it, so that progress
    is stored only under a lease that is still this daemon's. Without progress, the
    lease is written when its renewal is due.

    Parameters
    ----------
    lease : LeaseRow
        The lease as this daemon wrote it on taking it over.
    version : int
        Version of the lease's row in the store.
    taken_s : float
        When the write that took the lease over was sent.
    leases : InheritedLeases
        What is known of the workers' leases from earlier holders.
    repository : JobRepository
    ports : SchedulerPorts
    tuning : SchedulerTuning
    health : StoreHealth
    ended : asyncio.Event
        Set when the lease has been lost or released; ends the writes.
    on_failed : callable
        Called after a write that was not confirmed.
    """

    def __init__(
        self,
        lease: LeaseRow,
        version: int,
        taken_s: float,
        leases: InheritedLeases,
        repository: JobRepository,
        ports: SchedulerPorts,
        tuning: SchedulerTuning,
        health: StoreHealth,
        ended: asyncio.Event,
        on_failed: Callable[[], None],
    ) -> None:
        #: The lease as this daemon last wrote it.
        self.lease = lease
        self.held_lease = HeldLease(tuning, taken_s)
        self.vm_order_cooldown = VmOrderCooldown(lease.all_vm_orders(), taken_s, tuning)
        self.worker_leases = WorkerLeaseBook(leases, tuning)
        self._version = version
        self._attempts = CommitAttempts(lease)
        self._probe = StoreProbe(repository, tuning.hand_over_ms / 1000)
        self._repository = repository
        self._ports = ports
        self._tuning = tuning
        self._health = health
        self._ended = ended
        self._on_failed = on_failed
        self._source: ProgressSource | None = None
        self._wake = asyncio.Event()
        self._renewed = Notifier()
        self._is_releasing = False
        self._outcomes_until_s = float("inf")
        #: A batch that the store has refused; the next write is of the lease alone.
        self._refused: ProgressBatch | None = None
        self._progress_to_remove: list[PageKey] = []
        self._earlier_orders_until_s = leases.holders_active_until_s
        #: When a VM was last added to those that the lease has to list.
        self._vm_added_s = float("-inf")

    def is_certainly_held(self) -> bool:
        """Return whether no other daemon can have taken the lease yet."""
        return self.held_lease.is_certainly_held(self._now_s())

    def may_order_vms(self) -> bool:
        """Return whether an order for a VM may be sent; not once a release is due."""
        return self.is_certainly_held() and not self._is_releasing

    def needs_successor(self) -> bool:
        """Return whether the store has not confirmed the latest writes."""
        return self.held_lease.needs_successor(
            self._now_s(), self._health.newest_answered_call_s
        )

    def wake(self) -> None:
        """Let the next write start without waiting until a renewal is due."""
        self._wake.set()

    def add_source(self, source: ProgressSource) -> None:
        """Store the progress of `source` from now on."""
        self._source = source

    def remove_progress(self, pages: Iterable[PageKey]) -> None:
        """Remove progress that is not needed any more."""
        self._progress_to_remove.extend(pages)

    def request_release(self) -> None:
        """Release the lease once all progress is stored.

        That includes the outcomes of starts and stops that are under way, if they are
        known within `MAX_OUTCOME_WAIT_S`.
        """
        self._is_releasing = True
        self._outcomes_until_s = self._now_s() + MAX_OUTCOME_WAIT_S
        self._wake.set()

    async def list_vm_order(self, order: VmOrder) -> None:
        """Wait until a renewal of the lease lists an order that is about to be sent.

        A daemon that takes the lease over afterwards sends no order for the VM during
        the cooldown. If one has taken it over already, the renewal can't succeed, and
        this never returns.
        """
        added_s = self._now_s()
        self.vm_order_cooldown.record_order(order)
        self._vm_added_s = added_s
        while not self.held_lease.is_confirmed_since(added_s):
            self._wake.set()
            await self._renewed.wait()

    async def run(self) -> None:
        """Write the lease and progress until the lease has been lost or released."""
        while not self._ended.is_set():
            await self._commit_once()
            await asyncio.sleep(COMMIT_INTERVAL_S)
            await wait_for_event(self._wake, self._tuning.renewal_ms / 1000)

    async def _commit_once(self) -> None:
        self._wake.clear()
        batch = None if self._refused is not None else self._next_batch()
        sent_s = self._now_s()
        if batch is None and not self._is_write_due(sent_s):
            return
        is_last = self._may_release(sent_s)
        removed = tuple(self._progress_to_remove[: _max_removed(batch)])
        lease = self._next_lease(sent_s, is_last=is_last)
        attempt = CommitAttempt(lease, sent_s, batch, removed, is_last)
        self._attempts.add(attempt)
        if is_last:
            self.held_lease.give_up()
        try:
            outcome = await self._write(attempt)
        except StoreUnavailable as error:
            await self._on_attempt_failed(attempt, error)
            return
        if isinstance(outcome, StoredLease):
            self._on_lease_read(attempt, outcome)
        else:
            self._on_attempt_stored(attempt, outcome)

    async def _write(self, attempt: CommitAttempt) -> int | StoredLease:
        progress = attempt.batch.rows if attempt.batch else ()
        return await self._probe.watch(
            self._repository.write_lease(
                attempt.lease, self._version, progress, attempt.removed
            ),
            self._version,
        )

    def _next_batch(self) -> ProgressBatch | None:
        if self._source is None:
            return None
        return self._source.next_batch(is_placing=not self._is_releasing)

    def _is_write_due(self, now_s: float) -> bool:
        """Return whether the lease is to be written even without progress."""
        return (
            self._may_release(now_s)
            or self._refused is not None
            or self.held_lease.is_renewal_due(now_s)
            or not self.held_lease.is_confirmed_since(self._vm_added_s)
            or self.worker_leases.is_write_due()
        )

    def _may_release(self, now_s: float) -> bool:
        """Return whether the next write may release the lease."""
        if not self._is_releasing or self._source is None:
            return self._is_releasing
        if self._source.has_unsaved:
            return False
        return now_s >= self._outcomes_until_s or not self._source.has_open_orders

    def _next_lease(self, now_s: float, *, is_last: bool) -> LeaseRow:
        sequence = self._attempts.next_sequence()
        listing = self.worker_leases.listing(sequence, now_s)
        lease = replace(
            self.lease,
            sequence=sequence,
            vm_orders=self.vm_order_cooldown.listed(now_s),
            ordered_vms=self.vm_order_cooldown.recent(now_s),
            upkeep_vms=self.vm_order_cooldown.open_upkeeps(now_s),
            earlier_acts_ms=self._earlier_orders_ms(now_s),
            worker_leases=listing.worker_leases,
            other_leases=listing.other_leases,
            are_others_renewed=listing.are_others_renewed,
            lists_late_orders=listing.lists_late_orders,
        )
        return replace(lease, holder=NO_HOLDER, address="") if is_last else lease

    def _earlier_orders_ms(self, now_s: float) -> int:
        """Return how much longer earlier holders may still send orders."""
        return math.ceil(max(0.0, self._earlier_orders_until_s - now_s) * 1000)

    async def _on_attempt_failed(
        self, attempt: CommitAttempt, error: StoreUnavailable
    ) -> None:
        self._on_batch_failed(attempt.batch)
        self._refused = attempt.batch if isinstance(error, StoreRefused) else None
        if not error.is_in_doubt:
            self._attempts.discard(attempt)
            await self._probe.read_once()
        self.held_lease.record_failure(attempt.sent_s)
        self._on_failed()
        self._observe_commit("failed", attempt.sent_s)
        log_message(
            "currantstage:commit-failed",
            reason=str(error),
            in_doubt=error.is_in_doubt,
        )
        await asyncio.sleep(COMMIT_RETRY_S)
        self._wake.set()

    def _on_lease_read(self, attempt: CommitAttempt, stored: StoredLease) -> None:
        """Apply a lease that is newer than the version that `attempt` is based on."""
        found = self._attempts.find(stored.row)
        if found is not attempt:
            self._on_batch_failed(attempt.batch)
        if found is None:
            self._on_commit_conflict(stored)
            return
        log_message(
            "currantstage:commit-seen",
            sequence=found.lease.sequence,
            is_newest=found is attempt,
            after_s=round(self._now_s() - found.sent_s, 3),
        )
        self._on_attempt_stored(found, stored.version)

    def _on_attempt_stored(self, attempt: CommitAttempt, version: int) -> None:
        self._version = version
        self.lease = attempt.lease
        self._attempts.confirm()
        self.held_lease.confirm(attempt.sent_s)
        self.worker_leases.on_stored(attempt.lease)
        self._renewed.notify_all()
        del self._progress_to_remove[: len(attempt.removed)]
        self._observe_commit("stored", attempt.sent_s)
        self._on_batch_stored(attempt.batch)
        self._blame_refused_batch()
        if attempt.is_last:
            log_message("currantstage:lease-released", term=attempt.lease.term)
            self._ended.set()

    def _on_commit_conflict(self, stored: StoredLease) -> None:
        row = stored.row
        if row is not None and (row.holder, row.term) == (
            self.lease.holder,
            self.lease.term,
        ):
            # An earlier write of this session, whose response was lost.
            self._version = stored.version
            self.lease = row
            self.held_lease.confirm_unanswered()
            return
        log_message(
            "currantstage:lease-lost",
            term=self.lease.term,
            holder=row.holder if row else None,
            newer_term=row.term if row else None,
        )
        self.held_lease.give_up()
        self._ended.set()

    def _on_batch_failed(self, batch: ProgressBatch | None) -> None:
        if batch is not None and self._source is not None:
            self._source.on_failed(batch)
            self._wake.set()

    def _blame_refused_batch(self) -> None:
        """Look for what the store rejects, as it takes the lease by itself."""
        if self._refused is not None and self._source is not None:
            self._source.on_refused(self._refused)
            self._wake.set()
        self._refused = None

    def _on_batch_stored(self, batch: ProgressBatch | None) -> None:
        if batch is None or self._source is None:
            return
        self.remove_progress(self._source.on_stored(batch))
        if self._source.has_unsaved:
            self._wake.set()

    def _observe_commit(self, outcome: str, sent_s: float) -> None:
        duration_s = self._now_s() - sent_s
        self._ports.metrics.count_commit(outcome, duration_s)
        if self._source is not None:
            self._source.observe_commit(duration_s)

    def _now_s(self) -> float:
        return self._ports.clock.now_s()


def _max_removed(batch: ProgressBatch | None) -> int:
    """Return how many rows a write may remove that stores `batch`."""
    return MAX_REMOVED_BESIDE if batch and batch.writes else MAX_REMOVED_ROWS
