"""Errors of the state layer and of the ports that it declares."""

from __future__ import annotations

from currantstage.errors import CurrantstageError


class StateError(CurrantstageError):
    """Base class of the errors of the state layer."""


class StoreUnavailableError(StateError):
    """The platform's service did not take the call; nothing was changed."""


class StoreUncertainError(StateError):
    """The platform's answer was lost; a write may have taken effect."""
