"""State of a worker: its reserved resources, its fence and its lease."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from operator import attrgetter
from typing import TYPE_CHECKING, Protocol

from currantstage.coordination.jobs._inherited_leases import RunEnds
from currantstage.coordination.jobs._run import Run, RunPhase
from currantstage.coordination.jobs._worker_clock import WorkerClock
from currantstage.coordination.jobs._worker_lease import WorkerLease
from currantstage.coordination.jobs._worker_pause import PauseGround, WorkerPauses
from currantstage.state.jobs import (
    NO_RESOURCES,
    EndNumber,
    Fence,
    RenewalOrder,
    Resources,
    Term,
)

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from currantstage.coordination.jobs._tuning import SchedulerTuning
    from currantstage.state.jobs import EndedTask, JobId, TaskKey, WorkerEntry

#: Fences reserved for a term; a term that used more would overlap the next one.
FENCES_PER_TERM = 1_000_000
#: How long no task is placed on a quarantined worker, in seconds.
QUARANTINE_S = 4.0
#: Consecutive failures after which a worker is quarantined.
MAX_CONSECUTIVE_FAILURES = 3
#: Minimum number of jobs among these failures, since some jobs fail on any worker.
MIN_FAILED_JOBS = 2
#: How long a worker that is granted no lease may delay its reply until a run ends, in
#: milliseconds; a lease is due as soon as it may be granted.
UNRENEWED_WAIT_MS = 200
#: Consecutive unanswered renewals after which a worker counts as silent.
SILENT_AFTER_MISSED_RENEWALS = 2


def first_fence(term: Term) -> Fence:
    """Return the lowest fence of a term.

    >>> first_fence(Term(3))
    3000000
    """
    return Fence(term * FENCES_PER_TERM)


class StartBlocker(Enum):
    """Why no task may be placed on a worker now."""

    UNSYNCED = "unsynced"
    UNLISTED = "unlisted"
    DRAINING = "draining"
    CORDONED = "cordoned"
    SILENT = "silent"
    ORPHANS = "orphans"
    TRIAL = "trial"
    STALLED = "paused-stall"
    QUARANTINED = "paused-quarantine"
    UNHEALTHY = "paused-unhealthy"
    NO_CAPACITY = "paused-no-capacity"
    START_IN_DOUBT = "start-in-doubt"


_PAUSE_BLOCKERS = {
    PauseGround.STALL: StartBlocker.STALLED,
    PauseGround.QUARANTINE: StartBlocker.QUARANTINED,
    PauseGround.UNHEALTHY: StartBlocker.UNHEALTHY,
    PauseGround.NO_CAPACITY: StartBlocker.NO_CAPACITY,
}


class RoomObserver(Protocol):
    """Follows the free resources of workers."""

    def on_room_changed(self, state: WorkerState) -> None:
        """Note that a worker's pool or free resources have changed."""


@dataclass(slots=True, eq=False)
class WorkerState:
    """State of a worker.

    Parameters
    ----------
    entry : WorkerEntry
    fence : Fence
        Fence of the next order.
    answered_fence : Fence
        Highest fence that the worker has acknowledged; it rejects orders below it.
    clock : WorkerClock
    lease : WorkerLease
    processed_upto : EndNumber
        Highest number of the ends that have been processed in memory.
    seen_upto : EndNumber
        Highest number up to which all ends are stored.
    unstored_ends : dict of EndNumber to TaskKey
        Tasks of the processed ends that are not known to be stored, in the order of
        their numbers.
    acknowledged_upto : EndNumber
        Highest number of the ends that the worker knows to be stored.
    is_synced : bool
        The worker has reported its runs under this scheduler's fence.
    may_be_renewed : bool
        Whether the next scheduler will allow for leases that are granted from now on.
    is_listed : bool
        Whether the store lists the worker.
    missed_renewals : int
        Number of consecutive unanswered renewals.
    missed_s : float
        When the last of them was found to be unanswered.
    newest_renewal_sent_s : float
        When the renewal was sent whose reply is the newest applied.
    is_cordoned, is_retired : bool
        The worker is being drained for planned work, or that work has ended it.
    has_orphans : bool
        It runs tasks that are being stopped and are not counted in `used`.
    pauses : WorkerPauses
        Pauses during which no task is placed on the worker.
    expired_runs : list of Run
        Runs that were released when their lease had expired, while nothing shows
        whether its process had ended or was only cut off.
    suspect_runs, trial_runs : int
        Number of its runs whose task may crash workers, and of those that are tried
        alone.
    room_observer : RoomObserver, optional
    """

    entry: WorkerEntry
    fence: Fence
    answered_fence: Fence = Fence(0)
    clock: WorkerClock = field(default_factory=WorkerClock)
    lease: WorkerLease = field(default_factory=WorkerLease)
    processed_upto: EndNumber = EndNumber(0)
    seen_upto: EndNumber = EndNumber(0)
    acknowledged_upto: EndNumber = EndNumber(0)
    unstored_ends: dict[EndNumber, TaskKey] = field(default_factory=dict)
    is_synced: bool = False
    may_be_renewed: bool = True
    is_listed: bool = True
    missed_renewals: int = 0
    missed_s: float = float("-inf")
    newest_renewal_sent_s: float = float("-inf")
    is_cordoned: bool = False
    is_retired: bool = False
    has_orphans: bool = False
    pauses: WorkerPauses = field(default_factory=WorkerPauses)
    failures: list[JobId] = field(default_factory=list)
    used: Resources = NO_RESOURCES
    runs: dict[TaskKey, Run] = field(default_factory=dict)
    expired_runs: list[Run] = field(default_factory=list)
    suspect_runs: int = 0
    trial_runs: int = 0
    room_observer: RoomObserver | None = None

    @property
    def is_silent(self) -> bool:
        """Whether it has not answered several consecutive renewals."""
        return self.missed_renewals >= SILENT_AFTER_MISSED_RENEWALS

    @property
    def is_responsive(self) -> bool:
        """Whether it has reported its runs and answers renewals."""
        return self.is_synced and self.missed_renewals < SILENT_AFTER_MISSED_RENEWALS

    @property
    def is_dark(self) -> bool:
        """Whether no task may be placed on it until it is heard of again."""
        return self.is_silent or not self.is_listed or self.entry.is_draining

    @property
    def is_leaving(self) -> bool:
        """Whether its end is planned, by itself or by the scheduler."""
        return self.is_cordoned or self.is_retired or self.entry.is_draining

    @property
    def free(self) -> Resources:
        """The capacity that is not reserved."""
        return self.entry.capacity.minus(self.used)

    def add(self, run: Run) -> None:
        """Reserve resources for `run`."""
        self.runs[run.task.key] = run
        self.used = self.used.plus(run.reserved_resources)
        if run.is_suspect:
            self.suspect_runs += 1
            self.trial_runs += run.is_trial
        self._report_room()

    def remove(self, run: Run) -> None:
        """Release the resources of `run`."""
        del self.runs[run.task.key]
        self.used = self.used.minus(run.reserved_resources)
        if run.is_suspect:
            self.suspect_runs -= 1
            self.trial_runs -= run.is_trial
        self._report_room()

    def end_trial(self, run: Run) -> None:
        """Open the worker to other runs beside one that has been tried."""
        self.trial_runs -= run.is_trial
        run.is_trial = False

    def is_open_to_trial(self) -> bool:
        """Return whether a crash would tell that one more run has caused it."""
        return all(run.is_settled_in for run in self.runs.values())

    def has_adoptable_run(self) -> bool:
        """Return whether the next scheduler adopts a run of the worker.

        By that it knows that the worker was sent orders.
        """
        for run in self.runs.values():
            job = run.task.step.job
            if run.phase is not RunPhase.UNSENT and not job.state.is_final:
                return True
        return False

    def has_start_in_doubt(self) -> bool:
        """Return whether the outcome of any start is unknown."""
        return any(run.phase is RunPhase.IN_DOUBT for run in self.runs.values())

    def has_open_orders(self) -> bool:
        """Return whether any start is to be answered, or any run to be stopped yet."""
        return any(run.has_open_order for run in self.runs.values())

    def can_settle_starts(self) -> bool:
        """Return whether a renewal can settle all starts whose outcome is unknown."""
        return self.has_start_in_doubt() and not self._has_unanswered_start()

    def accepts_starts(self, now_s: float) -> bool:
        """Return whether tasks may be placed on the worker."""
        return self.start_blocker(now_s) is None

    def start_blocker(
        self, now_s: float, ignored_pauses: Collection[PauseGround] = ()
    ) -> StartBlocker | None:
        """Return why no task may be placed on the worker; None if tasks may be.

        `CORDONED` is returned only if nothing else prevents starts.
        """
        if not self.is_synced:
            return StartBlocker.UNSYNCED
        if not self.is_listed:
            return StartBlocker.UNLISTED
        if self.entry.is_draining:
            return StartBlocker.DRAINING
        if self.is_silent:
            return StartBlocker.SILENT
        if self.has_orphans:
            return StartBlocker.ORPHANS
        if self.trial_runs:
            return StartBlocker.TRIAL
        if now_s < self.pauses.over_s:
            pause = self.pauses.current(now_s, ignored_pauses)
            if pause is not None:
                return _PAUSE_BLOCKERS[pause.ground]
        if self.has_start_in_doubt():
            return StartBlocker.START_IN_DOUBT
        return StartBlocker.CORDONED if self.is_cordoned else None

    def raise_fence(self) -> None:
        """Invalidate all unanswered orders once the next one is answered."""
        self.fence = Fence(self.fence + 1)

    def grant_until_ms(
        self, now_s: float, tuning: SchedulerTuning, max_delay_s: float = 0.0
    ) -> int | None:
        """Return the end of a new lease on the worker's clock, and record it.

        The order that grants it is sent by `max_delay_s` from now at the latest.
        """
        if not self.clock.reading_ms or not self.may_be_renewed:
            return None
        self.lease.grant(now_s, tuning, max_delay_s)
        return self.clock.earliest_ms(now_s) + tuning.worker_lease_ms

    def record_synced(self, now_s: float, tuning: SchedulerTuning) -> None:
        """Record the worker's first list of its runs under this scheduler's fence."""
        self.lease.on_first_list(self.entry.born_ms, now_s, tuning)
        self.is_synced = True

    def run_end_s(self, run: Run, tuning: SchedulerTuning) -> float:
        """Return when a run has certainly ended if the worker stays silent."""
        return self.run_ends(tuning).of(run)

    def run_ends(self, tuning: SchedulerTuning) -> RunEnds:
        """Return when its runs have certainly ended if the worker stays silent."""
        return RunEnds(self.lease.listed_end_s(), self.lease.latest_end_s(tuning))

    def is_renewal_due(self, now_s: float) -> bool:
        """Return whether the worker has to be sent a renewal.

        One that has no runs is sent renewals at long intervals, to read its clock.
        """
        if self.is_retired or not self.entry.address:
            return False
        if not self.is_listed and not self.runs:
            return False
        return (
            not self.is_synced
            or bool(self.runs)
            or self.has_orphans
            or self.is_silent
            or self.seen_upto > self.acknowledged_upto
            or self.clock.is_outdated(now_s)
        )

    def next_renewal(self, now_s: float, tuning: SchedulerTuning) -> RenewalOrder:
        """Return the order that renews the lease and requests the lists of runs."""
        is_in_doubt = self.has_start_in_doubt()
        can_settle = is_in_doubt and not self._has_unanswered_start()
        if can_settle and self.answered_fence >= self.fence:
            self.raise_fence()
        until_ms = None
        if self.is_responsive and self.has_adoptable_run():
            until_ms = self.grant_until_ms(now_s, tuning)
        wait_ms = 0
        if self.runs and not (self.missed_renewals or is_in_doubt):
            wait_ms = tuning.hold_wait_ms if until_ms is not None else UNRENEWED_WAIT_MS
        return RenewalOrder(
            worker=self.entry,
            fence=self.fence,
            seen_upto=self._next_seen_upto(),
            until_ms=until_ms,
            wait_ms=wait_ms if self.is_synced else 0,
        )

    def _next_seen_upto(self) -> EndNumber:
        """Return up to which number the next renewal has the worker forget ends.

        A worker that has restarted numbers its ends anew, and would forget some that
        nobody has read. So only what is new is acknowledged, and nothing after a
        renewal without an answer.
        """
        if self.missed_renewals or self.seen_upto <= self.acknowledged_upto:
            return EndNumber(0)
        return self.seen_upto

    def record_ends(self, ends: Iterable[EndedTask]) -> None:
        """Record ends that are processed now."""
        for ended in sorted(ends, key=attrgetter("number")):
            self.processed_upto = ended.number
            self.unstored_ends[ended.number] = ended.task

    def record_ends_stored(self, numbers: Iterable[EndNumber]) -> None:
        """Record that all effects of some of the processed ends are stored."""
        for number in numbers:
            self.unstored_ends.pop(number, None)
        first_unstored = next(iter(self.unstored_ends), None)
        if first_unstored is None:
            self.seen_upto = self.processed_upto
        else:
            self.seen_upto = EndNumber(first_unstored - 1)

    def record_failure(self, job: JobId, now_s: float) -> None:
        """Count a failed run; quarantine a worker on which several jobs fail."""
        self.failures.append(job)
        has_too_many = len(self.failures) >= MAX_CONSECUTIVE_FAILURES
        if has_too_many and len(set(self.failures)) >= MIN_FAILED_JOBS:
            self.pauses.begin(PauseGround.QUARANTINE, now_s, QUARANTINE_S)
            self.failures.clear()

    def record_success(self) -> None:
        """Count a run that succeeded; it shows that not all runs fail here."""
        self.failures.clear()
        self.pauses.end(PauseGround.QUARANTINE)

    def _report_room(self) -> None:
        if self.room_observer is not None:
            self.room_observer.on_room_changed(self)

    def _has_unanswered_start(self) -> bool:
        return any(run.phase is RunPhase.SENT for run in self.runs.values())
