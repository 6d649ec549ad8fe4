"""Carries out the scheduler's orders to workers, and renews their leases."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from eliot import log_message

from currantstage.state.jobs import HoldReply, OrderOutcome
from currantstage.util import TaskSet, wait_for_event

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine, Iterable
    from typing import Any

    from currantstage.application.jobs._ports import SchedulerPorts
    from currantstage.coordination.jobs import HeldLease, Run, Scheduler
    from currantstage.state.jobs import EndKind, HoldOrder, StopOrder, TaskKey, WorkerId

#: Longest that a worker without work waits before it is looked at again, in seconds.
IDLE_LOOK_S = 0.5
#: Pause before a worker that did not answer is asked again, at first and at most, in
#: seconds.
SILENT_RETRY_S = 0.2
SILENT_MAX_RETRY_S = 1.0
#: Least time between two renewals that don't wait for an end, in seconds.
LEAST_HOLD_S = 0.05
#: Longest that a worker's next renewal waits for its ends to be stored, in seconds.
STORE_WAIT_S = 0.3


class WorkerDriver:
    """Speaks with every worker, for one term of the scheduler.

    No order is sent once the scheduler's lease is not valid any more.

    Parameters
    ----------
    scheduler : Scheduler
    held : HeldLease
    ports : SchedulerPorts
    on_change : callable
        Called when something may have to be stored or can be placed.
    on_superseded : callable
        Called when a worker has seen the fence of a later term, or when an order
        could not be carried out for an error of this program.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        held: HeldLease,
        ports: SchedulerPorts,
        on_change: Callable[[], None],
        on_superseded: Callable[[], None],
    ) -> None:
        self._scheduler = scheduler
        self._held = held
        self._ports = ports
        self._on_change = on_change
        self._on_superseded = on_superseded
        self._tasks = TaskSet(on_superseded)
        self._worker_wakes: dict[WorkerId, asyncio.Event] = {}
        self._stored = asyncio.Event()

    async def start(self) -> None:
        """Renew the leases of the workers that are known."""
        self.follow_workers()

    async def close(self) -> None:
        """Stop giving orders; what has been ordered goes on."""
        await self._tasks.close()

    def start_runs(self, runs: Iterable[Run]) -> None:
        """Order runs whose placement is stored."""
        for run in runs:
            self._tasks.spawn(self._start_run(run))

    def note_stored(self) -> None:
        """Let the renewals go on that wait for their ends to be stored."""
        self._stored.set()
        self._stored = asyncio.Event()

    def give_orders(self) -> None:
        """Send the stops and changes of pace that have been decided."""
        if not self._held.is_valid(self._now_s()):
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
                task=_task_text(pace.task),
                worker=pace.worker.worker,
                percent=pace.percent,
            )
            self._tasks.spawn(_discard(self._ports.orders.pace(pace)))

    def follow_workers(self) -> None:
        """Renew the lease of every worker that is known."""
        for book in self._scheduler.workers.states():
            worker = book.entry.worker
            if worker not in self._worker_wakes:
                self._worker_wakes[worker] = asyncio.Event()
                self._tasks.spawn(self._hold_forever(worker))

    async def _start_run(self, run: Run) -> None:
        now_s = self._now_s()
        if not self._held.is_valid(now_s):
            return
        order = self._scheduler.start_order(run, now_s)
        if order is None:
            self._on_change()
            return
        outcome = await self._ports.orders.start(order)
        self._scheduler.on_start_outcome(run, outcome, self._now_s())
        self._ports.metrics.count_start(outcome, now_s - run.placed_s)
        log_message(
            "currantstage:task-start",
            job=order.task.job,
            task=_task_text(order.task),
            run=order.run,
            worker=order.worker.worker,
            fence=order.fence,
            outcome=outcome.value,
            waited_s=round(now_s - run.placed_s, 3),
            configuration=self._scheduler.configuration.version,
        )
        self._wake_worker(order.worker.worker)
        self.give_orders()
        self._on_change()
        if outcome is OrderOutcome.UNKNOWN:
            await self._hold_now(order.worker.worker)

    async def _hold_now(self, worker: WorkerId) -> None:
        """Ask a worker at once what became of an order in doubt.

        Its own renewal may be waiting for an end just now.
        """
        now_s = self._now_s()
        order = self._scheduler.next_hold(worker, now_s)
        if order is not None and self._held.is_valid(now_s):
            reply = await self._ports.orders.hold(order)
            self._on_hold(order, reply, now_s)

    async def _hold_forever(self, worker: WorkerId) -> None:
        wake = self._worker_wakes[worker]
        pause_s = SILENT_RETRY_S
        while self._scheduler.workers.get(worker) is not None:
            wake.clear()
            now_s = self._now_s()
            order = None
            if self._held.is_valid(now_s):
                order = self._scheduler.next_hold(worker, now_s)
            if order is None:
                await wait_for_event(wake, IDLE_LOOK_S)
                continue
            reply = await self._ports.orders.hold(order)
            self._on_hold(order, reply, now_s)
            if not isinstance(reply, HoldReply):
                if self._scheduler.is_silent(worker) or reply is OrderOutcome.FENCED:
                    await asyncio.sleep(pause_s)
                    pause_s = min(SILENT_MAX_RETRY_S, 2 * pause_s)
                continue
            pause_s = SILENT_RETRY_S
            if reply.ended:
                await wait_for_event(self._stored, STORE_WAIT_S)
            elif not order.wait_ms:
                await wait_for_event(wake, LEAST_HOLD_S)
        del self._worker_wakes[worker]

    def _on_hold(
        self, order: HoldOrder, reply: HoldReply | OrderOutcome, sent_s: float
    ) -> None:
        was_silent = self._scheduler.is_silent(order.worker.worker)
        self._scheduler.on_hold_outcome(order, reply, sent_s, self._now_s())
        if isinstance(reply, HoldReply):
            if was_silent:
                log_message(
                    "currantstage:worker-regained",
                    worker=order.worker.worker,
                    running=len(reply.running),
                    fence=order.fence,
                )
            for ended in reply.ended:
                self._ports.metrics.count_end(ended.kind)
                _log_end(order, ended.task, ended.run, ended.kind)
        elif not was_silent and reply is not OrderOutcome.FENCED:
            log_message(
                "currantstage:worker-silent",
                worker=order.worker.worker,
                outcome=reply.value,
                fence=order.fence,
            )
        self.give_orders()
        self._on_change()

    async def _stop_run(self, order: StopOrder) -> None:
        outcome = await self._ports.orders.stop(order)
        log_message(
            "currantstage:task-stop",
            job=order.task.job,
            task=_task_text(order.task),
            run=order.run,
            worker=order.worker.worker,
            outcome=outcome.value,
        )
        self._wake_worker(order.worker.worker)

    def _wake_worker(self, worker: WorkerId) -> None:
        wake = self._worker_wakes.get(worker)
        if wake is not None:
            wake.set()

    def _now_s(self) -> float:
        return self._ports.clock.now_s()


async def _discard(work: Coroutine[Any, Any, object]) -> None:
    await work


def _task_text(task: TaskKey) -> str:
    return ".".join(map(str, task))


def _log_end(order: HoldOrder, task: TaskKey, run: int, kind: EndKind) -> None:
    log_message(
        "currantstage:task-end",
        task=_task_text(task),
        run=run,
        worker=order.worker.worker,
        kind=kind.value,
    )
