"""Errors of the served platform and its trials."""

from __future__ import annotations

from currantstage.errors import CurrantstageError


class TrialError(CurrantstageError):
    """A trial can't be carried out."""
