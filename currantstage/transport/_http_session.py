"""Base class of HTTP clients of one daemon."""

from __future__ import annotations

from typing import TYPE_CHECKING, Self

import aiohttp

if TYPE_CHECKING:
    from collections.abc import Mapping


class HttpSession:
    """Base class of clients of one daemon, opened and closed explicitly.

    Parameters
    ----------
    url : str
        ``http://IP:port`` of the daemon.
    headers : mapping of str to str
        Headers of every call.
    timeout_s : float
        Timeout of a call, in seconds.
    """

    def __init__(self, url: str, headers: Mapping[str, str], timeout_s: float) -> None:
        self._url = url.rstrip("/")
        self._headers = headers
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> Self:
        await self.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.close()

    async def start(self) -> None:
        """Open the connection pool."""
        self._session = aiohttp.ClientSession(
            headers=self._headers, timeout=self._timeout
        )

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None
