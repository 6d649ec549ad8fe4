"""A job whose steps depend on each other in layers, and small jobs beside it."""

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

LAYERS = 10
WIDTH = 6
DAEMONS = 3
SMALL_JOBS = 10
TASK_S = 0.2
#: Time after the end of the traffic at which the jobs are asked for.
FINISH_S = 14.0
SMALL_STEP = {"Count": 2, "Cpu": 500, "MemMb": 100, "EstRuntimeMs": 200}


async def case(deployment: Deployment) -> int:
    """Run the case; return the exit status."""
    record = deployment.record
    deployment.site.work = lambda task, run, worker: Work(TASK_S)
    config = configuration(
        1, [route("sort", "pool-a")], ["pool-a"], [tenant("north"), tenant("south")]
    )
    workers = [(f"i-{number}", "pool-a") for number in range(3)]
    await deployment.start(config, workers, daemon_count=DAEMONS)
    await asyncio.sleep(2)
    jobs = [await _submit_small(deployment) for _ in range(SMALL_JOBS)]
    await asyncio.sleep(3)
    layered = await deployment.submit("sort", "north", _layered_steps())
    record.write("end of the traffic")
    await asyncio.sleep(FINISH_S)
    asked = [(layered, "north"), *((job, "south") for job in jobs)]
    states = await asyncio.gather(
        *(deployment.state("sort", tenant_name, job) for job, tenant_name in asked)
    )
    unanswered = states.count("none")
    ready = [await deployment.is_ready(each) for each in deployment.daemons]
    record.write(
        f"{FINISH_S} s after the end of the traffic, {unanswered} of {len(states)} "
        f"accepted jobs get no answer, at {DAEMONS} daemons, each asked twice; "
        f"{sum(ready)} of them answer the platform that they are ready; the layered "
        f"job has had {len(deployment.site.runs_of(layered))} starts"
    )
    return BROKEN if unanswered else HELD


def _layered_steps() -> list[dict]:
    """Return steps of one task each, in layers.

    With the disruption, each step comes after all steps of the layer before, otherwise
    after one of them.
    """
    steps = []
    for number in range(LAYERS * WIDTH):
        layer, place = divmod(number, WIDTH)
        before = range((layer - 1) * WIDTH, layer * WIDTH)
        if not has_trouble():
            before = before[place : place + 1]
        after = {"After": list(before)} if layer else {}
        steps.append({**SMALL_STEP, "Count": 1, **after})
    return steps


async def _submit_small(deployment: Deployment) -> str:
    return await deployment.submit("sort", "south", [SMALL_STEP])


if __name__ == "__main__":
    run_case(FOLDER, case)
