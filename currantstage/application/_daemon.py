"""The daemon of an entry VM: wires the layers in `start`, unwinds them in `close`."""

from __future__ import annotations

import random
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING, Self

from eliot import log_message

from currantstage.application._caller_service import QueueService
from currantstage.application._duty_runner import DutyRunner
from currantstage.application._errors import StartError
from currantstage.application._metrics import DaemonMetrics
from currantstage.application._operator_service import NoteService
from currantstage.application._peer_service import PeerService
from currantstage.application._procedure_runner import ProcedureRunner
from currantstage.coordination import (
    DUTY_LEASE_S,
    Configuration,
    CoordinationError,
    Dispatcher,
    Duty,
    DutyLeases,
    LocalTeamLimiter,
    LocalWorkerSlots,
    Membership,
    RetryPolicy,
    StoreAccess,
)
from currantstage.protocol import Heartbeat, PeerFrame
from currantstage.state import FIRST_GENERATION, EntryVmRow, IncarnationId
from currantstage.transport import (
    BackendClient,
    HttpServer,
    PeerSockets,
    PlatformClient,
    TransportError,
    add_caller_routes,
    add_health_routes,
    add_operator_routes,
)
from currantstage.util import DutyLoop, MonotonicClock

if TYPE_CHECKING:
    from currantstage.config import Settings

#: How often the rows of the other entry VMs are read, in seconds.
PEER_REFRESH_S = 2.0
#: Bits of the name that a start of the process gets.
INCARNATION_BITS = 64


class Daemon:
    """One entry VM's daemon.

    Parameters
    ----------
    settings : Settings
    seed : int, optional
        Seed of all random choices; by default one from the system.
    """

    def __init__(self, settings: Settings, seed: int | None = None) -> None:
        self._settings = settings
        self._random = random.Random(seed)
        self._clock = MonotonicClock()
        self._resources = AsyncExitStack()
        self._configuration = Configuration()
        self._store = StoreAccess(self._random, RetryPolicy())
        self._membership = Membership(
            self._store, self._configuration, self._first_row()
        )
        self._dispatcher = Dispatcher(
            self._configuration,
            settings.entry_vm.data_centre,
            LocalTeamLimiter(self._configuration),
            LocalWorkerSlots(self._configuration),
        )
        self._metrics = DaemonMetrics()
        self._platform = PlatformClient.from_config(settings.platform)
        self._runner = ProcedureRunner(
            self._platform, self._platform, self._platform, self._clock
        )
        self._backends = BackendClient()
        self._queues = QueueService(
            self._dispatcher, self._backends, self._metrics, self._clock
        )
        self._follow = DutyLoop(
            "follow-head", self._follow_head, settings.configuration.poll_ms / 1000
        )
        self._peers = PeerService(
            settings.entry_vm.id,
            self._membership.row.incarnation,
            settings.peers.secret.encode(),
        )
        self._peers.handle(Heartbeat, self._hear_heartbeat)
        self._sockets = PeerSockets(settings.entry_vm.peer_address, self._peers.receive)

    @classmethod
    def from_config(cls, settings: Settings) -> Self:
        """Return the daemon that `settings` describe."""
        return cls(settings)

    async def start(self) -> None:
        """Start every part; raises `StartError` with nothing left running."""
        try:
            await self._start_parts()
        except (TransportError, CoordinationError) as error:
            await self._resources.aclose()
            raise StartError(str(error)) from error
        log_message("currantstage:started", entry_vm=self._settings.entry_vm.id)

    async def close(self) -> None:
        """Stop gracefully: refuse new requests, let the running ones finish, leave."""
        self._dispatcher.stop_admission()
        await self._queues.drain(self._settings.serving.max_drain_ms / 1000)
        await self._leave()
        await self._resources.aclose()
        log_message("currantstage:stopped", entry_vm=self._settings.entry_vm.id)

    def is_ready(self) -> bool:
        """Return whether new requests are welcome."""
        return not self._dispatcher.is_stopping

    def render_metrics(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return self._metrics.render()

    async def _start_parts(self) -> None:
        self._resources.callback(self._metrics.close)
        heartbeat_s = self._settings.peers.heartbeat_ms / 1000
        await self._own(self._platform)
        await self._own(self._backends)
        await self._follow_head()
        await self._own(self._sockets)
        await self._own(self._follow)
        await self._own(DutyLoop("refresh-peers", self._refresh, PEER_REFRESH_S))
        await self._own(DutyLoop("heartbeat", self._send_heartbeats, heartbeat_s))
        await self._own(self._build_duty_runner())
        await self._own(self._build_http_server())

    async def _own(
        self,
        part: PlatformClient
        | BackendClient
        | PeerSockets
        | DutyLoop
        | DutyRunner
        | HttpServer,
    ) -> None:
        """Start `part`, to be closed in reverse order."""
        self._resources.push_async_callback(part.close)
        await part.start()

    def _build_http_server(self) -> HttpServer:
        entry_vm = self._settings.entry_vm
        server = HttpServer(
            f"currantstage-{entry_vm.id}",
            entry_vm.http_address,
            self._settings.serving.max_body_bytes,
        )
        notes = NoteService(
            self._runner, self._store, self._configuration, self._follow.wake
        )
        add_caller_routes(server.app, self._queues)
        add_operator_routes(server.app, notes, self._settings.operators.key)
        add_health_routes(server.app, self)
        return server

    def _build_duty_runner(self) -> DutyRunner:
        row = self._membership.row
        leases = DutyLeases(self._store, row.entry_vm, row.incarnation)
        return DutyRunner(
            self._runner, leases, self._clock, self._build_duties(), DUTY_LEASE_S
        )

    def _build_duties(self) -> list[Duty]:
        return []

    def _first_row(self) -> EntryVmRow:
        entry_vm = self._settings.entry_vm
        incarnation = f"{self._random.getrandbits(INCARNATION_BITS):016x}"
        return EntryVmRow(
            entry_vm=entry_vm.id,
            incarnation=IncarnationId(incarnation),
            data_centre=entry_vm.data_centre,
            http_address=entry_vm.http_address,
            peer_address=entry_vm.peer_address,
            applied_generation=FIRST_GENERATION,
        )

    async def _follow_head(self) -> None:
        before = self._configuration.fleet.generation
        generation = await self._runner.run(self._membership.follow_head())
        if generation > before:
            log_message("currantstage:applied", generation=generation)
            await self._send_heartbeats()

    async def _refresh(self) -> None:
        await self._peers.refresh(self._runner, self._store, self._sockets)

    async def _send_heartbeats(self) -> None:
        message = Heartbeat(generation=self._configuration.fleet.generation)
        self._peers.broadcast(self._sockets, message)

    def _hear_heartbeat(self, frame: PeerFrame) -> None:
        message = frame.message
        if not isinstance(message, Heartbeat):
            return
        if self._configuration.lacks(message.generation):
            self._follow.wake()

    async def _leave(self) -> None:
        try:
            await self._runner.run(self._membership.leave())
        except CoordinationError as error:
            log_message("currantstage:leave-failed", reason=str(error))
