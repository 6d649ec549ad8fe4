"""HTTP client session whose open connections can be given up together."""

from __future__ import annotations

from collections import Counter
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import aiohttp

from currantstage.transport._errors import SessionClosedError

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable


class RenewableSession:
    """Lends an `aiohttp.ClientSession`, and replaces it on request.

    Open connections can go silent without a reset, all at the same moment. After a call
    without an answer, the next ones would be sent over the other silent connections,
    one after the other. A new session opens new ones, while calls under way go on.

    Parameters
    ----------
    open_session : callable
    """

    def __init__(self, open_session: Callable[[], aiohttp.ClientSession]) -> None:
        self._open_session = open_session
        self._current: aiohttp.ClientSession | None = None
        self._calls: Counter[aiohttp.ClientSession] = Counter()

    def start(self) -> None:
        """Open the first session."""
        self._current = self._open_session()

    async def close(self) -> None:
        """Close all sessions, with the calls under way."""
        current, self._current = self._current, None
        sessions = {*self._calls, current} - {None}
        self._calls.clear()
        for session in sessions:
            if session is not None:
                await session.close()

    @asynccontextmanager
    async def lend(self) -> AsyncIterator[aiohttp.ClientSession]:
        """Lend the session for one call; raises `SessionClosedError`."""
        session = self._current
        if session is None:
            raise SessionClosedError("the client's connections are closed")
        self._calls[session] += 1
        try:
            yield session
        finally:
            await self._return(session)

    def renew(self, session: aiohttp.ClientSession) -> None:
        """Lend a new session from now on, if `session` is the one that is lent now."""
        if session is self._current:
            self._current = self._open_session()

    async def _return(self, session: aiohttp.ClientSession) -> None:
        self._calls[session] -= 1
        if not self._calls[session]:
            del self._calls[session]
            if session is not self._current:
                await session.close()
