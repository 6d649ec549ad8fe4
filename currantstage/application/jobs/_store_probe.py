"""Read of the store beside a write that stays unanswered."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from eliot import log_message

from currantstage.state.jobs import StoreUnavailable

if TYPE_CHECKING:
    from types import TracebackType
    from typing import Self

    from currantstage.application.jobs._repository import JobRepository


class StoreProbe:
    """Context manager that reads the lease if its body takes longer than a delay.

    The response, recorded by `MonitoredStore`, tells a store that is slow to write from
    one that is silent.

    Parameters
    ----------
    repository : JobRepository
    delay_s : float
    """

    def __init__(self, repository: JobRepository, delay_s: float) -> None:
        self._repository = repository
        self._delay_s = delay_s
        self._timer: asyncio.TimerHandle | None = None
        self._task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> Self:
        """Schedule the read."""
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(self._delay_s, self._start_read)
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Cancel the read."""
        if self._timer is not None:
            self._timer.cancel()
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def _start_read(self) -> None:
        self._task = asyncio.create_task(self._read())

    async def _read(self) -> None:
        try:
            await self._repository.read_lease()
        except StoreUnavailable as error:
            log_message("currantstage:store-probe-failed", reason=str(error))
