"""Steps with waiting tasks, kept by pool and in the order of their placement."""

from __future__ import annotations

from bisect import bisect_left, insort
from dataclasses import dataclass
from heapq import heapify, heappop, heapreplace
from itertools import count
from typing import TYPE_CHECKING, NamedTuple

from currantstage.state.jobs import TaskPhase

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from currantstage.coordination.jobs._job_table import JobTable
    from currantstage.coordination.jobs._ordering import Rank, StepOrder
    from currantstage.coordination.jobs._records import JobRecord, StepRecord
    from currantstage.state import PoolId, QueueId, TeamId
    from currantstage.state.jobs import (
        FleetConfiguration,
        JobId,
        JobQueue,
        Resources,
        StepKey,
    )

#: How long before its rank may change a step is ranked again, in seconds; larger than
#: the rounding error of the scheduler's clock.
RANK_MARGIN_S = 1e-6
#: Time of the timer of a step that only a change of its job can affect, in seconds.
NEVER_S = float("inf")


class StepOrdinal(NamedTuple):
    """Age of a step; decides between steps of the same rank."""

    job: int
    occurrence: int
    step: int


class LineKey(NamedTuple):
    """What steps have in common that the same lack of capacity or limit stops."""

    reserved: Resources
    resources: Resources
    team: TeamId
    is_long_running: bool


#: Rank, age, step. No two steps have the same age, so that steps are never compared.
_Entry = tuple["Rank", StepOrdinal, "StepRecord"]


@dataclass(slots=True, eq=False)
class _Place:
    """Where a waiting step stands."""

    pool: PoolId
    line: LineKey
    entry: _Entry


class PoolLines:
    """Waiting steps of one pool: a line for each kind of step, each in order."""

    def __init__(self) -> None:
        self._lines: dict[LineKey, list[_Entry]] = {}
        self._ages: list[StepOrdinal] = []

    @property
    def oldest(self) -> StepOrdinal:
        """Age of the oldest waiting step."""
        return self._ages[0]

    @property
    def is_empty(self) -> bool:
        """Whether no step of the pool waits."""
        return not self._ages

    def insert(self, line: LineKey, entry: _Entry) -> None:
        """Add a step."""
        insort(self._lines.setdefault(line, []), entry)
        insort(self._ages, entry[1])

    def remove(self, line: LineKey, entry: _Entry) -> None:
        """Remove a step."""
        entries = self._lines[line]
        del entries[bisect_left(entries, entry[:2])]
        if not entries:
            del self._lines[line]
        del self._ages[bisect_left(self._ages, entry[1])]

    def select(self, has_room: Callable[[Resources], bool]) -> StepSelection:
        """Return the steps in order, without those that `has_room` rules out.

        Long-running steps stay, as a worker is held for one that lacks room.
        """
        fitting = {each.reserved: True for each in self._lines}
        for reserved in fitting:
            fitting[reserved] = has_room(reserved)
        return StepSelection(
            [
                _Head(*entries[0], 0, key, entries)
                for key, entries in self._lines.items()
                if key.is_long_running or fitting[key.reserved]
            ]
        )


class _Head(NamedTuple):
    """First step of a line that a selection has not returned yet."""

    rank: Rank
    age: StepOrdinal
    step: StepRecord
    position: int
    key: LineKey
    entries: list[_Entry]


class StepSelection:
    """One pass over the lines of a pool, during which lines can be left out."""

    def __init__(self, heads: list[_Head]) -> None:
        self._heads = heads
        self._skipped_reserved: set[Resources] = set()
        self._skipped_lines: set[LineKey] = set()
        heapify(self._heads)

    def __iter__(self) -> Iterator[StepRecord]:
        while self._heads:
            head = self._heads[0]
            if not self._is_skipped(head.key):
                yield head.step
            self._advance(head)

    def skip_reserved(self, reserved: Resources) -> None:
        """Leave out the remaining short steps whose tasks reserve `reserved`."""
        self._skipped_reserved.add(reserved)

    def skip_line(self, step: StepRecord) -> None:
        """Leave out the remaining steps of the line of `step`."""
        self._skipped_lines.add(line_of(step))

    def _is_skipped(self, key: LineKey) -> bool:
        if key in self._skipped_lines:
            return True
        return key.reserved in self._skipped_reserved and not key.is_long_running

    def _advance(self, head: _Head) -> None:
        position = head.position + 1
        if position < len(head.entries) and not self._is_skipped(head.key):
            following = _Head(*head.entries[position], position, head.key, head.entries)
            heapreplace(self._heads, following)
        else:
            heappop(self._heads)


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
        self._places: dict[StepKey, _Place] = {}
        self._job_ordinals: dict[JobId, int] = {}
        self._ordinals = count()
        #: Steps to file again, in the order of these times.
        self._timers: list[tuple[float, StepOrdinal, StepRecord]] = []
        self._timer_at_s: dict[StepKey, float] = {}

    def refresh(self, configuration: FleetConfiguration, now_s: float) -> None:
        """Apply all changes up to `now_s`."""
        for record in self._jobs.take_changed():
            if record.job not in self._job_ordinals:
                self._job_ordinals[record.job] = next(self._ordinals)
            self._file_job(record, now_s)
        if configuration is not self._configuration:
            self._configuration = configuration
            self._queues = {each.queue: each for each in configuration.queues}
            for record in self._jobs.open_jobs():
                self._file_job(record, now_s)
        for ordinal, step in self._take_due(now_s):
            self._file(step, ordinal, now_s)

    def pools(self) -> list[PoolId]:
        """Return the pools that steps wait for, that of the oldest step first."""
        return sorted(self._pools, key=lambda pool: self._pools[pool].oldest)

    def in_pool(self, pool: PoolId) -> PoolLines:
        """Return the steps that wait for the workers of `pool`."""
        return self._pools[pool]

    def queue_of(self, step: StepRecord) -> JobQueue | None:
        """Return the queue of the step's job, if it is in the configuration."""
        return self._queues.get(step.job.submission.queue)

    def _file_job(self, record: JobRecord, now_s: float) -> None:
        job_ordinal = self._job_ordinals[record.job]
        for occurrence, steps in enumerate(record.occurrences.values()):
            for index, step in enumerate(steps):
                self._file(step, StepOrdinal(job_ordinal, occurrence, index), now_s)
        if record.state.is_final:
            del self._job_ordinals[record.job]

    def _file(self, step: StepRecord, ordinal: StepOrdinal, now_s: float) -> None:
        """Put a step in its place, or take it out if it has no task to place."""
        self._take_out(step)
        if step.job.state.is_final or step.is_done or not step.is_ready:
            self._set_timer(step, ordinal, NEVER_S)
            return
        queue = self.queue_of(step)
        if not step.waiting_tasks(now_s):
            self._set_timer(step, ordinal, _paused_until_s(step))
            return
        self._set_timer(step, ordinal, self._order.stable_until_s(step, queue, now_s))
        place = _Place(
            queue.pool if queue else step.job.submission.pool,
            line_of(step),
            (self._order.rank(step, queue, now_s), ordinal, step),
        )
        self._pools.setdefault(place.pool, PoolLines()).insert(place.line, place.entry)
        self._places[step.key] = place

    def _take_out(self, step: StepRecord) -> None:
        place = self._places.pop(step.key, None)
        if place is None:
            return
        lines = self._pools[place.pool]
        lines.remove(place.line, place.entry)
        if lines.is_empty:
            del self._pools[place.pool]

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


def line_of(step: StepRecord) -> LineKey:
    """Return the line that the step waits in."""
    spec = step.step
    return LineKey(
        spec.reserved_resources,
        spec.resources,
        step.job.submission.team,
        spec.is_long_running,
    )


def _paused_until_s(step: StepRecord) -> float:
    """Return when the first paused task of a step may be placed."""
    return min(
        (each.not_before_s for each in step.tasks if each.phase is TaskPhase.WAITING),
        default=NEVER_S,
    )
