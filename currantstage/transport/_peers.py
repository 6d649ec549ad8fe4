"""Datagrams between entry VMs over pynng sockets."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pynng

from currantstage.protocol import MAX_FRAME_BYTES
from currantstage.transport._errors import ListenError

if TYPE_CHECKING:
    from collections.abc import Callable

    from currantstage.state import EntryVmId

#: Frames that may wait for one peer before new ones are dropped.
SEND_BUFFER_FRAMES = 64
#: Bounds of the pause between attempts to connect to a peer, in milliseconds.
RECONNECT_MIN_MS = 100
RECONNECT_MAX_MS = 2000


class PeerSockets:
    """Implements `PeerLink`: a pull socket for all peers, a push socket for each.

    The library's own threads complete sends and receives; every callback runs on
    the daemon's loop.

    Parameters
    ----------
    address : str
        ``IP:port`` to listen on.
    on_frame : callable
        Called with each frame's bytes.
    """

    def __init__(self, address: str, on_frame: Callable[[bytes], None]) -> None:
        self._address = address
        self._on_frame = on_frame
        self._listener: pynng.Pull0 | None = None
        self._senders: dict[EntryVmId, tuple[str, pynng.Push0]] = {}
        self._receiving: asyncio.Task[None] | None = None
        self.dropped_frames = 0

    async def start(self) -> None:
        """Listen; raises `ListenError` when the address can't be had."""
        try:
            self._listener = pynng.Pull0(recv_max_size=MAX_FRAME_BYTES)
            self._listener.listen(f"tcp://{self._address}")
        except pynng.NNGException as error:
            raise ListenError(f"{self._address}: {error}") from error
        self._receiving = asyncio.create_task(self._receive(self._listener))

    async def close(self) -> None:
        """Close all sockets."""
        listener, self._listener = self._listener, None
        if listener is not None:
            listener.close()
        if self._receiving is not None:
            # Closing the socket ends the receive. Cancelling the task instead could be
            # lost: the library may report its cancelled receive as an error of its own.
            await self._receiving
            self._receiving = None
        for peer in tuple(self._senders):
            self.disconnect(peer)

    def connect(self, peer: EntryVmId, address: str) -> None:
        """Send to `peer` at `address` from now on, connecting in the background."""
        known = self._senders.get(peer)
        if known is not None and known[0] == address:
            return
        self.disconnect(peer)
        sender = pynng.Push0(
            send_buffer_size=SEND_BUFFER_FRAMES,
            reconnect_time_min=RECONNECT_MIN_MS,
            reconnect_time_max=RECONNECT_MAX_MS,
        )
        sender.dial(f"tcp://{address}", block=False)
        self._senders[peer] = (address, sender)

    def disconnect(self, peer: EntryVmId) -> None:
        """Forget `peer` and drop what still waits for it."""
        known = self._senders.pop(peer, None)
        if known is not None:
            known[1].close()

    def send(self, receiver: EntryVmId, payload: bytes) -> None:
        """Hand `payload` to the connection with `receiver`, or drop it."""
        known = self._senders.get(receiver)
        if known is None:
            self.dropped_frames += 1
            return
        try:
            known[1].send(payload, block=False)
        except pynng.NNGException:
            self.dropped_frames += 1

    async def _receive(self, listener: pynng.Pull0) -> None:
        while self._listener is not None:
            try:
                self._on_frame(await listener.arecv())
            except pynng.NNGException:
                self.dropped_frames += 1
