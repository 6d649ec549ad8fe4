"""Polls of the store for what operators have changed."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from eliot import log_message

from currantstage.state.jobs import StoreUnavailable
from currantstage.util import Transfer

if TYPE_CHECKING:
    from currantstage.state import Clock
    from currantstage.state.jobs import OperatorChanges, OperatorSource

#: Pause before a configuration that can't be decoded is read again, in seconds.
MALFORMED_RETRY_S = 5.0


@dataclass(frozen=True, slots=True)
class FeedAnswer:
    """Answer of the store to a poll sent at `asked_s`.

    The changes are None if the store no longer has the history that was asked for.
    """

    asked_s: float
    changes: OperatorChanges | None


@dataclass(slots=True)
class TransferCounts:
    """Polls that have ended, and what has arrived for them."""

    answered: int = 0
    answered_bytes: int = 0
    #: Polls without a complete answer, and what had arrived of it.
    abandoned: int = 0
    abandoned_bytes: int = 0


class ConfigurationFeed:
    """Reads all that operators have written, and then the changes to it.

    Parameters
    ----------
    source : OperatorSource
    clock : Clock
    """

    def __init__(self, source: OperatorSource, clock: Clock) -> None:
        self._source = source
        self._clock = clock
        # Version of the store up to which changes have been read.
        self._version: int | None = None
        # When a stored configuration that could not be decoded was read.
        self._malformed_s: float | None = None
        #: Polls since the start, for metrics.
        self.transfers = TransferCounts()

    @property
    def is_readable(self) -> bool:
        """Whether the stored configuration could be decoded when it was last read."""
        return self._malformed_s is None

    async def poll(self, wait_ms: int) -> FeedAnswer:
        """Ask for changes, for which the store may wait; raises `StoreUnavailable`."""
        asked_s = self._clock.now_s()
        transfer = Transfer()
        try:
            changes = await transfer.start(self._read(wait_ms))
        except (StoreUnavailable, asyncio.CancelledError):
            self._count_abandoned(transfer)
            raise
        self.transfers.answered += 1
        self.transfers.answered_bytes += transfer.received_bytes
        return FeedAnswer(asked_s, changes)

    def advance(self, answer: FeedAnswer) -> None:
        """Continue after `answer`, or from the beginning if its history is lost."""
        changes = answer.changes
        if changes is None:
            self._version = None
            return
        # A later poll may have been answered before.
        self._version = max(self._version or 0, changes.version)
        if changes.is_malformed:
            self._malformed_s = self._clock.now_s()
        elif changes.configuration is not None:
            self._malformed_s = None

    async def _read(self, wait_ms: int) -> OperatorChanges | None:
        if self._version is None or self._must_read_again():
            return await self._source.read()
        return await self._source.changes(self._version, wait_ms)

    def _must_read_again(self) -> bool:
        return (
            self._malformed_s is not None
            and self._clock.now_s() - self._malformed_s >= MALFORMED_RETRY_S
        )

    def _count_abandoned(self, transfer: Transfer) -> None:
        self.transfers.abandoned += 1
        self.transfers.abandoned_bytes += transfer.received_bytes
        if transfer.received_bytes:
            log_message(
                "currantstage:configuration-transfer-abandoned",
                received_bytes=transfer.received_bytes,
                after_s=round(transfer.age_s(), 3),
            )
