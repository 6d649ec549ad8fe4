"""What it costs to find a queue or a team among thousands."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from currantstage.state import PoolId, QueueId, TeamId
from currantstage.state.jobs import (
    ConfigurationVersion,
    FleetConfiguration,
    JobQueue,
    JobTeam,
)

if TYPE_CHECKING:
    from collections.abc import Callable

COUNT = 5000
#: Most comparisons of names that a look-up may take.
MAX_COMPARISONS = 3


class CountedName(str):
    """A name that counts how often it is compared."""

    comparisons = 0

    def __eq__(self, other: object) -> bool:
        CountedName.comparisons += 1
        return str.__eq__(self, other)

    __hash__ = str.__hash__


LAST = COUNT - 1
LOOKUPS: dict[str, Callable[[FleetConfiguration], object]] = {
    "queue": lambda each: each.queue(QueueId(CountedName(f"q-{LAST}"))),
    "route": lambda each: each.route(CountedName(f"host-{LAST}"), "/jobs/1"),
    "team": lambda each: each.team(TeamId(CountedName(f"t-{LAST}"))),
    "key": lambda each: each.team_of_key(CountedName(f"key-{LAST}")),
}


def _configuration() -> FleetConfiguration:
    return FleetConfiguration(
        version=ConfigurationVersion(1),
        queues=tuple(
            JobQueue(
                queue=QueueId(f"q-{number}"),
                host=f"host-{number}",
                path_prefix="/jobs/",
                pool=PoolId("p"),
            )
            for number in range(COUNT)
        ),
        pools=(),
        teams=tuple(
            JobTeam(team=TeamId(f"t-{number}"), keys=(f"key-{number}",))
            for number in range(COUNT)
        ),
    )


@pytest.mark.parametrize("lookup", LOOKUPS)
def test_look_up_costs_the_same_among_thousands(lookup: str) -> None:
    """Guards against searches that left an overloaded scheduler no processor time."""
    configuration = _configuration()
    CountedName.comparisons = 0
    assert LOOKUPS[lookup](configuration) is not None
    assert CountedName.comparisons <= MAX_COMPARISONS


def test_first_of_two_entries_with_the_same_name_is_found() -> None:
    first = JobQueue(
        queue=QueueId("q"), host="h", path_prefix="/", pool=PoolId("first")
    )
    second = JobQueue(
        queue=QueueId("q"), host="h", path_prefix="/", pool=PoolId("second")
    )
    configuration = FleetConfiguration(
        version=ConfigurationVersion(1),
        queues=(first, second),
        pools=(),
        teams=(
            JobTeam(team=TeamId("t"), keys=("k",), share=1.0),
            JobTeam(team=TeamId("t"), keys=("k",), share=2.0),
        ),
    )
    assert configuration.queue(QueueId("q")) is first
    assert configuration.route("h", "/x") is first
    assert configuration.team(TeamId("t")) is configuration.teams[0]
    assert configuration.team_of_key("k") is configuration.teams[0]
