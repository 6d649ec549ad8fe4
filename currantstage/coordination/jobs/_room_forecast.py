"""Forecast of when workers will have room for one more task."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from operator import attrgetter, itemgetter
from typing import TYPE_CHECKING, NamedTuple

from currantstage.coordination.jobs._step_graph import estimated_run_s

if TYPE_CHECKING:
    from currantstage.coordination.jobs._placement import StepNeeds
    from currantstage.coordination.jobs._records import StepRecord
    from currantstage.coordination.jobs._run import Run
    from currantstage.coordination.jobs._worker_state import WorkerState
    from currantstage.state.jobs import Resources, WorkerId

#: Time of what isn't expected to happen.
NEVER_S = float("inf")
#: Time from the order to stop a run until its worker has room again, in seconds.
STOP_S = 0.3
#: Progress below which the estimate of a run says more of its end, in percent.
MIN_PROGRESS_PERCENT = 10
#: Share of its run time so far for which a run that is overdue is expected to go on.
OVERRUN_SHARE = 0.5


def expected_end_s(run: Run, now_s: float) -> float:
    """Return when a run is expected to end; `NEVER_S` if it isn't."""
    if run.is_stopping:
        return now_s + _expected_stop_s(run, now_s)
    if run.step.is_long_running or not run.pace_percent:
        return NEVER_S
    ran_s = now_s - run.placed_s
    left_s = _expected_run_s(run) - ran_s
    if left_s <= 0:
        left_s = ran_s * OVERRUN_SHARE
    return now_s + left_s * 100 / run.pace_percent


def expected_idle_s(worker: WorkerState, now_s: float) -> float:
    """Return when a worker is expected to be open to the trial of a task."""
    ends_s = (
        expected_end_s(run, now_s)
        for run in worker.runs.values()
        if not run.is_settled_in
    )
    return max(ends_s, default=now_s)


class _Release(NamedTuple):
    """Resources that are free from `at_s` on, once the run of `step` has ended."""

    at_s: float
    free: Resources
    step: StepRecord


class RoomForecast:
    """Forecast for the workers as they are at one time.

    Parameters
    ----------
    now_s : float
    """

    def __init__(self, now_s: float) -> None:
        self._now_s = now_s
        #: Releases of each worker, and what it used then: it changes with its runs.
        self._releases: dict[WorkerId, tuple[Resources, list[_Release]]] = {}

    def room_s(self, worker: WorkerState, needs: StepNeeds) -> float:
        """Return when a worker is expected to have room for one more task of a step."""
        if needs.obstacle_with(worker, worker.entry.capacity, 0) is not None:
            return NEVER_S
        if needs.obstacle(worker) is None:
            return self._now_s
        runs_here = needs.runs_on(worker)
        releases = self._releases_of(worker)
        first = bisect_left(
            releases, True, key=lambda each: needs.resources.fits(each.free)
        )
        for number, each in enumerate(releases):
            runs_here -= each.step is needs.step
            if number < first:
                continue
            if needs.obstacle_with(worker, each.free, runs_here) is None:
                return each.at_s
        return NEVER_S

    def free_at(self, worker: WorkerState, at_s: float) -> Resources:
        """Return what a worker is expected to have free at a later time."""
        releases = self._releases_of(worker)
        ended = bisect_right(releases, at_s, key=attrgetter("at_s"))
        return releases[ended - 1].free if ended else worker.free

    def _releases_of(self, worker: WorkerState) -> list[_Release]:
        """Return what the expected ends of a worker's runs make free, in order."""
        key = worker.entry.worker
        used, releases = self._releases.get(key, (None, []))
        if used is not worker.used:
            releases = _releases(worker, self._now_s)
            self._releases[key] = (worker.used, releases)
        return releases


def _releases(worker: WorkerState, now_s: float) -> list[_Release]:
    free = worker.free
    releases = []
    ends = [(expected_end_s(run, now_s), run) for run in worker.runs.values()]
    for end_s, run in sorted(ends, key=itemgetter(0)):
        if end_s == NEVER_S:
            break
        free = free.plus(run.reserved_resources)
        releases.append(_Release(end_s, free, run.task.step))
    return releases


def _expected_stop_s(run: Run, now_s: float) -> float:
    """Return in how many seconds a run that is being stopped is expected to end."""
    waited_s = max(0.0, now_s - run.stop_ordered_s)
    return STOP_S - waited_s if waited_s < STOP_S else waited_s


def _expected_run_s(run: Run) -> float:
    """Return how long a run is expected to take from its placement to its end."""
    has_progress = run.percent >= MIN_PROGRESS_PERCENT and run.listed_s > run.placed_s
    # The progress of a run that resumed, or that was adopted, began before it.
    if not has_progress or run.is_adopted or run.task.checkpoint:
        return estimated_run_s(run.step)
    return (run.listed_s - run.placed_s) * 100 / run.percent
