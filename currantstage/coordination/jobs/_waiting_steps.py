"""Steps with waiting tasks, kept by pool and in the order of their placement."""

from __future__ import annotations

from bisect import bisect_left, insort
from itertools import count
from typing import TYPE_CHECKING, NamedTuple

from currantstage.coordination.jobs._step_lines import (
    JobGroup,
    LineKey,
    PoolLines,
    StepOrdinal,
    line_of,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from currantstage.coordination.jobs._job_table import JobTable
    from currantstage.coordination.jobs._ordering import Rank, StepOrder, Timeliness
    from currantstage.coordination.jobs._records import JobRecord, StepRecord
    from currantstage.state import PoolId, QueueId
    from currantstage.state.jobs import FleetConfiguration, JobId, JobQueue, StepKey

#: How long before its rank may change a step is ranked again, in seconds; larger than
#: the rounding error of the scheduler's clock.
RANK_MARGIN_S = 1e-6
#: Time of the timer of a step that only a change of its job can affect, in seconds.
NEVER_S = float("inf")


class _GroupKey(NamedTuple):
    """Which of a job's groups a step belongs to."""

    pool: PoolId
    line: LineKey
    timeliness: Timeliness


class WaitingSteps:
    """Follows the jobs and files their steps again only when something has changed.

    Parameters
    ----------
    jobs : JobTable
    order : StepOrder
    """

    def __init__(self, jobs: JobTable, order: StepOrder) -> None:
        self._jobs = jobs
        self._order = order
        self._configuration: FleetConfiguration | None = None
        self._queues: dict[QueueId, JobQueue] = {}
        self._pools: dict[PoolId, PoolLines] = {}
        self._groups: dict[JobId, dict[_GroupKey, JobGroup]] = {}
        #: The group that each waiting step belongs to.
        self._places: dict[StepKey, _GroupKey] = {}
        self._job_ordinals: dict[JobId, int] = {}
        self._ordinals = count()
        #: Steps to file again, in the order of these times.
        self._timers: list[tuple[float, StepOrdinal, StepRecord]] = []
        self._timer_at_s: dict[StepKey, float] = {}

    def refresh(self, configuration: FleetConfiguration, now_s: float) -> None:
        """Apply all changes up to `now_s`."""
        for record in self._jobs.take_changed():
            self._file_changes(record, now_s)
        if configuration is not self._configuration:
            self._configuration = configuration
            self._queues = {each.queue: each for each in configuration.queues}
            for record in self._jobs.open_jobs():
                self._file_steps(record, record.ready.values(), now_s)
        for ordinal, step in self._take_due(now_s):
            self._file(step, ordinal, now_s)

    def pools(self) -> list[PoolId]:
        """Return the pools that steps wait for, that of the oldest job first."""
        return sorted(self._pools, key=lambda pool: self._pools[pool].oldest)

    def in_pool(self, pool: PoolId) -> PoolLines:
        """Return the steps that wait for the workers of `pool`."""
        return self._pools[pool]

    def queue_of(self, step: StepRecord) -> JobQueue | None:
        """Return the queue of the step's job, if it is in the configuration."""
        return self._queues.get(step.job.submission.queue)

    def _file_changes(self, record: JobRecord, now_s: float) -> None:
        """File the steps of a job that have changed, and rank all of its steps."""
        job = record.submission.job
        if job not in self._job_ordinals:
            self._job_ordinals[job] = next(self._ordinals)
        changed = record.take_changed_steps()
        if record.state.is_final:
            changed += self._filed_steps(record)
        self._file_steps(record, changed, now_s)
        if record.state.is_final:
            del self._job_ordinals[job]

    def _filed_steps(self, record: JobRecord) -> list[StepRecord]:
        groups = self._groups.get(record.submission.job, {})
        return [step for group in groups.values() for _, step in group.steps]

    def _file_steps(
        self, record: JobRecord, steps: Iterable[StepRecord], now_s: float
    ) -> None:
        """File steps of a job, and rank the groups that none of them is in."""
        job = record.submission.job
        job_ordinal = self._job_ordinals[job]
        ranked: set[JobGroup] = set()
        for step in steps:
            _, occurrence, index = step.key
            ordinal = StepOrdinal(job_ordinal, occurrence, index)
            group = self._file(step, ordinal, now_s)
            if group is not None:
                ranked.add(group)
        for group in self._groups.get(job, {}).values():
            if group not in ranked:
                _, step = group.steps[0]
                rank = self._order.rank(step, self.queue_of(step), now_s)
                # One whose timeliness has changed is due to be filed again by itself.
                rank = rank._replace(timeliness=group.rank.timeliness)
                self._set_rank(group, rank)

    def _set_rank(self, group: JobGroup, rank: Rank) -> None:
        """Move a group of a job to where the job's work that is left puts it."""
        if rank != group.rank:
            lines = self._pools[group.pool]
            lines.remove(group)
            group.rank = rank
            lines.insert(group)

    def _file(
        self, step: StepRecord, ordinal: StepOrdinal, now_s: float
    ) -> JobGroup | None:
        """Put a step in its place, or take it out if it has no task to place."""
        job = step.job
        if job.state.is_final or step.open_predecessors or step.is_done:
            self._take_out(step, ordinal)
            self._set_timer(step, ordinal, NEVER_S)
            return None
        queue = self._queues.get(job.submission.queue)
        if not step.has_waiting(now_s):
            self._take_out(step, ordinal)
            self._set_timer(step, ordinal, step.paused_until_s())
            return None
        self._set_timer(step, ordinal, self._order.stable_until_s(step, queue, now_s))
        rank = self._order.rank(step, queue, now_s)
        pool = queue.pool if queue else job.submission.pool
        key = _GroupKey(pool, line_of(step), rank.timeliness)
        if self._places.get(step.key) != key:
            self._take_out(step, ordinal)
            return self._put_in(step, ordinal, key, rank)
        group = self._groups[job.submission.job][key]
        self._set_rank(group, rank)
        return group

    def _put_in(
        self, step: StepRecord, ordinal: StepOrdinal, key: _GroupKey, rank: Rank
    ) -> JobGroup:
        self._places[step.key] = key
        groups = self._groups.setdefault(step.job.submission.job, {})
        group = groups.get(key)
        if group is not None:
            group.add(ordinal, step)
            self._set_rank(group, rank)
            return group
        group = groups[key] = JobGroup(key.pool, key.line, rank, ordinal.job)
        group.add(ordinal, step)
        if key.pool not in self._pools:
            self._pools[key.pool] = PoolLines()
        self._pools[key.pool].insert(group)
        return group

    def _take_out(self, step: StepRecord, ordinal: StepOrdinal) -> None:
        key = self._places.pop(step.key, None)
        if key is None:
            return
        job = step.job.submission.job
        groups = self._groups[job]
        group = groups[key]
        group.remove(ordinal)
        if group.steps:
            return
        del groups[key]
        if not groups:
            del self._groups[job]
        lines = self._pools[key.pool]
        lines.remove(group)
        if lines.is_empty:
            del self._pools[key.pool]

    def _set_timer(self, step: StepRecord, ordinal: StepOrdinal, at_s: float) -> None:
        """File the step again at `at_s`, and not at the time that was set before."""
        old_s = self._timer_at_s.get(step.key, NEVER_S)
        if old_s == at_s:
            return
        if old_s != NEVER_S:
            del self._timer_at_s[step.key]
            del self._timers[bisect_left(self._timers, (old_s, ordinal))]
        if at_s != NEVER_S:
            self._timer_at_s[step.key] = at_s
            insort(self._timers, (at_s, ordinal, step))

    def _take_due(self, now_s: float) -> list[tuple[StepOrdinal, StepRecord]]:
        due_count = bisect_left(self._timers, (now_s + RANK_MARGIN_S,))
        due = [(ordinal, step) for _, ordinal, step in self._timers[:due_count]]
        del self._timers[:due_count]
        for _, step in due:
            del self._timer_at_s[step.key]
        return due
