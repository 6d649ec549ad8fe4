"""Errors of the coordination layer."""

from __future__ import annotations

from currantstage.errors import CurrantstageError


class CoordinationError(CurrantstageError):
    """Base class of the errors of the coordination layer."""


class StoreAwayError(CoordinationError):
    """The platform's service did not answer within the retries; nothing was done."""


class WriteUncertainError(CoordinationError):
    """A write may have taken effect, and it could not be read back."""


class StoreContentError(CoordinationError):
    """The store holds something that the protocol rules out."""
