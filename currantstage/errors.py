"""The root of every error that the package raises."""

from __future__ import annotations

__all__ = ["CurrantstageError"]


class CurrantstageError(Exception):
    """Base class of the errors of all layers."""
