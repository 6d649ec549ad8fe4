"""Reads of the lease beside a write of it that stays unanswered."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from eliot import log_message

from currantstage.state.jobs import StoreUnavailable

if TYPE_CHECKING:
    from collections.abc import Coroutine
    from typing import Any

    from currantstage.application.jobs._repository import JobRepository, StoredLease


class StoreProbe:
    """Reads the lease repeatedly while a write of it stays unanswered.

    The responses, recorded by `MonitoredStore`, tell a store that is slow to write from
    one that is silent. A lease that has changed tells the outcome of the write.

    Parameters
    ----------
    repository : JobRepository
    interval_s : float
        Pause before each read beside a write, and maximum time of a single read.
    """

    def __init__(self, repository: JobRepository, interval_s: float) -> None:
        self._repository = repository
        self._interval_s = interval_s

    async def watch(
        self, write: Coroutine[Any, Any, int | StoredLease], version: int
    ) -> int | StoredLease:
        """Return the result of `write`, or the lease once it is newer than `version`.

        Parameters
        ----------
        write : coroutine
            Abandoned if the lease is seen to have changed first.
        version : int
            Version of the lease that the write is conditional on.
        """
        writing = asyncio.create_task(write)
        reading = asyncio.create_task(self._read_newer(version))
        try:
            await asyncio.wait({writing, reading}, return_when=asyncio.FIRST_COMPLETED)
            return writing.result() if writing.done() else reading.result()
        finally:
            writing.cancel()
            reading.cancel()
            await asyncio.gather(writing, reading, return_exceptions=True)

    async def read_once(self) -> None:
        """Read the lease once, to learn whether the store answers at all."""
        try:
            async with asyncio.timeout(self._interval_s):
                await self._repository.read_lease()
        except (StoreUnavailable, TimeoutError) as error:
            log_message("currantstage:store-probe-failed", reason=repr(error))

    async def _read_newer(self, version: int) -> StoredLease:
        while True:
            await asyncio.sleep(self._interval_s)
            try:
                stored = await self._repository.read_lease()
            except StoreUnavailable as error:
                log_message("currantstage:store-probe-failed", reason=str(error))
                continue
            if stored.version > version:
                return stored
