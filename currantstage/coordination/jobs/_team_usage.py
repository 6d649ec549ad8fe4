"""Resources that each team uses, checked against its upper limit."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from currantstage.state.jobs import NO_RESOURCES, Resources

if TYPE_CHECKING:
    from currantstage.state import TeamId
    from currantstage.state.jobs import FleetConfiguration


class TeamUsage:
    """Counts every run that may be in progress, including runs in doubt."""

    def __init__(self) -> None:
        self._used: dict[TeamId, Resources] = defaultdict(lambda: NO_RESOURCES)

    def add(self, team: TeamId, amount: Resources) -> None:
        """Add `amount` to the resources that `team` uses."""
        self._used[team] = self._used[team].plus(amount)

    def remove(self, team: TeamId, amount: Resources) -> None:
        """Subtract `amount` from the resources that `team` uses."""
        self._used[team] = self._used[team].minus(amount)

    def used(self, team: TeamId) -> Resources:
        """Return the resources of all runs of `team` that may be in progress."""
        return self._used[team]

    def allows(
        self, team: TeamId, amount: Resources, configuration: FleetConfiguration
    ) -> bool:
        """Return whether `team` may use `amount` more."""
        if not team:
            return True
        found = configuration.team(team)
        if found is None:
            return True
        wanted = self._used[team].plus(amount)
        limit = found.upper_limit
        return (
            _is_within(wanted.cpu_millicores, limit.cpu_millicores)
            and _is_within(wanted.memory_mb, limit.memory_mb)
            and _is_within(wanted.accelerators, limit.accelerators)
        )


def _is_within(wanted: int, limit: int) -> bool:
    """Return whether `wanted` is within `limit`; zero means no limit."""
    return limit == 0 or wanted <= limit
