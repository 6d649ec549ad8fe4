"""Decisions on calls, by a configuration that was the newest a short time ago."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from currantstage.application.jobs._configuration import loggable_age_s
from currantstage.protocol.jobs import (
    AdmissionQuery,
    AdmissionReply,
    CallAccess,
    CallDecision,
    CallRefusal,
)
from currantstage.state import TeamId

if TYPE_CHECKING:
    from collections.abc import Callable

    from currantstage.application.jobs._configuration import ConfigurationFollower
    from currantstage.application.jobs._peer_admission import PeerAdmission
    from currantstage.protocol.jobs import AnyTarget, CallTarget
    from currantstage.state import Clock
    from currantstage.state.jobs import FleetConfiguration

#: Age of a confirmation up to which calls are refused without another one, in seconds;
#: well below the time in which operators expect a change to be in force.
MAX_REFUSAL_AGE_S = 0.5
#: Time for the handling of a call, by which an allowance must be younger than the time
#: in which a change has to be in force, in seconds.
HANDLING_MARGIN_S = 0.1
#: Time before a confirmation is too old at which a call asks for the next one, in
#: seconds.
REFRESH_AHEAD_S = 0.5
#: Time that a call waits until the own configuration is confirmed, in seconds; enough
#: for a check that asks peers.
CONFIRM_PATIENCE_S = 0.3
#: Time that a call waits for that after all else has failed, in seconds.
LAST_CONFIRM_PATIENCE_S = 0.6


@dataclass(frozen=True, slots=True)
class RecentDecision:
    """A decision, and how old the configuration is that it is from.

    Parameters
    ----------
    decision : CallDecision
    confirmed_s : float
        When the store last confirmed that configuration as the newest, on the own
        clock.
    decided_by : str
        Address of the peer whose configuration it is; empty for the own.
    """

    decision: CallDecision
    confirmed_s: float
    decided_by: str = ""


class CallAdmission:
    """Decides on calls by the own configuration or, if it may be outdated, a peer's.

    A call that writes needs a confirmed configuration, both to be refused and to be
    allowed. A read that nobody's configuration can decide on is allowed by the own one,
    so that a daemon that is cut off serves what it can.

    Parameters
    ----------
    follower : ConfigurationFollower
    peers : PeerAdmission
    is_isolated : callable
        Returns whether neither the store nor the scheduler can be reached.
    clock : Clock
    apply_s : float
        Time in which a change of the configuration has to be in force, in seconds.
    """

    def __init__(
        self,
        follower: ConfigurationFollower,
        peers: PeerAdmission,
        is_isolated: Callable[[], bool],
        clock: Clock,
        apply_s: float,
    ) -> None:
        self._follower = follower
        self._peers = peers
        self._is_isolated = is_isolated
        self._clock = clock
        self._max_age_s = apply_s - HANDLING_MARGIN_S

    async def decide(
        self, target: AnyTarget, key: str, access: CallAccess
    ) -> RecentDecision | None:
        """Return the decision on a call; None if no configuration can decide now."""
        query = AdmissionQuery(target, key)
        # A change that is arriving may take long to be complete.
        patience_s = 0.0 if self._follower.is_receiving() else CONFIRM_PATIENCE_S
        own = await self._decide_by_own(query, patience_s)
        if own is None or self._is_recent(own):
            return own
        is_allowed = own.decision.refusal is None
        if self._follower.is_outdated():
            by_peer = await self._peers.query(query, self._is_recent)
            if by_peer is not None:
                return by_peer
        if is_allowed and access is CallAccess.READ:
            return None if self._follower.is_outdated() else own
        if is_allowed and self._is_isolated():
            return None
        own = await self._decide_by_own(query, LAST_CONFIRM_PATIENCE_S)
        return own if own is not None and self._is_recent(own) else None

    async def decide_for_peer(self, query: AdmissionQuery) -> AdmissionReply:
        """Return the decision by the own configuration, and its age."""
        own = await self._decide_by_own(query, CONFIRM_PATIENCE_S)
        if own is None:
            return AdmissionReply(decision=None, confirmed_ago_s=None)
        confirmed_ago_s = loggable_age_s(self._age_s(own))
        return AdmissionReply(decision=own.decision, confirmed_ago_s=confirmed_ago_s)

    async def _decide_by_own(
        self, query: AdmissionQuery, patience_s: float
    ) -> RecentDecision | None:
        """Return the own decision, confirmed if the store does so in time."""
        own = self._check(query)
        if own is None:
            return None
        if self._is_recent(own):
            if self._age_s(own) > self._max_age_s - REFRESH_AHEAD_S:
                self._follower.start_check()
            return own
        if own.decision.refusal is None and self._is_isolated():
            # What it allows can't be stored anyway.
            patience_s = 0.0
        await self._follower.confirm(self._max_age_for(own.decision), patience_s)
        return self._check(query)

    def _check(self, query: AdmissionQuery) -> RecentDecision | None:
        configuration = self._follower.current
        if configuration is None:
            return None
        decision = decide_call(configuration, query.target, query.key)
        return RecentDecision(decision, self._follower.confirmed_s)

    def _is_recent(self, decided: RecentDecision) -> bool:
        """Return whether a decision is from a configuration that still counts."""
        if decided.decision.configuration < self._follower.newest_known:
            return False
        return self._age_s(decided) <= self._max_age_for(decided.decision)

    def _age_s(self, decided: RecentDecision) -> float:
        return self._clock.now_s() - decided.confirmed_s

    def _max_age_for(self, decision: CallDecision) -> float:
        return self._max_age_s if decision.refusal is None else MAX_REFUSAL_AGE_S


def decide_call(
    configuration: FleetConfiguration, target: CallTarget, key: str
) -> CallDecision:
    """Decide on a call by one version of the configuration."""
    queue = target.find_queue(configuration)
    team = configuration.team_of_key(key) if key else None
    refusal = None
    if queue is None:
        refusal = CallRefusal.NO_SUCH_QUEUE
    elif team is None and not queue.is_public:
        refusal = CallRefusal.UNKNOWN_KEY
    return CallDecision(
        configuration=configuration.version,
        queue=queue,
        team=team.team if team else TeamId(""),
        refusal=refusal,
    )
