"""Sending of the scheduler's orders to workers, and renewal of their leases."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from eliot import log_message

from currantstage.application.jobs._configuration import loggable_age_s
from currantstage.application.jobs._start_sender import StartSender
from currantstage.state.jobs import OrderOutcome, RenewalReply, format_key
from currantstage.util import Notifier, TaskSet, wait_for_event

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Coroutine, Sequence
    from typing import Any

    from currantstage.application.jobs._activity_log import ActivityLog
    from currantstage.application.jobs._ports import SchedulerPorts
    from currantstage.application.jobs._relay_client import RelayClient
    from currantstage.coordination.jobs import (
        HeldLease,
        Run,
        Scheduler,
        SchedulerTuning,
    )
    from currantstage.state.jobs import (
        EndKind,
        RenewalOrder,
        StopOrder,
        TaskKey,
        WorkerId,
    )

#: Maximum time between checks of a worker that needs no renewal, in seconds.
IDLE_CHECK_INTERVAL_S = 0.5
#: Bounds of the pause before a retry to a worker that did not answer, in seconds; each
#: failure doubles the pause.
MIN_SILENT_RETRY_S = 0.2
MAX_SILENT_RETRY_S = 1.0
#: Minimum interval between renewals that don't wait for the end of a run, in seconds.
MIN_RENEWAL_INTERVAL_S = 0.05
#: Maximum time that a worker's next renewal waits for ends of runs to be stored, in
#: seconds.
MAX_STORE_WAIT_S = 0.3


class WorkerDriver:
    """Sends orders to all workers during one term of the scheduler.

    No order is sent once the scheduler's lease is no longer valid.

    Parameters
    ----------
    scheduler : Scheduler
    held : HeldLease
    ports : SchedulerPorts
    relays : RelayClient
    tuning : SchedulerTuning
    activity : ActivityLog
    on_change : callable
        Called when progress may have to be stored, or tasks may have become
        placeable.
    on_superseded : callable
        Called when a worker has seen the fence of a later term, or when sending an
        order has raised an unexpected exception.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        held_lease: HeldLease,
        ports: SchedulerPorts,
        relays: RelayClient,
        tuning: SchedulerTuning,
        activity: ActivityLog,
        on_change: Callable[[], None],
        on_superseded: Callable[[], None],
    ) -> None:
        self._scheduler = scheduler
        self._held_lease = held_lease
        self._ports = ports
        self._activity = activity
        self._on_change = on_change
        self._on_superseded = on_superseded
        self._tasks = TaskSet(on_superseded)
        self._starts = StartSender(
            scheduler,
            held_lease,
            ports,
            relays,
            tuning,
            activity,
            self._tasks,
            self._on_starts_answered,
        )
        self._wake_events: dict[WorkerId, asyncio.Event] = {}
        self._progress_stored = Notifier()

    async def start(self) -> None:
        """Start renewing the leases of all known workers."""
        self.start_renewals()

    async def close(self) -> None:
        """Stop sending orders; runs that were started continue."""
        await self._tasks.close()

    def start_runs(self, runs: Sequence[Run]) -> None:
        """Send start orders for runs whose placement is stored."""
        self._starts.send(runs)

    def on_progress_stored(self) -> None:
        """Resume the renewals that wait until ends of runs are stored."""
        self._progress_stored.notify_all()

    def send_orders(self) -> None:
        """Send the stop and pace orders that the scheduler has decided on."""
        self._log_lost_runs()
        self._log_preempted_runs()
        self._log_settled_adoption()
        if not self._held_lease.is_valid(self._now_s()):
            return
        if self._scheduler.is_superseded:
            log_message(
                "currantstage:lease-lost", term=self._scheduler.term, by="fence"
            )
            self._on_superseded()
            return
        for stop in self._scheduler.take_stop_orders():
            self._tasks.spawn(self._stop_run(stop))
        for pace in self._scheduler.take_pace_orders():
            log_message(
                "currantstage:task-pace",
                task=format_key(pace.task),
                worker=pace.worker.worker,
                percent=pace.percent,
            )
            self._tasks.spawn(_ignore_outcome(self._ports.orders.pace(pace)))

    def start_renewals(self) -> None:
        """Start renewing the leases of new workers, and of restarted ones at once.

        Until a restarted worker has answered, it may carry out orders of before.
        """
        for worker_state in self._scheduler.workers.states():
            worker = worker_state.entry.worker
            if worker in self._wake_events:
                if not worker_state.is_synced:
                    self._wake_worker(worker)
            elif not worker_state.is_retired:
                self._wake_events[worker] = asyncio.Event()
                self._tasks.spawn(self._renew_lease_forever(worker))

    def _on_starts_answered(self, workers: Collection[WorkerId]) -> None:
        for worker in workers:
            self._wake_worker(worker)
        self.send_orders()
        self._on_change()
        for worker in workers:
            if self._scheduler.can_settle_starts(worker):
                self._tasks.spawn(self._renew_lease_now(worker))

    async def _renew_lease_now(self, worker: WorkerId) -> None:
        """Renew a lease at once, to get the outcomes of starts that are in doubt.

        The worker's regular renewal may be waiting for the end of a run.
        """
        now_s = self._now_s()
        if not self._held_lease.is_valid(now_s):
            return
        order = self._scheduler.next_renewal(worker, now_s)
        if order is not None:
            reply = await self._ports.orders.hold(order)
            self._on_hold_outcome(order, reply, now_s)

    async def _renew_lease_forever(self, worker: WorkerId) -> None:
        wake = self._wake_events[worker]
        pause_s = MIN_SILENT_RETRY_S
        while self._scheduler.may_renew(worker):
            wake.clear()
            now_s = self._now_s()
            order = None
            if self._held_lease.is_valid(now_s):
                order = self._scheduler.next_renewal(worker, now_s)
            if order is None:
                await wait_for_event(wake, IDLE_CHECK_INTERVAL_S)
                continue
            reply = await self._ports.orders.hold(order)
            self._on_hold_outcome(order, reply, now_s)
            if not isinstance(reply, RenewalReply):
                if self._scheduler.is_silent(worker) or reply is OrderOutcome.FENCED:
                    await asyncio.sleep(pause_s)
                    pause_s = min(MAX_SILENT_RETRY_S, 2 * pause_s)
                continue
            pause_s = MIN_SILENT_RETRY_S
            if reply.ended:
                await self._wait_until_stored(worker)
            elif not order.wait_ms:
                await wait_for_event(wake, MIN_RENEWAL_INTERVAL_S)
        del self._wake_events[worker]

    async def _wait_until_stored(self, worker: WorkerId) -> None:
        """Wait for a write, and until all ends that a worker has listed are stored.

        Until they are acknowledged, it replies at once, and lists them again.
        """
        until_s = self._now_s() + MAX_STORE_WAIT_S
        while True:
            left_s = until_s - self._now_s()
            if left_s <= 0 or not await self._progress_stored.wait(left_s):
                return
            if not self._scheduler.has_unstored_ends(worker):
                return

    def _on_hold_outcome(
        self, order: RenewalOrder, reply: RenewalReply | OrderOutcome, sent_s: float
    ) -> None:
        was_silent = self._scheduler.is_silent(order.worker.worker)
        new_ends = self._scheduler.on_renewal_outcome(
            order, reply, sent_s, self._now_s()
        )
        if isinstance(reply, RenewalReply):
            if reply.born_ms != order.worker.born_ms:
                log_message(
                    "currantstage:worker-restarted",
                    worker=order.worker.worker,
                    born_ms=reply.born_ms,
                    meant_for_ms=order.worker.born_ms,
                    fence=order.fence,
                    until_ms=order.until_ms,
                    seen_upto=order.seen_upto,
                )
            if was_silent:
                log_message(
                    "currantstage:worker-regained",
                    worker=order.worker.worker,
                    running=len(reply.running),
                    fence=order.fence,
                )
            for ended in new_ends:
                self._ports.metrics.count_end(ended.kind)
                self._activity.count_end(ended.kind)
                _log_end(order, ended.task, ended.run, ended.kind)
        elif not was_silent and reply is not OrderOutcome.FENCED:
            log_message(
                "currantstage:worker-silent",
                worker=order.worker.worker,
                born_ms=order.worker.born_ms,
                outcome=reply.value,
                fence=order.fence,
                until_ms=order.until_ms,
            )
        self.send_orders()
        self._on_change()

    def _log_lost_runs(self) -> None:
        for lost in self._scheduler.take_lost_runs():
            task = lost.run.task.key
            now_s = self._now_s()
            log_message(
                "currantstage:task-lost",
                job=task.job,
                task=format_key(task),
                run=lost.run.number,
                worker=lost.run.worker,
                cause=lost.loss.cause.value,
                companions=lost.loss.companions,
                phase=lost.run.phase.value,
                is_adopted=lost.run.is_adopted,
                placed_ago_s=_placed_ago_s(lost.run, now_s),
                in_doubt_s=loggable_age_s(lost.run.in_doubt_s(now_s)),
                unrenewed_before_s=loggable_age_s(lost.run.unrenewed_before_s),
                listed_ago_s=loggable_age_s(now_s - lost.run.listed_s),
                clock_age_s=loggable_age_s(
                    self._scheduler.clock_age_s(lost.run.worker, now_s)
                ),
            )

    def _log_preempted_runs(self) -> None:
        for each in self._scheduler.take_preempted_runs():
            task = each.run.task.key
            log_message(
                "currantstage:task-preempted",
                job=task.job,
                task=format_key(task),
                run=each.run.number,
                worker=each.run.worker,
                placed_ago_s=_placed_ago_s(each.run, self._now_s()),
                preempted_for=format_key(each.step),
            )

    def _log_settled_adoption(self) -> None:
        summary = self._scheduler.adopted_runs.take_summary(self._now_s())
        if summary is not None:
            log_message(
                "currantstage:adopted-runs-settled",
                term=self._scheduler.term,
                duration_s=round(summary.duration_s, 3),
                listed=summary.listed,
                lease_expired=summary.lease_expired,
                process_ended=summary.process_ended,
            )

    async def _stop_run(self, order: StopOrder) -> None:
        outcome = await self._ports.orders.stop(order)
        log_message(
            "currantstage:task-stop",
            job=order.task.job,
            task=format_key(order.task),
            run=order.run,
            worker=order.worker.worker,
            outcome=outcome.value,
        )
        self._wake_worker(order.worker.worker)

    def _wake_worker(self, worker: WorkerId) -> None:
        wake = self._wake_events.get(worker)
        if wake is not None:
            wake.set()

    def _now_s(self) -> float:
        return self._ports.clock.now_s()


async def _ignore_outcome(work: Coroutine[Any, Any, object]) -> None:
    await work


def _placed_ago_s(run: Run, now_s: float) -> float | None:
    """Return how long ago a run was placed; None if an earlier scheduler did it."""
    return None if run.is_adopted else round(now_s - run.placed_s, 3)


def _log_end(order: RenewalOrder, task: TaskKey, run: int, kind: EndKind) -> None:
    log_message(
        "currantstage:task-end",
        task=format_key(task),
        run=run,
        worker=order.worker.worker,
        kind=kind.value,
    )
