"""Every decision of the system, without input or output."""

from __future__ import annotations

from currantstage.coordination._errors import (
    CoordinationError,
    StoreAwayError,
    StoreContentError,
    WriteUncertainError,
)

__all__ = [
    "CoordinationError",
    "StoreAwayError",
    "StoreContentError",
    "WriteUncertainError",
]
