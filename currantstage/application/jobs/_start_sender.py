"""Sending of the scheduler's start orders, directly and through other daemons."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from eliot import log_message

from currantstage.application.jobs._configuration import loggable_age_s
from currantstage.application.jobs._start_stages import StartStages
from currantstage.coordination.jobs import RELAY_PERMIT_S, divide_starts
from currantstage.state.jobs import format_key

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Sequence

    from currantstage.application.jobs._activity_log import ActivityLog
    from currantstage.application.jobs._ports import SchedulerPorts
    from currantstage.application.jobs._relay_client import RelayClient
    from currantstage.coordination.jobs import (
        HeldLease,
        Run,
        Scheduler,
        SchedulerTuning,
    )
    from currantstage.state.jobs import OrderOutcome, StartOrder, WorkerId
    from currantstage.util import TaskSet


@dataclass(frozen=True, slots=True)
class _SentStart:
    """A start order that has been sent, or given to a relay.

    Parameters
    ----------
    run : Run
    order : StartOrder
    stored_s : float
        When the placement was stored.
    sent_s : float
    clock_age_s : float or None
        Age of the reading of the worker's clock that the lease was reckoned from.
    relay : str
        Address of the relay; empty if the order was sent directly.
    """

    run: Run
    order: StartOrder
    stored_s: float
    sent_s: float
    clock_age_s: float | None
    relay: str


class StartSender:
    """Sends the starts of runs whose placement is stored.

    A call to a worker takes much of the processor time of a start. When many starts are
    under way, other daemons make these calls; the scheduler keeps every decision.

    Parameters
    ----------
    scheduler : Scheduler
    held_lease : HeldLease
    ports : SchedulerPorts
    relays : RelayClient
    tuning : SchedulerTuning
    activity : ActivityLog
    tasks : TaskSet
        Runs the calls.
    on_answered : callable
        Called with the workers of starts whose outcome has been applied, or that were
        given up.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        held_lease: HeldLease,
        ports: SchedulerPorts,
        relays: RelayClient,
        tuning: SchedulerTuning,
        activity: ActivityLog,
        tasks: TaskSet,
        on_answered: Callable[[Collection[WorkerId]], None],
    ) -> None:
        self._scheduler = scheduler
        self._held_lease = held_lease
        self._ports = ports
        self._relays = relays
        self._tuning = tuning
        self._activity = activity
        self._tasks = tasks
        self._on_answered = on_answered
        self._direct_starts = 0

    def send(self, runs: Sequence[Run]) -> None:
        """Send the start orders of `runs`."""
        stored_s = self._now_s()
        max_direct = self._tuning.max_direct_starts - self._direct_starts
        relays: list[str] = []
        if len(runs) > max_direct:
            relays = self._relays.ready_relays()
            for relay in self._relays.unread_relays():
                self._tasks.spawn(self._relays.read_clock(relay))
        min_relayed = self._tuning.min_relayed_starts
        division = divide_starts(runs, max_direct, min_relayed, relays)
        self._direct_starts += len(division.direct)
        for run in division.direct:
            self._tasks.spawn(self._start_directly(run, stored_s))
        for relay, share in division.by_relay.items():
            self._tasks.spawn(self._start_by_relay(relay, share, stored_s))

    async def _start_directly(self, run: Run, stored_s: float) -> None:
        try:
            sent = self._order(run, stored_s)
            if sent is not None:
                self._apply(sent, await self._ports.orders.start(sent.order))
        finally:
            self._direct_starts -= 1
        self._on_answered([run.worker])

    async def _start_by_relay(
        self, relay: str, runs: Sequence[Run], stored_s: float
    ) -> None:
        ordered = [self._order(run, stored_s, relay) for run in runs]
        sent = [each for each in ordered if each is not None]
        if sent:
            outcomes = await self._relays.start(relay, [each.order for each in sent])
            for each, outcome in zip(sent, outcomes, strict=True):
                self._apply(each, outcome)
        # A dict keeps the order of the starts.
        self._on_answered(dict.fromkeys(run.worker for run in runs))

    def _order(self, run: Run, stored_s: float, relay: str = "") -> _SentStart | None:
        now_s = self._now_s()
        if not self._held_lease.is_valid(now_s):
            # The write of its placement was confirmed too late.
            self._scheduler.withdraw_start(run)
            return None
        clock_age_s = self._scheduler.clock_age_s(run.worker, now_s)
        max_delay_s = RELAY_PERMIT_S if relay else 0.0
        order = self._scheduler.start_order(run, now_s, max_delay_s)
        if order is None:
            return None
        return _SentStart(run, order, stored_s, now_s, clock_age_s, relay)

    def _apply(self, sent: _SentStart, outcome: OrderOutcome) -> None:
        answered_s = self._now_s()
        run, order = sent.run, sent.order
        waited_s = sent.sent_s - run.placed_s
        self._scheduler.on_start_outcome(run, outcome, answered_s)
        self._ports.metrics.count_start(outcome, waited_s, sent.clock_age_s)
        stages = StartStages(
            storing_s=sent.stored_s - run.placed_s,
            queued_s=sent.sent_s - sent.stored_s,
            answering_s=answered_s - sent.sent_s,
        )
        self._activity.count_start(outcome, stages, is_relayed=bool(sent.relay))
        log_message(
            "currantstage:task-start",
            job=order.task.job,
            task=format_key(order.task),
            run=order.run,
            worker=order.worker.worker,
            born_ms=order.worker.born_ms,
            fence=order.fence,
            outcome=outcome.value,
            waited_s=round(waited_s, 3),
            until_ms=order.until_ms,
            clock_age_s=loggable_age_s(sent.clock_age_s),
            configuration=self._scheduler.configuration.version,
            relay=sent.relay,
        )

    def _now_s(self) -> float:
        return self._ports.clock.now_s()
