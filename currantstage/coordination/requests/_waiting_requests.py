"""Backlogs of requests that wait for a slot, by queue and team."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from currantstage.state import TeamId

if TYPE_CHECKING:
    from collections.abc import Iterator

    from currantstage.coordination.requests._jobs import JobSize
    from currantstage.state import KeyId, QueueId, RequestId, VmId

#: Team of callers without a key, who share one backlog per open queue.
NO_TEAM = TeamId("-")


@dataclass(frozen=True, slots=True)
class WaitingRequest:
    """An admitted request that needs a slot.

    Parameters
    ----------
    request_id : RequestId
    queue : QueueId
    team : TeamId
        `NO_TEAM` if no valid key was presented.
    key : KeyId or None
        The key with which it was admitted, which must still be valid at the start.
    is_urgent : bool
    size : JobSize
    admitted_s : float
        When it was admitted, on the daemon's clock.
    deadline_s : float
        When its answer is due, on the daemon's clock.
    avoided : frozenset of VmId
        Workers on which an attempt failed, used only if no other worker is usable.
    """

    request_id: RequestId
    queue: QueueId
    team: TeamId
    key: KeyId | None
    is_urgent: bool
    size: JobSize
    admitted_s: float
    deadline_s: float
    avoided: frozenset[VmId] = frozenset()


class TeamBacklog:
    """Waiting requests of one team on one queue: urgent ones first, else FIFO.

    Each operation takes constant time, including removal from the middle.
    """

    def __init__(self) -> None:
        self._urgent: dict[RequestId, WaitingRequest] = {}
        self._normal: dict[RequestId, WaitingRequest] = {}

    def __len__(self) -> int:
        return len(self._urgent) + len(self._normal)

    def __iter__(self) -> Iterator[WaitingRequest]:
        yield from self._urgent.values()
        yield from self._normal.values()

    def append(self, request: WaitingRequest) -> None:
        """Append `request` to the urgent or the normal requests."""
        requests = self._urgent if request.is_urgent else self._normal
        requests[request.request_id] = request

    def remove(self, request: WaitingRequest) -> None:
        """Remove `request` from any position."""
        requests = self._urgent if request.is_urgent else self._normal
        del requests[request.request_id]

    def first(self) -> WaitingRequest:
        """Return the request to start next."""
        return next(iter((self._urgent or self._normal).values()))

    def newest(self) -> WaitingRequest:
        """Return the request to shed first under overload."""
        return next(reversed((self._normal or self._urgent).values()))


class QueueBacklog:
    """All waiting requests of one queue at this entry VM."""

    def __init__(self) -> None:
        self._teams: dict[TeamId, TeamBacklog] = {}
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def __iter__(self) -> Iterator[tuple[TeamId, TeamBacklog]]:
        return iter(self._teams.items())

    def requests(self) -> list[WaitingRequest]:
        """Return all requests, grouped by team."""
        return [request for backlog in self._teams.values() for request in backlog]

    def append(self, request: WaitingRequest) -> None:
        """Append `request` to the backlog of its team."""
        self._teams.setdefault(request.team, TeamBacklog()).append(request)
        self._count += 1

    def remove(self, request: WaitingRequest) -> None:
        """Remove `request` from any position."""
        backlog = self._teams[request.team]
        backlog.remove(request)
        self._count -= 1
        if not backlog:
            del self._teams[request.team]

    def first_of(self, team: TeamId) -> WaitingRequest:
        """Return the request of `team` to start next."""
        return self._teams[team].first()

    def move_to_end(self, team: TeamId) -> None:
        """Move `team`, if it has waiting requests, behind the other teams."""
        backlog = self._teams.pop(team, None)
        if backlog is not None:
            self._teams[team] = backlog

    def count_waiting(self, team: TeamId) -> int:
        """Return the number of waiting requests of `team`."""
        backlog = self._teams.get(team)
        return 0 if backlog is None else len(backlog)

    def count_ahead(self, team: TeamId) -> int:
        """Return the estimated number of requests ahead of a further one of `team`.

        Teams are served in turn, so a long backlog of one team doesn't delay the short
        backlog of another.
        """
        of_team = self.count_waiting(team)
        return sum(min(len(backlog), of_team) for backlog in self._teams.values())
