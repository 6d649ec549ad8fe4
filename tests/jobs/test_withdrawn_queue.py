"""Jobs whose queue is missing from the configuration for a while, or for good."""

from __future__ import annotations

from msgspec.structs import replace

from currantstage.coordination.jobs import JobRecord, Scheduler, SchedulerTuning
from currantstage.standin.jobs import build_configuration
from currantstage.state.jobs import ConfigurationVersion, FleetConfiguration, Term
from tests.jobs.records import QUEUE, submission
from tests.jobs.site import step

CONFIGURED = build_configuration()
PATIENT = replace(
    CONFIGURED,
    queues=tuple(replace(each, max_attempts=5) for each in CONFIGURED.queues),
)
WITHDRAWN = replace(
    CONFIGURED,
    version=ConfigurationVersion(2),
    queues=tuple(each for each in CONFIGURED.queues if each.queue != QUEUE),
)


def _scheduler_and_job(
    configuration: FleetConfiguration = PATIENT, **options: int
) -> tuple[Scheduler, JobRecord]:
    scheduler = Scheduler(Term(1), configuration, SchedulerTuning())
    job = submission("0" * 16, step(1), **options)
    scheduler.submit(job, 0.0)
    record = scheduler.jobs.get(job.job)
    assert record is not None
    return scheduler, record


def test_job_keeps_the_attempts_of_its_queue_while_that_is_withdrawn() -> None:
    """A route that was away for 5 s cost a job two of its five attempts."""
    scheduler, record = _scheduler_and_job()
    scheduler.configure(WITHDRAWN)
    assert scheduler.max_attempts(record) == 5


def test_new_scheduler_takes_the_attempts_from_the_job_of_a_withdrawn_queue() -> None:
    scheduler, record = _scheduler_and_job(WITHDRAWN, max_attempts=5)
    assert scheduler.max_attempts(record) == 5


def test_new_limit_of_a_queue_counts_for_jobs_that_were_accepted_before() -> None:
    scheduler, record = _scheduler_and_job(max_attempts=5)
    scheduler.configure(replace(CONFIGURED, version=ConfigurationVersion(2)))
    assert scheduler.max_attempts(record) == 3
