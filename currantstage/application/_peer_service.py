"""Exchange messages with the other entry VMs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from currantstage.protocol import (
    DecodeError,
    PeerFrame,
    PeerMessage,
    decode_frame,
    encode_frame,
)
from currantstage.state import ENTRY_VM_PREFIX, EntryVmRow

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from currantstage.application._procedure_runner import ProcedureRunner
    from currantstage.coordination.store import StoreAccess
    from currantstage.state import EntryVmId, IncarnationId, PeerLink
    from currantstage.transport import PeerSockets


class PeerService:
    """Sends and receives the messages between entry VMs.

    Parameters
    ----------
    entry_vm : EntryVmId
    incarnation : IncarnationId
    secret : bytes
        Secret that all entry VMs share; authenticates frames.
    """

    def __init__(
        self, entry_vm: EntryVmId, incarnation: IncarnationId, secret: bytes
    ) -> None:
        self._entry_vm = entry_vm
        self._incarnation = incarnation
        self._secret = secret
        self._handlers: dict[type[PeerMessage], Callable[[PeerFrame], None]] = {}
        self._members: dict[EntryVmId, EntryVmRow] = {}
        self._next_index = 0
        self.rejected_frames = 0

    @property
    def peers(self) -> frozenset[EntryVmId]:
        """The other entry VMs that had a row at the last refresh."""
        return frozenset(self._members)

    @property
    def members(self) -> Mapping[EntryVmId, EntryVmRow]:
        """The rows of the other entry VMs at the last refresh."""
        return self._members

    def register_handler(
        self, message_type: type[PeerMessage], handler: Callable[[PeerFrame], None]
    ) -> None:
        """Pass each authentic frame with a message of `message_type` to `handler`."""
        self._handlers[message_type] = handler

    async def refresh(
        self, runner: ProcedureRunner, store: StoreAccess, sockets: PeerSockets
    ) -> None:
        """Connect to the entry VMs that have a row, and disconnect from the others."""
        rows = await runner.run(store.scan(ENTRY_VM_PREFIX))
        # A restarted entry VM may have two rows, of which the newer one is valid.
        members = {
            row.record.entry_vm: row.record
            for row in sorted(rows, key=lambda row: row.version)
            if isinstance(row.record, EntryVmRow)
            and row.record.entry_vm != self._entry_vm
        }
        for departed in self._members.keys() - members.keys():
            sockets.disconnect(departed)
        for peer, record in members.items():
            sockets.connect(peer, record.peer_address)
        self._members = members

    def send(self, link: PeerLink, receiver: EntryVmId, message: PeerMessage) -> None:
        """Send `message` to one peer, without guarantee of delivery."""
        frame = PeerFrame(
            sender=self._entry_vm,
            incarnation=self._incarnation,
            receiver=receiver,
            message=message,
        )
        link.send(receiver, encode_frame(frame, self._secret))

    def broadcast(self, link: PeerLink, message: PeerMessage) -> None:
        """Send `message` to all peers, without guarantee of delivery."""
        for peer in sorted(self._members):
            self.send(link, peer, message)

    def next_peers(self, count: int) -> list[EntryVmId]:
        """Return up to `count` peers, in round-robin order over the calls."""
        peers = sorted(self._members)
        if len(peers) <= count:
            return peers
        start = self._next_index % len(peers)
        self._next_index += count
        return [*peers, *peers][start : start + count]

    def receive(self, data: bytes) -> None:
        """Handle one frame; count and drop it if it is invalid."""
        try:
            frame = decode_frame(data, self._secret)
        except DecodeError:
            self.rejected_frames += 1
            return
        handler = self._handlers.get(type(frame.message))
        if handler is None or frame.receiver != self._entry_vm:
            self.rejected_frames += 1
            return
        handler(frame)
