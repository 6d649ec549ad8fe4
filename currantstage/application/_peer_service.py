"""Talk with the other entry VMs."""

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
        Shared by all entry VMs.
    """

    def __init__(
        self, entry_vm: EntryVmId, incarnation: IncarnationId, secret: bytes
    ) -> None:
        self._entry_vm = entry_vm
        self._incarnation = incarnation
        self._secret = secret
        self._handlers: dict[type[PeerMessage], Callable[[PeerFrame], None]] = {}
        self._members: dict[EntryVmId, EntryVmRow] = {}
        self._turn = 0
        self.rejected_frames = 0

    @property
    def peers(self) -> frozenset[EntryVmId]:
        """The other entry VMs that had a row at the last refresh."""
        return frozenset(self._members)

    @property
    def members(self) -> Mapping[EntryVmId, EntryVmRow]:
        """The rows of the other entry VMs at the last refresh."""
        return self._members

    def handle(
        self, message_type: type[PeerMessage], handler: Callable[[PeerFrame], None]
    ) -> None:
        """Pass each genuine frame with a message of `message_type` to `handler`."""
        self._handlers[message_type] = handler

    async def refresh(
        self, runner: ProcedureRunner, store: StoreAccess, sockets: PeerSockets
    ) -> None:
        """Connect to the entry VMs that have a row, and forget the others."""
        rows = await runner.run(store.scan(ENTRY_VM_PREFIX))
        # An entry VM that was started again has two rows; the newer one counts.
        members = {
            row.record.entry_vm: row.record
            for row in sorted(rows, key=lambda row: row.version)
            if isinstance(row.record, EntryVmRow)
            and row.record.entry_vm != self._entry_vm
        }
        for gone in self._members.keys() - members.keys():
            sockets.disconnect(gone)
        for peer, record in members.items():
            sockets.connect(peer, record.peer_address)
        self._members = members

    def send(self, link: PeerLink, receiver: EntryVmId, message: PeerMessage) -> None:
        """Send `message` to one peer, without promise of delivery."""
        frame = PeerFrame(
            sender=self._entry_vm,
            incarnation=self._incarnation,
            receiver=receiver,
            message=message,
        )
        link.send(receiver, encode_frame(frame, self._secret))

    def broadcast(self, link: PeerLink, message: PeerMessage) -> None:
        """Send `message` to every peer, without promise of delivery."""
        for peer in sorted(self._members):
            self.send(link, peer, message)

    def next_peers(self, count: int) -> list[EntryVmId]:
        """Return up to `count` peers, each peer in its turn."""
        peers = sorted(self._members)
        if len(peers) <= count:
            return peers
        turn = self._turn % len(peers)
        self._turn += count
        return [*peers, *peers][turn : turn + count]

    def receive(self, data: bytes) -> None:
        """Take one frame; a bad one is counted and dropped."""
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
