"""One term of the scheduler: stores its decisions and sends its orders."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING, Any

from eliot import log_message
from msgspec.structs import replace

from currantstage.application.jobs._activity_log import ActivityLog
from currantstage.application.jobs._advice_driver import AdviceDriver
from currantstage.application.jobs._commit_attempts import (
    CommitAttempt,
    CommitAttempts,
)
from currantstage.application.jobs._fleet_driver import FleetDriver
from currantstage.application.jobs._repository import StoredLease
from currantstage.application.jobs._store_probe import StoreProbe
from currantstage.application.jobs._worker_driver import WorkerDriver
from currantstage.coordination.jobs import (
    NO_HOLDER,
    HeldLease,
    LeaseRow,
    Scheduler,
    VmOrderCooldown,
)
from currantstage.state.jobs import StoreUnavailable
from currantstage.util import TaskSet, wait_for_event

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from currantstage.application.jobs._configuration import ConfigurationFollower
    from currantstage.application.jobs._ports import SchedulerPorts
    from currantstage.application.jobs._repository import JobRepository
    from currantstage.coordination.jobs import (
        LeaseTakeover,
        ProgressBatch,
        SchedulerTuning,
        StoreHealth,
    )
    from currantstage.state import VmId
    from currantstage.state.jobs import JobId, Submission, Term, WorkerEntry, WorkerId

#: Maximum time that releasing the lease may take, in seconds.
RELEASE_TIMEOUT_S = 1.0
#: Minimum interval between writes, in seconds; a partition takes 150 a second.
COMMIT_INTERVAL_S = 0.012
#: Pause after a failed write, in seconds.
COMMIT_RETRY_S = 0.05
#: Long-poll timeout of the store's changes, in milliseconds.
CHANGES_WAIT_MS = 1000
#: Pause between reads of changes, in seconds; batches several into one response.
CHANGES_PAUSE_S = 0.1
#: Interval between removals of jobs whose retention period is over, in seconds.
CLEANUP_INTERVAL_S = 5.0
#: Maximum number of progress rows that one write removes.
MAX_REMOVED_ROWS = 50
#: Interval between checks of everything that has a deadline, in seconds.
TICK_INTERVAL_S = 0.1


class SchedulerSession:
    """Holds the scheduler's lease and schedules, from `start` until `has_ended`.

    Parameters
    ----------
    lease : LeaseRow
        The lease as this daemon wrote it on taking it over.
    version : int
        Version of the lease's row in the store.
    taken_s : float
        When the write that took the lease over was sent.
    takeover : LeaseTakeover
        Why the lease was taken over.
    repository : JobRepository
    follower : ConfigurationFollower
    ports : SchedulerPorts
    tuning : SchedulerTuning
    health : StoreHealth
    offer : callable
        Notifies the other daemons that the lease of a term can't be renewed.
    """

    def __init__(
        self,
        lease: LeaseRow,
        version: int,
        taken_s: float,
        takeover: LeaseTakeover,
        repository: JobRepository,
        follower: ConfigurationFollower,
        ports: SchedulerPorts,
        tuning: SchedulerTuning,
        health: StoreHealth,
        offer: Callable[[Term], Coroutine[Any, Any, None]],
    ) -> None:
        self._lease = lease
        self._version = version
        self._attempts = CommitAttempts(lease)
        self._takeover = takeover
        self._held_lease = HeldLease(tuning, taken_s)
        self._repository = repository
        self._follower = follower
        self._ports = ports
        self._tuning = tuning
        self._entries: dict[WorkerId, WorkerEntry] = {}
        self._ended = asyncio.Event()
        # A background task that fails ends the term, so that another daemon takes over.
        self._tasks = TaskSet(self._ended.set)
        self._driver: WorkerDriver | None = None
        self._activity: ActivityLog | None = None
        self._wake = asyncio.Event()
        self._is_releasing = False
        self._progress_to_remove: list[JobId] = []
        self._earlier_orders_until_s = taken_s + takeover.holder_active_s
        self._vm_order_cooldown = VmOrderCooldown(lease.ordered_vms, taken_s, tuning)
        #: When a VM was last added to those that the lease has to list.
        self._vm_added_s = float("-inf")
        self._renewed = asyncio.Event()
        self._health = health
        self._offer = offer
        self._is_offered = False
        self.scheduler: Scheduler | None = None

    @property
    def has_ended(self) -> bool:
        """Whether the lease has been lost or released."""
        return self._ended.is_set()

    @property
    def lease(self) -> LeaseRow:
        """The lease as this daemon last wrote it."""
        return self._lease

    def is_certainly_held(self) -> bool:
        """Return whether no other daemon can have taken the lease yet."""
        return self._held_lease.is_certainly_held(self._now_s())

    def needs_successor(self) -> bool:
        """Return whether the store has not confirmed the latest writes."""
        return self._held_lease.needs_successor(
            self._now_s(), self._health.newest_answered_call_s
        )

    async def start(self) -> None:
        """Start renewing the lease, and schedule once the stored state is loaded."""
        self._tasks.spawn(self._commit_forever())
        self._tasks.spawn(self._start_scheduler())

    async def wait_ended(self) -> None:
        """Wait until the lease has been lost or released."""
        await self._ended.wait()

    async def close(self) -> None:
        """Stop sending orders."""
        self._ended.set()
        await self._tasks.close()
        if self._driver is not None:
            await self._driver.close()

    async def release(self) -> None:
        """Store unsaved progress and release the lease; a peer can take it at once."""
        self._is_releasing = True
        self._wake.set()
        if not await wait_for_event(self._ended, RELEASE_TIMEOUT_S):
            log_message("currantstage:lease-not-released", term=self._lease.term)

    def accept(self, submission: Submission) -> None:
        """Schedule a job that has been stored."""
        if self.scheduler is None:
            return
        self.scheduler.submit(submission, self._now_s())
        self._wake.set()

    def cancel(self, job: JobId) -> None:
        """Cancel a job whose cancellation has been stored."""
        if self.scheduler is None:
            return
        self.scheduler.cancel(job)
        self._send_orders()
        self._wake.set()

    def configure(self) -> None:
        """Apply the configuration that is now in force."""
        if self.scheduler is not None and self._follower.current is not None:
            self.scheduler.configure(self._follower.current)
            self._wake.set()

    # Loading of the state that earlier schedulers have stored.

    async def _start_scheduler(self) -> None:
        while self.scheduler is None:
            try:
                await self._load()
            except StoreUnavailable as error:
                log_message("currantstage:scheduler-load-failed", reason=str(error))
                await asyncio.sleep(COMMIT_RETRY_S)

    async def _load(self) -> None:
        configuration = self._follower.current
        assert configuration is not None, "lease was taken over without a configuration"
        workers = await self._ports.workers.read()
        # Progress is read before jobs: if a job is removed in between, its progress is
        # ignored. In the reverse order, the job would be read without its progress,
        # and would run again.
        progress = {each.job: each for each in await self._repository.read_progress()}
        jobs = await self._repository.read_jobs()
        scheduler = Scheduler(self._lease.term, configuration, self._tuning)
        now_s = self._now_s()
        self._entries = {each.worker: each for each in workers.entries}
        scheduler.jobs.open_due(self._unix_ms())
        scheduler.update_workers(workers.entries, now_s)
        cancelled = set(jobs.cancelled)
        for submission in jobs.submissions:
            job = submission.job
            scheduler.restore(
                submission,
                progress.get(job),
                job in cancelled,
                self._takeover,
                now_s,
                self._unix_ms(),
            )
        log_message(
            "currantstage:scheduler-started",
            term=self._lease.term,
            jobs=len(jobs.submissions),
            workers=len(workers.entries),
            store_version=jobs.version,
        )
        self._activity = ActivityLog(scheduler, self._ports.clock)
        self._driver = WorkerDriver(
            scheduler,
            self._held_lease,
            self._ports,
            self._activity,
            self._wake.set,
            self._ended.set,
        )
        await self._driver.start()
        self._tasks.spawn(self._follow_workers(workers.version))
        self._tasks.spawn(self._follow_jobs(jobs.version))
        self._tasks.spawn(self._tick_forever())
        self._tasks.spawn(self._manage_fleet(scheduler))
        self._tasks.spawn(AdviceDriver(scheduler, self._ports, self._wake.set).run())
        self._tasks.spawn(self._clean_up_forever(scheduler))
        self._tasks.spawn(self._activity.run())
        self._progress_to_remove.extend(
            progress.keys() - {each.job for each in jobs.submissions}
        )
        self.scheduler = scheduler
        self._wake.set()

    async def _clean_up_forever(self, scheduler: Scheduler) -> None:
        """Remove jobs whose retention period is over: first the job, then its progress.

        Progress left without its job is removed by the next scheduler; a job left
        without its progress would run again.
        """
        while not self._ended.is_set():
            await asyncio.sleep(CLEANUP_INTERVAL_S)
            before_ms = self._unix_ms() - self._tuning.retention_ms
            for record in scheduler.jobs.ended_before(before_ms):
                try:
                    await self._repository.remove_job(record.job)
                except StoreUnavailable as error:
                    log_message("currantstage:clean-up-failed", reason=str(error))
                    break
                scheduler.jobs.discard(record)
                self._progress_to_remove.append(record.job)

    async def _manage_fleet(self, scheduler: Scheduler) -> None:
        driver = FleetDriver(
            scheduler,
            self._lease.term,
            self._vm_order_cooldown,
            self._list_in_lease,
            self.is_certainly_held,
            self._send_orders,
            self._repository,
            self._follower,
            self._ports,
            self._tuning,
        )
        await driver.run()

    async def _list_in_lease(self, vm: VmId) -> None:
        """Wait until a renewal of the lease lists `vm`.

        A daemon that takes the lease over afterwards sends no order for the VM during
        the cooldown. If one has taken it over already, the renewal can't succeed, and
        this never returns.
        """
        added_s = self._now_s()
        self._vm_order_cooldown.record_order(vm, added_s)
        self._vm_added_s = added_s
        while not self._held_lease.is_confirmed_since(added_s):
            self._wake.set()
            await self._renewed.wait()
        self._vm_order_cooldown.record_order(vm, self._now_s())

    # Renewal of the lease, together with all writes of progress.

    async def _commit_forever(self) -> None:
        while not self._ended.is_set():
            await self._commit_once()
            await asyncio.sleep(COMMIT_INTERVAL_S)
            await wait_for_event(self._wake, self._tuning.renewal_ms / 1000)

    async def _commit_once(self) -> None:
        self._wake.clear()
        batch = self._next_batch()
        sent_s = self._now_s()
        if (
            batch is None
            and not self._is_releasing
            and not self._held_lease.is_renewal_due(sent_s)
            and self._held_lease.is_confirmed_since(self._vm_added_s)
        ):
            return
        has_more = self.scheduler is not None and self.scheduler.jobs.has_unsaved
        is_last = self._is_releasing and not has_more
        removed = () if batch else tuple(self._progress_to_remove[:MAX_REMOVED_ROWS])
        lease = replace(
            self._lease,
            sequence=self._attempts.next_sequence(),
            ordered_vms=self._vm_order_cooldown.recent(sent_s),
            earlier_acts_ms=self._earlier_orders_ms(sent_s),
        )
        if is_last:
            lease = replace(lease, holder=NO_HOLDER, address="")
        attempt = CommitAttempt(lease, sent_s, batch, removed, is_last)
        self._attempts.add(attempt)
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
        probe = StoreProbe(self._repository, self._tuning.hand_over_ms / 1000)
        progress = attempt.batch.progress if attempt.batch else ()
        return await probe.watch(
            self._repository.write_lease(
                attempt.lease, self._version, progress, attempt.removed
            ),
            self._version,
        )

    async def _on_attempt_failed(
        self, attempt: CommitAttempt, error: StoreUnavailable
    ) -> None:
        if not error.is_in_doubt:
            self._attempts.discard(attempt)
        self._on_batch_failed(attempt.batch)
        self._on_commit_failed(attempt.sent_s, is_refused=not error.is_in_doubt)
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
        self._lease = attempt.lease
        self._attempts.confirm()
        self._held_lease.confirm(attempt.sent_s)
        self._renewed.set()
        self._renewed = asyncio.Event()
        self._is_offered = False
        del self._progress_to_remove[: len(attempt.removed)]
        self._observe_commit("stored", attempt.sent_s)
        self._on_batch_stored(attempt.batch)
        if attempt.is_last:
            log_message("currantstage:lease-released", term=attempt.lease.term)
            self._ended.set()

    def _observe_commit(self, outcome: str, sent_s: float) -> None:
        duration_s = self._now_s() - sent_s
        self._ports.metrics.count_commit(outcome, duration_s)
        if self._activity is not None:
            self._activity.observe_commit(duration_s)

    def _earlier_orders_ms(self, now_s: float) -> int:
        """Return how much longer earlier holders may still send orders."""
        return math.ceil(max(0.0, self._earlier_orders_until_s - now_s) * 1000)

    def _next_batch(self) -> ProgressBatch | None:
        if self.scheduler is None:
            return None
        if not self._is_releasing:
            self.scheduler.place(self._now_s(), self._unix_ms())
        return self.scheduler.take_batch()

    def _on_batch_failed(self, batch: ProgressBatch | None) -> None:
        if batch is not None and self.scheduler is not None:
            self.scheduler.on_batch_failed(batch)
            self._wake.set()

    def _on_commit_failed(self, sent_s: float, *, is_refused: bool) -> None:
        self._held_lease.record_failure(sent_s, is_refused=is_refused)
        if self.needs_successor() and not self._is_offered:
            self._is_offered = True
            self._tasks.spawn(self._offer(self._lease.term))

    def _on_commit_conflict(self, stored: StoredLease) -> None:
        row = stored.row
        if row is not None and (row.holder, row.term) == (
            self._lease.holder,
            self._lease.term,
        ):
            # An earlier write of this session, whose response was lost.
            self._version = stored.version
            self._lease = row
            self._held_lease.confirm_unanswered()
            return
        log_message(
            "currantstage:lease-lost",
            term=self._lease.term,
            holder=row.holder if row else None,
            newer_term=row.term if row else None,
        )
        self._ended.set()

    def _on_batch_stored(self, batch: ProgressBatch | None) -> None:
        if batch is None or self.scheduler is None:
            return
        ended = [
            (record, stored.state)
            for record, stored in zip(batch.jobs, batch.progress, strict=True)
            if stored.state.is_final and not record.stored_state.is_final
        ]
        starts = self.scheduler.on_batch_stored(batch)
        for record, state in ended:
            age_s = self._now_s() - record.accepted_s
            self._ports.metrics.count_job(state, age_s)
            log_message(
                "currantstage:job-ended",
                job=record.job,
                state=state.value,
                age_s=round(age_s, 3),
            )
        if self._driver is not None:
            self._driver.start_runs(starts)
            self._driver.on_progress_stored()
        if self.scheduler.jobs.has_unsaved:
            self._wake.set()

    # Tracking of changes during the term.

    async def _follow_workers(self, version: int) -> None:
        while not self._ended.is_set():
            await asyncio.sleep(CHANGES_PAUSE_S)
            try:
                changes = await self._ports.workers.changes(version, CHANGES_WAIT_MS)
                if changes is None:
                    changes = await self._ports.workers.read()
                    self._entries = {}
            except StoreUnavailable as error:
                log_message("currantstage:workers-read-failed", reason=str(error))
                continue
            version = changes.version
            for worker in changes.removed:
                self._entries.pop(worker, None)
            for entry in changes.entries:
                self._entries[entry.worker] = entry
            assert self.scheduler is not None
            self.scheduler.update_workers(self._entries.values(), self._now_s())
            assert self._driver is not None
            self._driver.start_renewals()
            self._wake.set()

    async def _follow_jobs(self, version: int) -> None:
        while not self._ended.is_set():
            await asyncio.sleep(CHANGES_PAUSE_S)
            try:
                changes = await self._repository.job_changes(version, CHANGES_WAIT_MS)
                if changes is None:
                    changes = await self._repository.read_jobs()
            except StoreUnavailable as error:
                log_message("currantstage:jobs-read-failed", reason=str(error))
                continue
            version = changes.version
            for submission in changes.submissions:
                self.accept(submission)
            for job in changes.cancelled:
                self.cancel(job)

    async def _tick_forever(self) -> None:
        assert self.scheduler is not None
        while not self._ended.is_set():
            await asyncio.sleep(TICK_INTERVAL_S)
            self.scheduler.tick(self._now_s())
            self._send_orders()
            self._wake.set()

    def _send_orders(self) -> None:
        if self._driver is not None:
            self._driver.send_orders()

    def _now_s(self) -> float:
        return self._ports.clock.now_s()

    def _unix_ms(self) -> int:
        return int(self._ports.unix_clock.now_s() * 1000)
