"""Pauses of a worker, during which no task is placed on it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection


class PauseGround(Enum):
    """Why no task is placed on a worker for a while."""

    #: One of its runs showed no progress.
    STALL = "stall"
    #: Runs of several jobs have failed on it in a row.
    QUARANTINE = "quarantine"
    #: It refused a start as unhealthy.
    UNHEALTHY = "unhealthy"
    #: It refused a start for lack of capacity.
    NO_CAPACITY = "no-capacity"


@dataclass(frozen=True, slots=True)
class WorkerPause:
    """A pause of a worker.

    Parameters
    ----------
    ground : PauseGround
    since_s, until_s : float
        When the pause began, and when it ends by itself.
    """

    ground: PauseGround
    since_s: float
    until_s: float


class WorkerPauses:
    """The pauses of one worker, at most one on each ground."""

    def __init__(self) -> None:
        self._pauses: dict[PauseGround, WorkerPause] = {}
        #: When the last pause ends at the latest.
        self.over_s = float("-inf")

    def begin(self, ground: PauseGround, now_s: float, duration_s: float) -> None:
        """Begin a pause; one on the same ground goes on to the end of the new one."""
        earlier = self.get(ground, now_s)
        since_s = earlier.since_s if earlier is not None else now_s
        pause = WorkerPause(ground, since_s, now_s + duration_s)
        self._pauses[ground] = pause
        self.over_s = max(self.over_s, pause.until_s)

    def end(self, ground: PauseGround) -> None:
        """End the pause on a ground, if there is one."""
        self._pauses.pop(ground, None)

    def get(self, ground: PauseGround, now_s: float) -> WorkerPause | None:
        """Return the pause on a ground; None if there is none now."""
        pause = self._pauses.get(ground)
        return pause if pause is not None and now_s < pause.until_s else None

    def are_any(self, grounds: Collection[PauseGround], now_s: float) -> bool:
        """Return whether there is a pause on one of `grounds` now."""
        return any(self.get(each, now_s) for each in grounds)

    def current(
        self, now_s: float, ignored: Collection[PauseGround] = ()
    ) -> WorkerPause | None:
        """Return the pause that ends last, on a ground that is not `ignored`."""
        if now_s >= self.over_s:
            return None
        current: WorkerPause | None = None
        for pause in self._pauses.values():
            if now_s >= pause.until_s or pause.ground in ignored:
                continue
            if current is None or pause.until_s > current.until_s:
                current = pause
        return current

    def end_s(self, now_s: float) -> float:
        """Return when the last of the pauses ends; `now_s` without one."""
        current = self.current(now_s)
        return current.until_s if current is not None else now_s
