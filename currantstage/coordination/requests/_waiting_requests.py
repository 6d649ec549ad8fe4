"""Requests that wait for a slot, by queue and team."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from currantstage.state import TeamId

if TYPE_CHECKING:
    from collections.abc import Iterator

    from currantstage.coordination.requests._jobs import JobSize
    from currantstage.state import KeyId, QueueId, RequestId, VmId

#: Stands for the callers without a key, who share one line on an open queue.
NO_TEAM = TeamId("-")


@dataclass(frozen=True, slots=True)
class WaitingRequest:
    """A request that has been let in and needs a slot.

    Parameters
    ----------
    request_id : RequestId
    queue : QueueId
    team : TeamId
        `NO_TEAM` when no key came along.
    key : KeyId or None
        The key that let it in; it has to be in force when the request starts.
    is_urgent : bool
    size : JobSize
    admitted_s : float
        When it was let in, on the daemon's clock.
    deadline_s : float
        When its answer is due, on the daemon's clock.
    avoided : frozenset of VmId
        Workers that failed it before; used only when no other is left.
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
    """One team's waiting requests on one queue: urgent ones first, else in order.

    Each operation takes constant time, cancelling included.
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
        """Add `request` at the end of its class."""
        line = self._urgent if request.is_urgent else self._normal
        line[request.request_id] = request

    def remove(self, request: WaitingRequest) -> None:
        """Take `request` out, wherever it stands."""
        line = self._urgent if request.is_urgent else self._normal
        del line[request.request_id]

    def first(self) -> WaitingRequest:
        """Return the request to start next."""
        return next(iter((self._urgent or self._normal).values()))

    def newest(self) -> WaitingRequest:
        """Return the request to give up first under overload."""
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
        """Return all requests, team by team."""
        return [request for line in self._teams.values() for request in line]

    def append(self, request: WaitingRequest) -> None:
        """Add `request` at the end of its team's line."""
        self._teams.setdefault(request.team, TeamBacklog()).append(request)
        self._count += 1

    def remove(self, request: WaitingRequest) -> None:
        """Take `request` out, wherever it stands."""
        line = self._teams[request.team]
        line.remove(request)
        self._count -= 1
        if not line:
            del self._teams[request.team]

    def first_of(self, team: TeamId) -> WaitingRequest:
        """Return the request of `team` to start next."""
        return self._teams[team].first()

    def move_to_end(self, team: TeamId) -> None:
        """Put `team`, if it still waits, after the others."""
        line = self._teams.pop(team, None)
        if line is not None:
            self._teams[team] = line

    def count_waiting(self, team: TeamId) -> int:
        """Return how many requests of `team` wait."""
        line = self._teams.get(team)
        return 0 if line is None else len(line)

    def count_ahead(self, team: TeamId) -> int:
        """Return how many requests are served before the next one of `team`.

        Teams take turns, so a short line is not held up by a long one.
        """
        own = self.count_waiting(team)
        return sum(min(len(line), own) for line in self._teams.values())
