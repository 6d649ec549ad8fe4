"""Storing of jobs and cancellations, directly or through the scheduler."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from eliot import log_message

from currantstage.application.jobs._job_table_rows import JobPlace
from currantstage.protocol.jobs import (
    JobTooLargeError,
    StoreCancel,
    StoreJob,
    StoreOutcome,
    StoreReply,
)
from currantstage.state.jobs import StoreRefused, StoreUnavailable
from currantstage.transport import PeerFailure

if TYPE_CHECKING:
    from currantstage.application.jobs._directory import PeerDirectory
    from currantstage.application.jobs._repository import JobRepository
    from currantstage.coordination.jobs import StoreHealth
    from currantstage.state import Clock
    from currantstage.state.jobs import JobId

#: Pause before a write is retried, in seconds.
WRITE_RETRY_S = 0.08
#: Timeout of a write that a peer carries out, in seconds.
RELAY_TIMEOUT_S = 1.2
#: Outcomes that no further attempt can change.
FINAL_OUTCOMES = (
    StoreOutcome.STORED,
    StoreOutcome.NO_SUCH_JOB,
    StoreOutcome.NOT_STORABLE,
)


class JobWriter:
    """Retries a write until its outcome is known or its deadline has passed.

    Retrying is safe: a job and its cancellation are written only if they don't exist.
    If this daemon's write fails, it requests the write from the scheduler.

    Parameters
    ----------
    repository : JobRepository
    directory : PeerDirectory
    health : StoreHealth
    clock : Clock
    """

    def __init__(
        self,
        repository: JobRepository,
        directory: PeerDirectory,
        health: StoreHealth,
        clock: Clock,
    ) -> None:
        self._repository = repository
        self._directory = directory
        self._health = health
        self._clock = clock

    async def write(
        self, query: StoreJob | StoreCancel, deadline_s: float
    ) -> StoreOutcome:
        """Store a job or a cancellation, directly or through the scheduler."""
        is_in_doubt = False
        while True:
            outcome = await self._attempt_write(query)
            if outcome in FINAL_OUTCOMES:
                return outcome
            is_in_doubt = is_in_doubt or outcome is StoreOutcome.IN_DOUBT
            now_s = self._clock.now_s()
            if now_s + WRITE_RETRY_S >= deadline_s or self._health.is_unavailable(
                now_s
            ):
                break
            await asyncio.sleep(WRITE_RETRY_S)
        return StoreOutcome.IN_DOUBT if is_in_doubt else StoreOutcome.NOT_STORED

    async def write_directly(self, query: StoreJob | StoreCancel) -> StoreOutcome:
        """Store a job or a cancellation from this daemon, trying each place once."""
        outcome = StoreOutcome.NOT_STORED
        for place in JobPlace:
            if self._health.is_unavailable(self._clock.now_s()):
                break
            try:
                return await self._write_to(query, place)
            except (JobTooLargeError, StoreRefused) as error:
                log_message(
                    "currantstage:job-not-storable",
                    job=_job_of(query),
                    reason=str(error),
                )
                return StoreOutcome.NOT_STORABLE
            except StoreUnavailable as error:
                log_message(
                    "currantstage:job-not-stored",
                    job=_job_of(query),
                    place=place.value,
                    reason=str(error),
                    in_doubt=error.is_in_doubt,
                )
                if error.is_in_doubt:
                    outcome = StoreOutcome.IN_DOUBT
        return outcome

    def is_isolated(self) -> bool:
        """Return whether neither the store nor the scheduler can be reached.

        Nothing is sent in this case, so that the caller may safely try another daemon.
        """
        is_unavailable = self._health.is_unavailable(self._clock.now_s())
        return is_unavailable and not self._directory.is_scheduler_reachable()

    async def _write_to(
        self, query: StoreJob | StoreCancel, place: JobPlace
    ) -> StoreOutcome:
        if isinstance(query, StoreJob):
            await self._repository.submit(query.submission, place)
            return StoreOutcome.STORED
        # A submission that is still under way must find the cancellation.
        await self._repository.cancel(query.job, place)
        try:
            stored = await self._repository.read_job(query.job)
        except StoreUnavailable as error:
            log_message(
                "currantstage:cancelled-job-not-read",
                job=query.job,
                reason=str(error),
            )
            return StoreOutcome.STORED
        is_known = stored.submission is not None
        return StoreOutcome.STORED if is_known else StoreOutcome.NO_SUCH_JOB

    async def _attempt_write(self, query: StoreJob | StoreCancel) -> StoreOutcome:
        outcome = await self.write_directly(query)
        if outcome in FINAL_OUTCOMES:
            return outcome
        if self.is_isolated():
            return outcome
        relayed = await self._directory.query_scheduler(query, RELAY_TIMEOUT_S)
        if isinstance(relayed, StoreReply):
            if relayed.outcome is StoreOutcome.NOT_STORED:
                return outcome
            return relayed.outcome
        # A peer that did not answer may have stored it.
        return StoreOutcome.IN_DOUBT if relayed is PeerFailure.NO_REPLY else outcome


def _job_of(query: StoreJob | StoreCancel) -> JobId:
    return query.submission.job if isinstance(query, StoreJob) else query.job
