"""Jobs whose own row is too large for the store."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

import msgspec
import pytest

from currantstage.application.jobs._group_writer import GroupWriter
from currantstage.application.jobs._job_table_rows import JobPlace
from currantstage.application.jobs._repository import JobRepository
from currantstage.protocol.jobs import (
    CallRefusal,
    DividedJob,
    JobTooLargeError,
    decode_head,
    encode_job,
    join_parts,
)
from currantstage.standin.jobs import MAX_ROW_BYTES, SimulatedStore
from currantstage.state.jobs import (
    JobId,
    JobState,
    Resources,
    RowName,
    RowPage,
    Step,
    StoreRefused,
    Submission,
)
from tests.jobs.records import submission
from tests.jobs.site import run_scenario, start_site, step

if TYPE_CHECKING:
    from currantstage.standin.jobs import SimulatedSite

JOB = JobId("a" * 16)
#: Time after its end for which a job is kept, and a clean-up after it, in seconds.
RETENTION_S = 190


def _layers(layers: int, width: int) -> tuple[Step, ...]:
    return tuple(
        step(
            1,
            cpu=100,
            run_ms=10,
            after=tuple(range((layer - 1) * width, layer * width)) if layer else (),
        )
        for layer in range(layers)
        for _ in range(width)
    )


def _with_random_labels(count: int, label_bytes: int) -> tuple[Step, ...]:
    """Return steps that hardly become smaller by compression."""
    rng = random.Random(7)
    return tuple(
        Step(
            task_count=1,
            resources=Resources(100),
            needed_label=rng.randbytes(label_bytes // 2).hex(),
        )
        for _ in range(count)
    )


async def _wait_until_completed(site: SimulatedSite, job: JobId) -> None:
    for _ in range(100):
        if await site.show(job) is JobState.COMPLETED:
            return
        await asyncio.sleep(1)
    raise AssertionError(f"{job} is {await site.show(job)}")


@pytest.mark.parametrize("layers", [40, 100])
def test_job_that_fits_no_row_is_accepted_and_completes(layers: int) -> None:
    # 503 at each attempt, as if a later one could succeed.
    async def scenario() -> None:
        site = await start_site(1)
        job = await site.submit(_layers(layers, 12))
        assert job in site.oracle.accepted_s
        small = await site.submit((step(2, run_ms=200),))
        await asyncio.sleep(2)
        name = site.scheduler_name()
        assert name is not None
        site.kill_daemon(name)
        await site.start_daemon(name)
        await _wait_until_completed(site, job)
        await _wait_until_completed(site, small)
        assert site.oracle.violations == []
        await asyncio.sleep(RETENTION_S)
        assert [row.key for row in site.store.rows if row.table == "jobs"] == []

    run_scenario(scenario())


def test_job_that_fits_no_call_is_refused_for_good() -> None:
    # A caller that is told to come back comes back for ever.
    async def scenario() -> None:
        site = await start_site(2)
        core = next(iter(site.daemons.values()))
        steps = _with_random_labels(900, label_bytes=2000)
        refusal = await site.submit_to(core, steps)
        assert refusal is CallRefusal.NOT_STORABLE
        small = await site.submit((step(2, run_ms=200),))
        await _wait_until_completed(site, small)

    run_scenario(scenario())


def test_job_that_the_store_rejects_fails_no_other_submission() -> None:
    async def scenario() -> None:
        store = SimulatedStore(random.Random(1))
        writer = GroupWriter(store.for_caller("a"))
        sizes_bytes = [10, MAX_ROW_BYTES + 1, 20]
        results = await asyncio.gather(
            *(
                writer.write_if_absent(RowName("jobs", "p", f"{size}"), b"x" * size)
                for size in sizes_bytes
            ),
            return_exceptions=True,
        )
        assert [type(each) for each in results] == [
            type(None),
            StoreRefused,
            type(None),
        ]

    run_scenario(scenario())


@pytest.mark.parametrize(
    "steps",
    [_layers(2, 2), _layers(40, 12), _layers(150, 40), _with_random_labels(1000, 600)],
)
def test_rows_of_a_job_are_within_the_limits_and_read_back(
    steps: tuple[Step, ...],
) -> None:
    job = submission(JOB, *steps)
    encoded = encode_job(job)
    rows = (encoded.head, *encoded.parts)
    assert max(map(len, rows)) <= MAX_ROW_BYTES
    assert sum(map(len, rows)) * 4 / 3 <= 1_000_000
    head = decode_head(encoded.head)
    if isinstance(head, DividedJob):
        assert head.part_count == len(encoded.parts)
        head = join_parts(encoded.parts)
    assert head == job


def test_job_beyond_a_call_is_not_encoded() -> None:
    with pytest.raises(JobTooLargeError):
        encode_job(submission(JOB, *_with_random_labels(1000, 2000)))


def test_version_before_starts_nothing_of_a_job_in_parts() -> None:
    # Daemons of the version before run beside this one during a restart in turn.
    encoded = encode_job(submission(JOB, *_layers(40, 12)))
    old = msgspec.json.decode(encoded.head, type=Submission)
    assert (old.job, old.steps) == (JOB, ())


def test_row_of_a_job_that_fits_is_as_it_was() -> None:
    job = submission(JOB, *_layers(3, 4))
    assert encode_job(job).head == msgspec.json.encode(job)


def test_changes_that_end_between_the_parts_of_a_job_still_have_it() -> None:
    # An answer has 500 rows or 1 MB, wherever that is.
    async def scenario() -> None:
        store = SimulatedStore(random.Random(1))
        connection = store.for_caller("a")
        repository = JobRepository(connection)
        job = submission(JOB, *_with_random_labels(400, 600))
        await repository.submit(job, JobPlace.OWN)
        complete = connection.changes

        async def cut(table: str, after: int, wait_ms: int) -> RowPage | None:
            page = await complete(table, after, wait_ms)
            return RowPage(page.rows[:2], page.version) if page else None

        connection.changes = cut  # type: ignore[method-assign]
        changes = await repository.job_changes(0, 100)
        assert changes is not None
        assert changes.submissions == (job,)

    run_scenario(scenario())
