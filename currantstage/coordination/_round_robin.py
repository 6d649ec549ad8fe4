"""Turns among teams, without regard to their shares."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from currantstage.coordination._policies import TeamLoad
    from currantstage.state import TeamId


class RoundRobinShares:
    """Implements `SharePolicy` by serving the team that was served longest ago."""

    def __init__(self) -> None:
        self._turns = 0
        self._last_turn: dict[TeamId, int] = {}

    def choose(self, loads: Sequence[TeamLoad]) -> TeamId:
        """Return the team to serve."""
        waiting = [load.team for load in loads if load.waiting_requests]
        team = min(waiting, key=lambda team: (self._last_turn.get(team, 0), team))
        self._turns += 1
        self._last_turn[team] = self._turns
        return team
