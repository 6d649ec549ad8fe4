"""One term of the scheduler: stores its decisions and sends its orders."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from eliot import log_message

from currantstage.application.jobs._activity_log import ActivityLog
from currantstage.application.jobs._advice_driver import AdviceDriver
from currantstage.application.jobs._change_feed import ChangeFeed
from currantstage.application.jobs._fleet_driver import FleetDriver
from currantstage.application.jobs._lease_writer import LeaseWriter
from currantstage.application.jobs._load_attempts import LoadAttempts
from currantstage.application.jobs._progress_source import ProgressSource
from currantstage.application.jobs._scheduler_loader import (
    TASKS_PER_TURN,
    load_scheduler,
)
from currantstage.application.jobs._turn_watch import TurnWatch, TurnWork
from currantstage.application.jobs._worker_driver import WorkerDriver
from currantstage.state.jobs import HEAD_PAGE, PageKey, StoreUnavailable
from currantstage.util import TaskSet, wait_for_event

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from currantstage.application.jobs._configuration import ConfigurationFollower
    from currantstage.application.jobs._ports import SchedulerPorts
    from currantstage.application.jobs._relay_client import RelayClient
    from currantstage.application.jobs._repository import JobRepository
    from currantstage.coordination.jobs import (
        InheritedLeases,
        LeaseRow,
        Scheduler,
        SchedulerTuning,
        StoreHealth,
    )
    from currantstage.state.jobs import JobId, Submission, Term, WorkerEntry, WorkerId

#: Maximum time that releasing the lease may take, in seconds.
RELEASE_TIMEOUT_S = 1.0
#: Pause after a failed attempt to load the stored state, in seconds.
LOAD_RETRY_S = 0.05
#: Interval between offers of a lease that needs another holder, in seconds.
OFFER_INTERVAL_S = 1.0
#: Pause between reads of changes, in seconds; batches several into one response.
CHANGES_PAUSE_S = 0.1
#: Interval between removals of jobs whose retention period is over, in seconds.
CLEANUP_INTERVAL_S = 5.0
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
    leases : InheritedLeases
        What is known of the workers' leases from earlier holders.
    repository : JobRepository
    follower : ConfigurationFollower
    ports : SchedulerPorts
    tuning : SchedulerTuning
    health : StoreHealth
    relays : RelayClient
    offer : callable
        Offers the lease of a term to the other daemons.
    """

    def __init__(
        self,
        lease: LeaseRow,
        version: int,
        taken_s: float,
        leases: InheritedLeases,
        repository: JobRepository,
        follower: ConfigurationFollower,
        ports: SchedulerPorts,
        tuning: SchedulerTuning,
        health: StoreHealth,
        relays: RelayClient,
        offer: Callable[[Term], Coroutine[Any, Any, None]],
    ) -> None:
        self._leases = leases
        self._repository = repository
        self._follower = follower
        self._ports = ports
        self._tuning = tuning
        self._relays = relays
        self._turns = TurnWatch(ports.clock, ports.metrics)
        self._entries: dict[WorkerId, WorkerEntry] = {}
        self._ended = asyncio.Event()
        # A background task that fails ends the term, so that another daemon takes over.
        self._tasks = TaskSet(self._ended.set)
        self._driver: WorkerDriver | None = None
        self._offer = offer
        self._offer_due_s = float("-inf")
        self._load_attempts = LoadAttempts(tuning)
        self._lease_writer = LeaseWriter(
            lease,
            version,
            taken_s,
            leases,
            repository,
            ports,
            tuning,
            health,
            self._ended,
            self._offer_if_needed,
        )
        self.scheduler: Scheduler | None = None

    @property
    def has_ended(self) -> bool:
        """Whether the lease has been lost or released."""
        return self._ended.is_set()

    @property
    def lease(self) -> LeaseRow:
        """The lease as this daemon last wrote it."""
        return self._lease_writer.lease

    def is_certainly_held(self) -> bool:
        """Return whether no other daemon can have taken the lease yet."""
        return self._lease_writer.is_certainly_held()

    def needs_successor(self) -> bool:
        """Return whether the lease can't be renewed, or the stored state not loaded."""
        return (
            self._lease_writer.needs_successor()
            or self._load_attempts.needs_successor(self._now_s())
        )

    def is_only_renewed(self) -> bool:
        """Return whether the lease is renewed, but the stored state not loaded."""
        return self.scheduler is None and not self._lease_writer.needs_successor()

    async def start(self) -> None:
        """Start renewing the lease, and schedule once the stored state is loaded."""
        self._tasks.spawn(self._lease_writer.run())
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
        self.request_release()
        if not await wait_for_event(self._ended, RELEASE_TIMEOUT_S):
            log_message("currantstage:lease-not-released", term=self.lease.term)

    def request_release(self) -> None:
        """Release the lease as soon as the store takes the write."""
        self._lease_writer.request_release()

    def accept(self, submission: Submission) -> None:
        """Schedule a job that has been stored."""
        if self.scheduler is None:
            return
        jobs = self.scheduler.jobs
        with self._turns.watch(TurnWork.ACCEPT, lambda: jobs.get(submission.job)):
            self.scheduler.submit(submission, self._now_s())
        self._lease_writer.wake()

    def cancel(self, job: JobId) -> None:
        """Cancel a job whose cancellation has been stored."""
        if self.scheduler is None:
            return
        self.scheduler.cancel(job, self._now_s())
        self._send_orders()
        self._lease_writer.wake()

    def configure(self) -> None:
        """Apply the configuration that is now in force."""
        if self.scheduler is not None and self._follower.current is not None:
            self.scheduler.configure(self._follower.current)
            self._lease_writer.wake()

    async def _start_scheduler(self) -> None:
        while self.scheduler is None:
            begun_s = self._now_s()
            try:
                await self._load()
            except StoreUnavailable as error:
                self._on_load_failed(begun_s, error)
                await asyncio.sleep(LOAD_RETRY_S)
        self._load_attempts.record_success()

    def _on_load_failed(self, begun_s: float, error: StoreUnavailable) -> None:
        attempts = self._load_attempts
        attempts.record_failure(begun_s)
        log_message(
            "currantstage:scheduler-load-failed",
            term=self.lease.term,
            reason=str(error),
            failing_s=round(attempts.failing_s(self._now_s()), 3),
            attempts=attempts.failed_count,
        )
        self._offer_if_needed()

    async def _load(self) -> None:
        configuration = self._follower.current
        assert configuration is not None, "lease was taken over without a configuration"
        loaded = await load_scheduler(
            self.lease.term,
            configuration,
            self._leases,
            self._repository,
            self._ports,
            self._tuning,
        )
        scheduler = loaded.scheduler
        self._lease_writer.worker_leases.follow(scheduler.workers)
        self._entries = {each.worker: each for each in loaded.workers}
        activity = ActivityLog(scheduler, self._ports.clock)
        self._driver = WorkerDriver(
            scheduler,
            self._lease_writer.held_lease,
            self._ports,
            self._relays,
            self._tuning,
            activity,
            self._lease_writer.wake,
            self._ended.set,
        )
        await self._driver.start()
        self._tasks.spawn(self._follow_workers(loaded.workers_version))
        self._tasks.spawn(self._follow_jobs(loaded.jobs_version))
        self._tasks.spawn(self._tick_forever())
        self._tasks.spawn(self._manage_fleet(scheduler))
        self._tasks.spawn(
            AdviceDriver(scheduler, self._ports, self._lease_writer.wake).run()
        )
        self._tasks.spawn(self._clean_up_forever(scheduler))
        self._tasks.spawn(activity.run())
        self._lease_writer.remove_progress(loaded.obsolete_progress)
        self._lease_writer.add_source(
            ProgressSource(scheduler, self._driver, activity, self._ports)
        )
        self.scheduler = scheduler
        # A change that has come into force during the load has not been applied.
        self.configure()

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
                self._lease_writer.remove_progress([PageKey(record.job, HEAD_PAGE)])
            await self._remove_early_cancellations(scheduler)

    async def _remove_early_cancellations(self, scheduler: Scheduler) -> None:
        """Remove cancellations whose job can't be stored any more."""
        cancellations = scheduler.early_cancellations
        before_s = self._now_s() - self._tuning.retention_ms / 1000
        for job in cancellations.noted_before(before_s):
            try:
                await self._repository.remove_job(job)
            except StoreUnavailable as error:
                log_message("currantstage:clean-up-failed", reason=str(error))
                return
            cancellations.discard(job)

    async def _manage_fleet(self, scheduler: Scheduler) -> None:
        driver = FleetDriver(
            scheduler,
            self.lease.term,
            self._lease_writer.vm_order_cooldown,
            self._lease_writer.list_vm_order,
            self._lease_writer.may_order_vms,
            self._send_orders,
            self._start_renewals,
            self._repository,
            self._follower,
            self._ports,
            self._tuning,
        )
        await driver.run()

    # Tracking of changes during the term.

    async def _follow_workers(self, version: int) -> None:
        source = self._ports.workers
        feed = ChangeFeed("workers", source.read, source.changes, version)
        while not self._ended.is_set():
            await asyncio.sleep(CHANGES_PAUSE_S)
            try:
                update = await feed.next()
            except StoreUnavailable as error:
                log_message("currantstage:workers-read-failed", reason=str(error))
                continue
            changes = update.changes
            if update.is_complete:
                self._entries = {}
            for worker in changes.removed:
                self._entries.pop(worker, None)
            for entry in changes.entries:
                self._entries[entry.worker] = entry
            assert self.scheduler is not None
            self.scheduler.update_workers(self._entries.values(), self._now_s())
            self._start_renewals()
            self._lease_writer.wake()

    async def _follow_jobs(self, version: int) -> None:
        source = self._repository
        feed = ChangeFeed("jobs", source.read_jobs, source.job_changes, version)
        while not self._ended.is_set():
            await asyncio.sleep(CHANGES_PAUSE_S)
            try:
                changes = (await feed.next()).changes
            except StoreUnavailable as error:
                log_message("currantstage:jobs-read-failed", reason=str(error))
                continue
            cancelled = frozenset(changes.cancelled)
            for job in cancelled:
                self.cancel(job)
            accepted_tasks = 0
            for submission in changes.submissions:
                self.accept(submission)
                if submission.job in cancelled:
                    self.cancel(submission.job)
                accepted_tasks += submission.task_count
                if accepted_tasks >= TASKS_PER_TURN:
                    # Large jobs that come at once let the lease be renewed meanwhile.
                    await asyncio.sleep(0)
                    accepted_tasks = 0

    async def _tick_forever(self) -> None:
        assert self.scheduler is not None
        while not self._ended.is_set():
            await asyncio.sleep(TICK_INTERVAL_S)
            self.scheduler.tick(self._now_s())
            self._send_orders()
            self._lease_writer.wake()

    def _offer_if_needed(self) -> None:
        """Offer the lease while it needs another holder; an offer may reach nobody."""
        now_s = self._now_s()
        if now_s < self._offer_due_s or not self.needs_successor():
            return
        self._offer_due_s = now_s + OFFER_INTERVAL_S
        self._tasks.spawn(self._offer(self.lease.term))

    def _send_orders(self) -> None:
        if self._driver is not None:
            self._driver.send_orders()

    def _start_renewals(self) -> None:
        if self._driver is not None:
            self._driver.start_renewals()

    def _now_s(self) -> float:
        return self._ports.clock.now_s()

    def _unix_ms(self) -> int:
        return int(self._ports.unix_clock.now_s() * 1000)
