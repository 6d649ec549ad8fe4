"""Whether a request is let in at all, before it waits for a slot."""

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

#: Advice to a caller when nothing better is known, in seconds.
RETRY_AFTER_S = 1.0
#: Longest advice, in seconds.
MAX_RETRY_AFTER_S = 60.0
_MEDIAN = 0.5


def check_submission(
    topology: Topology, request_id: RequestId, submission: Submission, now_s: float
) -> Result[WaitingRequest, Refusal]:
    """Return the request as it waits for a slot, or why it is not let in."""
    fleet = topology.fleet
    queue = fleet.queues.get(submission.queue)
    if queue is None:
        return Failure(Refusal(RefusalReason.QUEUE_UNKNOWN))
    presented = submission.presented_key
    if not topology.may_serve_keyed(now_s):
        if queue.access is not QueueAccess.OPEN:
            return Failure(_LEASE_LAPSED)
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
    """Return why `request` may no longer start, after notes that came since."""
    fleet = topology.fleet
    if request.queue not in fleet.queues:
        return Refusal(RefusalReason.QUEUE_UNKNOWN)
    if request.key is None:
        return None
    if not topology.may_serve_keyed(now_s):
        return _LEASE_LAPSED
    key = fleet.keys.get(request.key)
    if key is None or key.team != request.team or key.team not in fleet.teams:
        return Refusal(RefusalReason.KEY_REFUSED)
    return None


def estimate_wait_s(
    estimates: RunTimeEstimates, queue: QueueId, requests_ahead: int, running: int
) -> float | None:
    """Return how long a request will wait, in seconds, if that can be told.

    Parameters
    ----------
    estimates : RunTimeEstimates
    queue : QueueId
    requests_ahead : int
        Requests that start before it.
    running : int
        Requests of the queue that run now, which shows the slots that it gets.
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
    """Return whether `request` can't be answered before its deadline."""
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
    """Return why a request whose turn has come is refused rather than started.

    After a wait, too little time may be left: its answer would come too late, and its
    slot would be in doubt. A request that did not wait always starts, so that run
    times go on being learnt.
    """
    refusal = check_still_allowed(topology, request, now_s)
    if refusal is not None:
        return refusal
    has_waited = now_s > request.admitted_s
    if has_waited and cannot_meet_deadline(estimates, request, 0.0, now_s):
        return Refusal(RefusalReason.DEADLINE_UNMEETABLE, RETRY_AFTER_S)
    return None


def retry_after_s(wait_s: float | None) -> float:
    """Return the advice to a caller who would wait for `wait_s`.

    >>> retry_after_s(None), retry_after_s(0.1), retry_after_s(500)
    (1.0, 1.0, 60.0)
    """
    return min(max(wait_s or 0.0, RETRY_AFTER_S), MAX_RETRY_AFTER_S)


def choose_request_to_shed(topology: Topology, line: QueueBacklog) -> WaitingRequest:
    """Return the newest request of the team that waits most for its share.

    Shedding there keeps a team that floods a queue from pushing the others out.
    """
    teams = topology.fleet.teams

    def excess(team_line: tuple[TeamId, TeamBacklog]) -> float:
        team, requests = team_line
        record = teams.get(team)
        return len(requests) / (1.0 if record is None else record.share)

    return max(line, key=excess)[1].newest()


_LEASE_LAPSED = Refusal(RefusalReason.CONFIG_LEASE_LAPSED, RETRY_AFTER_S)


def _check_size(topology: Topology, queue: QueueId, size: JobSize) -> Refusal | None:
    vms = topology.vms_of_queue(queue)
    if not vms:
        return Refusal(RefusalReason.NO_CAPACITY, RETRY_AFTER_S)
    if any(size.fits(capacity_of(vm)) for vm in vms):
        return None
    shortage = SizeShortage(asked=size, largest=largest_capacity(vms))
    return Refusal(RefusalReason.JOB_TOO_LARGE, shortage=shortage)


def _timeout_s(queue: Queue, submission: Submission) -> float:
    bound_s = queue.timeout_ms / 1000
    if submission.timeout_s is None:
        return bound_s
    return min(bound_s, submission.timeout_s)
