"""Following of a table of the store through polls, some of which get no answer."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Generic, Protocol, TypeVar

from eliot import log_message

from currantstage.util import OverlappingCalls

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

#: Long-poll timeout of the store's changes, in milliseconds.
CHANGES_WAIT_MS = 1000
#: Time without an answer after which another poll is sent beside it, in seconds: the
#: wait at the store, and a time in which a store in order answers.
POLL_PATIENCE_S = CHANGES_WAIT_MS / 1000 + 0.5
#: Maximum number of polls under way.
MAX_POLLS = 3


class Versioned(Protocol):
    """What has been read of a table."""

    @property
    def version(self) -> int:
        """Version of the store from which later changes are read."""


_ChangesT = TypeVar("_ChangesT", bound=Versioned)


@dataclass(frozen=True, slots=True)
class FeedUpdate(Generic[_ChangesT]):
    """The changes since the last update, or all there is if `is_complete`."""

    changes: _ChangesT
    is_complete: bool


class ChangeFeed(Generic[_ChangesT]):
    """Returns the changes of a table one after the other.

    Parameters
    ----------
    name : str
        Name of what is followed, in logs.
    read : callable
        Reads all there is.
    read_changes : callable
        Reads the changes since a version, waiting for them for some milliseconds; None
        if that history is unavailable.
    version : int
        Version from which changes are read.
    """

    def __init__(
        self,
        name: str,
        read: Callable[[], Awaitable[_ChangesT]],
        read_changes: Callable[[int, int], Awaitable[_ChangesT | None]],
        version: int,
    ) -> None:
        self._name = name
        self._read = read
        self._read_changes = read_changes
        self._version = version
        self._polls = OverlappingCalls(
            self._poll, POLL_PATIENCE_S, MAX_POLLS, self._log_late_poll
        )

    async def next(self) -> FeedUpdate[_ChangesT]:
        """Return the next update; raises `StoreUnavailable`."""
        update = await self._polls.first()
        self._version = update.changes.version
        return update

    async def _poll(self) -> FeedUpdate[_ChangesT]:
        changes = await self._read_changes(self._version, CHANGES_WAIT_MS)
        if changes is not None:
            return FeedUpdate(changes, is_complete=False)
        return FeedUpdate(await self._read(), is_complete=True)

    def _log_late_poll(self) -> None:
        log_message("currantstage:poll-unanswered", followed=self._name)
