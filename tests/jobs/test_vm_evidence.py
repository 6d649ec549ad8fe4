"""What the platform's list of VMs shows of workers whose processes have ended."""

from __future__ import annotations

from typing import Any

import pytest
from msgspec.structs import replace

from currantstage.coordination.jobs import (
    FleetManager,
    InheritedLeases,
    LeaseTakeover,
    ListedVmOrder,
    LossCause,
    Run,
    RunPhase,
    Scheduler,
    SchedulerTuning,
    TakeoverGround,
    VmOrderCooldown,
)
from currantstage.standin.jobs import build_configuration
from currantstage.state import DataCentreId, PoolId, VmId
from currantstage.state.jobs import (
    BornMs,
    JobId,
    OrderOutcome,
    RenewalReply,
    Resources,
    RunningTask,
    Term,
    VmCondition,
    VmRecord,
    WorkerId,
)
from tests.jobs.records import (
    entry,
    placed_task,
    start_runs,
    stored_progress,
    submission,
)
from tests.jobs.site import step

TUNING = SchedulerTuning(min_vms_per_pool=0)
JOB = JobId("0" * 16)
VM = VmId("m")
OLD, NEW = WorkerId("old"), WorkerId("new")
LONG_RUNNING = step(2, run_ms=0, is_long_running=True, max_unavailable=1)
RECORD = VmRecord(
    vm=VM,
    pool=PoolId("letters"),
    condition=VmCondition.UP,
    data_centre=DataCentreId("dc"),
    labels=("a", "r"),
    capacity=Resources(8000, 16384, 0),
    worker=OLD,
)
#: Changes of the entry that show that the VM has its former worker no more.
ENDED = [
    {"condition": VmCondition.MOVING, "worker": WorkerId("")},
    {"condition": VmCondition.MAINTENANCE, "worker": WorkerId("")},
    {"condition": VmCondition.MAINTENANCE, "worker": OLD},
    {"worker": NEW},
]
#: Changes that don't.
OPEN = [
    {},
    {"condition": VmCondition.DOWN},
    {"condition": VmCondition.DOWN, "worker": WorkerId("")},
    {"condition": VmCondition.DOWN, "worker": NEW},
    {"worker": WorkerId("")},
    {"pool": PoolId("parcels")},
]


class Site:
    """A scheduler with a worker on a VM, and the planned work on that VM."""

    def __init__(self, scheduler: Scheduler, *inherited: ListedVmOrder) -> None:
        self.scheduler = scheduler
        self.manager = FleetManager(
            scheduler, TUNING, VmOrderCooldown(inherited, 0.0, TUNING)
        )

    @property
    def runs(self) -> list[Run]:
        record = self.scheduler.jobs.get(JOB)
        assert record is not None
        return record.runs()

    def list_vms(self, requested_s: float, **changes: Any) -> None:
        """Apply a list with the VM as changed."""
        self.manager.observe((replace(RECORD, **changes),), requested_s)

    def renew(
        self, now_s: float, *running: RunningTask, worker: WorkerId = OLD
    ) -> None:
        """Answer a renewal of a worker with the list of what it runs."""
        order = self.scheduler.next_renewal(worker, now_s)
        assert order is not None
        clock_ms = int(now_s * 1000) + 1
        reply = RenewalReply(
            clock_ms=clock_ms, born_ms=BornMs(1), running=running, ended=()
        )
        self.scheduler.on_renewal_outcome(order, reply, now_s, now_s)

    def expire(self, now_s: float) -> None:
        """Leave renewals of the worker unanswered until its lease has expired."""
        for number in range(2):
            sent_s = now_s + number
            order = self.scheduler.next_renewal(OLD, sent_s)
            assert order is not None
            self.scheduler.on_renewal_outcome(
                order, OrderOutcome.UNKNOWN, sent_s, sent_s + 0.5
            )
        self.scheduler.tick(now_s + 20.0)

    def causes(self) -> list[LossCause]:
        return [lost.loss.cause for lost in self.scheduler.take_lost_runs()]


def _site(
    phase: RunPhase = RunPhase.RUNNING, *, is_listed: bool = True, run_ms: int = 0
) -> Site:
    """Return a site within a term, with two runs on the worker."""
    site = Site(Scheduler(Term(1), build_configuration(), TUNING))
    site.scheduler.update_workers((entry(OLD),), 0.0)
    site.list_vms(0.0)
    work = LONG_RUNNING if not run_ms else step(2, run_ms=run_ms)
    site.scheduler.submit(submission(JOB, work), 0.0)
    site.renew(0.0)
    runs = [run for run, _ in start_runs(site.scheduler, 0.1)]
    assert len(runs) == LONG_RUNNING.task_count
    if is_listed:
        site.renew(0.2, *(RunningTask(r.task.key, r.number, "", 50, 0.0) for r in runs))
    for run in runs:
        run.phase = phase
    return site


def _site_after_takeover(*inherited: ListedVmOrder) -> Site:
    """Return a site whose scheduler has adopted two runs of an earlier one."""
    scheduler = Scheduler(Term(2), build_configuration(), TUNING)
    scheduler.update_workers((entry(OLD),), 0.0)
    tasks = [placed_task(OLD, index) for index in range(LONG_RUNNING.task_count)]
    takeover = LeaseTakeover(TakeoverGround.HOLDER_ENDED)
    scheduler.restore(
        submission(JOB, LONG_RUNNING),
        stored_progress(JOB, *tasks),
        False,
        InheritedLeases(takeover, 0.0, TUNING),
        0.0,
        unix_ms=0.0,
    )
    return Site(scheduler, *inherited)


@pytest.mark.parametrize("changes", ENDED)
@pytest.mark.parametrize("phase", [RunPhase.RUNNING, RunPhase.SENT, RunPhase.IN_DOUBT])
@pytest.mark.parametrize("is_listed", [True, False])
def test_runs_whose_vm_has_their_worker_no_more_dont_wait_for_its_lease(
    changes: dict[str, Any], phase: RunPhase, is_listed: bool
) -> None:
    site = _site(phase, is_listed=is_listed)
    site.list_vms(1.0, **changes)
    assert site.runs == []


@pytest.mark.parametrize("changes", OPEN)
def test_list_that_proves_no_end_releases_no_run(changes: dict[str, Any]) -> None:
    site = _site()
    site.list_vms(1.0, **changes)
    assert len(site.runs) == LONG_RUNNING.task_count


def test_list_that_lacks_the_vm_releases_no_run() -> None:
    site = _site()
    site.manager.observe((), 1.0)
    assert len(site.runs) == LONG_RUNNING.task_count
    site.list_vms(2.0, worker=NEW)
    assert site.runs == []


def test_worker_that_a_vm_at_planned_work_is_to_get_keeps_its_runs() -> None:
    site = _site()
    site.list_vms(1.0, condition=VmCondition.MOVING, worker=NEW)
    site.scheduler.update_workers((entry(OLD), entry(NEW)), 2.0)
    site.renew(2.0, worker=NEW)
    assert len(start_runs(site.scheduler, 2.1)) == LONG_RUNNING.task_count
    site.list_vms(2.2, worker=NEW)
    assert {run.worker for run in site.runs} == {NEW}


@pytest.mark.parametrize("changes", ENDED)
def test_takeover_doesnt_keep_runs_of_a_worker_that_an_earlier_order_has_ended(
    changes: dict[str, Any],
) -> None:
    site = _site_after_takeover(ListedVmOrder(vm=VM, worker=OLD, is_open=True))
    site.list_vms(0.1, **changes)
    assert site.runs == []
    assert site.causes() == [LossCause.PLANNED] * LONG_RUNNING.task_count


@pytest.mark.parametrize("changes", OPEN)
def test_order_of_an_earlier_scheduler_alone_releases_no_run(
    changes: dict[str, Any],
) -> None:
    site = _site_after_takeover(ListedVmOrder(vm=VM, worker=OLD, is_open=True))
    site.list_vms(0.1, **changes)
    assert len(site.runs) == LONG_RUNNING.task_count


# Which worker such a VM had isn't known: the list need not be complete.
@pytest.mark.parametrize("changes", ENDED)
def test_first_list_of_a_term_releases_no_run_without_an_earlier_one(
    changes: dict[str, Any],
) -> None:
    site = _site_after_takeover()
    site.list_vms(0.1, **changes)
    assert len(site.runs) == LONG_RUNNING.task_count


def test_planned_work_that_ended_a_worker_is_no_crash_of_its_tasks() -> None:
    site = _site(run_ms=700)
    tasks = [run.task for run in site.runs]
    # The next worker on the VM, at the same address, is known first.
    later = entry(NEW, address=OLD, born_ms=BornMs(900))
    site.scheduler.update_workers((entry(OLD), later), 0.9)
    site.list_vms(1.0, condition=VmCondition.MOVING)
    assert site.causes() == [LossCause.PLANNED] * 2
    assert [task.crashes for task in tasks] == [{}, {}]


def test_vm_with_another_worker_that_nobody_ordered_is_a_crash() -> None:
    site = _site(run_ms=700)
    tasks = [run.task for run in site.runs]
    site.list_vms(1.0, worker=NEW)
    assert site.causes() == [LossCause.WORKER_ENDED] * 2
    assert all(task.crashes for task in tasks)


def test_reply_that_arrives_after_the_end_of_its_worker_opens_it_to_no_task() -> None:
    site = _site()
    order = site.scheduler.next_renewal(OLD, 0.9)
    assert order is not None
    site.list_vms(1.0, condition=VmCondition.MOVING)
    reply = RenewalReply(clock_ms=950, born_ms=BornMs(1), running=(), ended=())
    site.scheduler.on_renewal_outcome(order, reply, 0.9, 1.1)
    assert start_runs(site.scheduler, 1.2) == []


@pytest.mark.parametrize(
    ("changes", "late_ends"),
    [({"condition": VmCondition.MOVING}, 0), ({"worker": NEW}, 2)],
)
def test_planned_work_after_the_end_of_a_lease_is_no_late_crash(
    changes: dict[str, Any], late_ends: int
) -> None:
    site = _site(run_ms=700)
    site.expire(1.0)
    assert site.causes() == [LossCause.LEASE_EXPIRED] * 2
    site.list_vms(22.0, **changes)
    site.scheduler.tick(22.1)
    assert site.causes() == [LossCause.ENDED_LATE] * late_ends


def test_end_of_a_worker_is_concluded_once() -> None:
    site = _site()
    later = (replace(RECORD, worker=NEW),)
    assert len(site.manager.observe(later, 1.0).ended) == 1
    assert site.manager.observe(later, 2.0).ended == []
