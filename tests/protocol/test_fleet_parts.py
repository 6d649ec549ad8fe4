"""Tests of splitting and reassembling fleets."""

from __future__ import annotations

import random

import pytest

from currantstage.protocol import (
    MAX_PART_BYTES,
    DecodeError,
    FleetAssembler,
    FleetPart,
    split_fleet,
)
from currantstage.state import Fleet, Generation, Key, KeyId, TeamId


def make_fleet(count, generation=3):
    random_source = random.Random(1)
    keys = {
        KeyId(f"k{n}"): Key(
            key_id=KeyId(f"k{n}"),
            team=TeamId("t"),
            salt="s",
            digest=f"{random_source.getrandbits(256):064x}",
        )
        for n in range(count)
    }
    return Fleet(generation=Generation(generation), keys=keys)


def test_fleet_is_reassembled_from_reordered_and_duplicate_parts():
    fleet = make_fleet(5000)
    parts = list(split_fleet(fleet))
    assert len(parts) > 2
    assert max(len(part.content) for part in parts) <= MAX_PART_BYTES
    assembly = FleetAssembler()
    results = [assembly.add(part) for part in (parts[0], *reversed(parts))]
    assert [result for result in results if result is not None] == [fleet]


def test_parts_of_an_older_fleet_are_ignored():
    assembly = FleetAssembler()
    (newer,) = split_fleet(make_fleet(1, generation=4))
    (older,) = split_fleet(make_fleet(1, generation=3))
    assert assembly.add(newer).generation == 4
    assert assembly.add(older) is None


def test_invalid_content_is_an_error():
    part = FleetPart(generation=Generation(1), index=0, count=1, content=b"no")
    with pytest.raises(DecodeError):
        FleetAssembler().add(part)
