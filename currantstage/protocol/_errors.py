"""Errors of the protocol layer."""

from __future__ import annotations

from currantstage.errors import CurrantstageError


class ProtocolError(CurrantstageError):
    """Base class of the errors of the protocol layer."""


class DecodeError(ProtocolError):
    """Bytes that are not a valid message."""


class NoteSyntaxError(ProtocolError):
    """A release note that can't be read.

    Parameters
    ----------
    faults : tuple of str
        Every fault found, each with its place.
    """

    def __init__(self, faults: tuple[str, ...]) -> None:
        super().__init__("; ".join(faults))
        self.faults = faults
