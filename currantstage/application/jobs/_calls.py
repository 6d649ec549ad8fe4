"""Handling of callers' requests about jobs; works on every daemon."""

from __future__ import annotations

from typing import TYPE_CHECKING

from eliot import log_message
from returns.result import Failure, Result, Success

from currantstage.application.jobs._configuration import loggable_age_s
from currantstage.protocol.jobs import (
    AdmittedCall,
    CallAccess,
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
from currantstage.state.jobs import JobState, StoreUnavailable, Submission
from currantstage.transport import PeerFailure

if TYPE_CHECKING:
    from currantstage.application.jobs._admission import CallAdmission, RecentDecision
    from currantstage.application.jobs._configuration import ConfigurationFollower
    from currantstage.application.jobs._directory import PeerDirectory
    from currantstage.application.jobs._job_writer import JobWriter
    from currantstage.application.jobs._metrics import JobMetrics
    from currantstage.application.jobs._ownership import LeaseOwnership
    from currantstage.application.jobs._repository import JobRepository
    from currantstage.coordination.jobs import StoreHealth
    from currantstage.protocol.jobs import AnyTarget, PeerQuery, PeerReply
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
        admission: CallAdmission,
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
        self._admission = admission
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
        self,
        target: AnyTarget,
        key: str,
        deadline_ms: int | None,
        access: CallAccess = CallAccess.WRITE,
    ) -> Result[AdmittedCall, CallRefusal]:
        """Find a call's queue and check its key; the caller waits `deadline_ms`."""
        arrived_s = self._clock.now_s()
        decided = await self._admission.decide(target, key, access)
        admitted = self._admitted(decided, arrived_s, deadline_ms)
        self._log_decision(decided, admitted, target)
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
            max_attempts=call.queue.max_attempts,
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
        if refusal in (None, CallRefusal.NO_SUCH_JOB):
            # The cancellation of an unknown job is stored as well.
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

    def _admitted(
        self,
        decided: RecentDecision | None,
        arrived_s: float,
        deadline_ms: int | None,
    ) -> Result[AdmittedCall, CallRefusal]:
        if self._follower.current is None:
            return Failure(CallRefusal.NO_CONFIGURATION)
        if decided is None:
            return Failure(CallRefusal.UNAVAILABLE)
        decision = decided.decision
        queue = decision.queue
        if decision.refusal is not None or queue is None:
            return Failure(decision.refusal or CallRefusal.NO_SUCH_QUEUE)
        limit_ms = min(deadline_ms or queue.timeout_ms, queue.timeout_ms)
        deadline_s = arrived_s + limit_ms / 1000 - ANSWER_MARGIN_S
        return Success(
            AdmittedCall(queue, decision.team, deadline_s, decision.configuration)
        )

    async def _show(self, job: JobId) -> JobState | CallRefusal:
        reply = await self._query_scheduler(StateQuery(job))
        if isinstance(reply, StateReply) and reply.state is not None:
            return reply.state
        try:
            stored = await self._repository.read_job(job)
        except StoreUnavailable as error:
            log_message("currantstage:job-read-failed", job=job, reason=str(error))
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

    def _log_decision(
        self,
        decided: RecentDecision | None,
        admitted: Result[AdmittedCall, CallRefusal],
        target: AnyTarget,
    ) -> None:
        """Log why a call was refused or allowed, and by how old a configuration."""
        version = self._follower.current.version if self._follower.current else None
        confirmed_ago_s = self._follower.confirmed_age_s()
        if decided is not None:
            version = decided.decision.configuration
            confirmed_ago_s = self._clock.now_s() - decided.confirmed_s
        fields = {
            "asked": str(target),
            "configuration": version,
            "confirmed_ago_s": loggable_age_s(confirmed_ago_s),
            "decided_by": decided.decided_by if decided else "",
        }
        if isinstance(admitted, Failure):
            reason = admitted.failure().value
            log_message("currantstage:call-refused", reason=reason, **fields)
        else:
            log_message("currantstage:call-admitted", **fields)

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


def _outcome(refusal: CallRefusal | None) -> str:
    return refusal.value if refusal else "accepted"
