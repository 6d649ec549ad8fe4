"""In-memory record of a task, and what its lost runs say of it."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from currantstage.state.jobs import (
    BornMs,
    CrashRecord,
    RunNumber,
    TaskKey,
    TaskPhase,
    TaskProgress,
    WorkerId,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from currantstage.coordination.jobs._records import StepRecord
    from currantstage.coordination.jobs._run import Run

#: Weight of the crashes under a task from which on it is tried alone on a worker.
TRIAL_WEIGHT = 2
#: Weight of the crashes under a task from which on it is not started any more, if at
#: least `MIN_CERTAIN_CRASHES` were certainly under a run of it.
GIVE_UP_WEIGHT = 4
MIN_CERTAIN_CRASHES = 2
#: Number of its workers that have crashed or stayed silent from which on a task is not
#: started any more, if at least `MIN_CERTAIN_CRASHES` have certainly crashed.
MAX_LOST_WORKERS = 5


@dataclass(slots=True, eq=False)
class TaskRecord:
    """A task of a step.

    Parameters
    ----------
    key : TaskKey
    step : StepRecord
    phase : TaskPhase
        Set by `move_to`.
    run_number : RunNumber
        Number of the latest run; the next one is higher.
    worker : WorkerId
        Worker on which the latest run was placed.
    born_ms : BornMs
        Incarnation of that worker.
    is_listed : bool
        Whether that incarnation is known to have listed the run.
    run : Run, optional
        The run in progress; set by `assign`.
    failed_runs : frozenset of RunNumber
        Runs that failed. They are kept by number, since an end may be listed again to
        a later scheduler and must be counted only once.
    checkpoint : str
        Latest checkpoint of the task, or of its gang; set by `record_checkpoint`.
    checkpointed_s : float
        When this scheduler learned of it.
    failed_on : frozenset of WorkerId
        Workers on which a run of the task has failed or stalled.
    stall_count : int
        Number of its runs that were stopped as stalled.
    crashes : dict of RunNumber to CrashRecord
        Runs whose worker crashed, or may have crashed.
    trial_since_s : float
        When its trial was first due and no worker was free for it.
    """

    key: TaskKey
    step: StepRecord
    phase: TaskPhase = TaskPhase.WAITING
    run_number: RunNumber = RunNumber(0)
    worker: WorkerId = WorkerId("")
    born_ms: BornMs = BornMs(0)
    is_listed: bool = False
    run: Run | None = None
    failed_runs: frozenset[RunNumber] = frozenset()
    checkpoint: str = ""
    checkpointed_s: float = float("-inf")
    failed_on: frozenset[WorkerId] = frozenset()
    stall_count: int = 0
    not_before_s: float = 0.0
    crashes: dict[RunNumber, CrashRecord] = field(default_factory=dict)
    trial_since_s: float = float("inf")

    def move_to(self, phase: TaskPhase) -> None:
        """Change the phase; a task that is done stays so."""
        if phase is not self.phase and self.phase is not TaskPhase.DONE:
            self.phase = phase
            self.step.on_phase_changed(self)

    def assign(self, run: Run | None) -> None:
        """Set the run in progress."""
        earlier, self.run = self.run, run
        self.step.on_run_changed(self, earlier)

    def record_checkpoint(self, checkpoint: str, now_s: float) -> None:
        """Keep a checkpoint that a worker has listed."""
        if checkpoint != self.checkpoint:
            self.checkpoint = checkpoint
            self.checkpointed_s = now_s

    @property
    def crash_weight(self) -> int:
        """Evidence that the task crashes workers; alone with it, one counts twice."""
        return _weight(self.crashes.values())

    @property
    def is_given_up(self) -> bool:
        """Whether the crashes are enough evidence that it crashes its workers.

        A worker that is only silent may be cut off: silence alone is no such evidence.
        """
        crashes = [each for each in self.crashes.values() if each.is_crash]
        if len(crashes) < MIN_CERTAIN_CRASHES:
            return False
        certain = sum(each.is_under_run for each in crashes)
        if certain >= MIN_CERTAIN_CRASHES and _weight(crashes) >= GIVE_UP_WEIGHT:
            return True
        return len(self.crashes) >= MAX_LOST_WORKERS

    @property
    def needs_trial(self) -> bool:
        """Whether the task is to be started on a worker without other runs."""
        is_in_doubt = bool(self.crashes) and self.crash_weight >= TRIAL_WEIGHT
        return is_in_doubt and not self.step.step.is_gang

    def progress(self) -> TaskProgress:
        """Return the progress to store for the task."""
        is_placed = self.phase is TaskPhase.PLACED
        return TaskProgress(
            occurrence=self.key.occurrence,
            step=self.key.step,
            index=self.key.number,
            phase=self.phase,
            run=self.run_number,
            worker=self.worker if is_placed else WorkerId(""),
            born_ms=self.born_ms if is_placed else BornMs(0),
            is_listed=is_placed and self.is_listed and self.step.step.is_long_running,
            failed_runs=tuple(sorted(self.failed_runs)) if self.failed_runs else (),
            crashes=tuple(self.crashes.values()) if self.crashes else (),
            checkpoint=self.checkpoint if self.phase is not TaskPhase.DONE else "",
        )


def share_checkpoint(gang: Sequence[TaskRecord]) -> None:
    """Give all members of a gang the latest checkpoint of any of them."""
    newest = max(gang, key=lambda each: (bool(each.checkpoint), each.checkpointed_s))
    for task in gang:
        task.checkpoint = newest.checkpoint
        task.checkpointed_s = newest.checkpointed_s


def _weight(crashes: Iterable[CrashRecord]) -> int:
    return sum(2 if each.was_alone else 1 for each in crashes)
