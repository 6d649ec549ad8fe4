"""Exit statuses of the command line."""

from __future__ import annotations

from enum import IntEnum


class ExitStatus(IntEnum):
    """What the exit status of a command says; written down in the operators' docs."""

    OK = 0
    #: The command ran, and the answer is no: a note refused, a check failed.
    REFUSED = 1
    #: Wrong arguments, settings or note text.
    USAGE = 2
    #: The daemon or the platform did not answer.
    UNAVAILABLE = 3
