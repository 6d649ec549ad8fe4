"""Log lines that explain what the scheduler does, at a bounded rate."""

from __future__ import annotations

import asyncio
from collections import Counter, defaultdict
from typing import TYPE_CHECKING, Any

from eliot import log_message

from currantstage.application.jobs._start_stages import StageTimes
from currantstage.coordination.jobs import (
    ACCEPTING,
    WaitReporter,
    count_blockers,
    count_by_pool,
)
from currantstage.state.jobs import EndKind, JobState, OrderOutcome, format_key

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from currantstage.application.jobs._start_stages import StartStages
    from currantstage.coordination.jobs import JobRecord, Scheduler, WorkerState
    from currantstage.state import Clock, PoolId, QueueId

#: Interval between log lines on the scheduler's activity, in seconds.
REPORT_INTERVAL_S = 1.0
#: Interval between measurements of the event loop's lag, in seconds.
LAG_INTERVAL_S = 0.1


def is_routine_message(message: Mapping[str, Any]) -> bool:
    """Return whether a log line is one of those that come with each task or job.

    >>> is_routine_message({"message_type": "currantstage:task-end", "kind": "done"})
    True
    >>> is_routine_message({"message_type": "currantstage:task-end", "kind": "lapsed"})
    False
    """
    match message.get("message_type"):
        case "currantstage:task-start":
            is_accepted = message.get("outcome") == OrderOutcome.ACCEPTED.value
            return is_accepted and message.get("run") == 1
        case "currantstage:task-end":
            return message.get("kind") == EndKind.DONE.value
        case "currantstage:job-ended":
            return message.get("state") == JobState.COMPLETED.value
    return False


class ActivityLog:
    """Logs each second what the scheduler has done, and which tasks wait and why.

    Parameters
    ----------
    scheduler : Scheduler
    clock : Clock
    """

    def __init__(self, scheduler: Scheduler, clock: Clock) -> None:
        self._scheduler = scheduler
        self._clock = clock
        self._waits = WaitReporter(scheduler)
        self._starts: Counter[str] = Counter()
        self._relayed_starts = 0
        self._stages = StageTimes()
        self._ends: Counter[str] = Counter()
        self._jobs_ended: dict[QueueId, Counter[str]] = defaultdict(Counter)
        self._max_lag_s = 0.0
        self._max_commit_s = 0.0

    def count_start(
        self, outcome: OrderOutcome, stages: StartStages, *, is_relayed: bool
    ) -> None:
        """Count an answered start order."""
        self._starts[outcome.value] += 1
        self._relayed_starts += is_relayed
        self._stages.add(stages)

    def count_end(self, kind: EndKind) -> None:
        """Count an end that a worker has listed."""
        self._ends[kind.value] += 1

    def count_job(self, record: JobRecord) -> None:
        """Count a job whose end has been stored, by its queue and lateness."""
        queue = record.submission.queue
        lateness = self._scheduler.lateness_of(record, self._clock.now_s())
        self._jobs_ended[queue][lateness.name.lower()] += 1

    def observe_commit(self, duration_s: float) -> None:
        """Record the duration of a write of the scheduler."""
        self._max_commit_s = max(self._max_commit_s, duration_s)

    async def run(self) -> None:
        """Measure and log until cancelled."""
        reported_s = self._clock.now_s()
        while True:
            slept_from_s = self._clock.now_s()
            await asyncio.sleep(LAG_INTERVAL_S)
            now_s = self._clock.now_s()
            lag_s = now_s - slept_from_s - LAG_INTERVAL_S
            self._max_lag_s = max(self._max_lag_s, lag_s)
            if now_s - reported_s >= REPORT_INTERVAL_S:
                self._report(now_s)
                reported_s = now_s

    def _report(self, now_s: float) -> None:
        workers = list(self._scheduler.workers.states())
        steps = self._scheduler.jobs.ready_steps()
        log_message(
            "currantstage:scheduler-activity",
            term=self._scheduler.term,
            starts=dict(self._starts),
            relayed_starts=self._relayed_starts,
            start_stages_s=self._stages.take_means(),
            ends=dict(self._ends),
            jobs_ended={queue: dict(each) for queue, each in self._jobs_ended.items()},
            waiting_tasks=sum(len(step.waiting_tasks(now_s)) for step in steps),
            running_tasks=sum(len(each.runs) for each in workers),
            workers=sum(not each.is_retired for each in workers),
            accepting_workers=sum(each.accepts_starts(now_s) for each in workers),
            blocked_workers=count_blockers(workers, now_s),
            closed_pools=_closed_pools(workers, now_s),
            max_loop_lag_s=round(self._max_lag_s, 3),
            max_commit_s=round(self._max_commit_s, 3),
            beyond_share=self._scheduler.team_rates.take_beyond(),
        )
        self._starts.clear()
        self._relayed_starts = 0
        self._ends.clear()
        self._jobs_ended.clear()
        self._max_lag_s = self._max_commit_s = 0.0
        self._log_waits(now_s)

    def _log_waits(self, now_s: float) -> None:
        for wait in self._waits.report(now_s):
            log_message(
                "currantstage:task-waiting",
                job=wait.task.job,
                task=format_key(wait.task),
                pool=wait.pool,
                waited_s=round(wait.waited_s, 3),
                is_long_running=wait.is_long_running,
                is_team_limited=wait.is_team_limited,
                workers=wait.workers,
                held_workers=wait.held_workers,
                memory_mb=wait.memory_mb,
            )


def _closed_pools(workers: Iterable[WorkerState], now_s: float) -> list[PoolId]:
    """Return the pools none of whose workers accepts starts."""
    counts = count_by_pool(workers, now_s)
    return sorted(pool for pool, each in counts.items() if ACCEPTING not in each)
