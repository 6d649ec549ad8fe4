"""Placement advice: which steps need it, and the tickets received."""

from __future__ import annotations

from typing import TYPE_CHECKING

from currantstage.coordination.jobs._records import HeldTicket

if TYPE_CHECKING:
    from currantstage.coordination.jobs._records import StepRecord
    from currantstage.coordination.jobs._scheduler import Scheduler
    from currantstage.state.jobs import Advice, WorkerId

#: Part of a ticket's validity that is reserved for sending the order, in seconds.
TICKET_MARGIN_S = 0.1
#: Time until advice is requested again for a step that no worker may run, in seconds.
NO_WORKER_PAUSE_S = 1.0
#: Bounds of the time without an answer after which a request is given up, in seconds.
MIN_TIMEOUT_S = 1.0
MAX_TIMEOUT_S = 5.0
#: Ratio of the time that the service takes for an answer to what it states.
TIMEOUT_RATIO = 2.0


class AdviceTracker:
    """Selects steps that need advice, in the order of their jobs; stores tickets."""

    def __init__(self, scheduler: Scheduler) -> None:
        self._scheduler = scheduler

    def next_step(self, now_s: float) -> StepRecord | None:
        """Return the next step that needs advice."""
        if all(each.advice is None for each in self._scheduler.configuration.queues):
            return None
        for step in self._scheduler.jobs.ready_steps():
            queue = self._scheduler.configuration.queue(step.job.submission.queue)
            needs_advice = queue is not None and queue.advice is not None
            if not needs_advice or now_s < step.advised_until_s:
                continue
            if step.waiting_tasks(now_s) and self.candidates(step, now_s):
                return step
        return None

    def candidates(self, step: StepRecord, now_s: float) -> list[WorkerId]:
        """Return the workers to request advice about."""
        pool = self._scheduler.pool_of(step.job)
        return [
            worker_state.entry.worker
            for worker_state in self._scheduler.workers.in_pool(pool)
            if worker_state.accepts_starts(now_s)
        ]

    def timeout_s(self, step: StepRecord, worker_count: int) -> float:
        """Return how long to wait for advice about `worker_count` workers."""
        queue = self._scheduler.configuration.queue(step.job.submission.queue)
        if queue is None or queue.advice is None:
            return MIN_TIMEOUT_S
        policy = queue.advice
        stated_ms = policy.decide_ms + worker_count * policy.per_worker_ms
        return min(MAX_TIMEOUT_S, MIN_TIMEOUT_S + TIMEOUT_RATIO * stated_ms / 1000)

    def record_advice(
        self, step: StepRecord, advice: Advice | None, requested_s: float
    ) -> None:
        """Store advice; its validity counts from when it was requested."""
        if advice is None or not advice.tickets:
            step.advised_until_s = requested_s + NO_WORKER_PAUSE_S
            return
        until_s = requested_s + advice.valid_ms / 1000 - TICKET_MARGIN_S
        step.advised_until_s = until_s
        for ticket in advice.tickets:
            step.tickets[ticket.worker] = HeldTicket(ticket.text, until_s)
