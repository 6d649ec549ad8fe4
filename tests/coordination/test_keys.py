"""Keys: one refusal for every key that is not the right one."""

from __future__ import annotations

import pytest
from returns.result import Failure, Success

from currantstage.coordination.requests import (
    Refusal,
    RefusalReason,
    digest_secret,
    identify_team,
)
from currantstage.state import (
    Fleet,
    Key,
    KeyId,
    PoolId,
    Queue,
    QueueAccess,
    QueueId,
    Team,
    TeamId,
)

NORTH = TeamId("north")
KEYED = Queue(queue_id=QueueId("q"), pools=(PoolId("p"),))
OPEN = Queue(queue_id=QueueId("o"), pools=(PoolId("p"),), access=QueueAccess.OPEN)


@pytest.fixture
def fleet():
    digest = digest_secret("salt", "right")
    return Fleet(
        teams={NORTH: Team(team_id=NORTH, share=1.0, upper_limit_slots=1)},
        keys={
            KeyId("k"): Key(key_id=KeyId("k"), team=NORTH, salt="salt", digest=digest)
        },
    )


def test_the_right_key_names_its_team(fleet):
    assert identify_team(fleet, KEYED, "k.right") == Success(NORTH)


@pytest.mark.parametrize("presented", [None, "", "k", "k.wrong", "other.right", "."])
def test_any_other_key_gets_the_same_refusal(fleet, presented):
    refusal = Refusal(RefusalReason.KEY_REFUSED)
    assert identify_team(fleet, KEYED, presented) == Failure(refusal)
    assert identify_team(fleet, OPEN, presented) == Success(None)


def test_an_unknown_key_of_an_empty_secret_is_refused():
    assert isinstance(identify_team(Fleet(), KEYED, "."), Failure)
