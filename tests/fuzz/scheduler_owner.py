"""A daemon that holds the scheduler's lease, for the state machine."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from msgspec.structs import replace

from currantstage.application.jobs._commit_attempts import (
    CommitAttempt,
    CommitAttempts,
)
from currantstage.coordination.jobs import (
    NO_HOLDER,
    HeldLease,
    InheritedLeases,
    LeaseRow,
    ProgressBatch,
    Run,
    Scheduler,
    SchedulerTuning,
    WorkerLeaseBook,
)
from currantstage.state.jobs import WorkerId
from tests.jobs.records import listing_fields


@dataclass(eq=False)
class Owner:
    """A daemon that holds the lease or believes that it does.

    It writes the lease as `LeaseWriter` does.

    Parameters
    ----------
    scheduler : Scheduler
    leases : InheritedLeases
    lease : LeaseRow
        The lease as it last wrote it.
    version : int
    held : HeldLease
    book : WorkerLeaseBook
    is_loaded : bool
        Whether it has restored the stored jobs.
    is_releasing, has_sent_last : bool
        It stores what it has and then releases the lease; it has sent that write, and
        sends no orders afterwards.
    workers_read_s : float
        When it last read the list of workers.
    """

    scheduler: Scheduler
    leases: InheritedLeases
    lease: LeaseRow
    version: int
    held: HeldLease
    book: WorkerLeaseBook
    attempts: CommitAttempts
    is_loaded: bool = False
    is_up: bool = True
    is_releasing: bool = False
    has_sent_last: bool = False
    reaches_store: bool = True
    workers_read_s: float = float("-inf")
    unreachable_workers: set[WorkerId] = field(default_factory=set)

    @classmethod
    def from_takeover(
        cls,
        lease: LeaseRow,
        version: int,
        taken_s: float,
        leases: InheritedLeases,
        scheduler: Scheduler,
        tuning: SchedulerTuning,
    ) -> Owner:
        """Return the daemon that has taken the lease over with `lease`."""
        return cls(
            scheduler,
            leases,
            lease,
            version,
            HeldLease(tuning, taken_s),
            WorkerLeaseBook(leases, tuning),
            CommitAttempts(lease),
        )

    def may_send(self, now_s: float) -> bool:
        """Return whether it sends orders."""
        is_active = self.is_up and self.is_loaded and not self.has_sent_last
        return is_active and self.held.is_valid(now_s)

    def next_attempt(self, now_s: float) -> CommitAttempt:
        """Place ready tasks; return the next write of the lease and of progress."""
        batch = None
        if self.is_loaded:
            if not self.is_releasing:
                self.scheduler.place(now_s, 0)
            batch = self.scheduler.take_batch()
        is_last = self.is_releasing and batch is None
        self.has_sent_last = self.has_sent_last or is_last
        lease = self._next_lease(now_s, is_last=is_last)
        attempt = CommitAttempt(lease, now_s, batch, (), is_last)
        self.attempts.add(attempt)
        return attempt

    def on_unanswered(self, attempt: CommitAttempt) -> None:
        """Apply that a write got no answer."""
        self._on_batch_failed(attempt.batch)
        self.held.record_failure(attempt.sent_s)

    def on_stored(self, attempt: CommitAttempt, version: int) -> list[Run]:
        """Apply a confirmed write; return the runs that may be started."""
        self.version = version
        self.lease = attempt.lease
        self.attempts.confirm()
        self.held.confirm(attempt.sent_s)
        self.book.on_stored(attempt.lease)
        runs = self.scheduler.on_batch_stored(attempt.batch) if attempt.batch else []
        if attempt.is_last:
            self.is_up = False
        return runs

    def on_conflict(
        self, attempt: CommitAttempt, row: LeaseRow, version: int
    ) -> list[Run]:
        """Apply the row that was found in place of the version that was expected."""
        found = self.attempts.find(row)
        if found is not attempt:
            self._on_batch_failed(attempt.batch)
        if found is not None:
            return self.on_stored(found, version)
        if (row.holder, row.term) == (self.lease.holder, self.lease.term):
            self.version = version
            self.lease = row
            self.held.confirm_unanswered()
        else:
            self.is_up = False
        return []

    def _on_batch_failed(self, batch: ProgressBatch | None) -> None:
        if batch is not None:
            self.scheduler.on_batch_failed(batch)

    def _next_lease(self, now_s: float, *, is_last: bool) -> LeaseRow:
        sequence = self.attempts.next_sequence()
        earlier_s = max(0.0, self.leases.holders_active_until_s - now_s)
        lease = replace(
            self.lease,
            sequence=sequence,
            earlier_acts_ms=math.ceil(earlier_s * 1000),
            **listing_fields(self.book.listing(sequence, now_s)),
        )
        return replace(lease, holder=NO_HOLDER, address="") if is_last else lease
