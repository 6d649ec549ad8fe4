"""Reading of `KNOWN-RED.txt`."""

from __future__ import annotations

import re

#: A test in an entry's first line: its file and its name, in backquotes.
_LISTED_TEST = re.compile(r"^- `(tests/[\w/]+\.py::[^`]+)`", re.MULTILINE)


def listed_tests(text: str) -> set[str]:
    r"""Return the names of the tests that are listed as failing.

    >>> text = "- `tests/a.py::test_b`: fails, issue 3.\n- `fleetbench run x`: LOST."
    >>> listed_tests(text)
    {'tests/a.py::test_b'}
    """
    return set(_LISTED_TEST.findall(text))
