"""How much of the answer to a call has arrived."""

from __future__ import annotations

import asyncio
from contextvars import ContextVar
from typing import TYPE_CHECKING, Any, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

_ResultT = TypeVar("_ResultT")

_CURRENT: ContextVar[Transfer | None] = ContextVar("transfer", default=None)


class Transfer:
    """Follows the answers that arrive for one piece of work, as a tracing span does.

    The clients of services record what arrives in the transfer that is current, so that
    the code in between need not pass it on. It counts for the enclosing transfers too.

    Examples
    --------
    >>> async def work():
    ...     record_arrival(100)
    ...     record_arrival(20)
    >>> async def run():
    ...     transfer = Transfer()
    ...     await transfer.start(work())
    ...     return transfer.received_bytes, transfer.is_arriving(within_s=1.0)
    >>> asyncio.run(run())
    (120, True)
    """

    def __init__(self) -> None:
        self._parent = _CURRENT.get()
        self._started_s = asyncio.get_running_loop().time()
        self._arrived_s: float | None = None
        #: Size of what has arrived, in bytes.
        self.received_bytes = 0
        #: Called when the first part of an answer has arrived.
        self.on_begin: Callable[[], None] | None = None

    @property
    def has_begun(self) -> bool:
        """Whether some part of an answer has arrived."""
        return self._arrived_s is not None

    def is_arriving(self, within_s: float) -> bool:
        """Return whether something has arrived in the last `within_s` seconds."""
        now_s = asyncio.get_running_loop().time()
        return self._arrived_s is not None and now_s - self._arrived_s <= within_s

    def age_s(self) -> float:
        """Return the time since the work was started, in seconds."""
        return asyncio.get_running_loop().time() - self._started_s

    def start(self, work: Coroutine[Any, Any, _ResultT]) -> asyncio.Task[_ResultT]:
        """Run `work`, whose answers are recorded here."""
        token = _CURRENT.set(self)
        try:
            return asyncio.create_task(work)
        finally:
            _CURRENT.reset(token)

    def _record(self, size_bytes: int) -> None:
        is_first = self._arrived_s is None
        self._arrived_s = asyncio.get_running_loop().time()
        self.received_bytes += size_bytes
        if is_first and self.on_begin is not None:
            self.on_begin()
        if self._parent is not None:
            self._parent._record(size_bytes)


def record_arrival(size_bytes: int) -> None:
    """Record a part of an answer in the transfer that is current, if there is one."""
    transfer = _CURRENT.get()
    if transfer is not None:
        transfer._record(size_bytes)
