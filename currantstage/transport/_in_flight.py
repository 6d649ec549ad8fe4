"""Count calls in progress, so that a graceful shutdown can wait for them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Self

from currantstage.util import wait_for_event

if TYPE_CHECKING:
    from types import TracebackType


class InFlightCounter:
    """Counts calls in progress; entered as a context manager around each call."""

    def __init__(self) -> None:
        self._count = 0
        self._idle = asyncio.Event()
        self._idle.set()

    def __enter__(self) -> Self:
        self._count += 1
        self._idle.clear()
        return self

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._count -= 1
        if not self._count:
            self._idle.set()

    async def wait_idle(self, timeout_s: float) -> bool:
        """Wait until no call is in progress; returns False after `timeout_s`."""
        return await wait_for_event(self._idle, timeout_s)
