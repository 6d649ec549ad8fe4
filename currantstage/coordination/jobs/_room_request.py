"""A step that lacks room, and the workers that are held for it."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from currantstage.coordination.jobs._room_forecast import STOP_S

if TYPE_CHECKING:
    from currantstage.coordination.jobs._records import StepRecord
    from currantstage.coordination.jobs._worker_state import WorkerState
    from currantstage.state import PoolId
    from currantstage.state.jobs import WorkerId

#: How long after the expected time a held worker may still lack room, in seconds.
HOLD_TOLERANCE_S = 0.5
#: How long a worker on which runs are being stopped is held, in seconds.
PREEMPTION_HOLD_S = 2.0
#: Time from the first wait of a step until its tasks should have room, in seconds.
ROOM_WITHIN_S = 4.0
#: How long a step waits before other tasks are stopped for it, in seconds.
PREEMPT_AFTER_S = 1.5
#: Minimum time from a search that has found no worker to the next one, in seconds.
VAIN_SEARCH_INTERVAL_S = 1.0


@dataclass(frozen=True, slots=True, eq=False)
class RoomHold:
    """A worker that takes no other tasks.

    Parameters
    ----------
    worker : WorkerState
    pool : PoolId
        Pool of the worker when the hold began.
    room_s : float
        When it is expected to have room.
    until_s : float
        When the hold ends, if it still has none.
    """

    worker: WorkerState
    pool: PoolId
    room_s: float
    until_s: float

    @classmethod
    def for_room(cls, worker: WorkerState, room_s: float) -> RoomHold:
        """Return a hold of a worker whose runs will end by themselves."""
        until_s = room_s + HOLD_TOLERANCE_S
        return cls(worker, worker.entry.pool, room_s, until_s)

    @classmethod
    def for_preemption(cls, worker: WorkerState, now_s: float) -> RoomHold:
        """Return a hold of a worker on which runs are being stopped."""
        until_s = now_s + PREEMPTION_HOLD_S
        return cls(worker, worker.entry.pool, now_s + STOP_S, until_s)

    @property
    def worker_id(self) -> WorkerId:
        """Id of the held worker."""
        return self.worker.entry.worker


@dataclass(slots=True)
class RoomRequest:
    """A long-running step that lacks room, and the workers held for it.

    Parameters
    ----------
    step : StepRecord
    since_s : float
        When it was first found to lack room.
    holds : list of RoomHold
    search_due_s : float
        When workers may be searched for it again.
    """

    step: StepRecord
    since_s: float
    holds: list[RoomHold] = field(default_factory=list)
    search_due_s: float = -math.inf

    def release(self, worker: WorkerId) -> None:
        """Hold a worker no longer."""
        self.holds = [each for each in self.holds if each.worker_id != worker]

    def timely_holds(self, now_s: float) -> list[RoomHold]:
        """Return the holds of workers that are expected to have room soon enough."""
        latest_s = max(self.since_s + ROOM_WITHIN_S, now_s + STOP_S)
        return [each for each in self.holds if each.room_s <= latest_s]

    def next_search_s(self, now_s: float) -> float:
        """Return when to search again after a search that has found no worker."""
        preempting_s = self.since_s + PREEMPT_AFTER_S
        next_s = now_s + VAIN_SEARCH_INTERVAL_S
        return min(next_s, preempting_s) if now_s < preempting_s else next_s

    def is_preempting(self, now_s: float) -> bool:
        """Return whether its tasks have waited so long that others are stopped."""
        return now_s >= self.since_s + PREEMPT_AFTER_S
