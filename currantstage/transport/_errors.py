"""Errors of the transport layer."""

from __future__ import annotations

from currantstage.errors import CurrantstageError


class TransportError(CurrantstageError):
    """Base class of the errors of the transport layer."""


class ListenError(TransportError):
    """The daemon can't listen on an address."""


class OperatorCallError(TransportError):
    """An operators' call received no usable response."""


class OperatorRefusedError(OperatorCallError):
    """An operators' call that can't succeed on a retry: a wrong key, no such note."""


class SessionClosedError(TransportError):
    """A client's connections are closed; nothing of the call has been sent."""
