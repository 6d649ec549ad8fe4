"""How the runs that earlier schedulers have placed are settled."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from currantstage.coordination.jobs._run_loss import LossCause

if TYPE_CHECKING:
    from currantstage.coordination.jobs._run import Run


class Settlement(Enum):
    """What has told whether a worker runs what an earlier scheduler has placed."""

    #: The worker's lists: the run, its end, or neither of them.
    LISTED = "listed"
    #: The worker was silent until the run's lease had certainly expired.
    LEASE_EXPIRED = "lease-expired"
    #: The process of the worker has certainly ended.
    PROCESS_ENDED = "process-ended"


@dataclass(frozen=True, slots=True)
class AdoptionSummary:
    """How the adopted runs of a term were settled.

    Parameters
    ----------
    duration_s : float
        From their adoption until the last one was settled.
    listed, lease_expired, process_ended : int
        Number of runs by what has settled them.
    """

    duration_s: float
    listed: int
    lease_expired: int
    process_ended: int


class AdoptedRuns:
    """The runs that a scheduler has adopted, until each of them is settled."""

    def __init__(self) -> None:
        self._unsettled: set[Run] = set()
        self._settled: Counter[Settlement] = Counter()
        self._adopted_s = float("inf")

    @property
    def run_count(self) -> int:
        """Number of runs that are not settled yet."""
        return len(self._unsettled)

    @property
    def worker_count(self) -> int:
        """Number of workers on which they were placed."""
        return len({run.worker for run in self._unsettled})

    def add(self, run: Run) -> None:
        """Record that a run has been adopted."""
        self._unsettled.add(run)
        self._adopted_s = min(self._adopted_s, run.in_doubt_since_s)

    def settle(self, run: Run, settlement: Settlement) -> None:
        """Record that a run is settled, if it was adopted and is not settled yet."""
        if run in self._unsettled:
            self._unsettled.remove(run)
            self._settled[settlement] += 1

    def settle_lost(self, run: Run) -> None:
        """Record that a run is lost, other than with its lease."""
        is_unlisted = run.loss is not None and run.loss.cause is LossCause.NOT_LISTED
        self.settle(run, Settlement.LISTED if is_unlisted else Settlement.PROCESS_ENDED)

    def take_summary(self, now_s: float) -> AdoptionSummary | None:
        """Return the summary, once, when the last run has just been settled."""
        if self._unsettled or not self._settled:
            return None
        settled, self._settled = self._settled, Counter()
        return AdoptionSummary(
            duration_s=now_s - self._adopted_s,
            listed=settled[Settlement.LISTED],
            lease_expired=settled[Settlement.LEASE_EXPIRED],
            process_ended=settled[Settlement.PROCESS_ENDED],
        )
