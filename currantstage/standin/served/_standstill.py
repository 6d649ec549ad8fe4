"""Check that no accepted job stands still while there is room for it."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from currantstage.state.jobs import NO_RESOURCES, Resources

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from currantstage.state import PoolId
    from currantstage.state.jobs import JobId

#: Longest time for which a job may stand still with room for it, in seconds.
MAX_STANDSTILL_S = 3.0
#: Tasks for which there has to be room.
NEEDED_PLACES = 2
#: Share of a pool's capacity that may be in use.
MAX_USED_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class WorkerRoom:
    """Capacity of a worker that is up, and what runs on it."""

    pool: PoolId
    capacity: Resources
    used: Resources

    def places(self, task: Resources) -> int:
        """Return how many more tasks of that size fit.

        >>> room = WorkerRoom("p", Resources(8000, 900), Resources(1000, 100))
        >>> room.places(Resources(2000, 200))
        3
        """
        free = self.capacity.minus(self.used)
        places = [
            left // needed
            for left, needed in (
                (free.cpu_millicores, task.cpu_millicores),
                (free.memory_mb, task.memory_mb),
                (free.accelerators, task.accelerators),
            )
            if needed
        ]
        return max(0, min(places, default=NEEDED_PLACES))


@dataclass(frozen=True, slots=True)
class StandingJob:
    """An accepted job of which nothing runs and a task is ready."""

    job: JobId
    pool: PoolId
    ready_tasks: tuple[Resources, ...]


@dataclass(frozen=True, slots=True)
class Standstill:
    """A job that has stood still for too long; times are those of the run."""

    job: JobId
    pool: PoolId
    start_s: float
    end_s: float

    @property
    def duration_s(self) -> float:
        """How long it has stood still."""
        return self.end_s - self.start_s


@dataclass(slots=True)
class StandstillCheck:
    """Finds jobs that stand still, from one observation after another.

    Examples
    --------
    >>> check = StandstillCheck()
    >>> job = StandingJob("5c0e", "p", (Resources(1000),))
    >>> room = WorkerRoom("p", Resources(8000, 16000), NO_RESOURCES)
    >>> for now_s in (0.0, 2.0, 4.0):
    ...     check.observe(now_s, [job], [room], is_excused=False)
    >>> check.observe(5.0, [], [room], is_excused=False)
    >>> [each.duration_s for each in check.found]
    [4.0]
    """

    found: list[Standstill] = field(default_factory=list)
    _since_s: dict[JobId, float] = field(default_factory=dict)
    _last_s: dict[JobId, float] = field(default_factory=dict)
    _pools: dict[JobId, PoolId] = field(default_factory=dict)

    def observe(
        self,
        now_s: float,
        standing: Iterable[StandingJob],
        rooms: Collection[WorkerRoom],
        *,
        is_excused: bool,
    ) -> None:
        """Record which jobs stand still now; none counts if that is excused."""
        pools = {room.pool: _PoolRoom.of(room.pool, rooms) for room in rooms}
        counted: dict[JobId, PoolId] = {}
        for job in () if is_excused else standing:
            pool = pools.get(job.pool)
            if pool is not None and pool.has_room(job.ready_tasks):
                counted[job.job] = job.pool
        for job_id in tuple(self._since_s):
            if job_id not in counted:
                self._end(job_id)
        for job_id, pool_id in counted.items():
            self._since_s.setdefault(job_id, now_s)
            self._last_s[job_id] = now_s
            self._pools[job_id] = pool_id

    def close(self) -> None:
        """End the observation."""
        for job in tuple(self._since_s):
            self._end(job)

    def _end(self, job: JobId) -> None:
        start_s, end_s = self._since_s.pop(job), self._last_s.pop(job)
        pool = self._pools.pop(job)
        if end_s - start_s > MAX_STANDSTILL_S:
            self.found.append(Standstill(job, pool, start_s, end_s))


@dataclass(frozen=True, slots=True)
class _PoolRoom:
    """The workers of a pool that are up."""

    workers: tuple[WorkerRoom, ...]
    capacity: Resources
    used: Resources

    @classmethod
    def of(cls, pool: PoolId, rooms: Collection[WorkerRoom]) -> _PoolRoom:
        workers = tuple(room for room in rooms if room.pool == pool)
        capacity = used = NO_RESOURCES
        for room in workers:
            capacity = capacity.plus(room.capacity)
            used = used.plus(room.used)
        return cls(workers, capacity, used)

    def has_room(self, ready_tasks: Iterable[Resources]) -> bool:
        """Return whether one of the tasks fits twice into a pool that is half free."""
        half_cpu = self.capacity.cpu_millicores * MAX_USED_SHARE
        half_memory = self.capacity.memory_mb * MAX_USED_SHARE
        if self.used.cpu_millicores >= half_cpu or self.used.memory_mb >= half_memory:
            return False
        return any(
            sum(room.places(task) for room in self.workers) >= NEEDED_PLACES
            for task in ready_tasks
        )
