"""Handling of queries from peers about jobs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from currantstage.protocol.jobs import (
    Acknowledged,
    AdmissionQuery,
    ConfigurationQuery,
    ConfigurationReply,
    ConfigurationStatusQuery,
    JobAccepted,
    JobCancelled,
    LeaseHolderQuery,
    LeaseLookup,
    LeaseOffer,
    LeaseReleased,
    LeaseReply,
    LeaseRequest,
    NotScheduler,
    RelayStarts,
    StateQuery,
    StateReply,
    StoreCancel,
    StoreJob,
    StoreReply,
    WaitingQuery,
    WaitingReply,
)

if TYPE_CHECKING:
    from currantstage.application.jobs._admission import CallAdmission
    from currantstage.application.jobs._configuration import ConfigurationFollower
    from currantstage.application.jobs._directory import PeerDirectory
    from currantstage.application.jobs._job_writer import JobWriter
    from currantstage.application.jobs._ownership import LeaseOwnership
    from currantstage.application.jobs._session import SchedulerSession
    from currantstage.application.jobs._start_relay import StartRelay
    from currantstage.protocol.jobs import PeerQuery, PeerReply


LeaseQuery = LeaseLookup | LeaseReleased | LeaseOffer | LeaseRequest | LeaseHolderQuery


class PeerQueryHandler:
    """Answers from the configuration and, if this daemon holds the lease, its jobs."""

    def __init__(
        self,
        follower: ConfigurationFollower,
        admission: CallAdmission,
        directory: PeerDirectory,
        ownership: LeaseOwnership,
        writer: JobWriter,
        relay: StartRelay,
    ) -> None:
        self._follower = follower
        self._admission = admission
        self._directory = directory
        self._ownership = ownership
        self._writer = writer
        self._relay = relay

    async def handle(self, query: PeerQuery) -> PeerReply:
        """Return the reply to `query`."""
        if isinstance(query, RelayStarts):
            return await self._relay.handle(query)
        if isinstance(query, AdmissionQuery):
            return await self._admission.decide_for_peer(query)
        if isinstance(query, ConfigurationStatusQuery | ConfigurationQuery):
            return self._handle_configuration_query(query)
        if isinstance(query, StoreJob | StoreCancel):
            return StoreReply(await self._writer.write_directly(query))
        if isinstance(query, LeaseQuery):
            return await self._handle_lease_query(query)
        session = self._ownership.session
        if (
            session is None
            or session.scheduler is None
            or not session.is_certainly_held()
        ):
            return NotScheduler()
        return _handle_job_query(query, session)

    async def _handle_lease_query(self, query: LeaseQuery) -> PeerReply:
        if isinstance(query, LeaseLookup):
            return LeaseReply(self._directory.lease)
        if isinstance(query, LeaseReleased):
            self._ownership.check_lease()
            return Acknowledged()
        if isinstance(query, LeaseOffer):
            self._ownership.check_lease(query.term)
            return Acknowledged()
        if isinstance(query, LeaseRequest):
            await self._ownership.hand_over(query.term)
        return Acknowledged() if self._ownership.holds(query.term) else NotScheduler()

    def _handle_configuration_query(
        self, query: ConfigurationStatusQuery | ConfigurationQuery
    ) -> PeerReply:
        if isinstance(query, ConfigurationStatusQuery):
            return self._follower.status()
        return ConfigurationReply(self._follower.newer_than(query.newer_than))


def _handle_job_query(query: PeerQuery, session: SchedulerSession) -> PeerReply:
    assert session.scheduler is not None
    if isinstance(query, JobAccepted):
        session.accept(query.submission)
        return Acknowledged()
    if isinstance(query, JobCancelled):
        session.cancel(query.job)
        return Acknowledged()
    if isinstance(query, StateQuery):
        return StateReply(session.scheduler.state_of(query.job))
    assert isinstance(query, WaitingQuery)
    return WaitingReply(session.scheduler.waiting_count(query.queue))
