"""Which jobs are within the rate that their team's share guarantees."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from currantstage.state import TeamId
    from currantstage.state.jobs import JobTeam

#: Time for which a team may have saved up its share, in seconds.
BURST_S = 4.0


@dataclass(slots=True)
class _TokenBucket:
    tokens: float
    filled_s: float


class TeamRates:
    """A token bucket for each team, filled at the rate of its share.

    >>> from currantstage.state.jobs import JobTeam
    >>> rates, team = TeamRates(), JobTeam(team="east", keys=(), share=0.5)
    >>> [rates.take(team, at_s=10.0) for _ in range(3)], rates.take(team, at_s=12.0)
    ([True, True, False], True)
    """

    def __init__(self) -> None:
        self._buckets: dict[TeamId, _TokenBucket] = {}
        self._beyond: Counter[TeamId] = Counter()

    def take(self, team: JobTeam | None, at_s: float) -> bool:
        """Count a job of `team`; return whether it is within its share."""
        if team is None or not team.share > 0:
            return True
        size = max(1.0, team.share * BURST_S)
        bucket = self._buckets.setdefault(team.team, _TokenBucket(size, at_s))
        filled = bucket.tokens + max(0.0, at_s - bucket.filled_s) * team.share
        bucket.tokens = min(size, filled)
        bucket.filled_s = max(bucket.filled_s, at_s)
        if bucket.tokens < 1.0:
            self._beyond[team.team] += 1
            return False
        bucket.tokens -= 1.0
        return True

    def take_beyond(self) -> dict[TeamId, int]:
        """Return how many jobs were beyond their team's share since the last call."""
        beyond, self._beyond = self._beyond, Counter()
        return dict(beyond)
