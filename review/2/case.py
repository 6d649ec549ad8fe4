"""A task on a worker that was idle for a while and is then cut off."""

from __future__ import annotations

import asyncio
import itertools
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from deployment import (  # noqa: E402
    BROKEN,
    HELD,
    CaseError,
    Deployment,
    configuration,
    has_trouble,
    route,
    run_case,
    tenant,
)
from platform_standin import TaskRun, Work, Worker  # noqa: E402

WORKERS = 6
#: "which may be 2% slow"
CLOCK_RATE = 0.98
#: How long the workers are idle before the job comes.
IDLE_S = 80.0
TASK_S = 8.0
#: Time from the start of the task to the cut, and the length of the cut.
CUT_AFTER_S = 0.3
CUT_S = 5.5
START_TIMEOUT_S = 3.0
FINISH_S = 3.0


async def case(deployment: Deployment) -> int:
    """Run the case; return the exit status."""
    record = deployment.record
    deployment.site.work = lambda task, run, worker: Work(TASK_S)
    config = configuration(1, [route("sort", "pool-a")], ["pool-a"], [tenant("north")])
    workers = [(f"i-{number}", "pool-a") for number in range(WORKERS)]
    await deployment.start(config, [])
    for name, service in workers:
        worker = await deployment.add_worker(name, service)
        worker.clock_rate = CLOCK_RATE
    record.write(f"the workers are idle for {IDLE_S} s")
    await asyncio.sleep(IDLE_S)
    step = {"Count": 1, "Cpu": 500, "MemMb": 100, "EstRuntimeMs": int(TASK_S * 1000)}
    job = await deployment.submit("sort", "north", [step])
    run = await _first_run(deployment, job)
    await asyncio.sleep(CUT_AFTER_S)
    if has_trouble():
        worker = next(
            each for each in deployment.machines.workers if each.name == run.worker
        )
        await _cut(deployment, worker)
    else:
        await asyncio.sleep(CUT_S)
    await asyncio.sleep(TASK_S + FINISH_S)
    runs = deployment.site.runs_of(job)
    overlap_s = max(
        (
            min(first.ended_s or record.now_s(), second.ended_s or record.now_s())
            - second.started_s
            for first, second in itertools.pairwise(runs)
        ),
        default=0.0,
    )
    seen = ", ".join(f"run {each.run} on {each.worker}: {each.how}" for each in runs)
    record.write(
        f"{seen}; two runs were at work at the same time for {overlap_s:.2f} s"
    )
    return BROKEN if overlap_s > 0 else HELD


async def _cut(deployment: Deployment, worker: Worker) -> None:
    """Cut a worker off from the daemons, which are refused; it runs on."""
    deployment.record.write(f"worker {worker.name} is cut off")
    await worker.stop()
    await asyncio.sleep(CUT_S)
    await worker.listen()
    deployment.record.write(f"worker {worker.name} is reached again")


async def _first_run(deployment: Deployment, job: str) -> TaskRun:
    until_s = deployment.record.now_s() + START_TIMEOUT_S
    while deployment.record.now_s() < until_s:
        runs = deployment.site.runs_of(job)
        if runs:
            return runs[0]
        await asyncio.sleep(0.01)
    raise CaseError("the job does not start")


if __name__ == "__main__":
    run_case(FOLDER, case)
