"""Jobs that callers submit in a trial."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from currantstage.standin.served._site import POOLS, TEAMS
from currantstage.state import QueueId
from currantstage.state.jobs import JobId, Resources, Step, Submission

if TYPE_CHECKING:
    import random

    from currantstage.state import PoolId

#: Bounds of the run time of a step's tasks, in milliseconds.
RUN_TIMES_MS = (400, 3200)
#: Processor use of a task in millicores, and its memory in megabytes.
TASK_SIZES = ((250, 256), (500, 512), (1000, 1024))
#: Share of the jobs that have a second step.
SECOND_STEP_SHARE = 0.4


@dataclass(frozen=True, slots=True)
class Load:
    """Rate of the jobs, and how it is divided between the pools.

    Parameters
    ----------
    jobs_per_s : float
    turn_s : float
        Time after which the load turns from one pool to the other; zero if both pools
        have the same load at all times.
    hot_share : float
        Share of the jobs that the pool gets whose turn it is.
    max_tasks : int
        Maximum number of tasks of a step.
    """

    jobs_per_s: float = 4.0
    turn_s: float = 0.0
    hot_share: float = 0.9
    max_tasks: int = 14

    def share_of_first(self, now_s: float) -> float:
        """Return the share of the jobs that go to the first pool.

        >>> load = Load(turn_s=8.0, hot_share=0.75)
        >>> load.share_of_first(3.0), load.share_of_first(9.0), Load().share_of_first(0)
        (0.75, 0.25, 0.5)
        """
        if not self.turn_s:
            return 0.5
        is_first = int(now_s / self.turn_s) % 2 == 0
        return self.hot_share if is_first else 1 - self.hot_share


class JobSource:
    """Makes up jobs.

    Parameters
    ----------
    load : Load
    random : random.Random
    """

    def __init__(self, load: Load, random: random.Random) -> None:
        self._load = load
        self._random = random

    def next_pause_s(self) -> float:
        """Return the time until the next job."""
        return self._random.expovariate(self._load.jobs_per_s)

    def next_job(self, now_s: float) -> Submission:
        """Return a job that is submitted at `now_s`."""
        is_first = self._random.random() < self._load.share_of_first(now_s)
        pool = POOLS[0] if is_first else POOLS[1]
        steps = [self._next_step(())]
        if self._random.random() < SECOND_STEP_SHARE:
            steps.append(self._next_step((0,)))
        return self._build(pool, tuple(steps))

    def _next_step(self, after: tuple[int, ...]) -> Step:
        cpu_millicores, memory_mb = self._random.choice(TASK_SIZES)
        return Step(
            task_count=self._random.randint(1, self._load.max_tasks),
            resources=Resources(cpu_millicores, memory_mb, 0),
            estimated_run_ms=self._random.randint(*RUN_TIMES_MS),
            after=after,
        )

    def _build(self, pool: PoolId, steps: tuple[Step, ...]) -> Submission:
        return Submission(
            job=JobId(f"{self._random.getrandbits(64):016x}"),
            queue=QueueId(f"q-{pool}"),
            pool=pool,
            team=self._random.choice(TEAMS),
            spec="work",
            steps=steps,
        )
