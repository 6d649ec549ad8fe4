"""Scenarios with random load and faults; `tools/fuzz` runs more of them."""

from __future__ import annotations

import os

import pytest

from tests.jobs.random_scenario import RandomScenario
from tests.jobs.site import run_scenario

FIRST_SEED = int(os.environ.get("CURRANTSTAGE_FUZZ_SEED", "1"))
COUNT = 12 * int(os.environ.get("CURRANTSTAGE_FUZZ_FACTOR", "1"))


@pytest.mark.parametrize("seed", range(FIRST_SEED, FIRST_SEED + COUNT))
def test_no_invariant_is_violated(seed: int) -> None:
    scenario = RandomScenario(seed)

    async def run() -> None:
        violations = await scenario.run()
        assert violations == [], scenario.injected_faults

    run_scenario(run())
