"""Interfaces between admission and the policies that bound and order it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Sequence

    from currantstage.state import QueueId, TeamId, VmId


@dataclass(frozen=True, slots=True)
class TeamLoad:
    """What one team runs and waits for, on one queue of one data centre.

    Parameters
    ----------
    team : TeamId
    share : float
        Weight of the team.
    running_slots : float
        Slots that the team holds now, weighted by size.
    waiting_requests : int
    correction_slots : float
        Added to `running_slots` where teams are compared: what the team holds at
        other entry VMs, and what it held here of late beyond what it holds now.
    """

    team: TeamId
    share: float
    running_slots: float
    waiting_requests: int
    correction_slots: float = 0.0


class TeamLimiter(Protocol):
    """Bounds the slots that each team holds over the whole fleet."""

    def try_acquire(self, team: TeamId) -> bool:
        """Take one slot of the team's upper limit; return False when none is left."""

    def release(self, team: TeamId) -> None:
        """Give one slot back."""


class WorkerSlots(Protocol):
    """Divides each VM's slots among the entry VMs of its data centre."""

    def free_slots(self, vm: VmId) -> int:
        """Return the slots of `vm` that this entry VM may still take."""

    def try_acquire(self, vm: VmId) -> bool:
        """Take one slot of `vm`; return False when none is left to this entry VM."""

    def release(self, vm: VmId) -> None:
        """Give one slot back."""


class UsageView(Protocol):
    """Knows what teams hold at other entry VMs, and have held here of late."""

    def correction_slots(
        self, now_s: float, queue: QueueId, team: TeamId, running_slots: float
    ) -> float:
        """Return what to add to `running_slots` when teams are compared."""


class SharePolicy(Protocol):
    """Decides whose waiting request goes next when a slot is free."""

    def choose(self, loads: Sequence[TeamLoad]) -> TeamId:
        """Return the team to serve; `loads` holds at least one that waits.

        `loads` starts with the team that was served longest ago, and holds the teams
        that run without waiting as well.
        """
