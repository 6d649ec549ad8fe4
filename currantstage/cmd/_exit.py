"""Exit statuses of the command line."""

from __future__ import annotations

from enum import IntEnum


class ExitStatus(IntEnum):
    """Exit statuses of all commands, as documented for operators."""

    OK = 0
    #: The command ran with a negative result: a refused note, a failed check.
    REFUSED = 1
    #: Wrong arguments, settings or note text.
    USAGE = 2
    #: The daemon or the platform did not answer.
    UNAVAILABLE = 3
