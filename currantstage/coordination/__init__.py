"""All decision logic of the system, free of input and output."""

from __future__ import annotations

from currantstage.coordination._errors import (
    CoordinationError,
    StoreContentError,
    StoreUnreachableError,
    WriteUncertainError,
)

__all__ = [
    "CoordinationError",
    "StoreUnreachableError",
    "StoreContentError",
    "WriteUncertainError",
]
