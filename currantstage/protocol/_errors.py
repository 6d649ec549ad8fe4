"""Errors of the protocol layer."""

from __future__ import annotations

from currantstage.errors import CurrantstageError


class ProtocolError(CurrantstageError):
    """Base class of the errors of the protocol layer."""


class DecodeError(ProtocolError):
    """The bytes are not a valid message."""


class NoteSyntaxError(ProtocolError):
    """The text of a release note can't be parsed.

    Parameters
    ----------
    faults : tuple of str
        Every fault found, each with its location.
    """

    def __init__(self, faults: tuple[str, ...]) -> None:
        super().__init__("; ".join(faults))
        self.faults = faults
