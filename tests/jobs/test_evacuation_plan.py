"""Places for the long-running tasks of VMs that are to be maintained or moved."""

from __future__ import annotations

from msgspec.structs import replace

from currantstage.coordination.jobs import (
    FleetManager,
    Run,
    Scheduler,
    SchedulerTuning,
    VmGoal,
    VmOrderCooldown,
    VmState,
    VmWork,
    WorkerState,
)
from currantstage.coordination.jobs._fleet_manager import MOVE_DRAIN_TIMEOUT_S
from currantstage.coordination.jobs._maintenance_plan import MAX_DRAIN_TIMEOUT_S
from currantstage.standin.jobs import build_configuration
from currantstage.state import DataCentreId, PoolId, QueueId, TeamId, VmId
from currantstage.state.jobs import (
    MaintenanceWave,
    Resources,
    Step,
    Term,
    VmCondition,
    VmRecord,
    WorkerId,
)
from tests.jobs.records import POOL, entry, open_step, running, submission
from tests.jobs.site import step

CAPACITY = Resources(8000, 16384, 0)
TUNING = SchedulerTuning(min_vms_per_pool=0)
NOW_S = 10.0


class _Fleet:
    """A pool of workers ``w-0``, ``w-1``, ..., one per VM, and a long-running step."""

    def __init__(self, vm_count: int, work: Step) -> None:
        self.now_s = NOW_S
        self.scheduler = Scheduler(Term(1), build_configuration(), TUNING)
        names = [f"w-{number}" for number in range(vm_count)]
        self.scheduler.update_workers([entry(name) for name in names], NOW_S)
        self.manager = FleetManager(
            self.scheduler, TUNING, VmOrderCooldown((), 0.0, TUNING)
        )
        self.manager.observe([_record(name) for name in names], requested_s=NOW_S)
        for worker_state in self.scheduler.workers.states():
            worker_state.is_synced = True
        self.scheduler.submit(submission("0" * 16, work), NOW_S)
        (self.step,) = self.scheduler.jobs.ready_steps()

    def run(self, number: int, worker: str) -> None:
        """Let a task run on a worker."""
        run = running(self.step, number, listed_s=NOW_S, worker=worker)
        worker_state = self.scheduler.workers.get(WorkerId(worker))
        assert worker_state is not None
        worker_state.add(run)

    def run_other(self, worker: str, run_ms: int) -> Run:
        """Let a task of 5 cores that isn't long-running start on a worker."""
        other = open_step(step(1, cpu=5000, run_ms=run_ms), job=f"{worker:>16}")
        run = running(other, 0, listed_s=NOW_S, worker=worker)
        run.placed_s, run.percent = NOW_S, 0
        self.worker(worker).add(run)
        return run

    def submit_to(self, pool: str, work: Step) -> None:
        """Submit a job to another pool, which thereby lacks a VM."""
        job = submission("2" * 16, work)
        queue = QueueId(f"q-{pool}")
        other = replace(job, queue=queue, pool=PoolId(pool))
        self.scheduler.submit(other, self.now_s)

    def worker(self, worker: str) -> WorkerState:
        """Return the state of a worker."""
        worker_state = self.scheduler.workers.get(WorkerId(worker))
        assert worker_state is not None
        return worker_state

    def plan_until(self, end_s: float) -> None:
        """Plan every tenth of a second up to `end_s`, with all runs just listed."""
        while self.now_s < end_s:
            self.now_s = round(self.now_s + 0.1, 1)
            for run in self.step.runs():
                run.listed_s = self.now_s
            self.manager.plan(self.now_s)

    def vm(self, worker: str) -> VmState:
        """Return the VM of a worker."""
        vm = self.manager.vms.get(VmId(f"m-{worker}"))
        assert vm is not None
        return vm

    def maintain(self, *workers: str, max_down: int = 1) -> None:
        """Announce a wave of the VMs of some workers."""
        wave = MaintenanceWave(
            number=1,
            vms=tuple(VmId(f"m-{worker}") for worker in workers),
            complete_by_s=60,
            max_down=max_down,
        )
        self.manager.maintenance.announce(wave, (), NOW_S)

    def stopping(self) -> list[int]:
        """Return the numbers of the tasks that are being stopped."""
        runs = self.step.runs()
        return [run.task.key.number for run in runs if run.is_stopping]

    def cordoned(self) -> list[str]:
        """Return the workers of the VMs that are to be maintained or moved."""
        vms = self.manager.vms.states()
        return [str(vm.record.worker) for vm in vms if vm.goal is not None]


def _record(worker: str) -> VmRecord:
    return VmRecord(
        vm=VmId(f"m-{worker}"),
        pool=POOL,
        condition=VmCondition.UP,
        data_centre=DataCentreId("dc"),
        labels=(),
        capacity=CAPACITY,
        worker=WorkerId(worker),
    )


def _lasting(count: int, cpu: int = 3000, **options: object) -> Step:
    return step(count, cpu=cpu, is_long_running=True, max_unavailable=1, **options)


def test_vm_without_places_for_its_tasks_elsewhere_is_not_cordoned() -> None:
    fleet = _Fleet(2, _lasting(4, max_per_worker=2))
    for number in range(4):
        fleet.run(number, f"w-{number // 2}")
    fleet.maintain("w-0", "w-1")
    fleet.manager.plan(NOW_S)
    assert (fleet.cordoned(), fleet.stopping()) == ([], [])
    size = fleet.manager.pool_sizes[POOL]
    assert (size.vms, size.wanted_vms) == (2, 3)


def test_two_vms_do_not_count_on_the_same_place() -> None:
    fleet = _Fleet(3, _lasting(2, cpu=5000))
    fleet.run(0, "w-0")
    fleet.run(1, "w-1")
    fleet.maintain("w-0", "w-1", max_down=2)
    fleet.manager.plan(NOW_S)
    assert fleet.cordoned() == ["w-0"]


def test_waiting_task_has_the_place_before_a_task_that_is_to_be_stopped() -> None:
    fleet = _Fleet(2, _lasting(2, cpu=5000))
    fleet.run(0, "w-0")
    fleet.maintain("w-0")
    fleet.manager.plan(NOW_S)
    assert fleet.cordoned() == []


def test_surplus_vm_is_not_moved_while_its_task_has_no_other_place() -> None:
    fleet = _Fleet(3, _lasting(3, cpu=4800))
    for number in range(3):
        fleet.run(number, f"w-{number}")
    for tenths in range(30):
        fleet.manager.plan(NOW_S + tenths / 10)
    assert fleet.manager.pool_sizes[POOL].wanted_vms == 2
    assert fleet.cordoned() == []


def test_waiting_task_gets_the_only_vm_with_room_back_from_maintenance() -> None:
    fleet = _Fleet(2, _lasting(2, cpu=5000))
    fleet.run(0, "w-0")
    goal = VmGoal(VmWork.MAINTENANCE, wave=1)
    fleet.manager.vms.set_goal(fleet.vm("w-1"), goal, NOW_S)
    fleet.maintain("w-1")
    fleet.manager.plan(NOW_S)
    assert fleet.cordoned() == []


def test_tasks_that_may_all_be_away_return_to_their_vm_after_maintenance() -> None:
    fleet = _Fleet(1, _lasting(1, cpu=5000))
    fleet.run(0, "w-0")
    fleet.maintain("w-0")
    fleet.manager.plan(NOW_S)
    assert fleet.stopping() == []
    for run in fleet.step.runs():
        run.listed_s = NOW_S + 5
    for tenths in range(50):
        fleet.manager.plan(NOW_S + tenths / 10)
    assert fleet.cordoned() == ["w-0"]
    assert fleet.stopping() == [0]


def test_tasks_that_may_not_all_be_away_stay_while_there_is_no_other_vm() -> None:
    fleet = _Fleet(1, _lasting(2))
    fleet.run(0, "w-0")
    fleet.run(1, "w-0")
    fleet.maintain("w-0")
    for tenths in range(100):
        for run in fleet.step.runs():
            run.listed_s = NOW_S + tenths / 10
        fleet.manager.plan(NOW_S + tenths / 10)
    assert fleet.stopping() == []


def test_dark_vm_is_replaced() -> None:
    fleet = _Fleet(2, _lasting(2, cpu=5000))
    fleet.run(0, "w-0")
    fleet.run(1, "w-1")
    dark = fleet.scheduler.workers.get(WorkerId("w-1"))
    assert dark is not None
    dark.missed_renewals = 2
    fleet.manager.plan(NOW_S)
    size = fleet.manager.pool_sizes[POOL]
    assert (size.vms, size.wanted_vms) == (1, 2)


def test_vm_whose_worker_does_not_register_is_replaced() -> None:
    """VMs that had joined a pool behind a partition counted as its capacity."""
    fleet = _Fleet(2, _lasting(2, cpu=5000))
    records = [_record("w-0"), replace(_record("w-1"), worker=WorkerId("unknown"))]
    fleet.run(0, "w-0")
    fleet.manager.observe(records, requested_s=NOW_S + 1)
    fleet.manager.plan(NOW_S + 1.5)
    assert fleet.manager.pool_sizes[POOL].vms == 2
    fleet.manager.observe(records, requested_s=NOW_S + 2)
    fleet.manager.plan(NOW_S + 2.5)
    assert fleet.manager.pool_sizes[POOL].vms == 1


def test_tasks_with_a_place_leave_before_those_that_return_to_their_vm() -> None:
    """A VM was never maintained, as not all its tasks might be away at once."""
    fleet = _Fleet(2, _lasting(3))
    for number, worker in enumerate(("w-0", "w-0", "w-1")):
        fleet.run(number, worker)
    fleet.maintain("w-0")
    for tenths in range(60):
        for run in fleet.step.runs():
            run.listed_s = NOW_S + tenths / 10
        fleet.manager.plan(NOW_S + tenths / 10)
    assert fleet.cordoned() == ["w-0"]
    assert len(fleet.stopping()) == 1


def test_silent_worker_whose_move_is_given_up_offers_no_place() -> None:
    """A task was stopped for a place on a worker that accepts no starts."""
    fleet = _Fleet(3, _lasting(5, max_per_worker=2))
    for number, worker in enumerate(("w-0", "w-1", "w-1", "w-2", "w-2")):
        fleet.run(number, worker)
    silent = fleet.scheduler.workers.get(WorkerId("w-0"))
    assert silent is not None
    silent.missed_renewals = 2
    move = VmGoal(VmWork.MOVE, pool=PoolId("parcels"))
    fleet.manager.vms.set_goal(fleet.vm("w-0"), move, NOW_S)
    upkeep = VmGoal(VmWork.MAINTENANCE, wave=1)
    fleet.manager.vms.set_goal(fleet.vm("w-1"), upkeep, NOW_S)
    fleet.maintain("w-1")
    fleet.manager.plan(NOW_S)
    assert fleet.stopping() == []


def test_vm_that_cannot_be_emptied_does_not_hold_up_the_others() -> None:
    """The VM with the least work was tried first in each round, and no other."""
    fleet = _Fleet(2, _lasting(2, cpu=3500))
    fleet.run(0, "w-0")
    fleet.run(1, "w-0")
    others = []
    worker_state = fleet.scheduler.workers.get(WorkerId("w-1"))
    assert worker_state is not None
    for number in range(1, 4):
        work = _lasting(1, cpu=2500)
        fleet.scheduler.submit(submission(str(number) * 16, work), NOW_S)
        other = fleet.scheduler.jobs.ready_steps()[-1]
        others.append(running(other, 0, listed_s=NOW_S, worker="w-1"))
        worker_state.add(others[-1])
    fleet.maintain("w-0", "w-1")
    for tenths in range(60):
        for each in (*fleet.step.runs(), *others):
            each.listed_s = NOW_S + tenths / 10
        fleet.manager.plan(NOW_S + tenths / 10)
    assert fleet.cordoned() == ["w-1"]


def test_silent_vm_is_not_taken_for_the_place_of_a_waiting_task() -> None:
    """Its maintenance was given up, and no other VM was requested."""
    fleet = _Fleet(2, _lasting(2, cpu=5000))
    fleet.run(0, "w-0")
    goal = VmGoal(VmWork.MAINTENANCE, wave=1)
    fleet.manager.vms.set_goal(fleet.vm("w-1"), goal, NOW_S)
    silent = fleet.scheduler.workers.get(WorkerId("w-1"))
    assert silent is not None
    silent.missed_renewals = 2
    fleet.manager.plan(NOW_S)
    assert fleet.vm("w-1").goal is goal
    assert fleet.manager.pool_sizes[POOL].demand.missing_vms == 1


def test_task_that_waits_for_its_team_requests_no_place() -> None:
    """A pool got VMs for it, and VMs were called back from maintenance for it."""
    fleet = _Fleet(2, _lasting(2, cpu=5000))
    fleet.run(0, "w-0")
    west = replace(submission("1" * 16, _lasting(2, cpu=7000)), team=TeamId("west"))
    fleet.scheduler.teams.add(west.team, Resources(7000, 0, 0))
    fleet.scheduler.submit(west, NOW_S)
    fleet.manager.plan(NOW_S)
    assert fleet.manager.pool_sizes[POOL].demand.missing_vms == 0


def test_vm_is_not_cordoned_for_room_that_is_taken_for_long() -> None:
    """The task was stopped for it, and no VM was requested for its pool."""
    fleet = _Fleet(2, _lasting(1, cpu=5000))
    fleet.run(0, "w-0")
    fleet.run_other("w-1", run_ms=60_000)
    fleet.maintain("w-0")
    fleet.manager.plan(NOW_S)
    assert fleet.cordoned() == []
    assert fleet.manager.pool_sizes[POOL].demand.missing_vms == 1


def test_surplus_vm_is_not_moved_for_room_that_is_taken_for_long() -> None:
    fleet = _Fleet(4, _lasting(2, cpu=5000))
    for number in range(2):
        fleet.run(number, f"w-{number}")
        fleet.run_other(f"w-{number + 2}", run_ms=60_000)
    for tenths in range(30):
        fleet.manager.plan(NOW_S + tenths / 10)
    assert not {"w-0", "w-1"} & set(fleet.cordoned())


def test_waiting_task_requests_a_vm_if_all_room_is_taken_for_long() -> None:
    fleet = _Fleet(1, _lasting(1, cpu=5000))
    fleet.run_other("w-0", run_ms=60_000)
    fleet.manager.plan(NOW_S)
    assert fleet.manager.pool_sizes[POOL].demand.missing_vms == 1


def test_tasks_that_end_soon_do_not_hold_up_planned_work() -> None:
    fleet = _Fleet(2, _lasting(1, cpu=5000))
    fleet.run(0, "w-0")
    fleet.run_other("w-1", run_ms=2000)
    fleet.maintain("w-0")
    fleet.manager.plan(NOW_S)
    assert fleet.cordoned() == ["w-0"]


def test_room_that_is_taken_for_long_does_not_hold_up_a_wave_for_good() -> None:
    """No VM was maintained whose tasks may not all be away at once."""
    fleet = _Fleet(2, _lasting(2, cpu=3500))
    fleet.run(0, "w-0")
    fleet.run(1, "w-0")
    fleet.run_other("w-1", run_ms=60_000)
    fleet.maintain("w-0")
    for tenths in range(60):
        for run in fleet.step.runs():
            run.listed_s = NOW_S + tenths / 10
        fleet.manager.plan(NOW_S + tenths / 10)
    assert fleet.cordoned() == ["w-0"]


def test_task_is_not_stopped_before_the_forecast_has_looked_for_its_place() -> None:
    """A VM that was just cordoned was emptied as if no task had another place."""
    fleet = _Fleet(2, _lasting(1, cpu=5000))
    fleet.run(0, "w-0")
    fleet.maintain("w-0")
    fleet.manager.plan(NOW_S)
    assert fleet.cordoned() == ["w-0"]
    assert fleet.vm("w-0").emptied_s is None


def test_task_is_not_stopped_before_a_worker_has_room_for_it() -> None:
    fleet = _Fleet(2, _lasting(1, cpu=5000))
    fleet.run(0, "w-0")
    other = fleet.run_other("w-1", run_ms=2000)
    fleet.maintain("w-0")
    fleet.plan_until(NOW_S + 2)
    assert (fleet.cordoned(), fleet.stopping()) == (["w-0"], [])
    fleet.worker("w-1").remove(other)
    fleet.manager.plan(NOW_S + 2.1)
    assert fleet.stopping() == [0]


def test_room_for_a_task_that_is_to_leave_is_not_given_to_others() -> None:
    fleet = _Fleet(2, _lasting(1, cpu=5000))
    fleet.run(0, "w-0")
    other = fleet.run_other("w-1", run_ms=2000)
    fleet.maintain("w-0")
    fleet.plan_until(NOW_S + 1)
    fleet.worker("w-1").remove(other)
    fleet.scheduler.submit(submission("1" * 16, step(8, cpu=1000)), NOW_S + 1)
    fleet.scheduler.place(NOW_S + 1.1, 0.0)
    assert not fleet.worker("w-1").runs


def test_room_is_not_held_for_planned_work_while_the_list_of_vms_fails() -> None:
    """Guards against jobs that wait beside room held until the list is answered."""
    fleet = _Fleet(2, _lasting(1, cpu=5000))
    fleet.run(0, "w-0")
    other = fleet.run_other("w-1", run_ms=2000)
    fleet.maintain("w-0")
    fleet.plan_until(NOW_S + 1)
    fleet.worker("w-1").remove(other)
    fleet.manager.on_list_failed(NOW_S + 1.2)
    fleet.manager.on_list_failed(NOW_S + 2.4)
    fleet.scheduler.submit(submission("1" * 16, step(16, cpu=1000)), NOW_S + 2.5)
    fleet.scheduler.place(NOW_S + 2.6, 0.0)
    assert fleet.worker("w-1").runs
    assert fleet.cordoned() == []


def test_task_that_gets_no_room_holds_up_maintenance_for_the_drain_timeout() -> None:
    fleet = _Fleet(2, _lasting(1, cpu=5000))
    fleet.run(0, "w-0")
    fleet.run_other("w-1", run_ms=2000)
    fleet.maintain("w-0")
    fleet.plan_until(NOW_S + MAX_DRAIN_TIMEOUT_S)
    assert fleet.stopping() == []
    fleet.plan_until(NOW_S + MAX_DRAIN_TIMEOUT_S + 0.2)
    assert fleet.stopping() == [0]


def test_move_is_given_up_if_a_task_gets_no_room() -> None:
    fleet = _Fleet(2, _lasting(1, cpu=5000))
    fleet.run(0, "w-0")
    fleet.run_other("w-1", run_ms=2000)
    move = VmGoal(VmWork.MOVE, pool=PoolId("parcels"))
    fleet.manager.vms.set_goal(fleet.vm("w-0"), move, NOW_S)
    fleet.submit_to("parcels", _lasting(1, cpu=5000))
    fleet.plan_until(NOW_S + MOVE_DRAIN_TIMEOUT_S)
    assert fleet.vm("w-0").goal == move
    fleet.plan_until(NOW_S + MOVE_DRAIN_TIMEOUT_S + 0.2)
    assert (fleet.vm("w-0").goal, fleet.stopping()) == (None, [])
