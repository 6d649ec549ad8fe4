"""`KNOWN-RED.txt` and the tests that it lists."""

from __future__ import annotations

from pathlib import Path

from tests.conftest import KNOWN_RED_FILE
from tests.known_red import listed_tests

ROOT = Path(__file__).parent.parent


def test_every_listed_test_exists() -> None:
    for name in listed_tests(KNOWN_RED_FILE.read_text()):
        path, _, function = name.partition("::")
        source = (ROOT / path).read_text()
        assert f"def {function.partition('[')[0]}(" in source
