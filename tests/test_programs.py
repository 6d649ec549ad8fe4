"""Every module of the benchmarks and specifications can be imported."""

from __future__ import annotations

import importlib
import pkgutil

import pytest

import bench
import spec

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
