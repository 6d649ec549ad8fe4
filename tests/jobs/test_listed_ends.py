"""Ends of runs that workers list again until they are acknowledged."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING

from currantstage.coordination.jobs import Scheduler, SchedulerTuning
from currantstage.standin.jobs import build_configuration
from currantstage.standin.jobs._workers import WorkerConnections
from currantstage.state.jobs import (
    BornMs,
    EndedTask,
    EndKind,
    EndNumber,
    JobId,
    RenewalReply,
    Resources,
    RunNumber,
    Step,
    TaskKey,
    Term,
    WorkerId,
)
from tests.jobs.records import entry
from tests.jobs.site import run_scenario, start_site

if TYPE_CHECKING:
    import pytest

    from currantstage.state.jobs import OrderOutcome, RenewalOrder

#: Time that a write of the scheduler takes, in seconds.
SLOW_WRITE_S = 0.12
LOAD_S = 2.0
#: More jobs than the writes of the scheduler can cover while they come.
JOBS_AT_ONCE = 40
INTERVAL_S = 0.05
SMALL = Step(task_count=1, resources=Resources(100, 10, 0), estimated_run_ms=200)


def test_ends_are_not_read_again_and_again_until_they_are_stored(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Each write that was confirmed had all workers asked, whatever it had stored."""
    listings: Counter[tuple[str, int]] = Counter()
    hold = WorkerConnections.hold

    async def counted(
        self: WorkerConnections, order: RenewalOrder
    ) -> RenewalReply | OrderOutcome:
        reply = await hold(self, order)
        if isinstance(reply, RenewalReply):
            listings.update((order.worker.worker, each.number) for each in reply.ended)
        return reply

    async def scenario() -> None:
        site = await start_site(seed=1, vms_per_pool=4)
        monkeypatch.setattr(WorkerConnections, "hold", counted)
        site.store.slow_partitions = {"scheduler"}
        site.store.slow_write_s = SLOW_WRITE_S
        loop = asyncio.get_running_loop()
        end_s = loop.time() + LOAD_S
        while loop.time() < end_s:
            await asyncio.gather(*(site.submit((SMALL,)) for _ in range(JOBS_AT_ONCE)))
            await asyncio.sleep(INTERVAL_S)
        await asyncio.sleep(5)
        await site.check_final()
        assert site.oracle.violations == []

    run_scenario(scenario())
    assert len(listings) > 100
    assert listings.total() < 1.5 * len(listings), (listings.total(), len(listings))


def test_end_that_is_listed_again_is_not_reported_again() -> None:
    """The log and the metrics counted each end as often as it was listed."""
    scheduler = Scheduler(Term(1), build_configuration(), SchedulerTuning())
    scheduler.update_workers((entry("w"),), now_s=0.0)
    end = EndedTask(
        EndNumber(1), TaskKey(JobId("0" * 16), 0, 0, 0), RunNumber(1), EndKind.DONE, ""
    )
    reply = RenewalReply(clock_ms=1000, born_ms=BornMs(1), running=(), ended=(end,))
    order = scheduler.next_renewal(WorkerId("w"), 0.0)
    assert order is not None
    new_ends: list[EndedTask] = []
    for _ in range(3):
        new_ends += scheduler.on_renewal_outcome(order, reply, sent_s=0.0, now_s=0.1)
    assert new_ends == [end]
