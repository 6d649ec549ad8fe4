"""One odd entry in the list of workers, and no task starts on any other worker."""

from __future__ import annotations

import asyncio
from pathlib import Path

from aiohttp import web
from deployment import CaseError, Deployment, is_troubled, run_case

JOBS = ["5c0e7a21d94b36f8", "91d0b3f25c7e8a46"]
STEP = {"Count": 2, "Cpu": 1800, "MemMb": 1800, "EstRuntimeMs": 1000}
#: The id ends with a line feed, as a script that reads it from a file may write it.
ODD_ID = "i-7f3a91c2\n"
#: Time that the jobs are given, in seconds.
END_S = 40.0


async def _refuse(_: web.Request) -> web.Response:
    return web.Response(status=404)


async def case() -> str | None:
    """Play the case; return how the rule was broken, if it was."""
    async with Deployment(Path(__file__).parent) as site:
        # Another service of the platform, which is no worker.
        address = await site.serve([web.route("*", "/{path:.*}", _refuse)])
        if await site.submit(JOBS[0], [STEP], "work:1") != 200:
            raise CaseError("the first job was not accepted")
        await site.wait_for(
            "its tasks", lambda: site.record.of("run-end", how="done"), 20.0
        )
        if is_troubled():
            entry = {
                "Service": "backup",
                "Address": address,
                "Zone": "ga-atl",
                "Version": "v1",
                "Slots": 8,
                "State": "ready",
                "ColdLeftMs": 0,
                "Capacity": {"Cpu": 16000, "MemMb": 32768, "Gpu": 0},
                "Labels": ["a", "r1-3"],
                "Seq": 1,
            }
            site.log("odd-entry", id=ODD_ID, **entry)
            await site.store.write("servers", ODD_ID, entry)
        await asyncio.sleep(2.0)
        if await site.submit(JOBS[1], [STEP], "work:1") != 200:
            raise CaseError("the second job was not accepted")
        state = ""
        for _ in range(int(END_S / 0.5)):
            state = await site.state(JOBS[1])
            if state in ("completed", "failed", "cancelled"):
                break
            await asyncio.sleep(0.5)
        up = [
            each.name for each in site.workers.values() if each.is_up and not each.runs
        ]
        starts = [
            line
            for line in site.record.of("run-start")
            if line["task"].startswith(JOBS[1])
        ]
        lease = site.store.value("scheduler", "lease", "scheduler") or {}
        term = lease.get("term")
        site.log("verdict", state=state, empty=up, starts=len(starts), term=term)
        if state == "completed":
            return None
        return (
            f"LOST: after {END_S:.0f} s the job is {state}; {len(up)} workers are up "
            f"and empty and have got {len(starts)} starts; the lease is in term {term}"
        )


run_case(case)
