"""The daemon of an entry VM: assembles, starts and stops its components."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING, Protocol, Self

from eliot import log_message

from currantstage.application._claim_service import ClaimService
from currantstage.application._core import DaemonCore
from currantstage.application._demand_service import DEMAND_INTERVAL_S, DemandService
from currantstage.application._distributed_limits import DistributedLimits
from currantstage.application._duty_runner import DutyRunner
from currantstage.application._errors import StartError
from currantstage.application._fleet_follower import PLACEMENT_POLL_S, FleetFollower
from currantstage.application._head_follower import PEER_REFRESH_S, HeadFollower
from currantstage.application._http_api import build_http_server
from currantstage.application._relay_service import RelayService
from currantstage.application._request_path import RequestPath
from currantstage.application._service_level_service import ServiceLevelService
from currantstage.application._usage_service import UsageService
from currantstage.coordination import CoordinationError
from currantstage.coordination.fleet import DrainFollower, FleetDuty, plan_waves
from currantstage.coordination.limits import (
    USAGE_INTERVAL_S,
    ReclaimingDuty,
    UsageTracker,
    WeightedMaxMin,
)
from currantstage.coordination.membership import LeaseRelay, PeerLiveness
from currantstage.coordination.notes import Cleanup
from currantstage.coordination.requests import ServiceLevelRecorder
from currantstage.coordination.store import DUTY_LEASE_S, Duty
from currantstage.protocol import DemandMessage, LoadReport
from currantstage.state import ClaimOwner, VmLiveness
from currantstage.transport import TransportError
from currantstage.util import PeriodicTask

if TYPE_CHECKING:
    from currantstage.config import Settings
    from currantstage.state import Generation

#: Interval between checks for servers whose probe is due, in seconds.
PROBE_INTERVAL_S = 0.25
#: Interval between reads of the platform's list of VMs, in seconds.
VM_LIST_INTERVAL_S = 1.0


class Component(Protocol):
    """Component that the daemon starts, and closes in reverse order."""

    async def start(self) -> None:
        """Start working."""

    async def close(self) -> None:
        """Stop working and release all resources."""


class Daemon:
    """One entry VM's daemon.

    Parameters
    ----------
    core : DaemonCore
    """

    def __init__(self, core: DaemonCore) -> None:
        self._core = core
        self._resources = AsyncExitStack()
        self._is_ready = True
        self._limits = _build_limits(core)
        usage = UsageTracker()
        self._path = _build_path(core, self._limits, usage)
        self._limits.on_change(self._path.driver.start_waiting)
        self._usage = UsageService(
            usage, self._path.driver.running_slots, core.peers, core.sockets, core.clock
        )
        self._service_levels = _build_service_levels(core)
        self._path.queues.on_end(self._service_levels.on_end)
        self._claims = _build_claims(core)
        self._path.queues.set_claims(self._claims)
        self._head = HeadFollower(
            core, self._limits, self._path, self._report_store_outage
        )
        self._follow_task = PeriodicTask(
            "follow-head",
            self._head.follow,
            core.settings.configuration.poll_ms / 1000,
        )
        self._relay = _build_relay(core, self._follow_task)
        self._fleet_follower = _build_fleet_follower(core, self._path)
        own_row = core.own_row
        self._demand = DemandService(
            own_row.entry_vm,
            own_row.data_centre,
            core.configuration,
            self._path,
            core.leases,
            core.clock,
        )
        core.peers.register_handler(DemandMessage, self._demand.handle_frame)

    @classmethod
    def from_config(cls, settings: Settings, seed: int | None = None) -> Self:
        """Return a daemon with these settings.

        Parameters
        ----------
        settings : Settings
        seed : int, optional
            Seed of the random number generator; by default, one from the system.
        """
        return cls(DaemonCore.from_config(settings, seed))

    async def start(self) -> None:
        """Start all components; on failure, close them and raise `StartError`."""
        try:
            await self._start_components()
        except (TransportError, CoordinationError) as error:
            await self._resources.aclose()
            raise StartError(str(error)) from error
        log_message("currantstage:started", entry_vm=self._core.own_row.entry_vm)

    async def close(self) -> None:
        """Stop gracefully: refuse new requests, finish the running ones, leave."""
        self._is_ready = False
        serving = self._core.settings.serving
        # The load balancer has to see the failing health check before requests are
        # refused.
        await asyncio.sleep(serving.balancer_notice_ms / 1000)
        self._path.driver.stop_admission()
        if await self._path.queues.drain(serving.max_drain_ms / 1000):
            await self._limits.leave()
        await self._leave()
        await self._resources.aclose()
        log_message("currantstage:stopped", entry_vm=self._core.own_row.entry_vm)

    @property
    def generation(self) -> Generation:
        """The generation that this entry VM has applied."""
        return self._core.configuration.fleet.generation

    def is_ready(self) -> bool:
        """Return whether this daemon accepts new requests."""
        return self._is_ready and not self._limits.is_retired

    def render_metrics(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return self._core.metrics.render()

    def load_report(self) -> LoadReport:
        """Return the running and waiting requests of each team here."""
        loads = self._path.driver.team_loads()
        return LoadReport(entry_vm=self._core.own_row.entry_vm, loads=loads)

    async def _start_components(self) -> None:
        core = self._core
        self._resources.callback(core.metrics.close)
        await self._start_component(core.platform)
        await self._start_component(self._path.backends)
        await self._head.follow()
        # The placement is read after this entry VM's row has been written and before it
        # serves requests, so that it knows every drain that was considered finished
        # without its acknowledgement.
        await self._fleet_follower.follow()
        await self._start_component(core.sockets)
        await self._start_component(self._relay)
        await self._start_component(self._claims)
        await self._head.refresh()
        # Starts after the sockets: a holder of allotments must be the only process of
        # its entry VM, and that is proved by the address on which it listens.
        await self._start_component(self._limits)
        await self._start_component(self._follow_task)
        for task in self._build_periodic_tasks():
            await self._start_component(task)
        await self._start_component(
            DutyRunner(
                core.runner, core.leases, core.clock, self._build_duties(), DUTY_LEASE_S
            )
        )
        await self._start_component(
            build_http_server(
                core,
                self._path.queues,
                self._service_levels,
                health=self,
                loads=self,
                on_commit=self._follow_task.wake,
            )
        )

    async def _start_component(self, component: Component) -> None:
        """Start `component`, and close it in reverse order later."""
        self._resources.push_async_callback(component.close)
        await component.start()

    def _build_periodic_tasks(self) -> list[PeriodicTask]:
        heartbeat_s = self._core.settings.peers.heartbeat_ms / 1000
        probes = PeriodicTask(
            "probe-servers", self._path.probe_servers, PROBE_INTERVAL_S
        )
        self._path.monitor.on_probe_needed(probes.wake)
        return [
            PeriodicTask("refresh-peers", self._head.refresh_if_due, PEER_REFRESH_S),
            PeriodicTask("heartbeat", self._head.send_heartbeats, heartbeat_s),
            PeriodicTask(
                "report-usage", self._usage.broadcast_report, USAGE_INTERVAL_S
            ),
            probes,
            PeriodicTask(
                "follow-placement", self._fleet_follower.follow, PLACEMENT_POLL_S
            ),
            PeriodicTask("report-demand", self._report_demand, DEMAND_INTERVAL_S),
            PeriodicTask("list-vms", self._list_vms, VM_LIST_INTERVAL_S),
        ]

    def _build_duties(self) -> list[Duty]:
        core = self._core
        return [
            Cleanup(core.store),
            ReclaimingDuty(core.store, core.configuration, core.own_row.entry_vm),
            FleetDuty(core.store, (plan_waves, self._demand.plan)),
        ]

    def _report_store_outage(self) -> None:
        self._relay.report_store_outage()

    async def _list_vms(self) -> None:
        listed = await self._core.platform.list_vms()
        self._path.driver.set_leaving(
            each.vm_id for each in listed if each.liveness is VmLiveness.LEAVING
        )

    async def _report_demand(self) -> None:
        self._demand.report(self._core.peers, self._core.sockets)

    async def _leave(self) -> None:
        try:
            await self._core.runner.run(self._core.membership.leave())
        except CoordinationError as error:
            log_message("currantstage:leave-failed", reason=str(error))


def _build_limits(core: DaemonCore) -> DistributedLimits:
    limits = DistributedLimits(
        core.own_row,
        core.configuration,
        core.store,
        core.runner,
        core.peers,
        core.sockets,
        core.clock,
    )
    core.metrics.observe_allotments(limits.team_allotments)
    return limits


def _build_path(
    core: DaemonCore, limits: DistributedLimits, usage: UsageTracker
) -> RequestPath:
    return RequestPath.build(
        core.configuration,
        core.own_row.data_centre,
        limits.limiter,
        limits.slots,
        WeightedMaxMin(),
        usage,
        core.metrics,
        core.clock,
        core.random,
        core.own_row.incarnation,
    )


def _build_service_levels(core: DaemonCore) -> ServiceLevelService:
    return ServiceLevelService(
        core.runner,
        core.store,
        core.configuration,
        ServiceLevelRecorder(core.clock.now_s()),
        core.own_row,
        core.clock,
    )


def _build_claims(core: DaemonCore) -> ClaimService:
    return ClaimService(
        ClaimOwner(
            entry_vm=core.own_row.entry_vm, incarnation=core.own_row.incarnation
        ),
        core.runner,
        core.store,
        core.peers,
        core.sockets,
        core.clock,
        core.unix_clock,
        core.random,
    )


def _build_relay(core: DaemonCore, follow_task: PeriodicTask) -> RelayService:
    liveness = PeerLiveness()
    return RelayService(
        core.peers,
        core.sockets,
        core.runner,
        core.clock,
        core.configuration,
        core.membership,
        liveness,
        LeaseRelay(core.membership, core.configuration, liveness),
        follow_task.wake,
    )


def _build_fleet_follower(core: DaemonCore, path: RequestPath) -> FleetFollower:
    own_row = core.own_row
    drains = DrainFollower(
        core.store, own_row.data_centre, own_row.entry_vm, own_row.incarnation
    )
    return FleetFollower(core.runner, drains, core.configuration, path)
