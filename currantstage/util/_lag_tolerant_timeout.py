"""Timeouts of calls that don't count the lag of the event loop as silence."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from types import TracebackType
    from typing import Self

#: Interval between measurements of the event loop's lag, in seconds.
LAG_INTERVAL_S = 0.05
#: Lag during a call that does not extend its timeout, in seconds.
NEGLIGIBLE_LAG_S = 0.02
#: Maximum time by which a timeout is extended, in seconds; several turns of a loop that
#: is late by a second.
MAX_EXTENSION_S = 2.0


class LoopLagMeter:
    """Adds up the time by which the running event loop is late."""

    def __init__(self) -> None:
        self._loop: asyncio.AbstractEventLoop | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._due_s = 0.0
        self._total_s = 0.0

    async def start(self) -> None:
        """Start measuring the running loop."""
        self._loop = asyncio.get_running_loop()
        self._schedule(self._loop)

    async def close(self) -> None:
        """Stop measuring."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def total_s(self) -> float:
        """Return the lag since the start, in seconds, that of this turn included."""
        assert self._loop is not None
        return self._total_s + max(0.0, self._loop.time() - self._due_s)

    def _measure(self) -> None:
        assert self._loop is not None
        self._total_s = self.total_s()
        self._schedule(self._loop)

    def _schedule(self, loop: asyncio.AbstractEventLoop) -> None:
        self._due_s = loop.time() + LAG_INTERVAL_S
        self._timer = loop.call_later(LAG_INTERVAL_S, self._measure)


class LagTolerantTimeout:
    """Context manager like `asyncio.timeout`, extended by the lag of the loop.

    While the loop lags, answers wait unread in their sockets. A plain timeout fires
    before they are read, and its caller takes its own lateness for silence of the
    other side. However late the loop is, the extensions are limited, so that a late
    process notices silence as well.

    Parameters
    ----------
    meter : LoopLagMeter
    timeout_s : float
        Timeout while the loop isn't late.
    """

    def __init__(self, meter: LoopLagMeter, timeout_s: float) -> None:
        self._meter = meter
        self._timeout_s = timeout_s
        self._scope = asyncio.timeout(None)
        self._restarted_s = 0.0
        self._limit_s = 0.0
        self._lag_s = 0.0
        self._timer: asyncio.TimerHandle | None = None

    async def __aenter__(self) -> Self:
        """Start the timeout."""
        await self._scope.__aenter__()
        self.restart()
        self._schedule(self._timeout_s)
        return self

    def restart(self) -> None:
        """Let the timeout begin anew, as the other side has shown that it is alive."""
        self._lag_s = self._meter.total_s()
        self._restarted_s = asyncio.get_running_loop().time()
        self._limit_s = self._restarted_s + self._timeout_s + MAX_EXTENSION_S

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Cancel the timeout; raise `TimeoutError` if it has expired."""
        if self._timer is not None:
            self._timer.cancel()
        await self._scope.__aexit__(error_type, error, traceback)

    def _expire_or_extend(self) -> None:
        now_s = asyncio.get_running_loop().time()
        left_s = self._restarted_s + self._timeout_s - now_s
        if left_s > 0:
            self._schedule(left_s)
            return
        lag_s = self._meter.total_s()
        extension_s = min(lag_s - self._lag_s, self._limit_s - now_s)
        self._lag_s = lag_s
        if extension_s < NEGLIGIBLE_LAG_S:
            self._scope.reschedule(now_s)
            return
        self._schedule(extension_s)

    def _schedule(self, delay_s: float) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay_s, self._expire_or_extend)
