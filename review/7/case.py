"""A job is shown as failed after one crash of a worker and one cut of another."""

from __future__ import annotations

import asyncio
from pathlib import Path

from deployment import CaseError, Deployment, is_troubled, run_case
from workers import Worker

JOB = "5c0e7a21d94b36f8"
WORK_S = 8
STEP = {"Count": 1, "Cpu": 1800, "MemMb": 1800, "EstRuntimeMs": 1000 * WORK_S}
#: Workers of the service: the crash and the cut take one of them each.
WORKERS = 8
#: How long the crashed worker is down, and the other one is cut off.
DOWN_S = 3.0
CUT_S = 5.5
#: How long a run goes on before the crash and before the cut.
RUN_S = 2.0
#: Time in which the job has to end.
END_S = 50.0


async def case() -> str | None:
    """Play the case; return how the rule was broken, if it was."""
    async with Deployment(Path(__file__).parent, workers=WORKERS, spares=0) as site:

        async def next_run(after: int) -> tuple[Worker, int]:
            worker, _, number = await site.wait_for(
                f"a run after run {after}",
                lambda: next((x for x in site.find_runs(JOB) if x[2] > after), None),
                30.0,
            )
            return worker, number

        if await site.submit(JOB, [STEP], f"work:{WORK_S}") != 200:
            raise CaseError("the job was not accepted")
        if is_troubled():
            worker, number = await next_run(0)
            await asyncio.sleep(RUN_S)
            await site.crash_and_return(worker, DOWN_S)
            worker, _ = await next_run(number)
            await asyncio.sleep(RUN_S)
            worker.cut_off(CUT_S)
        state = ""
        for _ in range(int(END_S / 0.5)):
            state = await site.state(JOB)
            if state in ("completed", "failed", "cancelled"):
                break
            await asyncio.sleep(0.5)
        failed = site.record.of("run-end", how="failed")
        # The other worker turns out to have lived all the while.
        await asyncio.sleep(3.0 if is_troubled() else 0.0)
        crashes = [x for x in site.record.of("worker-crash") if x["running"]]
        site.log("verdict", state=state, failed_ends=len(failed), crashes=len(crashes))
        if state in ("failed", "cancelled") and not failed and len(crashes) < 2:
            return (
                f"LOST: the job is shown as {state}; no run has ended failed, and "
                f"{len(crashes)} worker has crashed under it"
            )
        return None if state == "completed" else f"LOST: the job is still {state}"


run_case(case)
