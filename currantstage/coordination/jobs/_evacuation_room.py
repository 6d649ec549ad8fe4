"""Room for the long-running tasks of VMs that are to be maintained or moved."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from currantstage.coordination.jobs._leaving_runs import LeavingRun
    from currantstage.coordination.jobs._records import StepRecord
    from currantstage.coordination.jobs._scheduler import Scheduler
    from currantstage.coordination.jobs._task_record import TaskRecord


class EvacuationRoom:
    """Has room held for the tasks that may leave, and shares it among them.

    Parameters
    ----------
    scheduler : Scheduler
    """

    def __init__(self, scheduler: Scheduler) -> None:
        self._scheduler = scheduler
        #: Tasks for which a worker has room now.
        self.ready: set[TaskRecord] = set()
        #: Tasks that may leave as soon as a worker has room.
        self.lacking: set[TaskRecord] = set()

    def update(self, runs: Iterable[LeavingRun], now_s: float) -> None:
        """Have room held for the tasks of `runs`, the first ones of a step first.

        Of a step, it is held for as many as may be away at once.
        """
        runs_by_step: dict[StepRecord, list[LeavingRun]] = defaultdict(list)
        for each in runs:
            runs_by_step[each.run.task.step].append(each)
        for step, leaving in runs_by_step.items():
            # Those that are being stopped need their room for sure.
            leaving.sort(key=lambda each: not each.run.is_stopping)
            budget = step.step.max_unavailable
            if budget > 0:
                del leaving[budget:]
        held_for = [each for leaving in runs_by_step.values() for each in leaving]
        self._scheduler.hold_room_for(held_for, now_s)
        self.ready = set()
        self.lacking = set()
        for step, leaving in runs_by_step.items():
            self._share(step, leaving, now_s)

    def _share(self, step: StepRecord, leaving: list[LeavingRun], now_s: float) -> None:
        """Give the held room to waiting and stopping tasks, then to others."""
        rooms = self._scheduler.held_rooms(step, now_s)
        if self._scheduler.team_allows(step):
            rooms -= step.waiting_count
        for each in leaving:
            if not each.run.is_stopping:
                shared = self.ready if rooms > 0 else self.lacking
                shared.add(each.run.task)
            rooms -= 1
