"""A network link of a given rate that all transfers of a daemon share."""

from __future__ import annotations

import asyncio

from currantstage.util import record_arrival

#: Size of what one transfer gets before the next one has its turn, in bytes.
PACKET_BYTES = 1500


class SharedLink:
    """Passes answers on, a packet of each in turn.

    Parameters
    ----------
    bytes_per_s : float
    """

    def __init__(self, bytes_per_s: float) -> None:
        self._packet_s = PACKET_BYTES / bytes_per_s
        self._turn = asyncio.Lock()
        #: Size of all that has been sent, in bytes.
        self.sent_bytes = 0

    async def transfer(self, size_bytes: int) -> None:
        """Wait until an answer of `size_bytes` has passed."""
        left_bytes = size_bytes
        while left_bytes > 0:
            async with self._turn:
                await asyncio.sleep(self._packet_s)
            self.sent_bytes += PACKET_BYTES
            left_bytes -= PACKET_BYTES
            record_arrival(PACKET_BYTES)
