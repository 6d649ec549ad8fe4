"""The base class of all exceptions that the package raises."""

from __future__ import annotations

__all__ = ["CurrantstageError"]


class CurrantstageError(Exception):
    """Base class of the exceptions of all layers."""
