"""Order of a job's steps, and what follows from it for every occurrence."""

from __future__ import annotations

from dataclasses import dataclass
from itertools import accumulate
from operator import add
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from currantstage.state.jobs import Step

#: Run time assumed if the caller gives no estimate, in milliseconds.
DEFAULT_RUN_MS = 1000


@dataclass(frozen=True, slots=True)
class StepGraph:
    """The steps of a job and which of them depend on each other.

    It is built once for a job, in time linear in its steps and dependencies, so that no
    decision has to search the dependencies again.

    Parameters
    ----------
    successors : tuple of tuple of int
        Of each step, the steps that come directly after it.
    predecessor_counts : tuple of int
        Of each step, the number of steps that it comes directly after.
    critical_paths_s : tuple of float
        Of each step, the estimated least time for it and the steps directly after it.
    longest_path_s : float
        Estimated least time from the start of the job to its end.
    task_offsets : tuple of int
        Of each step, the number of tasks in the steps before it; the last entry is the
        number of all tasks.
    """

    successors: tuple[tuple[int, ...], ...]
    predecessor_counts: tuple[int, ...]
    critical_paths_s: tuple[float, ...]
    longest_path_s: float
    task_offsets: tuple[int, ...]

    @classmethod
    def for_steps(cls, steps: Sequence[Step]) -> StepGraph:
        """Return the graph of `steps`, each of which comes after earlier ones only.

        >>> from currantstage.state.jobs import Step
        >>> first = Step(task_count=3, estimated_run_ms=500)
        >>> last = Step(task_count=1, estimated_run_ms=2000, after=(0, 0))
        >>> graph = StepGraph.for_steps((first, last))
        >>> graph.successors, graph.predecessor_counts, graph.longest_path_s
        (((1,), ()), (0, 1), 2.5)
        """
        successors: list[list[int]] = [[] for _ in steps]
        predecessor_counts: list[int] = []
        tails_s = [0.0] * len(steps)
        runs_s = [estimated_run_s(each) for each in steps]
        path_ends_s: list[float] = []
        for index, step in enumerate(steps):
            run_s = runs_s[index]
            predecessors = {each for each in step.after if each < index}
            predecessor_counts.append(len(predecessors))
            start_s = 0.0
            for each in predecessors:
                successors[each].append(index)
                tails_s[each] = max(tails_s[each], run_s)
                start_s = max(start_s, path_ends_s[each])
            path_ends_s.append(run_s + start_s)
        return cls(
            tuple(map(tuple, successors)),
            tuple(predecessor_counts),
            tuple(map(add, runs_s, tails_s)),
            max(path_ends_s, default=0.0),
            tuple(accumulate((each.task_count for each in steps), initial=0)),
        )


def estimated_run_s(step: Step) -> float:
    """Return the caller's estimate of a task's run time, in seconds."""
    return (step.estimated_run_ms or DEFAULT_RUN_MS) / 1000
