"""Why runs are lost without an end that their worker lists."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from currantstage.coordination.jobs._run import RunPhase
from currantstage.state.jobs import CrashEvidence

if TYPE_CHECKING:
    from collections.abc import Sequence

    from currantstage.coordination.jobs._run import Run
    from currantstage.coordination.jobs._worker_state import WorkerState


class LossCause(Enum):
    """What has ended a run that no worker lists as ended."""

    #: The process of the worker has ended: another one has its address, id or VM.
    WORKER_ENDED = "worker-ended"
    #: The worker was silent until the run's lease had certainly expired.
    LEASE_EXPIRED = "lease-expired"
    #: The same, and its process was found to have ended afterwards.
    ENDED_LATE = "ended-late"
    #: The worker has left, or planned work has ended it.
    PLANNED = "planned"
    #: The worker lists neither the run nor its end.
    NOT_LISTED = "not-listed"


_EVIDENCE = {
    LossCause.WORKER_ENDED: CrashEvidence.PROCESS_END,
    LossCause.LEASE_EXPIRED: CrashEvidence.SILENCE,
    LossCause.ENDED_LATE: CrashEvidence.LATE_END,
}


@dataclass(frozen=True, slots=True)
class RunLoss:
    """The loss of a run.

    Parameters
    ----------
    cause : LossCause
    companions : int
        Number of other runs lost with it that can have crashed the worker: all but
        long-running ones that were at work.
    """

    cause: LossCause
    companions: int

    @property
    def evidence(self) -> CrashEvidence | None:
        """What shows that the worker has crashed; None if nothing does."""
        return _EVIDENCE.get(self.cause)


@dataclass(frozen=True, slots=True)
class LostRun:
    """A run that was lost, as it is reported."""

    run: Run
    loss: RunLoss


def sent_runs(state: WorkerState) -> list[Run]:
    """Return the runs whose start may have reached the worker."""
    return [run for run in state.runs.values() if run.phase is not RunPhase.UNSENT]


def record_loss(state: WorkerState, runs: Sequence[Run], cause: LossCause) -> None:
    """Record why runs are lost, unless an earlier loss of theirs is on record."""
    if state.is_leaving:
        cause = LossCause.PLANNED
    suspects = sum(not run.is_settled_in for run in runs)
    for run in runs:
        if run.loss is None:
            companions = suspects - (not run.is_settled_in)
            run.loss = RunLoss(cause, companions)


def record_planned_end(state: WorkerState) -> None:
    """Record that no crash has ended a worker, whatever was seen of its end before."""
    state.expired_runs.clear()
    for run in sent_runs(state):
        run.loss = RunLoss(LossCause.PLANNED, companions=0)
