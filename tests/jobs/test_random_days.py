"""Days with random load and faults; `tools/fuzz` plays more of them."""

from __future__ import annotations

import os

import pytest

from tests.jobs.random_scenario import RandomScenario
from tests.jobs.site import run_scenario

FIRST_SEED = int(os.environ.get("CURRANTSTAGE_FUZZ_SEED", "1"))
COUNT = 12 * int(os.environ.get("CURRANTSTAGE_FUZZ_FACTOR", "1"))


@pytest.mark.parametrize("seed", range(FIRST_SEED, FIRST_SEED + COUNT))
def test_no_promise_is_broken(seed: int) -> None:
    day = RandomScenario(seed)

    async def play() -> None:
        violations = await day.play()
        assert violations == [], day.played

    run_scenario(play())
