"""Handling of callers' requests about jobs; works on every daemon."""

from __future__ import annotations

from typing import TYPE_CHECKING

from eliot import log_message
from returns.result import Failure, Result, Success

from currantstage.application.jobs._configuration import loggable_age_s
from currantstage.protocol.jobs import (
    AdmittedCall,
    CallRefusal,
    JobAccepted,
    JobBody,
    JobCancelled,
    StateQuery,
    StateReply,
    StoreCancel,
    StoreJob,
    StoreOutcome,
    WaitingQuery,
    WaitingReply,
)
from currantstage.state import TeamId
from currantstage.state.jobs import JobState, StoreUnavailable, Submission
from currantstage.transport import PeerFailure

if TYPE_CHECKING:
    from currantstage.application.jobs._configuration import ConfigurationFollower
    from currantstage.application.jobs._directory import PeerDirectory
    from currantstage.application.jobs._job_writer import JobWriter
    from currantstage.application.jobs._metrics import JobMetrics
    from currantstage.application.jobs._ownership import LeaseOwnership
    from currantstage.application.jobs._repository import JobRepository
    from currantstage.coordination.jobs import StoreHealth
    from currantstage.protocol.jobs import CallTarget, PeerQuery, PeerReply
    from currantstage.state import Clock
    from currantstage.state.jobs import JobId

#: Part of a caller's timeout that is reserved for sending the response, in seconds.
ANSWER_MARGIN_S = 0.25

_REFUSALS = {
    StoreOutcome.STORED: None,
    StoreOutcome.NO_SUCH_JOB: CallRefusal.NO_SUCH_JOB,
    StoreOutcome.NOT_STORED: CallRefusal.UNAVAILABLE,
    StoreOutcome.NOT_STORABLE: CallRefusal.NOT_STORABLE,
    StoreOutcome.IN_DOUBT: CallRefusal.IN_DOUBT,
}


class JobCallService:
    """Handles callers' requests; implements `JobService`."""

    def __init__(
        self,
        follower: ConfigurationFollower,
        repository: JobRepository,
        directory: PeerDirectory,
        ownership: LeaseOwnership,
        writer: JobWriter,
        health: StoreHealth,
        clock: Clock,
        unix_clock: Clock,
        metrics: JobMetrics,
    ) -> None:
        self._follower = follower
        self._repository = repository
        self._directory = directory
        self._ownership = ownership
        self._writer = writer
        self._health = health
        self._clock = clock
        self._unix_clock = unix_clock
        self._metrics = metrics

    def retry_after_s(self) -> int:
        """Return the retry delay for callers that were refused temporarily."""
        return self._health.retry_after_s(self._clock.now_s())

    async def admit(
        self, target: CallTarget, key: str, deadline_ms: int | None
    ) -> Result[AdmittedCall, CallRefusal]:
        """Find a call's queue and check its key; the caller waits `deadline_ms`."""
        arrived_s = self._clock.now_s()
        admitted = self._check(target, key, deadline_ms, arrived_s)
        if _is_by_configuration(admitted):
            # A newer version may have the queue or the key.
            is_newest = await self._follower.confirm()
            admitted = self._check(target, key, deadline_ms, arrived_s)
            if _is_by_configuration(admitted) and not is_newest:
                admitted = Failure(CallRefusal.UNAVAILABLE)
        if isinstance(admitted, Failure):
            self._log_refusal(admitted.failure(), target)
        else:
            self._log_admission(admitted.unwrap(), target)
        return admitted

    async def submit(
        self, call: AdmittedCall, job: JobId, body: JobBody
    ) -> CallRefusal | None:
        """Store a job; return None if it is stored."""
        started_s = self._clock.now_s()
        submission = Submission(
            job=job,
            queue=call.queue.queue,
            pool=call.queue.pool,
            team=call.team,
            spec=body.spec,
            steps=body.steps,
            schedule=body.schedule,
            accepted_unix_ms=int(self._unix_clock.now_s() * 1000),
        )
        outcome = await self._writer.write(StoreJob(submission), call.deadline_s)
        refusal = _REFUSALS[outcome]
        log_message(
            "currantstage:job-submitted",
            job=job,
            queue=call.queue.queue,
            team=call.team,
            steps=len(body.steps),
            tasks=submission.task_count,
            configuration=call.configuration,
            outcome=_outcome(refusal),
        )
        if refusal is None:
            await self._notify_scheduler(JobAccepted(submission))
        self._count_call("submit", refusal, started_s)
        return refusal

    async def show(self, call: AdmittedCall, job: JobId) -> JobState | CallRefusal:
        """Return a job's state."""
        started_s = self._clock.now_s()
        state = await self._show(job)
        refusal = state if isinstance(state, CallRefusal) else None
        self._count_call("show", refusal, started_s)
        return state

    async def cancel(self, call: AdmittedCall, job: JobId) -> CallRefusal | None:
        """Cancel a job; return None if the cancellation is stored."""
        started_s = self._clock.now_s()
        outcome = await self._writer.write(StoreCancel(job), call.deadline_s)
        refusal = _REFUSALS[outcome]
        if refusal is None:
            await self._notify_scheduler(JobCancelled(job))
        log_message(
            "currantstage:job-cancelled",
            job=job,
            configuration=call.configuration,
            outcome=_outcome(refusal),
        )
        self._count_call("cancel", refusal, started_s)
        return refusal

    async def count_waiting(self, call: AdmittedCall) -> int | CallRefusal:
        """Return the number of jobs of the queue that have started no task."""
        reply = await self._query_scheduler(WaitingQuery(call.queue.queue))
        if isinstance(reply, WaitingReply):
            return reply.count
        return CallRefusal.UNAVAILABLE

    def _check(
        self,
        target: CallTarget,
        key: str,
        deadline_ms: int | None,
        arrived_s: float,
    ) -> Result[AdmittedCall, CallRefusal]:
        """Check a call against the configuration in force."""
        configuration = self._follower.current
        if configuration is None:
            return Failure(CallRefusal.NO_CONFIGURATION)
        queue = target.find_queue(configuration)
        if queue is None:
            return Failure(CallRefusal.NO_SUCH_QUEUE)
        team = configuration.team_of_key(key) if key else None
        if team is None and not queue.is_public:
            return Failure(CallRefusal.UNKNOWN_KEY)
        limit_ms = min(deadline_ms or queue.timeout_ms, queue.timeout_ms)
        deadline_s = arrived_s + limit_ms / 1000 - ANSWER_MARGIN_S
        return Success(
            AdmittedCall(
                queue,
                team.team if team else TeamId(""),
                deadline_s,
                configuration.version,
            )
        )

    async def _show(self, job: JobId) -> JobState | CallRefusal:
        reply = await self._query_scheduler(StateQuery(job))
        if isinstance(reply, StateReply) and reply.state is not None:
            return reply.state
        try:
            stored = await self._repository.read_job(job)
        except StoreUnavailable:
            return CallRefusal.UNAVAILABLE
        if stored.submission is None:
            return CallRefusal.NO_SUCH_JOB
        if isinstance(reply, StateReply):
            await self._notify_scheduler(JobAccepted(stored.submission))
        if stored.progress is not None and stored.progress.state.is_final:
            return stored.progress.state
        if stored.is_cancelled:
            return JobState.CANCELLED
        return stored.progress.state if stored.progress else JobState.QUEUED

    def _log_admission(self, call: AdmittedCall, target: CallTarget) -> None:
        log_message(
            "currantstage:call-admitted",
            asked=str(target),
            configuration=call.configuration,
            confirmed_ago_s=loggable_age_s(self._follower.confirmed_age_s()),
        )

    def _log_refusal(self, refusal: CallRefusal, target: CallTarget) -> None:
        configuration = self._follower.current
        log_message(
            "currantstage:call-refused",
            asked=str(target),
            reason=refusal.value,
            configuration=configuration.version if configuration else None,
            confirmed_ago_s=loggable_age_s(self._follower.confirmed_age_s()),
        )

    def _count_call(
        self, kind: str, refusal: CallRefusal | None, started_s: float
    ) -> None:
        duration_s = self._clock.now_s() - started_s
        self._metrics.count_call(kind, _outcome(refusal), duration_s)

    async def _query_scheduler(self, query: PeerQuery) -> PeerReply | PeerFailure:
        session = self._ownership.session
        if session is not None and session.scheduler is not None:
            if not session.is_certainly_held():
                return PeerFailure.NO_REPLY
            if isinstance(query, StateQuery):
                return StateReply(session.scheduler.state_of(query.job))
            if isinstance(query, WaitingQuery):
                return WaitingReply(session.scheduler.waiting_count(query.queue))
        return await self._directory.query_scheduler(query)

    async def _notify_scheduler(self, message: JobAccepted | JobCancelled) -> None:
        """Notify the scheduler of a stored row, which it would also read itself."""
        session = self._ownership.session
        if session is None:
            await self._directory.query_scheduler(message)
        elif isinstance(message, JobAccepted):
            session.accept(message.submission)
        else:
            session.cancel(message.job)


def _is_by_configuration(admitted: Result[AdmittedCall, CallRefusal]) -> bool:
    """Return whether a call is refused for what the configuration doesn't have."""
    return isinstance(admitted, Failure) and admitted.failure() in (
        CallRefusal.NO_SUCH_QUEUE,
        CallRefusal.UNKNOWN_KEY,
    )


def _outcome(refusal: CallRefusal | None) -> str:
    return refusal.value if refusal else "accepted"
