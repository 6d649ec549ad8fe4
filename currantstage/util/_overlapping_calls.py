"""Calls that are sent again beside those that have not been answered yet."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import TYPE_CHECKING, Any, Generic, TypeVar

from currantstage.util._transfer import Transfer

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

_ResultT = TypeVar("_ResultT")


class OverlappingCalls(Generic[_ResultT]):
    """Bounds the time that one unanswered call costs, without giving it up.

    While an answer arrives, no other call is sent, and those that wait for their answer
    are given up: a large answer would share its link with the same one once more.

    Parameters
    ----------
    call : callable
        Sends one call.
    patience_s : float
        Time without a part of an answer after which the call is sent once more, in
        seconds.
    max_calls : int
        Maximum number of calls under way; the oldest one is then given up.
    on_late : callable
        Called each time that `patience_s` has passed without a part of an answer.
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
        # Calls under way, in the order of sending.
        self._pending: dict[asyncio.Task[_ResultT], Transfer] = {}

    def is_arriving(self) -> bool:
        """Return whether a part of an answer has arrived lately, but not all of it."""
        transfers = self._pending.values()
        return any(each.is_arriving(self._patience_s) for each in transfers)

    async def first(self) -> _ResultT:
        """Return the first answer; raise the failure of the last call under way."""
        try:
            while True:
                self._send()
                answered = await self._next_answered()
                if answered is not None:
                    return answered.result()
                self._on_late()
        finally:
            for task in self._pending:
                _give_up(task)
            self._pending.clear()

    def _send(self) -> None:
        if len(self._pending) == self._max_calls:
            self._give_up_call(next(iter(self._pending)))
        transfer = Transfer()
        transfer.on_begin = partial(self._give_up_all_but, transfer)
        self._pending[transfer.start(self._call())] = transfer

    def _give_up_all_but(self, begun: Transfer) -> None:
        """Give up the calls whose answers have not begun to arrive as `begun` has."""
        for task, transfer in list(self._pending.items()):
            if transfer is not begun and not transfer.has_begun:
                self._give_up_call(task)

    def _give_up_call(self, task: asyncio.Task[_ResultT]) -> None:
        del self._pending[task]
        _give_up(task)

    async def _next_answered(self) -> asyncio.Task[_ResultT] | None:
        """Return the call that is decisive now; None if all of them are late."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + self._patience_s
        while True:
            left_s = max(0.0, until_s - loop.time())
            done, _ = await asyncio.wait(
                self._pending, timeout=left_s, return_when=asyncio.FIRST_COMPLETED
            )
            if not done and not self.is_arriving():
                return None
            if not done:
                until_s = loop.time() + self._patience_s
            for task in done & self._pending.keys():
                del self._pending[task]
                if task.exception() is None or not self._pending:
                    return task


def _give_up(call: asyncio.Task[Any]) -> None:
    """Cancel a call that is no longer needed, or drop its failure."""
    if not call.cancel() and not call.cancelled():
        call.exception()
