"""Requirements that the platform installs."""

from __future__ import annotations

from pathlib import Path

FOLDER = Path(__file__).parents[1] / "requirements"


def test_the_platform_installs_locked_versions_only() -> None:
    locked = set((FOLDER / "lock.txt").read_text(encoding="utf-8").split())
    runtime = set((FOLDER / "runtime.txt").read_text(encoding="utf-8").split())
    assert runtime <= locked


def test_development_tools_are_not_installed() -> None:
    runtime = (FOLDER / "runtime.txt").read_text(encoding="utf-8")
    for tool in ("mypy", "pytest", "ruff", "z3", "hypothesis"):
        assert tool not in runtime
