"""Errors of the ports that jobs use."""

from __future__ import annotations

from currantstage.errors import CurrantstageError


class StoreUnavailable(CurrantstageError):  # noqa: N818
    """The store returned no usable response.

    Parameters
    ----------
    reason : str
    is_in_doubt : bool
        Whether the call may have taken effect, or may still do so.
    """

    def __init__(self, reason: str, *, is_in_doubt: bool) -> None:
        super().__init__(reason)
        self.is_in_doubt = is_in_doubt


class StoreRefused(StoreUnavailable):
    """The store rejects what a call holds; the same call can never succeed.

    Parameters
    ----------
    reason : str
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason, is_in_doubt=False)
