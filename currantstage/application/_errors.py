"""Errors of the composition root."""

from __future__ import annotations

from currantstage.errors import CurrantstageError


class ApplicationError(CurrantstageError):
    """Base class of the errors of the composition root."""


class StartError(ApplicationError):
    """The daemon could not start."""
