"""A job whose stored progress outgrows a row of the store, and small jobs beside it."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from deployment import (  # noqa: E402
    BROKEN,
    HELD,
    Deployment,
    configuration,
    has_trouble,
    route,
    run_case,
    tenant,
)
from platform_standin import Work  # noqa: E402

LARGE_TASKS = 1200
SMALL_JOBS_BEFORE = 5
SMALL_JOBS_AFTER = 20
TASK_S = 0.2
#: The rule's times: the jobs are asked for this long after the end of the traffic, and
#: nothing of a job runs for so long.
FINISH_S = 14.0
IDLE_S = 3.0
SMALL_STEP = {"Count": 2, "Cpu": 500, "MemMb": 100, "EstRuntimeMs": 200}


async def case(deployment: Deployment) -> int:
    """Run the case; return the exit status."""
    record = deployment.record
    deployment.site.work = lambda task, run, worker: Work(TASK_S)
    config = configuration(
        1, [route("sort", "pool-a")], ["pool-a"], [tenant("north"), tenant("south")]
    )
    workers = [(f"i-{number}", "pool-a") for number in range(3)]
    await deployment.start(config, workers)
    small = [await _submit_small(deployment) for _ in range(SMALL_JOBS_BEFORE)]
    await asyncio.sleep(2)
    # The same tasks, as one job or as several.
    job_count = 1 if has_trouble() else 12
    for _ in range(job_count):
        step = {**SMALL_STEP, "Count": LARGE_TASKS // job_count, "Cpu": 200}
        await deployment.submit("sort", "north", [step])
    for _ in range(SMALL_JOBS_AFTER):
        small.append(await _submit_small(deployment))
        await asyncio.sleep(0.5)
    record.write("end of the traffic")
    await asyncio.sleep(FINISH_S)
    runs_before = len(deployment.site.runs)
    asked_s = record.now_s()
    states = {job: await deployment.state("sort", "south", job) for job in small}
    await asyncio.sleep(IDLE_S)
    idle = [
        job
        for job, state in states.items()
        if state != "completed" and not _has_run_since(deployment, job, asked_s)
    ]
    used = sum(len(each.running) for each in deployment.machines.workers)
    record.write(
        f"{len(idle)} of {len(small)} small jobs have nothing running for {IDLE_S} s, "
        f"{FINISH_S} s after the end of the traffic; {used} tasks are at work on "
        f"{len(workers)} workers; {len(deployment.site.runs) - runs_before} starts; "
        f"{len(deployment.store.refused)} transactions were over a limit of the store"
    )
    return BROKEN if idle and not used else HELD


async def _submit_small(deployment: Deployment) -> str:
    return await deployment.submit("sort", "south", [SMALL_STEP])


def _has_run_since(deployment: Deployment, job: str, since_s: float) -> bool:
    return any(
        each.ended_s is None or each.ended_s > since_s
        for each in deployment.site.runs_of(job)
    )


if __name__ == "__main__":
    run_case(FOLDER, case)
