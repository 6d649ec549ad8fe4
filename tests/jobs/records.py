"""Builders of records for unit tests of scheduling decisions."""

from __future__ import annotations

from dataclasses import fields
from typing import Any

from currantstage.coordination.jobs import (
    JobRecord,
    Run,
    RunPhase,
    Scheduler,
    StepRecord,
    WorkerLeaseListing,
)
from currantstage.state import DataCentreId, PoolId, QueueId, TeamId, VmId
from currantstage.state.jobs import (
    BornMs,
    JobId,
    JobProgress,
    JobState,
    OrderOutcome,
    Resources,
    RunNumber,
    StartOrder,
    Step,
    StoredProgress,
    Submission,
    TaskPhase,
    TaskProgress,
    VmCondition,
    VmRecord,
    WorkerEntry,
    WorkerId,
)

POOL = PoolId("letters")
QUEUE = QueueId("q-letters")


def submission(job: str = "0" * 16, *steps: Step, **options: Any) -> Submission:
    """Return a job of the team ``east``."""
    return Submission(
        job=JobId(job),
        queue=QUEUE,
        pool=POOL,
        team=TeamId("east"),
        spec="work",
        steps=steps,
        **options,
    )


def vm_record(vm: str) -> VmRecord:
    """Return a VM that is up, with a worker of its own."""
    return VmRecord(
        vm=VmId(vm),
        pool=PoolId("parcels"),
        condition=VmCondition.UP,
        data_centre=DataCentreId("dc"),
        labels=("a", "r"),
        capacity=Resources(8000, 16384, 0),
        worker=WorkerId(f"i-{vm}"),
    )


def open_step(step: Step, job: str = "0" * 16) -> StepRecord:
    """Return the record of a job's only step."""
    return JobRecord(submission(job, step)).open_occurrence(0)[0]


def running(step: StepRecord, number: int, listed_s: float, worker: str = "w") -> Run:
    """Return a run of a task of `step`, fully available and listed at `listed_s`."""
    task = step.tasks[number]
    run = Run(task, RunNumber(1), WorkerId(worker), RunPhase.RUNNING, placed_s=0.0)
    run.percent = 100
    run.listed_s = listed_s
    task.assign(run)
    task.move_to(TaskPhase.PLACED)
    return run


def entry(worker: str = "w", cpu: int = 8000, **options: Any) -> WorkerEntry:
    """Return the entry of a worker with `cpu` millicores."""
    values: dict[str, Any] = {
        "pool": POOL,
        "address": worker,
        "data_centre": DataCentreId("dc"),
        "is_draining": False,
        "capacity": Resources(cpu, 16384, 0),
        "labels": ("a", "rack-1"),
        "born_ms": BornMs(1),
    }
    values.update(options)
    return WorkerEntry(worker=WorkerId(worker), **values)


def placed_task(worker: WorkerId, index: int = 0, **options: Any) -> TaskProgress:
    """Return the stored progress of a task of the first step, placed on `worker`."""
    return TaskProgress(
        occurrence=0,
        step=0,
        index=index,
        phase=TaskPhase.PLACED,
        run=RunNumber(1),
        worker=worker,
        born_ms=BornMs(1),
        **options,
    )


def stored_progress(job: JobId, *tasks: TaskProgress) -> StoredProgress:
    """Return what is stored of a job of which `tasks` have started."""
    return StoredProgress(
        JobProgress(job=job, state=JobState.RUNNING, is_started=True, tasks=tasks)
    )


def listing_fields(listing: WorkerLeaseListing) -> dict[str, Any]:
    """Return the fields of a listing of leases, as the lease's row has them."""
    return {each.name: getattr(listing, each.name) for each in fields(listing)}


def start_runs(
    scheduler: Scheduler, now_s: float, outcome: OrderOutcome = OrderOutcome.ACCEPTED
) -> list[tuple[Run, StartOrder]]:
    """Place, store and start what can be, all starts with the same outcome."""
    scheduler.place(now_s, now_s * 1000)
    batch = scheduler.take_batch()
    if batch is None:
        return []
    started = []
    for run in scheduler.on_batch_stored(batch):
        order = scheduler.start_order(run, now_s)
        assert order is not None
        started.append((run, order))
    for run, _ in started:
        scheduler.on_start_outcome(run, outcome, now_s)
    return started
