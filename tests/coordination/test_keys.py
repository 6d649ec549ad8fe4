"""Tests of key authentication: every invalid key gets the same refusal."""

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


def test_valid_key_identifies_its_team(fleet):
    assert identify_team(fleet, KEYED, "k.right") == Success(NORTH)


@pytest.mark.parametrize("presented", [None, "", "k", "k.wrong", "other.right", "."])
def test_all_invalid_keys_get_the_same_refusal(fleet, presented):
    refusal = Refusal(RefusalReason.KEY_REFUSED)
    assert identify_team(fleet, KEYED, presented) == Failure(refusal)
    assert identify_team(fleet, OPEN, presented) == Success(None)


def test_unknown_key_with_an_empty_secret_is_refused():
    assert isinstance(identify_team(Fleet(), KEYED, "."), Failure)
