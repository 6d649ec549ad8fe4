"""Admission control: decide whether a request may wait for a slot."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from currantstage.coordination.requests._jobs import capacity_of, largest_capacity
from currantstage.coordination.requests._keys import identify_team, key_id_of
from currantstage.coordination.requests._outcomes import (
    Refusal,
    RefusalReason,
    SizeShortage,
)
from currantstage.coordination.requests._waiting_requests import NO_TEAM, WaitingRequest
from currantstage.state import QueueAccess

if TYPE_CHECKING:
    from currantstage.coordination.requests._estimates import RunTimeEstimates
    from currantstage.coordination.requests._jobs import JobSize, Submission
    from currantstage.coordination.requests._topology import Topology
    from currantstage.coordination.requests._waiting_requests import (
        QueueBacklog,
        TeamBacklog,
    )
    from currantstage.state import Queue, QueueId, RequestId, TeamId

#: Shortest retry-after delay, and the default if the wait is unknown, in seconds.
DEFAULT_RETRY_AFTER_S = 1.0
#: Longest retry-after delay, in seconds.
MAX_RETRY_AFTER_S = 60.0
_MEDIAN = 0.5


def check_submission(
    topology: Topology, request_id: RequestId, submission: Submission, now_s: float
) -> Result[WaitingRequest, Refusal]:
    """Return the admitted request, or the refusal if it is not admitted."""
    fleet = topology.fleet
    queue = fleet.queues.get(submission.queue)
    if queue is None:
        return Failure(Refusal(RefusalReason.QUEUE_UNKNOWN))
    presented = submission.presented_key
    if not topology.may_serve_keyed(now_s):
        if queue.access is not QueueAccess.OPEN:
            return Failure(_CONFIG_LEASE_EXPIRED)
        presented = None
    identified = identify_team(fleet, queue, presented)
    if isinstance(identified, Failure):
        return identified
    refusal = _check_size(topology, queue.queue_id, submission.size)
    if refusal is not None:
        return Failure(refusal)
    team = identified.unwrap()
    key = None
    if team is not None and presented is not None:
        key = key_id_of(presented)
    return Success(
        WaitingRequest(
            request_id=request_id,
            queue=queue.queue_id,
            team=NO_TEAM if team is None else team,
            key=key,
            is_urgent=submission.is_urgent,
            size=submission.size,
            admitted_s=now_s,
            deadline_s=now_s + _timeout_s(queue, submission),
        )
    )


def check_still_allowed(
    topology: Topology, request: WaitingRequest, now_s: float
) -> Refusal | None:
    """Return the refusal if notes applied since admission forbid starting `request`."""
    fleet = topology.fleet
    if request.queue not in fleet.queues:
        return Refusal(RefusalReason.QUEUE_UNKNOWN)
    if request.key is None:
        return None
    if not topology.may_serve_keyed(now_s):
        return _CONFIG_LEASE_EXPIRED
    key = fleet.keys.get(request.key)
    if key is None or key.team != request.team or key.team not in fleet.teams:
        return Refusal(RefusalReason.KEY_REFUSED)
    return None


def estimate_wait_s(
    estimates: RunTimeEstimates, queue: QueueId, requests_ahead: int, running: int
) -> float | None:
    """Return the expected wait of a request in seconds, or None if it is unknown.

    Parameters
    ----------
    estimates : RunTimeEstimates
    queue : QueueId
    requests_ahead : int
        Number of requests that start before it.
    running : int
        Number of running requests of the queue, an estimate of the slots it gets.
    """
    median_s = estimates.quantile_s(queue, _MEDIAN)
    if median_s is None or running == 0:
        return None
    return requests_ahead * median_s / running


def cannot_meet_deadline(
    estimates: RunTimeEstimates,
    request: WaitingRequest,
    wait_s: float | None,
    now_s: float,
) -> bool:
    """Return whether `request` is expected to be answered after its deadline."""
    median_s = estimates.quantile_s(request.queue, _MEDIAN)
    if wait_s is None or median_s is None:
        return False
    return now_s + wait_s + median_s > request.deadline_s


def check_start(
    topology: Topology,
    estimates: RunTimeEstimates,
    request: WaitingRequest,
    now_s: float,
) -> Refusal | None:
    """Return the refusal if the next request of a backlog must not start.

    After a wait, too little time may be left to answer before the deadline, and the
    outcome of the job that holds the slot would be unknown. A request that did not
    wait is never refused for its deadline, so that the run time estimates continue to
    receive observations.
    """
    refusal = check_still_allowed(topology, request, now_s)
    if refusal is not None:
        return refusal
    has_waited = now_s > request.admitted_s
    if has_waited and cannot_meet_deadline(estimates, request, 0.0, now_s):
        return Refusal(RefusalReason.DEADLINE_UNMEETABLE, DEFAULT_RETRY_AFTER_S)
    return None


def retry_after_s(wait_s: float | None) -> float:
    """Return the retry-after delay for a caller who would wait for `wait_s`.

    >>> retry_after_s(None), retry_after_s(0.1), retry_after_s(500)
    (1.0, 1.0, 60.0)
    """
    return min(max(wait_s or 0.0, DEFAULT_RETRY_AFTER_S), MAX_RETRY_AFTER_S)


def choose_request_to_shed(topology: Topology, backlog: QueueBacklog) -> WaitingRequest:
    """Return the newest request of the team with the most requests per share.

    This prevents a team that floods a queue from displacing the requests of others.
    """
    teams = topology.fleet.teams

    def requests_per_share(team_backlog: tuple[TeamId, TeamBacklog]) -> float:
        team, requests = team_backlog
        record = teams.get(team)
        return len(requests) / (1.0 if record is None else record.share)

    return max(backlog, key=requests_per_share)[1].newest()


_CONFIG_LEASE_EXPIRED = Refusal(
    RefusalReason.CONFIG_LEASE_EXPIRED, DEFAULT_RETRY_AFTER_S
)


def _check_size(topology: Topology, queue: QueueId, size: JobSize) -> Refusal | None:
    vms = topology.vms_of_queue(queue)
    if not vms:
        return Refusal(RefusalReason.NO_CAPACITY, DEFAULT_RETRY_AFTER_S)
    if any(size.fits(capacity_of(vm)) for vm in vms):
        return None
    shortage = SizeShortage(asked=size, largest=largest_capacity(vms))
    return Refusal(RefusalReason.JOB_TOO_LARGE, shortage=shortage)


def _timeout_s(queue: Queue, submission: Submission) -> float:
    max_timeout_s = queue.timeout_ms / 1000
    if submission.timeout_s is None:
        return max_timeout_s
    return min(max_timeout_s, submission.timeout_s)
