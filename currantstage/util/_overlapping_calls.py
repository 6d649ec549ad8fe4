"""Calls that are sent again beside those that have not been answered yet."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, Generic, TypeVar

from currantstage.util._transfer import Transfer

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

_ResultT = TypeVar("_ResultT")


class OverlappingCalls(Generic[_ResultT]):
    """Bounds the time that one unanswered call costs, without giving it up.

    Parameters
    ----------
    call : callable
        Sends one call.
    patience_s : float
        Time without an answer after which the call is sent once more, in seconds.
    max_calls : int
        Maximum number of calls under way; the oldest one is then given up.
    on_late : callable
        Called each time that `patience_s` has passed without an answer.
    """

    def __init__(
        self,
        call: Callable[[], Coroutine[Any, Any, _ResultT]],
        patience_s: float,
        max_calls: int,
        on_late: Callable[[], None],
    ) -> None:
        self._call = call
        self._patience_s = patience_s
        self._max_calls = max_calls
        self._on_late = on_late
        #: The call that has been sent last.
        self.newest: Transfer | None = None

    async def first(self) -> _ResultT:
        """Return the first answer; raise the failure of the last call under way."""
        # In the order of sending.
        pending: list[asyncio.Task[_ResultT]] = []
        try:
            while True:
                self.newest = Transfer()
                pending.append(self.newest.start(self._call()))
                if len(pending) > self._max_calls:
                    pending.pop(0).cancel()
                answered = await self._next_answered(pending)
                if answered is not None:
                    return answered.result()
                self._on_late()
        finally:
            for task in pending:
                _give_up(task)

    async def _next_answered(
        self, pending: list[asyncio.Task[_ResultT]]
    ) -> asyncio.Task[_ResultT] | None:
        """Return the call that is decisive now; None if all of them are late."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + self._patience_s
        while True:
            left_s = max(0.0, until_s - loop.time())
            done, _ = await asyncio.wait(
                pending, timeout=left_s, return_when=asyncio.FIRST_COMPLETED
            )
            if not done:
                return None
            for task in done:
                pending.remove(task)
                if task.exception() is None or not pending:
                    return task


def _give_up(call: asyncio.Task[Any]) -> None:
    """Cancel a call that is no longer needed, or drop its failure."""
    if not call.cancel() and not call.cancelled():
        call.exception()
