"""Errors of the transport layer."""

from __future__ import annotations

from currantstage.errors import CurrantstageError


class TransportError(CurrantstageError):
    """Base class of the errors of the transport layer."""


class ListenError(TransportError):
    """An address on which the daemon can't listen."""


class OperatorCallError(TransportError):
    """An operators' call that got no usable answer."""


class OperatorRefusedError(OperatorCallError):
    """An operators' call that repeating does not help: a wrong key, no such note."""
