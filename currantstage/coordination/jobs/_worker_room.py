"""Workers of each pool in the order of their free resources."""

from __future__ import annotations

import sys
from bisect import bisect_left, insort
from collections import defaultdict
from copy import copy
from dataclasses import dataclass
from itertools import count
from typing import TYPE_CHECKING

from currantstage.state.jobs import Resources

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from currantstage.coordination.jobs._worker_state import WorkerState
    from currantstage.state import PoolId
    from currantstage.state.jobs import WorkerId

#: Fits every worker, also one whose reserved resources exceed its capacity.
ANY_AMOUNT = Resources(-sys.maxsize, -sys.maxsize, -sys.maxsize)
#: Free CPU in millicores, free memory in MB, tie-breaker, worker.
_Entry = tuple[int, int, int, "WorkerState"]


@dataclass(slots=True, eq=False)
class _Place:
    """Where the index has a worker.

    Parameters
    ----------
    ordinal : int
        Rank of the worker among all workers by age.
    pool : PoolId
    cpu_millicores, memory_mb : int
        Free resources by which the worker is ordered.
    """

    ordinal: int
    pool: PoolId
    cpu_millicores: int
    memory_mb: int


class PoolRoom:
    """Workers of one pool, kept in both orders of their free resources.

    Of workers with as many free resources, the one known for longest comes first.
    """

    def __init__(self) -> None:
        self._descending: list[_Entry] = []
        self._ascending: list[_Entry] = []
        #: Workers that are left out of the orders.
        self.blocked: dict[WorkerId, WorkerState] = {}

    def most_free_first(self, min_cpu_millicores: int) -> Iterator[WorkerState]:
        """Return those with enough free CPU by free CPU, then memory, descending."""
        first = bisect_left(self._descending, (min_cpu_millicores,))
        last = len(self._descending) - 1
        return (self._descending[i][3] for i in range(last, first - 1, -1))

    def least_free_first(self, min_cpu_millicores: int) -> Iterator[WorkerState]:
        """Return those with enough free CPU by free CPU, then memory, ascending."""
        first = bisect_left(self._ascending, (min_cpu_millicores,))
        return (self._ascending[i][3] for i in range(first, len(self._ascending)))

    def insert(self, state: WorkerState, place: _Place) -> None:
        """Add a worker."""
        cpu, memory, ordinal = place.cpu_millicores, place.memory_mb, place.ordinal
        insort(self._descending, (cpu, memory, -ordinal, state))
        insort(self._ascending, (cpu, memory, ordinal, state))

    def remove(self, place: _Place) -> None:
        """Remove the worker that is at `place`."""
        cpu, memory, ordinal = place.cpu_millicores, place.memory_mb, place.ordinal
        del self._descending[bisect_left(self._descending, (cpu, memory, -ordinal))]
        del self._ascending[bisect_left(self._ascending, (cpu, memory, ordinal))]


class RoomIndex:
    """Keeps the workers of every pool in order, as their resources are used.

    A change is only noted until the order is needed, since a worker's resources often
    change several times in between. Workers on which no task may be placed are left
    out of the order once they are found, since most of them are idle and would come
    first.
    """

    def __init__(self) -> None:
        self._pools: dict[PoolId, PoolRoom] = defaultdict(PoolRoom)
        self._places: dict[WorkerId, _Place] = {}
        self._changed: dict[WorkerId, WorkerState] = {}
        self._found_blocked: dict[WorkerId, WorkerState] = {}
        self._ordinals = count()

    def on_room_changed(self, state: WorkerState) -> None:
        """Note that a worker is new, or that its pool or free resources changed."""
        self._changed[state.entry.worker] = state

    def on_blocked(self, state: WorkerState) -> None:
        """Note that no task may be placed on a worker, until `unblock` is called."""
        self._found_blocked[state.entry.worker] = state

    def unblock(self, pool: PoolId, may_start: Callable[[WorkerState], bool]) -> None:
        """Bring back the workers of `pool` on which tasks may be placed now."""
        for state in list(self.in_pool(pool).blocked.values()):
            if may_start(state):
                self._move(state)

    def discard(self, worker: WorkerId) -> None:
        """Forget a worker."""
        self._changed.pop(worker, None)
        self._found_blocked.pop(worker, None)
        self._take_out(worker)
        self._places.pop(worker, None)

    def in_pool(self, pool: PoolId) -> PoolRoom:
        """Return the workers of `pool` in their present order."""
        for state in self._changed.values():
            self._move(state)
        self._changed.clear()
        for worker, state in self._found_blocked.items():
            self._take_out(worker)
            self._pools[self._places[worker].pool].blocked[worker] = state
        self._found_blocked.clear()
        return self._pools[pool]

    def ordinal(self, state: WorkerState) -> int:
        """Return the worker's rank among all workers by age."""
        return self._places[state.entry.worker].ordinal

    def _move(self, state: WorkerState) -> None:
        worker = state.entry.worker
        self._take_out(worker)
        old = self._places.get(worker)
        free = state.free
        place = _Place(
            old.ordinal if old is not None else next(self._ordinals),
            state.entry.pool,
            free.cpu_millicores,
            free.memory_mb,
        )
        self._places[worker] = place
        self._pools[place.pool].insert(state, place)

    def _take_out(self, worker: WorkerId) -> None:
        place = self._places.get(worker)
        if place is None:
            return
        room = self._pools[place.pool]
        if room.blocked.pop(worker, None) is None:
            room.remove(place)


class CandidateWorkers:
    """Workers of a pool on which tasks may be placed, for one pass over the tasks.

    Parameters
    ----------
    index : RoomIndex
    pool : PoolId
    may_start : callable
        Whether tasks may be placed on a worker at all; one that has been ruled out in
        the pass may stay so to its end.
    """

    def __init__(
        self, index: RoomIndex, pool: PoolId, may_start: Callable[[WorkerState], bool]
    ) -> None:
        self._index = index
        self.pool = pool
        self._may_start = may_start
        self._restrictions: tuple[Callable[[WorkerState], bool], ...] = ()
        index.unblock(pool, may_start)

    @classmethod
    def of(cls, workers: Iterable[WorkerState], pool: PoolId) -> CandidateWorkers:
        """Return `workers`, all of them in `pool`, as candidates."""
        index = RoomIndex()
        for each in workers:
            index.on_room_changed(each)
        return cls(index, pool, lambda _: True)

    def only(self, is_allowed: Callable[[WorkerState], bool]) -> CandidateWorkers:
        """Return the candidates that `is_allowed` accepts as well."""
        allowed = copy(self)
        allowed._restrictions = (*self._restrictions, is_allowed)
        return allowed

    def allows(self, worker: WorkerState) -> bool:
        """Return whether what candidates are restricted to includes `worker`."""
        is_here = worker.entry.pool == self.pool
        return is_here and all(allows(worker) for allows in self._restrictions)

    def most_free_first(self, needed: Resources) -> Iterator[WorkerState]:
        """Return the workers with `needed` free, those with the most CPU first."""
        room = self._index.in_pool(self.pool)
        return self._fitting(needed, room.most_free_first(needed.cpu_millicores))

    def least_free_first(self, needed: Resources) -> Iterator[WorkerState]:
        """Return the workers with `needed` free, those with the least CPU first."""
        room = self._index.in_pool(self.pool)
        return self._fitting(needed, room.least_free_first(needed.cpu_millicores))

    def oldest_first(self, needed: Resources) -> list[WorkerState]:
        """Return the workers with `needed` free, those known for longest first."""
        return sorted(self.most_free_first(needed), key=self._index.ordinal)

    def has_room(self, needed: Resources) -> bool:
        """Return whether any worker has `needed` free."""
        return next(self.most_free_first(needed), None) is not None

    def _fitting(
        self, needed: Resources, workers: Iterable[WorkerState]
    ) -> Iterator[WorkerState]:
        for each in workers:
            if not needed.fits(each.free):
                continue
            if not self._may_start(each):
                self._index.on_blocked(each)
            elif all(is_allowed(each) for is_allowed in self._restrictions):
                yield each
