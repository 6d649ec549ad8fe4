"""Lines of waiting steps: those that the same lack of room or limit stops, in order."""

from __future__ import annotations

from bisect import bisect_left, insort
from dataclasses import dataclass, field
from heapq import heapify, heappop, heapreplace
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from currantstage.coordination.jobs._ordering import Rank
    from currantstage.coordination.jobs._records import StepRecord
    from currantstage.state import PoolId, TeamId
    from currantstage.state.jobs import Resources


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


@dataclass(slots=True, eq=False)
class JobGroup:
    """Waiting steps of one job that have the same rank in the same line.

    A change of the job's rank moves the group, whatever the number of its steps.

    Parameters
    ----------
    pool : PoolId
    line : LineKey
    rank : Rank
    job_ordinal : int
        Age of the job.
    steps : list of tuple of StepOrdinal and StepRecord
        The steps by age.
    """

    pool: PoolId
    line: LineKey
    rank: Rank
    job_ordinal: int
    steps: list[tuple[StepOrdinal, StepRecord]] = field(default_factory=list)

    def add(self, ordinal: StepOrdinal, step: StepRecord) -> None:
        """Add a step."""
        insort(self.steps, (ordinal, step))

    def remove(self, ordinal: StepOrdinal) -> None:
        """Remove a step."""
        del self.steps[bisect_left(self.steps, (ordinal,))]


#: Rank, age of the job, group. Two groups of one job in a line differ in their rank, so
#: that groups are never compared.
_Entry = tuple["Rank", int, JobGroup]


class PoolLines:
    """Waiting steps of one pool: a line for each kind of step, each in order."""

    def __init__(self) -> None:
        self._lines: dict[LineKey, list[_Entry]] = {}
        self._ages: list[int] = []

    @property
    def oldest(self) -> int:
        """Age of the oldest job that has waiting steps."""
        return self._ages[0]

    @property
    def is_empty(self) -> bool:
        """Whether no step of the pool waits."""
        return not self._ages

    def insert(self, group: JobGroup) -> None:
        """Add a group."""
        insort(self._lines.setdefault(group.line, []), _entry(group))
        insort(self._ages, group.job_ordinal)

    def remove(self, group: JobGroup) -> None:
        """Remove a group."""
        entries = self._lines[group.line]
        del entries[bisect_left(entries, _entry(group)[:2])]
        if not entries:
            del self._lines[group.line]
        del self._ages[bisect_left(self._ages, group.job_ordinal)]

    def select(self, has_room: Callable[[Resources], bool]) -> StepSelection:
        """Return the steps in order, without those that `has_room` rules out.

        Long-running steps stay, as a worker is held for one that lacks room.
        """
        fitting = {each.reserved: True for each in self._lines}
        for reserved in fitting:
            fitting[reserved] = has_room(reserved)
        return StepSelection(
            [
                _head(key, entries, 0, 0)
                for key, entries in self._lines.items()
                if key.is_long_running or fitting[key.reserved]
            ]
        )


class _Head(NamedTuple):
    """First step of a line that a selection has not returned yet.

    `position` is that of its group in the line, `offset` its own in the group.
    """

    rank: Rank
    age: StepOrdinal
    step: StepRecord
    position: int
    offset: int
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
        position, offset = head.position, head.offset + 1
        if offset >= len(head.entries[position][2].steps):
            position, offset = position + 1, 0
        if position < len(head.entries) and not self._is_skipped(head.key):
            heapreplace(self._heads, _head(head.key, head.entries, position, offset))
        else:
            heappop(self._heads)


def line_of(step: StepRecord) -> LineKey:
    """Return the line that the step waits in."""
    spec = step.step
    return LineKey(
        spec.reserved_resources,
        spec.resources,
        step.job.submission.team,
        spec.is_long_running,
    )


def _entry(group: JobGroup) -> _Entry:
    return (group.rank, group.job_ordinal, group)


def _head(key: LineKey, entries: list[_Entry], position: int, offset: int) -> _Head:
    rank, _, group = entries[position]
    age, step = group.steps[offset]
    return _Head(rank, age, step, position, offset, key, entries)
