"""Talk with the other entry VMs: heartbeats that hint at newer generations."""

from __future__ import annotations

from typing import TYPE_CHECKING

from currantstage.protocol import (
    DecodeError,
    Heartbeat,
    PeerFrame,
    decode_frame,
    encode_frame,
)
from currantstage.state import ENTRY_VM_PREFIX, EntryVmRow

if TYPE_CHECKING:
    from collections.abc import Callable

    from currantstage.application._procedure_runner import ProcedureRunner
    from currantstage.coordination import Configuration, StoreAccess
    from currantstage.state import EntryVmId, IncarnationId
    from currantstage.transport import PeerSockets


class PeerService:
    """Sends and receives the messages between entry VMs.

    Parameters
    ----------
    entry_vm, incarnation : EntryVmId, IncarnationId
        Who this daemon is.
    secret : bytes
        Shared by all entry VMs.
    configuration : Configuration
    on_newer_generation : callable
        Called when a peer has heard of a newer generation.
    """

    def __init__(
        self,
        entry_vm: EntryVmId,
        incarnation: IncarnationId,
        secret: bytes,
        configuration: Configuration,
        on_newer_generation: Callable[[], None],
    ) -> None:
        self._entry_vm = entry_vm
        self._incarnation = incarnation
        self._secret = secret
        self._configuration = configuration
        self._on_newer_generation = on_newer_generation
        self._peers: set[EntryVmId] = set()
        self.rejected_frames = 0

    async def refresh(
        self, runner: ProcedureRunner, store: StoreAccess, sockets: PeerSockets
    ) -> None:
        """Connect to the entry VMs that have a row, and forget the others."""
        rows = await runner.run(store.scan(ENTRY_VM_PREFIX))
        addresses = {
            row.record.entry_vm: row.record.peer_address
            for row in rows
            if isinstance(row.record, EntryVmRow)
            and row.record.entry_vm != self._entry_vm
        }
        for gone in self._peers - addresses.keys():
            sockets.disconnect(gone)
        for peer, address in addresses.items():
            sockets.connect(peer, address)
        self._peers = set(addresses)

    def send_heartbeats(self, sockets: PeerSockets) -> None:
        """Send a heartbeat to every peer."""
        message = Heartbeat(generation=self._configuration.fleet.generation)
        for peer in sorted(self._peers):
            frame = PeerFrame(
                sender=self._entry_vm,
                incarnation=self._incarnation,
                receiver=peer,
                message=message,
            )
            sockets.send(peer, encode_frame(frame, self._secret))

    def receive(self, data: bytes) -> None:
        """Take one frame; a bad one is counted and dropped."""
        try:
            frame = decode_frame(data, self._secret)
        except DecodeError:
            self.rejected_frames += 1
            return
        if frame.receiver != self._entry_vm:
            self.rejected_frames += 1
            return
        if frame.message.generation > self._configuration.fleet.generation:
            self._on_newer_generation()
