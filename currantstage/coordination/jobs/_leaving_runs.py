"""Long-running runs that planned work stops once their tasks have room elsewhere."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from currantstage.coordination.jobs._records import StepRecord
    from currantstage.coordination.jobs._run import Run
    from currantstage.state.jobs import StepKey


@dataclass(frozen=True, slots=True, eq=False)
class LeavingRun:
    """A run on a cordoned VM for whose task room is to be held.

    Parameters
    ----------
    run : Run
    may_preempt : bool
        Whether other runs may be stopped to make room for its task.
    """

    run: Run
    may_preempt: bool = False

    @property
    def needs_room(self) -> bool:
        """Whether the run goes on; otherwise its task waits, or its job has ended."""
        task = self.run.task
        return task.run is self.run and not task.step.job.state.is_final


class LeavingRuns:
    """The leaving runs of each step, as of the latest plan."""

    def __init__(self) -> None:
        self._by_step: dict[StepKey, list[LeavingRun]] = {}

    def replace(self, runs: Iterable[LeavingRun]) -> None:
        """Forget all leaving runs but `runs`."""
        by_step: dict[StepKey, list[LeavingRun]] = defaultdict(list)
        for each in runs:
            by_step[each.run.task.step.key].append(each)
        self._by_step = dict(by_step)

    def steps(self) -> list[StepRecord]:
        """Return the steps with leaving runs."""
        steps = (runs[0].run.task.step for runs in self._by_step.values())
        return [step for step in steps if self.count(step)]

    def count(self, step: StepRecord) -> int:
        """Return how many runs of a step are to leave."""
        return sum(each.needs_room for each in self._by_step.get(step.key, ()))

    def preempting_count(self, step: StepRecord) -> int:
        """Return for how many of them other runs may be stopped."""
        return sum(
            each.needs_room and each.may_preempt
            for each in self._by_step.get(step.key, ())
        )
