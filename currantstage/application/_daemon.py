"""The daemon of an entry VM: wires the layers in `start`, unwinds them in `close`."""

from __future__ import annotations

import asyncio
import random
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING, Self

from eliot import log_message

from currantstage.application._claim_service import ClaimService
from currantstage.application._demand_service import (
    DEMAND_INTERVAL_S,
    DemandService,
)
from currantstage.application._duty_runner import DutyRunner
from currantstage.application._errors import StartError
from currantstage.application._fleet_follower import (
    PLACEMENT_POLL_S,
    FleetFollower,
)
from currantstage.application._fleet_reporter import FleetReporter
from currantstage.application._limit_path import LimitPath
from currantstage.application._metrics import DaemonMetrics
from currantstage.application._operator_service import NoteService
from currantstage.application._peer_service import PeerService
from currantstage.application._procedure_runner import ProcedureRunner
from currantstage.application._relay_service import RelayService
from currantstage.application._request_path import RequestPath
from currantstage.application._service_level_service import ServiceLevelService
from currantstage.application._usage_service import UsageService
from currantstage.coordination import (
    DUTY_LEASE_S,
    USAGE_INTERVAL_S,
    Acceptance,
    AllotmentLimitCheck,
    Cleanup,
    Configuration,
    CoordinationError,
    DrainFollower,
    Duty,
    DutyLeases,
    FleetDuty,
    HeadWatch,
    LeaseRelay,
    Membership,
    PeerLiveness,
    ReclaimingDuty,
    RetryPolicy,
    ServiceLevelRecorder,
    StoreAccess,
    UsageBoard,
    WeightedMaxMin,
    plan_waves,
)
from currantstage.protocol import DemandMessage, Heartbeat
from currantstage.state import (
    DEFAULT_CONFIG_LEASE_S,
    FIRST_GENERATION,
    ClaimOwner,
    EntryVmRow,
    IncarnationId,
    VmLiveness,
)
from currantstage.transport import (
    BackendClient,
    HttpServer,
    PeerSockets,
    PlatformClient,
    TransportError,
    add_caller_routes,
    add_error_answers,
    add_fleet_status_route,
    add_health_routes,
    add_operator_routes,
    add_service_level_routes,
)
from currantstage.util import DutyLoop, MonotonicClock, UnixClock

if TYPE_CHECKING:
    from currantstage.config import Settings
    from currantstage.state import Generation

#: How often the rows of the other entry VMs are read, in seconds.
PEER_REFRESH_S = 2.0
#: Longer pause between two refreshes for each peer, which bounds their traffic.
PEER_REFRESH_PER_PEER_S = 0.25
#: Peers that get a heartbeat at each turn, which bounds their traffic.
HEARTBEATS_PER_TURN = 8
#: How often servers in doubt are looked for, in seconds.
PROBE_INTERVAL_S = 0.25
#: How often the platform's list of VMs is read, in seconds.
LISTING_INTERVAL_S = 1.0
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
        self._is_ready = True
        self._configuration = Configuration()
        self._store = StoreAccess(self._random, RetryPolicy())
        self._watch = HeadWatch()
        self._membership = Membership(
            self._store, self._configuration, self._watch, self._first_row()
        )
        self._metrics = DaemonMetrics()
        self._platform = PlatformClient.from_config(settings.platform)
        self._runner = ProcedureRunner(
            table=self._platform,
            objects=self._platform,
            directory=self._platform,
            rebooter=self._platform,
            clock=self._clock,
            unix_clock=UnixClock(),
        )
        self._peers = PeerService(
            settings.entry_vm.id,
            self._membership.row.incarnation,
            settings.peers.secret.encode(),
        )
        self._sockets = PeerSockets(settings.entry_vm.peer_address, self._peers.receive)
        self._limits = LimitPath(
            self._membership.row,
            self._configuration,
            self._store,
            self._runner,
            self._peers,
            self._sockets,
            self._clock,
        )
        self._metrics.watch_allotments(self._limits.team_allotments)
        usage = UsageBoard()
        self._path = RequestPath.build(
            self._configuration,
            settings.entry_vm.data_centre,
            self._limits.limiter,
            self._limits.slots,
            WeightedMaxMin(),
            usage,
            self._metrics,
            self._clock,
            self._random,
            self._membership.row.incarnation,
        )
        self._probes = DutyLoop(
            "probe-servers", self._path.probe_servers, PROBE_INTERVAL_S
        )
        self._path.monitor.on_doubt(self._probes.wake)
        self._service_levels = ServiceLevelService(
            self._runner,
            self._store,
            self._configuration,
            ServiceLevelRecorder(self._clock.now_s()),
            self._membership.row,
            self._clock,
        )
        self._path.queues.on_end(self._service_levels.on_end)
        self._limits.on_change(self._path.driver.start_waiting)
        self._usage = UsageService(
            usage,
            self._path.driver.running_slots,
            self._peers,
            self._sockets,
            self._clock,
        )
        self._follow = DutyLoop(
            "follow-head", self._follow_head, settings.configuration.poll_ms / 1000
        )
        self._claims = self._build_claims()
        self._path.queues.use_claims(self._claims)
        self._relay = self._build_relay()
        self._configuration.on_apply(self._adopt_fleet)
        self._next_refresh_s = 0.0
        self._leases = DutyLeases(
            self._store, settings.entry_vm.id, self._membership.row.incarnation
        )
        self._placed = self._build_fleet_follower()
        self._demand = DemandService(
            settings.entry_vm.id,
            settings.entry_vm.data_centre,
            self._configuration,
            self._path,
            self._leases,
            self._clock,
        )
        self._peers.handle(DemandMessage, self._demand.hear)

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
        self._is_ready = False
        serving = self._settings.serving
        # The balancer sees the failed health check before anything is refused.
        await asyncio.sleep(serving.balancer_notice_ms / 1000)
        self._path.driver.stop_admission()
        if await self._path.queues.drain(serving.max_drain_ms / 1000):
            await self._limits.leave()
        await self._leave()
        await self._resources.aclose()
        log_message("currantstage:stopped", entry_vm=self._settings.entry_vm.id)

    @property
    def generation(self) -> Generation:
        """The generation in force here."""
        return self._configuration.fleet.generation

    def is_ready(self) -> bool:
        """Return whether new requests are welcome."""
        return self._is_ready and not self._limits.is_retired

    def render_metrics(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return self._metrics.render()

    async def _start_parts(self) -> None:
        self._resources.callback(self._metrics.close)
        heartbeat_s = self._settings.peers.heartbeat_ms / 1000
        await self._own(self._platform)
        await self._own(self._path.backends)
        await self._follow_head()
        # After this entry VM's row stands, and before it serves: so it knows of every
        # drain whose end was decided without its acknowledgement.
        await self._placed.follow()
        await self._own(self._sockets)
        await self._own(self._relay)
        await self._own(self._claims)
        await self._refresh()
        # Only now: whoever holds allotments must be the only process of its entry VM,
        # which the address that it listens on proves.
        await self._own(self._limits)
        await self._own(self._follow)
        await self._own(DutyLoop("refresh-peers", self._refresh_if_due, PEER_REFRESH_S))
        await self._own(DutyLoop("heartbeat", self._send_heartbeats, heartbeat_s))
        await self._own(DutyLoop("report-usage", self._usage.tell, USAGE_INTERVAL_S))
        await self._own(self._probes)
        await self._own(
            DutyLoop("follow-placement", self._placed.follow, PLACEMENT_POLL_S)
        )
        await self._own(
            DutyLoop("report-demand", self._report_demand, DEMAND_INTERVAL_S)
        )
        await self._own(DutyLoop("list-vms", self._list_vms, LISTING_INTERVAL_S))
        await self._own(self._build_duty_runner())
        await self._own(self._build_http_server())

    async def _own(
        self,
        part: PlatformClient
        | BackendClient
        | PeerSockets
        | DutyLoop
        | DutyRunner
        | RelayService
        | ClaimService
        | LimitPath
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
            self._runner,
            self._store,
            self._configuration,
            Acceptance(
                self._store,
                self._configuration,
                self._watch,
                AllotmentLimitCheck(self._store),
            ),
            self._follow.wake,
        )
        add_error_answers(server.app)
        add_caller_routes(server.app, self._path.queues)
        add_operator_routes(server.app, notes, self._settings.operators.key)
        add_fleet_status_route(
            server.app,
            FleetReporter(self._runner, self._store, self._configuration),
            self._settings.operators.key,
        )
        add_service_level_routes(
            server.app, self._service_levels, self._settings.operators.key
        )
        add_health_routes(server.app, self)
        return server

    def _build_claims(self) -> ClaimService:
        row = self._membership.row
        return ClaimService(
            ClaimOwner(entry_vm=row.entry_vm, incarnation=row.incarnation),
            self._runner,
            self._store,
            self._peers,
            self._sockets,
            self._clock,
            UnixClock(),
            self._random,
        )

    def _build_relay(self) -> RelayService:
        liveness = PeerLiveness()
        return RelayService(
            self._peers,
            self._sockets,
            self._runner,
            self._clock,
            self._configuration,
            self._membership,
            liveness,
            LeaseRelay(self._membership, self._configuration, liveness),
            self._follow.wake,
        )

    def _build_duty_runner(self) -> DutyRunner:
        return DutyRunner(
            self._runner, self._leases, self._clock, self._build_duties(), DUTY_LEASE_S
        )

    def _build_duties(self) -> list[Duty]:
        entry_vm = self._settings.entry_vm.id
        return [
            Cleanup(self._store),
            ReclaimingDuty(self._store, self._configuration, entry_vm),
            FleetDuty(self._store, (plan_waves, self._demand.plan)),
        ]

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
            config_lease_s=DEFAULT_CONFIG_LEASE_S,
        )

    async def _follow_head(self) -> None:
        before = self._configuration.fleet.generation
        try:
            generation = await self._runner.run(self._membership.follow_head())
        except CoordinationError:
            self._relay.report_store_away()
            raise
        if generation > before:
            log_message("currantstage:applied", generation=generation)
            self._peers.broadcast(self._sockets, self._heartbeat())
            # The limits are divided among those who are there now.
            await self._refresh()
            self._limits.follow_limits()

    def _adopt_fleet(self) -> None:
        """Let every part follow a fleet before the entry VM's row states it."""
        self._path.apply_fleet()
        self._limits.follow_limits()

    async def _list_vms(self) -> None:
        listed = await self._platform.list_vms()
        self._path.driver.set_leaving(
            each.vm_id for each in listed if each.liveness is VmLiveness.LEAVING
        )

    async def _refresh_if_due(self) -> None:
        if self._clock.now_s() >= self._next_refresh_s:
            await self._refresh()

    async def _refresh(self) -> None:
        await self._peers.refresh(self._runner, self._store, self._sockets)
        pause_s = PEER_REFRESH_PER_PEER_S * len(self._peers.peers)
        self._next_refresh_s = self._clock.now_s() + pause_s

    async def _send_heartbeats(self) -> None:
        for peer in self._peers.next_peers(HEARTBEATS_PER_TURN):
            self._peers.send(self._sockets, peer, self._heartbeat())

    def _heartbeat(self) -> Heartbeat:
        return Heartbeat(generation=self._configuration.fleet.generation)

    async def _report_demand(self) -> None:
        self._demand.report(self._peers, self._sockets)

    def _build_fleet_follower(self) -> FleetFollower:
        row = self._membership.row
        drains = DrainFollower(
            self._store, row.data_centre, row.entry_vm, row.incarnation
        )
        return FleetFollower(self._runner, drains, self._configuration, self._path)

    async def _leave(self) -> None:
        try:
            await self._runner.run(self._membership.leave())
        except CoordinationError as error:
            log_message("currantstage:leave-failed", reason=str(error))
