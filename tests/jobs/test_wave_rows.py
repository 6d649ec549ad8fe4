"""Rows of maintenance waves."""

from __future__ import annotations

import random

import pytest

from currantstage.application.jobs._repository import JobRepository
from currantstage.standin.jobs import SimulatedStore
from tests.jobs.site import run_scenario


@pytest.mark.parametrize("count", [0, 3, 1100, 2000])
def test_wave_of_a_whole_fleet_fits_its_rows(count: int) -> None:
    # LOST, MIXED: what was done of a wave could not be stored any more.
    async def scenario() -> None:
        store = SimulatedStore(random.Random(1))
        repository = JobRepository(store.for_caller("a"))
        done = [f"{number:04d}" + "v" * 196 for number in range(count)]
        await repository.write_wave(12, ["other"])
        await repository.write_wave(1, done)
        assert await repository.read_wave(1) == tuple(done)
        assert await repository.read_wave(12) == ("other",)

    run_scenario(scenario())
