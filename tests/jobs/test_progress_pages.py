"""Progress of jobs that outgrows a row of the store, or a write to it."""

from __future__ import annotations

import asyncio
from string import ascii_lowercase
from typing import TYPE_CHECKING

import msgspec
import pytest

from currantstage.coordination.jobs import (
    MAX_WRITE_BYTES,
    InheritedLeases,
    LeaseTakeover,
    Scheduler,
    SchedulerTuning,
    TakeoverGround,
    _progress_pages,
    _unsaved_pages,
)
from currantstage.protocol.jobs import decode_page, decode_progress, encode_row
from currantstage.standin.jobs import MAX_ROW_BYTES, build_configuration
from currantstage.state.jobs import (
    BornMs,
    EndedTask,
    EndKind,
    EndNumber,
    JobId,
    JobProgress,
    JobState,
    PageKey,
    RenewalReply,
    Resources,
    Schedule,
    StoredProgress,
    TaskPage,
    TaskPhase,
    TaskProgress,
    Term,
    WorkerId,
)
from tests.jobs.random_scenario import RandomScenario
from tests.jobs.records import entry, submission
from tests.jobs.site import run_scenario, start_site, step

if TYPE_CHECKING:
    from collections.abc import Sequence

    from currantstage.coordination.jobs import ProgressBatch, Run
    from currantstage.standin.jobs import SimulatedSite
    from currantstage.state.jobs import Step, Submission

TUNING = SchedulerTuning()
JOB = JobId("a" * 16)
OTHER = JobId("b" * 16)
WORKER = WorkerId("w")
SMALL = step(2, cpu=100, run_ms=200)
#: A change of one task writes no more than this, whatever the size of its job.
MAX_CHANGE_BYTES = 16 * 1024
CHECKPOINT = "0" * 2000


def _large(count: int, **options: object) -> Step:
    return step(count, cpu=100, run_ms=200, **options)


async def _wait_until_completed(site: SimulatedSite, jobs: list[JobId]) -> None:
    for _ in range(200):
        states = {await site.show(job) for job in jobs}
        if states == {JobState.COMPLETED}:
            return
        await asyncio.sleep(0.5)
    assert states == {JobState.COMPLETED}


def _progress_rows(site: SimulatedSite) -> list[str]:
    return [name.key for name in site.store.rows if name.table == "progress"]


@pytest.mark.parametrize("tasks", [1200, 3000])
def test_large_job_keeps_no_other_job_from_running(tasks: int) -> None:
    # LOST: its progress fitted no row any more, and all writes shared its fate.
    async def scenario() -> None:
        site = await start_site(1)
        large = await site.submit((_large(tasks),))
        small = [await site.submit((SMALL,)) for _ in range(10)]
        await asyncio.sleep(10)
        assert {await site.show(job) for job in small} == {JobState.COMPLETED}
        await _wait_until_completed(site, [large])
        await asyncio.sleep(5)
        assert site.oracle.violations == []
        assert sorted(_progress_rows(site)) == sorted([large, *small])

    run_scenario(scenario())


def test_large_job_survives_changes_of_scheduler() -> None:
    # TWICE, LOST: the next scheduler reads the tasks from all pages.
    async def scenario() -> None:
        site = await start_site(2)
        first = _large(700)
        last = _large(900, after=(0,))
        large = await site.submit((first, last))
        for _ in range(6):
            await asyncio.sleep(2.5)
            name = site.scheduler_name()
            if name is not None:
                site.kill_daemon(name)
                await site.start_daemon(name)
        await _wait_until_completed(site, [large])
        assert site.oracle.violations == []

    run_scenario(scenario())


@pytest.mark.parametrize("seed", range(8))
def test_random_day_with_tiny_pages(seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
    # TWICE, ORDER, LOST: progress that is stored in parts, in several writes.
    monkeypatch.setattr(_progress_pages, "MAX_UNDIVIDED_BYTES", 600)
    monkeypatch.setattr(_progress_pages, "MAX_PAGE_BYTES", 500)
    monkeypatch.setattr(_progress_pages, "NEW_PAGE_BYTES", 250)
    monkeypatch.setattr(_unsaved_pages, "MAX_WRITE_BYTES", 1200)
    scenario = RandomScenario(seed)
    run_scenario(_run_random_day(scenario))


async def _run_random_day(scenario: RandomScenario) -> None:
    assert await scenario.run() == [], scenario.injected_faults


def test_job_that_the_store_rejects_ends_and_keeps_no_other_from_running() -> None:
    # LOST: a write that could never succeed was repeated for ever.
    async def scenario() -> None:
        site = await start_site(3)
        site.store.max_row_bytes = 700
        jobs = [await site.submit((SMALL,)) for _ in range(3)]
        rejected = await site.submit((_large(12),))
        jobs += [await site.submit((SMALL,)) for _ in range(3)]
        await _wait_until_completed(site, jobs)
        await asyncio.sleep(1)
        assert await site.show(rejected) is JobState.FAILED

    run_scenario(scenario())


class _Owner:
    """A scheduler with its workers, and what it has stored."""

    def __init__(
        self,
        job: Submission,
        stored: StoredProgress | None = None,
        workers: Sequence[WorkerId] = (WORKER,),
    ) -> None:
        self.scheduler = Scheduler(Term(1), build_configuration(), TUNING)
        room = Resources(10**9, 10**9, 0)
        entries = [entry(worker, capacity=room) for worker in workers]
        self.scheduler.update_workers(entries, now_s=0.0)
        self.stored = stored or StoredProgress()
        self.sizes_bytes: list[int] = []
        self._ends = 0
        self._now_s = 0.0
        for worker in workers:
            self.renew(worker=worker)
        if stored is None:
            self.scheduler.submit(job, now_s=0.0)
        else:
            takeover = LeaseTakeover(TakeoverGround.HOLDER_ENDED)
            leases = InheritedLeases(takeover, 0.0, TUNING)
            self.scheduler.restore(job, stored, False, leases, 0.0, unix_ms=0.0)

    def renew(self, *ended: EndedTask, worker: WorkerId = WORKER) -> None:
        """Answer a renewal."""
        self._now_s += 0.1
        state = self.scheduler.workers.get(worker)
        assert state is not None
        order = state.next_renewal(self._now_s, TUNING)
        clock_ms = int(self._now_s * 1000) + 1
        reply = RenewalReply(clock_ms, BornMs(1), running=(), ended=ended)
        self.scheduler.on_renewal_outcome(order, reply, self._now_s, self._now_s)

    def place(self) -> list[Run]:
        """Place all tasks and store them; return their runs."""
        runs: list[Run] = []
        while True:
            self.scheduler.place(self._now_s, unix_ms=1e6)
            stored = self.store()
            if not stored:
                return runs
            runs.extend(stored)

    def place_unstored(self) -> None:
        """Place all tasks before any of them is stored."""
        while any(each.waiting_count for each in self.scheduler.jobs.ready_steps()):
            self.scheduler.place(self._now_s, unix_ms=1e6)

    def store(self) -> list[Run]:
        """Store all that has changed; return the runs that may be started."""
        runs: list[Run] = []
        while batch := self.scheduler.take_batch():
            self.write(batch)
            runs.extend(self.scheduler.on_batch_stored(batch))
        return runs

    def write(self, batch: ProgressBatch) -> None:
        """Store the rows of a batch as they are read later."""
        size_bytes = 0
        for row in batch.rows:
            value = encode_row(row)
            assert len(value) <= MAX_ROW_BYTES
            size_bytes += len(value)
            decode = decode_page if isinstance(row, TaskPage) else decode_progress
            self.stored.put(decode(value))
        self.sizes_bytes.append(size_bytes)

    def end(self, run: Run, kind: EndKind = EndKind.DONE, checkpoint: str = "") -> None:
        """Let a run end."""
        self._ends += 1
        number = EndNumber(self._ends)
        self.renew(EndedTask(number, run.task.key, run.number, kind, checkpoint))


def _phases(scheduler: Scheduler, job: JobId = JOB) -> dict[object, TaskPhase]:
    record = scheduler.jobs.get(job)
    assert record is not None
    return {task.key: task.phase for each in record.steps() for task in each.tasks}


def test_change_of_one_task_writes_a_small_part_of_its_job() -> None:
    # Every change wrote all tasks: 70 KB at 1,200 of them.
    owner = _Owner(submission(JOB, _large(3000)))
    runs = owner.place()
    assert len(runs) == 3000
    assert max(owner.sizes_bytes) <= 2 * MAX_WRITE_BYTES
    for run in (runs[0], runs[1500], runs[-1]):
        owner.sizes_bytes.clear()
        owner.end(run)
        owner.store()
        assert sum(owner.sizes_bytes) <= MAX_CHANGE_BYTES


def test_progress_in_pages_is_restored() -> None:
    job = submission(JOB, _large(2000), _large(500, after=(0,)))
    owner = _Owner(job)
    for run in owner.place()[:1234]:
        owner.end(run)
    owner.store()
    assert len(owner.stored.pages) > 5
    next_owner = _Owner(job, owner.stored)
    assert _phases(next_owner.scheduler) == _phases(owner.scheduler)


@pytest.mark.parametrize("checkpoint", [CHECKPOINT, CHECKPOINT * 50, '"\x01' * 9000])
def test_checkpoints_of_any_size_fit_their_rows(checkpoint: str) -> None:
    # A checkpoint is a worker's text, whose size no page bounds.
    owner = _Owner(submission(JOB, _large(150, is_checkpointing=True)))
    for run in owner.place():
        owner.end(run, EndKind.STOPPED, checkpoint)
    owner.store()
    waiting = {TaskPhase.WAITING}
    assert set(_phases(owner.scheduler).values()) == waiting
    assert sum(len(each.tasks) for each in owner.stored.rows()) == 150


def test_failures_of_long_running_tasks_do_not_add_up_in_their_row() -> None:
    # LOST: the number of each failed run was kept, and the row grew without limit.
    owner = _Owner(submission(JOB, _large(2, is_long_running=True)))
    for _ in range(300):
        for run in owner.place():
            owner.end(run, EndKind.FAILED)
    owner.sizes_bytes.clear()
    owner.place()
    assert max(owner.sizes_bytes) < 1000


def test_occurrences_of_a_job_share_pages() -> None:
    # LOST: the row of a job grew with each of its occurrences.
    schedule = Schedule(count=2500, start_unix_ms=0, period_ms=1)
    owner = _Owner(submission(JOB, _large(1), schedule=schedule))
    for run in owner.place():
        owner.end(run)
    owner.sizes_bytes.clear()
    owner.store()
    assert max(owner.sizes_bytes) <= 2 * MAX_WRITE_BYTES
    assert owner.scheduler.state_of(JOB) is JobState.COMPLETED
    assert owner.stored.head is not None
    assert owner.stored.head.state is JobState.COMPLETED


def test_end_is_not_acknowledged_before_its_page_is_stored() -> None:
    # TWICE: an end that nobody stores, and that its worker forgets.
    owner = _Owner(submission(JOB, _large(2000)))
    runs = owner.place()
    owner.end(runs[0])
    owner.end(runs[-1])
    state = owner.scheduler.workers.get(WORKER)
    assert state is not None
    assert state.seen_upto == 0
    owner.store()
    assert state.seen_upto == 2


def test_start_waits_until_the_ends_before_it_are_stored() -> None:
    # ORDER: after a crash, a task would run while one that it follows runs again.
    job = submission(JOB, _large(1000), step(1, after=(0,)))
    owner = _Owner(job)
    for run in owner.place():
        owner.end(run)
    owner.scheduler.place(now_s=500.0, unix_ms=0)
    while batch := owner.scheduler.take_batch():
        owner.write(batch)
        started = owner.scheduler.on_batch_stored(batch)
        if started:
            reader = _Owner(job, owner.stored)
            phases = list(_phases(reader.scheduler).values())
            assert phases[:1000] == [TaskPhase.DONE] * 1000
    assert started


class _OldProgress(msgspec.Struct, omit_defaults=True):
    """Row of progress as it was before it had pages."""

    job: str
    state: str
    is_started: bool = False
    tasks: tuple[dict[str, object], ...] = ()
    ended_unix_ms: int = 0


def test_row_of_a_job_that_fits_is_as_it_was() -> None:
    # Daemons of the version before run beside this one during a restart in turn.
    owner = _Owner(submission(JOB, _large(160)))
    owner.place()
    assert owner.stored.pages == {}
    assert owner.stored.head is not None
    row = msgspec.json.decode(encode_row(owner.stored.head), type=_OldProgress)
    assert [each["index"] for each in row.tasks] == list(range(160))
    fields = {"occurrence", "step", "index", "phase", "run", "worker", "born_ms"}
    assert all(set(each) <= fields for each in row.tasks)


def test_row_of_the_version_before_is_read_and_divided() -> None:
    tasks = tuple(
        TaskProgress(occurrence=0, step=0, index=index, phase=TaskPhase.DONE)
        for index in range(900)
    )
    old = JobProgress(job=JOB, state=JobState.RUNNING, tasks=tasks)
    owner = _Owner(submission(JOB, _large(1000)), StoredProgress(old))
    owner.place()
    assert list(_phases(owner.scheduler).values()).count(TaskPhase.DONE) == 900
    assert len(owner.stored.pages) > 5
    reader = _Owner(submission(JOB, _large(1000)), owner.stored)
    assert _phases(reader.scheduler) == _phases(owner.scheduler)


def test_version_before_starts_nothing_of_a_job_whose_pages_it_cannot_read() -> None:
    # TWICE: it would start all tasks again that are not in the job's first row.
    owner = _Owner(submission(JOB, _large(1000)))
    owner.place()
    assert owner.stored.head is not None
    head = msgspec.json.decode(encode_row(owner.stored.head), type=_OldProgress)
    # It looks each entry's step up, and ends its term on one that the job lacks.
    assert any(each["step"] >= 1 for each in head.tasks)
    for page in owner.stored.pages.values():
        with pytest.raises(msgspec.ValidationError):
            msgspec.json.decode(encode_row(page), type=_OldProgress)


def test_pages_of_an_ended_job_are_removed() -> None:
    owner = _Owner(submission(JOB, _large(2000)))
    owner.place()
    pages = {PageKey(JOB, first) for first in owner.stored.pages}
    owner.scheduler.cancel(JOB, 0.0)
    owner.store()
    assert set(owner.scheduler.take_obsolete_pages()) == pages
    assert owner.stored.head is not None
    assert owner.stored.head.tasks == ()


def test_many_jobs_that_each_fit_a_row_are_written_in_parts() -> None:
    # LOST: 90 jobs that each fitted their row made a call that the store refuses.
    workers = [WorkerId(letter) for letter in ascii_lowercase]
    owner = _Owner(submission(JOB, _large(160)), workers=workers)
    for number in range(90):
        job = JobId(f"{number:016x}")
        owner.scheduler.submit(submission(job, _large(160)), now_s=0.0)
    owner.place_unstored()
    owner.store()
    assert max(owner.sizes_bytes) <= 2 * MAX_WRITE_BYTES
