"""Interfaces of the limits and share policies that the dispatcher uses."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Sequence

    from currantstage.state import QueueId, TeamId, VmId


@dataclass(frozen=True, slots=True)
class TeamLoad:
    """Running slots and waiting requests of one team on one queue of a data centre.

    Parameters
    ----------
    team : TeamId
    share : float
        Weight of the team.
    running_slots : float
        Slots that the team holds, weighted by job size.
    waiting_requests : int
    correction_slots : float
        Added to `running_slots` when teams are compared: the slots that the team holds
        at other entry VMs, and the slots that it recently held here beyond those that
        it holds now.
    """

    team: TeamId
    share: float
    running_slots: float
    waiting_requests: int
    correction_slots: float = 0.0


class TeamLimiter(Protocol):
    """Limits the slots that each team holds across the fleet."""

    def try_acquire(self, team: TeamId) -> bool:
        """Acquire one slot of the team's upper limit; return False if none is left."""

    def release(self, team: TeamId) -> None:
        """Release one slot."""


class WorkerSlots(Protocol):
    """Divides the slots of each VM among the entry VMs of its data centre."""

    def free_slots(self, vm: VmId) -> int:
        """Return how many slots of `vm` this entry VM may still acquire."""

    def try_acquire(self, vm: VmId) -> bool:
        """Acquire one slot of `vm`; return False if this entry VM has none left."""

    def release(self, vm: VmId) -> None:
        """Release one slot."""


class UsageView(Protocol):
    """Reports usage of teams at other entry VMs, and recent usage at this one."""

    def correction_slots(
        self, now_s: float, queue: QueueId, team: TeamId, running_slots: float
    ) -> float:
        """Return the correction to add to `running_slots` when teams are compared."""


class SharePolicy(Protocol):
    """Decides which team's waiting request starts next when a slot is free."""

    def choose(self, loads: Sequence[TeamLoad]) -> TeamId:
        """Return the team to serve next.

        `loads` is ordered by when each team was last served, least recently first, and
        also contains teams with running but no waiting requests. At least one team has
        a waiting request.
        """
