"""Errors of the coordination layer."""

from __future__ import annotations

from currantstage.errors import CurrantstageError


class CoordinationError(CurrantstageError):
    """Base class of the errors of the coordination layer."""


class StoreUnreachableError(CoordinationError):
    """A call to a platform service failed on every try; no transaction took effect."""


class WriteUncertainError(CoordinationError):
    """Whether a write took effect is unknown, and reading it back did not tell."""


class StoreContentError(CoordinationError):
    """The store holds content that violates the protocol."""
