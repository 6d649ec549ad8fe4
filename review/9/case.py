"""A late write of a wave's record makes the next scheduler give up a sound worker."""

from __future__ import annotations

import asyncio
from pathlib import Path

from deployment import CaseError, Deployment, is_troubled, run_case
from platform_service import Transaction

JOB = "5c0e7a21d94b36f8"
KIND = "b"
STEP = {"Count": 1, "Cpu": 1800, "MemMb": 1800, "EstRuntimeMs": 1000, "Needs": KIND}
#: The machines of the wave; the second one is the only one of its kind.
MACHINES = ["m-00", "m-01"]
CAP = 1
WAVE_S = 26
#: How late the write without an answer is done, in seconds: 1 to 6 are allowed.
LATE_S = 5.0
#: Time from the restart to the submission, and time that the job is given, in seconds.
SETTLE_S = 12.0
END_S = 30.0


class Site(Deployment):
    """One machine of the service is of another kind than the others."""

    def labels(self, number: int) -> list[str]:
        """Return the labels of a machine: its kind and its rack."""
        return [KIND if number == 1 else "a", f"r1-{number // 4}"]


async def case() -> str | None:
    """Play the case; return how the rule was broken, if it was."""
    async with Site(Path(__file__).parent, workers=3) as site:
        late: list[Transaction] = []

        def lateness(transaction: Transaction) -> float | None:
            puts = transaction.puts("waves")
            if not puts:
                return None
            is_late = is_troubled() and not late
            site.log("wave-record", puts=puts, is_late=is_late)
            if not is_late:
                return None
            late.append(transaction)
            return LATE_S

        site.store.lateness = lateness
        await site.announce_wave(1, MACHINES, by_s=WAVE_S, cap=CAP)
        await site.wait_for(
            "the wave to be completed",
            lambda: (
                (site.store.value("status", "wave/1") or {}).get("State") == "completed"
            ),
            WAVE_S,
        )
        await asyncio.sleep(LATE_S + 1.0)
        site.log("stored-record", record=site.store.value("waves", "1"))
        # Planned work: the daemon that schedules is restarted.
        site.terminate(site.scheduler())
        await asyncio.sleep(SETTLE_S)
        machine = site.machines.machines[MACHINES[1]]
        worker = site.workers.get(machine.worker)
        if worker is None or not worker.is_up:
            raise CaseError("the machine has no worker")
        if await site.submit(JOB, [STEP], "work:1") != 200:
            raise CaseError("the job was not accepted")
        state = ""
        for _ in range(int(END_S / 0.5)):
            state = await site.state(JOB)
            if state in ("completed", "failed", "cancelled"):
                break
            await asyncio.sleep(0.5)
        starts = site.record.of("run-start", worker=worker.name)
        site.log(
            "verdict",
            state=state,
            worker=worker.name,
            is_up=worker.is_up,
            starts=len(starts),
        )
        if state == "completed":
            return None
        return (
            f"LOST: after {END_S:.0f} s the job is {state}; the worker {worker.name}, "
            f"of the kind it needs, is up and empty and has got {len(starts)} starts"
        )


run_case(case)
