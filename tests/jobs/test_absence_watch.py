"""The check of the simulated site for long-running tasks that are away."""

from __future__ import annotations

import asyncio

import pytest

from currantstage.coordination.jobs import SchedulerTuning
from currantstage.standin.jobs import POOLS, AbsenceWatch, SimulatedSite
from tests.jobs.site import SETTLE_S, run_scenario, step

#: Time in which the leases of the running tasks end, and the time away that is allowed,
#: in seconds.
LEASE_S = 4.5
ALLOWED_S = 6.0


@pytest.mark.parametrize(
    ("has_room", "violations"), [(True, 1), (False, 0)], ids=["room", "no-room"]
)
def test_task_that_nobody_starts_again_counts_as_lost_while_there_is_room(
    has_room: bool, violations: int
) -> None:
    async def scenario() -> None:
        site = SimulatedSite(1)
        # No VM leaves its pool.
        site.tuning = SchedulerTuning()
        await site.start()
        await asyncio.sleep(SETTLE_S)
        await site.submit((step(1, is_long_running=True),))
        await asyncio.sleep(1)
        watch = AbsenceWatch(site.workers, site.oracle)
        for name in list(site.daemons):
            site.kill_daemon(name)
        if not has_room:
            site.workers.unreachable.update(
                name
                for name, worker in site.workers.workers.items()
                if worker.entry.pool == POOLS[0]
            )
        await watch.run(ALLOWED_S)
        assert site.oracle.violations == []
        await watch.run(LEASE_S + 1)
        assert len(site.oracle.violations) == violations

    run_scenario(scenario())
