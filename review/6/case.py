"""A job is shown as failed after two crashes of workers, though no run has failed."""

from __future__ import annotations

import asyncio
from pathlib import Path

from deployment import CannotRun, Deployment, is_troubled, run_case

JOB = "5c0e7a21d94b36f8"
WORK_S = 7
STEP = {"Count": 1, "Cpu": 1800, "MemMb": 1800, "EstRuntimeMs": 1000 * WORK_S}
CRASHES = 2
#: How long a crashed worker is down, and how long a run goes on before the crash.
DOWN_S = 3.0
RUN_S = 2.0
#: Time in which the job has to end, with or without crashes.
END_S = 60.0


async def case() -> str | None:
    async with Deployment(Path(__file__).parent) as site:
        if await site.submit(JOB, [STEP], f"work:{WORK_S}") != 200:
            raise CannotRun("the job was not accepted")
        number = 0
        for _ in range(CRASHES if is_troubled() else 0):
            worker, _, number = await site.wait_for(
                "a run of the job",
                lambda after=number: next(
                    (each for each in site.find_runs(JOB) if each[2] > after), None
                ),
                30.0,
            )
            await asyncio.sleep(RUN_S)
            await site.crash_and_return(worker, DOWN_S)
        state = ""
        for _ in range(int(END_S / 0.5)):
            state = await site.state(JOB)
            if state in ("completed", "failed", "cancelled"):
                break
            await asyncio.sleep(0.5)
        failed = site.record.of("run-end", how="failed")
        site.log("verdict", state=state, failed_ends=len(failed))
        if state in ("failed", "cancelled") and not failed:
            return f"LOST: the job is shown as {state}, and no run has ended failed"
        if state != "completed":
            return f"LOST: the job is still {state}"
        return None


run_case(case)
