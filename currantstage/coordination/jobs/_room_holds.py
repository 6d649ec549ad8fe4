"""Workers that are held free for long-running tasks that need room."""

from __future__ import annotations

import math
from heapq import nsmallest
from operator import attrgetter, itemgetter
from typing import TYPE_CHECKING

from currantstage.coordination.jobs._leaving_runs import LeavingRuns
from currantstage.coordination.jobs._placement import StepNeeds
from currantstage.coordination.jobs._preemption import PreemptedRun, cheapest_preemption
from currantstage.coordination.jobs._room_forecast import RoomForecast
from currantstage.coordination.jobs._room_request import RoomHold, RoomRequest
from currantstage.coordination.jobs._worker_room import ANY_AMOUNT
from currantstage.coordination.jobs._worker_state import StartBlocker

if TYPE_CHECKING:
    from collections.abc import Callable, Set

    from currantstage.coordination.jobs._records import StepRecord
    from currantstage.coordination.jobs._run import Run
    from currantstage.coordination.jobs._worker_room import CandidateWorkers
    from currantstage.coordination.jobs._worker_state import WorkerState
    from currantstage.coordination.jobs._worker_table import WorkerTable
    from currantstage.state import PoolId
    from currantstage.state.jobs import StepKey, WorkerId

#: Maximum share of the workers of a pool that are held at a time.
MAX_HELD_SHARE = 0.5
#: Maximum time for which a worker is held until it is expected to have room, in
#: seconds; other tasks would lack it for too long.
MAX_HOLD_S = 6.0
#: How much longer a worker with room for a member of a gang is held, until all members
#: have room, in seconds.
GANG_HOLD_S = 4.0
#: How long a step waits before whole gangs are stopped for it, in seconds, if stopping
#: other tasks gives it no room.
PREEMPT_GANGS_AFTER_S = 3.0
#: Minimum time between two searches for workers to hold for a step, in seconds.
SEARCH_INTERVAL_S = 0.25
#: Maximum number of searches within `SEARCH_INTERVAL_S`.
MAX_SEARCHES = 4
#: Reasons to place no task on a worker that pass by themselves.
_MOMENTARY = (
    StartBlocker.ORPHANS,
    StartBlocker.STALLED,
    StartBlocker.QUARANTINED,
    StartBlocker.UNHEALTHY,
    StartBlocker.NO_CAPACITY,
    StartBlocker.START_IN_DOUBT,
)


class RoomHolds:
    """Holds the workers that will have room first, one for each waiting task.

    A worker stays held until a task is placed there or it still has no room some
    time after it was expected to. If none will have room soon enough, runs are stopped
    on the worker where that loses the least work. A task that is to leave its worker
    counts as waiting; its worker is cordoned, and so not a candidate.

    Parameters
    ----------
    workers : WorkerTable
    """

    def __init__(self, workers: WorkerTable) -> None:
        self._workers = workers
        #: Runs whose tasks are to wait elsewhere.
        self.leaving = LeavingRuns()
        self._requests: dict[StepKey, RoomRequest] = {}
        self._held: set[WorkerId] = set()
        self._preempted: list[PreemptedRun] = []
        self._forecast = RoomForecast(0.0)
        self._searches = 0
        self._searches_since_s = -math.inf

    def refresh(self, now_s: float) -> None:
        """Begin a pass; release the workers that no task needs or that have no room."""
        self._forecast = RoomForecast(now_s)
        if now_s - self._searches_since_s >= SEARCH_INTERVAL_S:
            self._searches_since_s = now_s
            self._searches = 0
        for key, request in list(self._requests.items()):
            step = request.step
            count = step.waiting_count + self.leaving.count(step)
            if step.job.state.is_final or not count:
                del self._requests[key]
                continue
            holds = [h for h in request.holds if self._is_valid(h, step, now_s)]
            holds.sort(key=attrgetter("room_s"))
            request.holds = holds[:count]
        self._held = {
            hold.worker_id
            for request in self._requests.values()
            for hold in request.holds
        }

    @property
    def held(self) -> Set[WorkerId]:
        """Workers that take no other tasks in this pass; others may join them."""
        return self._held

    def is_held(self, worker: WorkerState) -> bool:
        """Return whether a worker takes no other tasks in this pass."""
        return worker.entry.worker in self._held

    def held_for(self, step: StepRecord, pool: PoolId) -> list[WorkerState]:
        """Return the workers of `pool` that are held for `step`, the first first."""
        request = self._requests.get(step.key)
        if request is None:
            return []
        return [each.worker for each in request.holds if each.pool == pool]

    def find_shared(
        self,
        step: StepRecord,
        pool: PoolId,
        may_start: Callable[[WorkerState], bool],
    ) -> WorkerState | None:
        """Return a worker held for another step that has room for both.

        A task of `step` that is placed there leaves the room that the other waits for.
        """
        needs = StepNeeds(step)
        others = [each for each in self._requests.values() if each.step is not step]
        for request in others:
            for hold in request.holds:
                if (
                    hold.pool == pool
                    and needs.obstacle(hold.worker) is None
                    and may_start(hold.worker)
                    and self._leaves_room(hold, StepNeeds(request.step), needs)
                ):
                    return hold.worker
        return None

    def rooms(self, step: StepRecord, pool: PoolId, now_s: float) -> int:
        """Return how many of the workers held for `step` can take its task now."""
        needs = StepNeeds(step)
        return sum(
            needs.obstacle(each) is None and each.accepts_starts(now_s)
            for each in self.held_for(step, pool)
        )

    def on_placed(self, run: Run) -> None:
        """Release the worker of a run that it was held for."""
        request = self._requests.get(run.task.step.key)
        if request is not None:
            request.release(run.worker)

    def is_search_due(self, step: StepRecord, now_s: float) -> bool:
        """Return whether workers may be searched for `step` in this pass."""
        if self._searches >= MAX_SEARCHES:
            return False
        request = self._requests.get(step.key)
        return request is None or now_s >= request.search_due_s

    def hold(
        self,
        step: StepRecord,
        waiting_count: int,
        workers: CandidateWorkers,
        now_s: float,
    ) -> None:
        """Hold some of `workers` for the leaving and some waiting tasks of `step`."""
        count = waiting_count + self.leaving.count(step)
        if not count:
            return
        request = self._requests.setdefault(step.key, RoomRequest(step, now_s))
        needs = StepNeeds(step)
        request.holds = [h for h in request.holds if self._suits(h, needs, workers)]
        if len(request.timely_holds(now_s)) >= count:
            return
        self._searches += 1
        earlier = request.holds.copy()
        candidates = list(workers.most_free_first(ANY_AMOUNT))
        count = min(count, self._limit(request, candidates, workers.pool))
        self._hold_first(request, needs, candidates, count, now_s)
        if request.is_preempting(now_s):
            preempting = waiting_count + self.leaving.preempting_count(step)
            self._preempt(request, needs, candidates, min(count, preempting), now_s)
        is_vain = request.holds == earlier
        request.search_due_s = now_s + SEARCH_INTERVAL_S
        if is_vain:
            request.search_due_s = request.next_search_s(now_s)

    def take_preempted(self) -> list[PreemptedRun]:
        """Return the runs that are to be stopped to make room."""
        preempted, self._preempted = self._preempted, []
        return preempted

    def _is_valid(self, hold: RoomHold, step: StepRecord, now_s: float) -> bool:
        worker = hold.worker
        blocker = worker.start_blocker(now_s)
        is_in_vain = now_s > hold.until_s
        is_for_gang = step.step.is_gang and now_s <= hold.until_s + GANG_HOLD_S
        if is_in_vain and (is_for_gang or self.leaving.count(step)):
            is_in_vain = StepNeeds(step).obstacle(worker) is not None
        return (
            not is_in_vain
            and self._workers.get(hold.worker_id) is worker
            and worker.entry.pool == hold.pool
            and (blocker is None or blocker in _MOMENTARY)
        )

    def _leaves_room(self, hold: RoomHold, holder: StepNeeds, guest: StepNeeds) -> bool:
        """Return whether a worker has room for `holder` in time beside one `guest`.

        Room that it has now stays: a run may be about to be stopped for it.
        """
        worker = hold.worker
        free = worker.free
        if holder.obstacle(worker) is not None:
            free = self._forecast.free_at(worker, hold.until_s)
        left = free.minus(guest.resources)
        return holder.obstacle_with(worker, left, holder.runs_on(worker)) is None

    def _suits(
        self, hold: RoomHold, needs: StepNeeds, workers: CandidateWorkers
    ) -> bool:
        """Return whether a held worker can still have room for the step."""
        runs_here = needs.runs_on(hold.worker)
        capacity = hold.worker.entry.capacity
        obstacle = needs.obstacle_with(hold.worker, capacity, runs_here)
        return obstacle is None and workers.allows(hold.worker)

    def _limit(
        self, request: RoomRequest, candidates: list[WorkerState], pool: PoolId
    ) -> int:
        """Return how many workers of a pool may be held for a step."""
        held = sum(
            each.pool == pool
            for other in self._requests.values()
            for each in other.holds
        )
        limit = math.ceil((len(candidates) + held) * MAX_HELD_SHARE)
        return max(0, limit - held + len(request.holds))

    def _hold_first(
        self,
        request: RoomRequest,
        needs: StepNeeds,
        candidates: list[WorkerState],
        count: int,
        now_s: float,
    ) -> None:
        """Hold the workers that will have room first, until `count` are held."""
        missing = count - len(request.holds)
        if missing <= 0:
            return
        rooms = [(self._forecast.room_s(each, needs), each) for each in candidates]
        for room_s, each in nsmallest(missing, rooms, key=itemgetter(0)):
            if room_s <= now_s + MAX_HOLD_S:
                self._add(request, RoomHold.for_room(each, room_s))

    def _preempt(
        self,
        request: RoomRequest,
        needs: StepNeeds,
        candidates: list[WorkerState],
        count: int,
        now_s: float,
    ) -> None:
        """Make room on one more worker if fewer than `count` will have it in time."""
        timely = request.timely_holds(now_s)
        if len(timely) >= count:
            return
        late = [each for each in request.holds if each not in timely]
        others = [each for each in candidates if not self.is_held(each)]
        others.extend(each.worker for each in late)
        preemption = cheapest_preemption(needs, others, now_s)
        if preemption is None and now_s >= request.since_s + PREEMPT_GANGS_AFTER_S:
            preemption = cheapest_preemption(needs, others, now_s, with_gangs=True)
        if preemption is None:
            return
        if late:
            self._replace(request, late, preemption.worker)
        self._add(request, RoomHold.for_preemption(preemption.worker, now_s))
        self._preempted.extend(
            PreemptedRun(run, request.step.key) for run in preemption.runs
        )

    def _replace(
        self, request: RoomRequest, late: list[RoomHold], worker: WorkerState
    ) -> None:
        """Release the late hold of `worker`, or else the latest of them."""
        same = [each for each in late if each.worker is worker]
        dropped = same[0] if same else max(late, key=attrgetter("room_s"))
        request.release(dropped.worker_id)

    def _add(self, request: RoomRequest, hold: RoomHold) -> None:
        request.holds.append(hold)
        self._held.add(hold.worker_id)
