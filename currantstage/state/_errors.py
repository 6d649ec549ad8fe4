"""Errors of the state layer and of the ports that it declares."""

from __future__ import annotations

from currantstage.errors import CurrantstageError


class StateError(CurrantstageError):
    """Base class of the errors of the state layer."""


class StoreUnavailableError(StateError):
    """The platform's service did not execute the call; nothing was changed."""


class StoreUncertainError(StateError):
    """The platform's response was lost; a write may have taken effect."""
