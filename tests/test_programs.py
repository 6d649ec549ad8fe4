"""The benchmarks and specifications can be imported, and their sites be built."""

from __future__ import annotations

import asyncio
import importlib
import pkgutil
import random

import pytest
import uvloop

import bench
import spec
from bench.guards import REMOVALS, Removal, read_module
from bench.request_site import serving_path
from currantstage.coordination.requests import Outcome
from currantstage.protocol import CallerOptions

MODULES = [
    f"{package.__name__}.{module.name}"
    for package in (bench, spec)
    for module in pkgutil.iter_modules(package.__path__)
    if module.name != "__main__"
]


@pytest.mark.parametrize("name", MODULES)
def test_module_can_be_imported(name: str) -> None:
    """Guards against imports of classes that have moved.

    `bench.request_site` once imported classes that had moved to the tests.
    """
    importlib.import_module(name)


@pytest.mark.parametrize("removal", REMOVALS, ids=lambda removal: removal.guard)
def test_guard_is_found_where_it_is_removed(removal: Removal) -> None:
    """Guards against guards that have moved, whose removal nobody can test any more."""
    assert read_module(removal).count(removal.old) == 1


def test_request_site_of_the_benchmarks_serves_a_request() -> None:
    """Guards against arguments of `RequestPath.build` that the benchmarks lack."""

    async def serve() -> Outcome:
        async with serving_path(1, 0.0, random.Random(1)) as site:
            async with asyncio.timeout(10):
                return (await site.serve(b"x", CallerOptions())).outcome

    assert uvloop.run(serve()) is Outcome.COMPLETED
