"""Admit requests, queue them within bounds, and start them on workers."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from returns.result import Failure

from currantstage.coordination.limits._share_distance import QueueLoad
from currantstage.coordination.requests._admission import (
    DEFAULT_RETRY_AFTER_S,
    cannot_meet_deadline,
    check_start,
    check_still_allowed,
    check_submission,
    choose_request_to_shed,
    estimate_wait_s,
    retry_after_s,
)
from currantstage.coordination.requests._dispatch_effects import (
    Assignment,
    DispatchEffect,
    Refuse,
    ReleaseAt,
    Start,
    Wait,
)
from currantstage.coordination.requests._outcomes import Refusal, RefusalReason
from currantstage.coordination.requests._policies import TeamLoad
from currantstage.coordination.requests._running_slots import RunningSlots
from currantstage.coordination.requests._waiting_requests import NO_TEAM, QueueBacklog

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from currantstage.coordination.requests._estimates import RunTimeEstimates
    from currantstage.coordination.requests._jobs import Submission
    from currantstage.coordination.requests._placement import PlacementPolicy
    from currantstage.coordination.requests._policies import (
        SharePolicy,
        TeamLimiter,
        UsageView,
    )
    from currantstage.coordination.requests._topology import Topology
    from currantstage.coordination.requests._waiting_requests import WaitingRequest
    from currantstage.coordination.requests._worker_capacity import WorkerCapacity
    from currantstage.state import QueueId, RequestId, TeamId, VmId

#: How long after its deadline a job without an answer still counts as running, in
#: seconds.
RELEASE_MARGIN_S = 1.0


class Dispatcher:
    """Queues requests within bounds and starts them on workers of a data centre.

    Every method reports an event and returns the resulting effects, which the caller
    carries out. Releasing a slot starts the next waiting request, so callers need not
    poll.

    Parameters
    ----------
    topology : Topology
    limiter : TeamLimiter
    shares : SharePolicy
    usage : UsageView
    placement : PlacementPolicy
    worker_capacity : WorkerCapacity
    estimates : RunTimeEstimates
    """

    def __init__(
        self,
        topology: Topology,
        limiter: TeamLimiter,
        shares: SharePolicy,
        usage: UsageView,
        placement: PlacementPolicy,
        worker_capacity: WorkerCapacity,
        estimates: RunTimeEstimates,
    ) -> None:
        self._topology = topology
        self._limiter = limiter
        self._shares = shares
        self._usage = usage
        self._placement = placement
        self._worker_capacity = worker_capacity
        self._estimates = estimates
        self._waiting_requests: dict[RequestId, WaitingRequest] = {}
        self._backlogs: dict[QueueId, QueueBacklog] = {}
        self._running = RunningSlots()
        self._is_stopping = False

    @property
    def waiting_count(self) -> int:
        """Number of requests that wait for a slot."""
        return len(self._waiting_requests)

    @property
    def running_count(self) -> int:
        """Number of requests that hold a slot, including those of unknown outcome."""
        return self._running.request_count

    def running_slots(self) -> Mapping[QueueId, Mapping[TeamId, float]]:
        """Return the slots held by each team, weighted by job size, per queue."""
        return self._running.slots

    def team_loads(self) -> tuple[QueueLoad, ...]:
        """Return the running slots and waiting requests of each team, per queue."""
        waiting = {
            (queue, team): len(requests)
            for queue, backlog in self._backlogs.items()
            for team, requests in backlog
        }
        running = {
            (queue, team): slots
            for queue, teams in self._running.slots.items()
            for team, slots in teams.items()
        }
        return tuple(
            QueueLoad(
                queue=queue,
                team=team,
                running_slots=running.get((queue, team), 0.0),
                waiting_requests=waiting.get((queue, team), 0),
            )
            for queue, team in sorted(waiting.keys() | running.keys())
        )

    def held_requests(self, vm: VmId) -> int:
        """Return how many requests hold a slot of `vm`, unknown outcomes included."""
        return self._worker_capacity.held_requests(vm)

    def demand_slots(self) -> dict[QueueId, int]:
        """Return the number of running and waiting requests of each non-empty queue."""
        demand = Counter(self._running.requests)
        for queue, backlog in self._backlogs.items():
            demand[queue] += len(backlog)
        return dict(+demand)

    def submit(
        self, request_id: RequestId, submission: Submission, now_s: float
    ) -> list[DispatchEffect]:
        """Start, queue or refuse a new request."""
        if self._is_stopping:
            return [Refuse(request_id, _STOPPING)]
        checked = check_submission(self._topology, request_id, submission, now_s)
        if isinstance(checked, Failure):
            return [Refuse(request_id, checked.failure())]
        return self._enqueue(checked.unwrap(), now_s)

    def resubmit(self, request: WaitingRequest, now_s: float) -> list[DispatchEffect]:
        """Queue a request for another attempt, even after admission has stopped."""
        refusal = check_still_allowed(self._topology, request, now_s)
        if refusal is not None:
            return [Refuse(request.request_id, refusal)]
        return self._enqueue(request, now_s)

    def withdraw(
        self, request_id: RequestId, reason: RefusalReason
    ) -> list[DispatchEffect]:
        """Remove a waiting request in constant time, without affecting the others."""
        request = self._waiting_requests.get(request_id)
        if request is None:
            return []
        self._remove(request)
        retry_s = (
            DEFAULT_RETRY_AFTER_S if reason is RefusalReason.DEADLINE_PASSED else None
        )
        return [Refuse(request_id, Refusal(reason, retry_s))]

    def finish(
        self, assignment: Assignment, is_outcome_known: bool, now_s: float
    ) -> list[DispatchEffect]:
        """Release what `assignment` holds once its job can no longer be running.

        Parameters
        ----------
        assignment : Assignment
        is_outcome_known : bool
            Whether a complete answer arrived or no byte was sent. Otherwise the job
            may run until the deadline that was sent to its backend server.
        now_s : float
        """
        if is_outcome_known:
            return self.release(assignment, now_s)
        at_s = assignment.request.deadline_s + RELEASE_MARGIN_S
        return [ReleaseAt(assignment, max(at_s, now_s))]

    def release(self, assignment: Assignment, now_s: float) -> list[DispatchEffect]:
        """Release what `assignment` holds and start requests that waited for it."""
        request = assignment.request
        self._worker_capacity.release(assignment.vm, request.size)
        if request.team != NO_TEAM:
            self._limiter.release(request.team)
        self._running.remove(assignment)
        return self.start_waiting(now_s)

    def set_leaving(self, vms: Iterable[VmId], now_s: float) -> list[DispatchEffect]:
        """Stop assigning requests to exactly `vms`; their running requests finish."""
        self._worker_capacity.set_leaving(vms)
        return self.start_waiting(now_s)

    def stop_admission(self) -> list[DispatchEffect]:
        """Refuse new and waiting requests from now on.

        Running requests finish, and may still be retried.
        """
        self._is_stopping = True
        first_attempts = [
            request
            for request in self._waiting_requests.values()
            if not request.avoided
        ]
        return [
            effect
            for request in first_attempts
            for effect in self._refuse(request, _STOPPING)
        ]

    def start_waiting(self, now_s: float) -> list[DispatchEffect]:
        """Start waiting requests after a change of capacity, limits or the fleet."""
        effects: list[DispatchEffect] = []
        for queue in tuple(self._backlogs):
            before = len(effects)
            self._start_from_backlog(queue, now_s, effects)
            if len(effects) > before and queue in self._backlogs:
                # Round robin among queues that share workers.
                self._backlogs[queue] = self._backlogs.pop(queue)
        return effects

    def _enqueue(self, request: WaitingRequest, now_s: float) -> list[DispatchEffect]:
        backlog = self._backlogs.setdefault(request.queue, QueueBacklog())
        is_first = not backlog.count_waiting(request.team)
        backlog.append(request)
        self._waiting_requests[request.request_id] = request
        effects: list[DispatchEffect] = []
        if is_first or request.is_urgent:
            self._start_from_backlog(request.queue, now_s, effects)
        if request.request_id in self._waiting_requests:
            effects.extend(self._shed(request, backlog, now_s))
        if request.request_id in self._waiting_requests:
            effects.append(Wait(request.request_id, request.deadline_s))
        return effects

    def _shed(
        self, request: WaitingRequest, backlog: QueueBacklog, now_s: float
    ) -> list[DispatchEffect]:
        """Shed load after `request` was queued.

        Refuses `request` if it can't meet its deadline, otherwise one request of the
        backlog if that is over its bound.
        """
        running = self._running.count_requests(request.queue)
        ahead = backlog.count_ahead(request.team)
        wait_s = estimate_wait_s(self._estimates, request.queue, ahead, running)
        if not request.is_urgent and cannot_meet_deadline(
            self._estimates, request, wait_s, now_s
        ):
            reason = RefusalReason.DEADLINE_UNMEETABLE
            return self._refuse(request, Refusal(reason, retry_after_s(wait_s)))
        if len(backlog) <= self._topology.fleet.queues[request.queue].max_waiting:
            return []
        victim = choose_request_to_shed(self._topology, backlog)
        refusal = Refusal(RefusalReason.QUEUE_FULL, retry_after_s(wait_s))
        return self._refuse(victim, refusal)

    def _start_from_backlog(
        self, queue: QueueId, now_s: float, effects: list[DispatchEffect]
    ) -> None:
        backlog = self._backlogs[queue]
        if queue not in self._topology.fleet.queues:
            withdrawn = Refusal(RefusalReason.QUEUE_UNKNOWN)
            for request in backlog.requests():
                effects.extend(self._refuse(request, withdrawn))
            return
        blocked: set[TeamId] = set()
        while len(backlog) and self._worker_capacity.has_free_slot(queue, now_s):
            loads = self._loads(queue, backlog, blocked, now_s)
            if not any(load.waiting_requests for load in loads):
                return
            team = self._shares.choose(loads)
            request = backlog.first_of(team)
            refusal = check_start(self._topology, self._estimates, request, now_s)
            if refusal is not None:
                effects.extend(self._refuse(request, refusal))
                continue
            assignment = self._try_assign(request, now_s)
            if assignment is None:
                blocked.add(team)
                continue
            self._remove(request)
            backlog.move_to_end(team)
            effects.append(Start(request.request_id, assignment))

    def _loads(
        self, queue: QueueId, backlog: QueueBacklog, blocked: set[TeamId], now_s: float
    ) -> list[TeamLoad]:
        waiting = {
            team: 0 if team in blocked else len(requests) for team, requests in backlog
        }
        teams = dict.fromkeys((*waiting, *self._running.teams(queue)))
        return [
            self._load_of(queue, team, waiting.get(team, 0), now_s) for team in teams
        ]

    def _load_of(
        self, queue: QueueId, team: TeamId, waiting: int, now_s: float
    ) -> TeamLoad:
        record = self._topology.fleet.teams.get(team)
        running = self._running.teams(queue).get(team, 0.0)
        return TeamLoad(
            team=team,
            share=1.0 if record is None else record.share,
            running_slots=running,
            waiting_requests=waiting,
            correction_slots=self._usage.correction_slots(now_s, queue, team, running),
        )

    def _try_assign(self, request: WaitingRequest, now_s: float) -> Assignment | None:
        if request.team != NO_TEAM and not self._limiter.try_acquire(request.team):
            return None
        candidates = self._worker_capacity.candidates(request, now_s)
        vm = None
        if candidates:
            vm = self._placement.choose(request.request_id, candidates)
        if vm is None or not self._worker_capacity.try_acquire(vm, request.size):
            if request.team != NO_TEAM:
                self._limiter.release(request.team)
            return None
        assignment = Assignment(request, vm, now_s)
        self._running.add(assignment)
        return assignment

    def _refuse(
        self, request: WaitingRequest, refusal: Refusal
    ) -> list[DispatchEffect]:
        self._remove(request)
        return [Refuse(request.request_id, refusal)]

    def _remove(self, request: WaitingRequest) -> None:
        del self._waiting_requests[request.request_id]
        backlog = self._backlogs[request.queue]
        backlog.remove(request)
        if not backlog:
            del self._backlogs[request.queue]


_STOPPING = Refusal(RefusalReason.STOPPING, DEFAULT_RETRY_AFTER_S)
