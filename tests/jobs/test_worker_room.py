"""Order of the workers of a pool, and what the index of it keeps."""

from __future__ import annotations

from bench.scheduling import CallCounter
from currantstage.coordination.jobs import (
    CandidateWorkers,
    SchedulerTuning,
    WorkerTable,
)
from currantstage.state.jobs import NO_RESOURCES, Term
from tests.jobs.records import POOL, entry

A, B = entry("a"), entry("b")
#: Longer than a worker that is no longer listed is contacted, in seconds.
DISCARDED_AFTER_S = 31.0


def test_worker_that_was_discarded_comes_back_as_the_youngest() -> None:
    """Guards against an index that keeps discarded workers."""
    table = WorkerTable(Term(1), SchedulerTuning())
    table.update((A, B), now_s=0.0)
    assert _order(table) == ["a", "b"]
    table.update((B,), now_s=1.0)
    table.update((B,), now_s=1.0 + DISCARDED_AFTER_S)
    assert _order(table) == ["b"]
    table.update((A, B), now_s=2.0 + DISCARDED_AFTER_S)
    assert _order(table) == ["b", "a"]


def test_list_of_the_same_workers_leaves_their_order_alone() -> None:
    """Guards against an index built anew with each list, several times a second."""
    table = WorkerTable(Term(1), SchedulerTuning())
    entries = [entry(f"w{number}") for number in range(100)]
    table.update(entries, now_s=0.0)
    _order(table)
    table.update(entries, now_s=1.0)
    with CallCounter() as counter:
        table.room.in_pool(POOL)
        calls = counter.read()
    assert calls < len(entries)


def _order(table: WorkerTable) -> list[str]:
    workers = CandidateWorkers(table.room, POOL, lambda _: True)
    return [each.entry.worker for each in workers.most_free_first(NO_RESOURCES)]
