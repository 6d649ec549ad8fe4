"""One-way messages between entry VMs over pynng sockets."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pynng

from currantstage.protocol import MAX_FRAME_BYTES
from currantstage.transport._errors import ListenError
from currantstage.util import log_task_failure

if TYPE_CHECKING:
    from collections.abc import Callable

    from currantstage.state import EntryVmId

#: Maximum number of frames queued for one peer; further frames are dropped.
SEND_BUFFER_FRAMES = 64
#: Bounds of the backoff between attempts to connect to a peer, in milliseconds.
RECONNECT_MIN_MS = 100
RECONNECT_MAX_MS = 2000


class PeerSockets:
    """Implements `PeerLink` with one pull socket, and one push socket per peer.

    Threads of the library complete sends and receives; all callbacks run on the
    daemon's event loop.

    Parameters
    ----------
    address : str
        ``IP:port`` to listen on.
    on_frame : callable
        Called with the bytes of each received frame.
    """

    def __init__(self, address: str, on_frame: Callable[[bytes], None]) -> None:
        self._address = address
        self._on_frame = on_frame
        self._listener: pynng.Pull0 | None = None
        self._senders: dict[EntryVmId, tuple[str, pynng.Push0]] = {}
        self._receive_task: asyncio.Task[None] | None = None
        self.dropped_frames = 0

    async def start(self) -> None:
        """Start to listen; raises `ListenError` if the address is not available."""
        try:
            self._listener = pynng.Pull0(recv_max_size=MAX_FRAME_BYTES)
            self._listener.listen(f"tcp://{self._address}")
        except pynng.NNGException as error:
            raise ListenError(f"{self._address}: {error}") from error
        self._receive_task = asyncio.create_task(self._receive(self._listener))

    async def close(self) -> None:
        """Close all sockets."""
        listener, self._listener = self._listener, None
        if listener is not None:
            listener.close()
        if self._receive_task is not None:
            # Closing the socket ends the receive. Cancelling the task instead may have
            # no effect, since the library can report a cancelled receive as an error of
            # its own.
            await self._receive_task
            self._receive_task = None
        for peer in tuple(self._senders):
            self.disconnect(peer)

    def connect(self, peer: EntryVmId, address: str) -> None:
        """Use `address` to send to `peer`; connects in the background."""
        connection = self._senders.get(peer)
        if connection is not None and connection[0] == address:
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
        """Close the connection with `peer` and drop the frames queued for it."""
        connection = self._senders.pop(peer, None)
        if connection is not None:
            connection[1].close()

    def send(self, receiver: EntryVmId, payload: bytes) -> None:
        """Queue `payload` for `receiver`; it is dropped if that is not possible."""
        connection = self._senders.get(receiver)
        if connection is None:
            self.dropped_frames += 1
            return
        try:
            connection[1].send(payload, block=False)
        except pynng.NNGException:
            self.dropped_frames += 1

    async def _receive(self, listener: pynng.Pull0) -> None:
        while self._listener is not None:
            try:
                frame = await listener.arecv()
            except pynng.NNGException:
                self.dropped_frames += 1
                continue
            try:
                self._on_frame(frame)
            except Exception as error:
                # A frame that can't be handled must not end the receipt of others.
                log_task_failure("peer-frame", error)
